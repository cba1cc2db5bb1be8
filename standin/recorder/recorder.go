package recorder

import (
	"context"
	"sync"

	"github.com/cloudwego/hertz/pkg/app"
)

// Path is the HTTP path at which a stand-in returns the recorded lines as a JSON list.
const Path = "/standin/headers"

const statusOK = 200

// Headers holds each distinct header line of the requests so far. It is safe for concurrent use.
type Headers struct {
	mu    sync.Mutex
	lines map[string]bool
}

// Handle is a middleware that records the headers and serves Path. The server must also register an empty handler for Path.
func (h *Headers) Handle(ctx context.Context, c *app.RequestContext) {
	if string(c.Path()) == Path {
		c.JSON(statusOK, h.Lines())
		c.Abort()
		return
	}
	h.record(c)
	c.Next(ctx)
}

func (h *Headers) record(c *app.RequestContext) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.lines == nil {
		h.lines = make(map[string]bool)
	}
	c.Request.Header.VisitAll(func(name, value []byte) { h.lines[string(name)+": "+string(value)] = true })
}

// Lines returns the recorded lines in no particular order.
func (h *Headers) Lines() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	lines := make([]string, 0, len(h.lines))
	for line := range h.lines {
		lines = append(lines, line)
	}
	return lines
}
