package modelrunner

import (
	"fmt"
	"net/http"

	"github.com/cloudwego/hertz/pkg/app"

	"github.com/zinniaroute/zinniaroute/document"
)

// Copy describes true refusals of which the runner sends a copy later on the same connection.
type Copy struct {
	// Tries is the number of times that the runner refuses an attempt, one if it is zero.
	Tries int `json:"tries"`
	// Full makes the refusal report a load without room.
	Full bool `json:"full"`
	// WithNext sends the copy when the next request on the connection has been read. Otherwise it follows Delay after the refusal.
	WithNext bool              `json:"withNext"`
	Delay    document.Duration `json:"delay"`
}

// nextRefusal returns the form of the refusal of a request, if it is to be refused. Each attempt that is refused once is refused
// until its tries are over.
func (f *forms) nextRefusal(control bool, attempt string) (Form, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.form.Copy == nil || f.form.Control != control {
		return Form{}, false
	}
	refused, tries := f.refused[attempt], max(1, f.form.Copy.Tries)
	if attempt != "" && refused > 0 && refused < tries || refused == 0 && f.counts() {
		f.odd++
		if attempt != "" {
			f.refused[attempt]++
		}
		return f.form, true
	}
	return Form{}, false
}

// refuse refuses a request if the form says so, and reports whether it does.
func (r *Runner) refuse(c *app.RequestContext, control bool) bool {
	attempt := string(c.GetHeader(headerAttempt))
	form, ok := r.forms.nextRefusal(control, attempt)
	if !ok {
		return false
	}
	fields := [][2]string{{headerNotRun, "1"}}
	if attempt != "" {
		fields = append(fields, [2]string{headerAttempt, attempt})
	}
	if form.Copy.Full {
		slots := max(1, r.options.Slots.Count)
		fields = append(fields, [2]string{headerLoad, fmt.Sprintf("%d,%d,%d,100", slots, slots, slots)})
	}
	for name, value := range form.Header {
		fields = append(fields, [2]string{name, value})
	}
	refusal := fmt.Sprintf("HTTP/1.1 %d %s\r\n", form.Status, http.StatusText(form.Status))
	for _, field := range fields {
		c.Header(field[0], field[1])
		refusal += field[0] + ": " + field[1] + "\r\n"
	}
	c.SetStatusCode(form.Status)
	refusal += "Content-Length: 0\r\n\r\n"
	if conn := r.connections.find(c.RemoteAddr()); conn != nil {
		if form.Copy.WithNext {
			conn.writeWithNext([]byte(refusal))
		} else {
			conn.writeAfterNext([]byte(refusal), form.Copy.Delay.Duration)
		}
	}
	return true
}

// writeWithNext writes bytes when the next request has been read.
func (e *extendedConn) writeWithNext(copied []byte) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.withNext = copied
}

// sendCopy writes the bytes that wait for a request to be read on its connection.
func (r *Runner) sendCopy(c *app.RequestContext) {
	conn := r.connections.find(c.RemoteAddr())
	if conn == nil {
		return
	}
	conn.mu.Lock()
	copied := conn.withNext
	conn.withNext = nil
	conn.mu.Unlock()
	if copied != nil {
		_, _ = conn.Conn.Write(copied)
	}
}
