package modelrunner

import (
	"context"
	"encoding/json"
	"net"
	"strings"
	"sync"
	"time"

	"github.com/cloudwego/hertz/pkg/app"

	"github.com/zinniaroute/zinniaroute/document"
	"github.com/zinniaroute/zinniaroute/transport/group"
)

// AttemptPlaceholder stands for the attempt of the request in the raw answer and the extra bytes of a form.
const AttemptPlaceholder = "{attempt}"

// Form describes answers of a runner that has run the request, but whose answers look like refusals, or whose connection
// carries further bytes, and refusals of which copies follow.
type Form struct {
	// Every is the number of requests of which one is answered in this form, or zero for none.
	Every int `json:"every"`
	// Status replaces the status of the answer if it is not zero.
	Status int `json:"status"`
	// Unnamed omits the attempt, and Unsealed the signature.
	Unnamed  bool `json:"unnamed"`
	Unsealed bool `json:"unsealed"`
	// Header holds further fields of the answer.
	Header map[string]string `json:"header"`
	// Before is written to the connection before the answer, and Extra after it, when Delay has passed.
	Before string            `json:"before"`
	Extra  string            `json:"extra"`
	Delay  document.Duration `json:"delay"`
	// Close closes the connection in place of the answer.
	Close bool `json:"close"`
	// Raw is sent in place of the answer, before the connection is closed.
	Raw string `json:"raw"`
	// Early sends Raw as soon as the head of a long request has arrived, and resets the connection before the body is read. Other
	// requests get ordinary answers.
	Early bool `json:"early"`
	// Copy is nil if the runner runs the request, and otherwise says when a copy of its refusal follows.
	Copy *Copy `json:"copy"`
	// Control means that the form is the one of answers to reports and orders, not to requests.
	Control bool `json:"control"`
}

// forms decides which answers have the form that is set.
type forms struct {
	mu    sync.Mutex
	form  Form
	count int
	odd   int
	// refused counts the refusals of each attempt since the form was set.
	refused map[string]int
}

// SetForm sets the form of some of the answers from now on.
func (r *Runner) SetForm(form Form) {
	r.forms.mu.Lock()
	defer r.forms.mu.Unlock()
	r.forms.form, r.forms.count, r.forms.refused = form, 0, make(map[string]int)
}

// OddAnswers returns the number of answers so far that had a form that was set.
func (r *Runner) OddAnswers() int {
	r.forms.mu.Lock()
	defer r.forms.mu.Unlock()
	return r.forms.odd
}

// next returns the form of the next answer, which is empty for an ordinary one.
func (f *forms) next(control bool) Form {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.form.Copy != nil || f.form.Early || f.form.Control != control || !f.counts() {
		return Form{}
	}
	f.odd++
	return f.form
}

// counts counts an answer and reports whether it has the form. The caller must hold the lock.
func (f *forms) counts() bool {
	if f.form.Every == 0 {
		return false
	}
	f.count++
	return f.count%f.form.Every == 0
}

// reshape gives the head of an answer a form, and reports whether the answer is complete with that.
func (r *Runner) reshape(c *app.RequestContext, form Form) bool {
	if form.Close {
		_ = c.GetConn().Close()
		return true
	}
	if form.Raw != "" {
		_, _ = c.GetConn().WriteBinary(form.rawFor(string(c.GetHeader(headerAttempt))))
		_ = c.GetConn().Flush()
		_ = c.GetConn().Close()
		return true
	}
	if form.Before != "" {
		if conn := r.connections.find(c.RemoteAddr()); conn != nil {
			_, _ = conn.Write([]byte(form.Before))
		}
	}
	if form.Unnamed {
		c.Response.Header.Del(headerAttempt)
	}
	if form.Unsealed {
		c.Response.Header.Del(headerSeal)
	}
	for name, value := range form.Header {
		c.Response.Header.Set(name, value)
	}
	if form.Status != 0 {
		c.SetStatusCode(form.Status)
	}
	return form.Status != 0
}

// extend makes further bytes follow the answer that the handler has prepared.
func (r *Runner) extend(c *app.RequestContext, form Form) {
	if form.Extra == "" {
		return
	}
	if conn := r.connections.find(c.RemoteAddr()); conn != nil {
		extra := strings.ReplaceAll(form.Extra, AttemptPlaceholder, string(c.GetHeader(headerAttempt)))
		conn.writeAfterNext([]byte(extra), form.Delay.Duration)
	}
}

// setForm sets the form for a runner that is a process of its own.
func (r *Runner) setForm(_ context.Context, c *app.RequestContext) {
	var form Form
	if err := json.Unmarshal(c.Request.Body(), &form); err != nil {
		c.String(statusBadRequest, err.Error())
		return
	}
	r.SetForm(form)
	c.SetStatusCode(statusOK)
}

// connections holds the open connections of a runner by the address of the other end.
type connections struct {
	net.Listener
	group *group.Group
	// answerEarly returns the answer to a request whose head has arrived, if the request is answered before its body is read.
	answerEarly func(read []byte) (answer []byte, ok bool)
	mu          sync.Mutex
	open        map[string]*extendedConn
}

func newConnections(
	g *group.Group, listener net.Listener, answerEarly func(read []byte) (answer []byte, ok bool),
) *connections {
	return &connections{Listener: listener, group: g, answerEarly: answerEarly, open: make(map[string]*extendedConn)}
}

// Accept accepts a connection.
func (l *connections) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	e := &extendedConn{Conn: conn, connections: l}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open[conn.RemoteAddr().String()] = e
	return e, nil
}

func (l *connections) find(remote net.Addr) *extendedConn {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.open[remote.String()]
}

// extendedConn is a connection on which bytes follow an answer.
type extendedConn struct {
	net.Conn
	connections *connections
	mu          sync.Mutex
	extra       []byte
	delay       time.Duration
	// withNext is written when the next request has been read.
	withNext []byte
}

// writeAfterNext writes bytes some time after the end of the answer.
func (e *extendedConn) writeAfterNext(extra []byte, delay time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.extra, e.delay = extra, delay
}

// Write writes a part of an answer. The extra bytes follow the first part after the handler has ended, which is the last.
func (e *extendedConn) Write(p []byte) (int, error) {
	n, err := e.Conn.Write(p)
	e.mu.Lock()
	defer e.mu.Unlock()
	if extra, delay := e.extra, e.delay; extra != nil {
		e.extra = nil
		e.connections.group.Run("write extra bytes", func(ctx context.Context) {
			group.Sleep(ctx, delay)
			_, _ = e.Conn.Write(extra)
		})
	}
	return n, err
}

// Close closes the connection and forgets it.
func (e *extendedConn) Close() error {
	e.connections.mu.Lock()
	delete(e.connections.open, e.RemoteAddr().String())
	e.connections.mu.Unlock()
	return e.Conn.Close()
}
