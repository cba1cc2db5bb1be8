package engine

import (
	"context"
	"encoding/json"

	"github.com/cloudwego/hertz/pkg/app"
)

// FormPath is the path at which an engine accepts a Form as JSON by PUT.
const FormPath = "/standin/form"

// Form is an answer that an engine gives to completions that it has run, in place of their own. The zero value gives them their
// own.
type Form struct {
	Status int    `json:"status"`
	Body   string `json:"body"`
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
	if form == nil || form.Status == 0 {
		return false
	}
	c.String(form.Status, form.Body)
	return true
}
