package fault

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"strings"
	"sync"

	"github.com/cloudwego/hertz/pkg/app"

	"github.com/zinniaroute/zinniaroute/document"
	"github.com/zinniaroute/zinniaroute/transport/group"
)

// Path is the HTTP path at which a stand-in accepts Faults as JSON by PUT.
const Path = "/standin/faults"

const statusUnavailable = 503

// Faults describes the faults to inject. The zero value injects none.
type Faults struct {
	// Down rejects every call with status 503.
	Down bool `json:"down,omitempty"`
	// Delay delays each call before it takes effect.
	Delay document.Duration `json:"delay,omitzero"`
	// DropAnswers is the number of calls that take effect but whose connection is closed before the answer.
	DropAnswers int `json:"dropAnswers,omitempty"`
	// DropShare is the share of calls that take effect but whose connection is closed before the answer.
	DropShare float64 `json:"dropShare,omitempty"`
	// AnswerDelay delays each answer after its call has taken effect.
	AnswerDelay document.Duration `json:"answerDelay,omitzero"`
	// PathContains restricts the faults to paths that contain this text.
	PathContains string `json:"only,omitempty"`
	// Method restricts the faults to one HTTP method; empty means all.
	Method string `json:"method,omitempty"`
}

// Injector holds the current faults of a stand-in. It is safe for concurrent use.
type Injector struct {
	mu     sync.Mutex
	faults Faults
}

// Set replaces the current faults.
func (s *Injector) Set(faults Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
}

func (s *Injector) current() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

func (s *Injector) consumeDrop() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.DropAnswers == 0 {
		return false
	}
	s.faults.DropAnswers--
	return true
}

// Handle is a middleware that injects the faults and serves Path. The server must also register an empty handler for
// Path, because the HTTP library presets status 404 for a path without a handler.
func (s *Injector) Handle(ctx context.Context, c *app.RequestContext) {
	path := string(c.Path())
	if path == Path {
		s.configure(c)
		c.Abort()
		return
	}
	faults := s.current()
	if !faults.matches(string(c.Method()), path) {
		return
	}
	if faults.Down {
		c.AbortWithStatus(statusUnavailable)
		return
	}
	if faults.Delay.Duration > 0 {
		group.Sleep(ctx, faults.Delay.Duration)
	}
	c.Next(ctx)
	if faults.AnswerDelay.Duration > 0 {
		group.Sleep(ctx, faults.AnswerDelay.Duration)
	}
	if faults.DropAnswers > 0 && s.consumeDrop() || rand.Float64() < faults.DropShare {
		_ = c.GetConn().Close()
	}
}

func (f Faults) matches(method, path string) bool {
	return strings.Contains(path, f.PathContains) && (f.Method == "" || f.Method == method)
}

func (s *Injector) configure(c *app.RequestContext) {
	body, _ := c.Body()
	var faults Faults
	if err := json.Unmarshal(body, &faults); err != nil {
		c.String(400, err.Error())
		return
	}
	s.Set(faults)
}
