package engine

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"

	"github.com/cloudwego/hertz/pkg/app"
)

// FormPath is the path at which an engine accepts a Form as JSON by PUT.
const FormPath = "/standin/form"

// Form is an answer that an engine gives to completions that it has run, in place of their own. The zero value gives them their
// own.
type Form struct {
	Status int    `json:"status"`
	Body   string `json:"body"`
	// Raw is sent in place of an answer, before the connection is closed.
	Raw string `json:"raw"`
	// RefuseEvery is the number of calls of each path of which the engine refuses one with the form in place of running it, and
	// sends a copy of the refusal before the next answer on the connection. Zero means none.
	RefuseEvery int `json:"refuseEvery"`
}

// copies holds the refusals of which copies are to be sent, by the address of the other end of the connection.
type copies struct {
	mu sync.Mutex
	// calls counts the calls by path. One counter for all can refuse each order of a control that calls in a fixed sequence.
	calls   map[string]int
	refused int
	pending map[string][]byte
}

// copyRefusal sends a copy of the last refusal on the connection, and refuses the call if the form says so.
func (s *Server) copyRefusal(ctx context.Context, c *app.RequestContext) {
	if strings.HasPrefix(string(c.Path()), "/standin/") {
		return
	}
	conn := c.RemoteAddr().String()
	s.copies.mu.Lock()
	copied := s.copies.pending[conn]
	delete(s.copies.pending, conn)
	refused := false
	form := s.form.Load()
	if form != nil && form.RefuseEvery > 0 {
		path := string(c.Path())
		s.copies.calls[path]++
		refused = s.copies.calls[path]%form.RefuseEvery == 0
	}
	if refused {
		s.copies.refused++
		s.copies.pending[conn] = fmt.Appendf(
			nil, "HTTP/1.1 %d %s\r\nContent-Length: %d\r\n\r\n%s", form.Status, http.StatusText(form.Status), len(form.Body), form.Body,
		)
	}
	s.copies.mu.Unlock()
	if copied != nil {
		_, _ = c.GetConn().WriteBinary(copied)
	}
	if refused {
		c.String(form.Status, form.Body)
		c.Abort()
	}
}

func (s *Server) setForm(_ context.Context, c *app.RequestContext) {
	var form Form
	if err := json.Unmarshal(c.Request.Body(), &form); err != nil {
		c.String(statusBadRequest, err.Error())
		return
	}
	s.form.Store(&form)
	c.SetStatusCode(statusOK)
}

// answerInForm answers a completion that has run in the form that is set, and reports whether one is set.
func (s *Server) answerInForm(c *app.RequestContext) bool {
	form := s.form.Load()
	if form != nil && form.Raw != "" {
		_, _ = c.GetConn().WriteBinary([]byte(form.Raw))
		_ = c.GetConn().Flush()
		_ = c.GetConn().Close()
		return true
	}
	if form == nil || form.Status == 0 || form.RefuseEvery > 0 {
		return false
	}
	c.String(form.Status, form.Body)
	return true
}
