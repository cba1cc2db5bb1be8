package integration

import (
	"fmt"
	"testing"
	"time"

	"github.com/zinniaroute/zinniaroute/document"
	"github.com/zinniaroute/zinniaroute/standin/modelrunner"
)

// copyForms returns true refusals of which a copy follows: with the next request on the connection, or some time later.
func copyForms() []oddForm {
	var forms []oddForm
	add := func(name string, status int, full bool, c modelrunner.Copy) {
		c.Full = full
		forms = append(forms, oddForm{name, modelrunner.Form{Status: status, Copy: &c}})
	}
	for _, full := range []bool{true, false} {
		for _, status := range []int{503, 429} {
			name := fmt.Sprintf("%d, full %v, copied ", status, full)
			add(name+"with the next request", status, full, modelrunner.Copy{WithNext: true})
			add(name+"after 30 ms", status, full, modelrunner.Copy{Delay: document.NewDuration(30 * time.Millisecond)})
		}
	}
	add("503, full, copied after 2 ms", 503, true, modelrunner.Copy{Delay: document.NewDuration(2 * time.Millisecond)})
	add("503, full, refused twice", 503, true, modelrunner.Copy{Tries: 2, WithNext: true})
	add("421, copied with the next request", 421, false, modelrunner.Copy{WithNext: true})
	return forms
}

// newCopyCheck starts a gateway and one runner for each service, to which refused requests come again.
func newCopyCheck(t *testing.T) *formCheck {
	t.Helper()
	c := &formCheck{deployment: newDeployment(t), requests: formRequests, statuses: make(map[string]int)}
	c.addRunner("r0", modelService, "large", "small")
	c.addRunner("p0", plainService)
	c.addGateway("vm-1")
	c.waitServing("vm-1")
	return c
}

// A runner that has refused an attempt sends a copy of the refusal when the same attempt is under way again on the connection.
func TestCopyOfARefusalEndsTheNextTry(t *testing.T) {
	t.Parallel()
	t.Run("sent again by the VM", func(t *testing.T) {
		t.Parallel()
		c := newCopyCheck(t)
		for _, f := range copyForms() {
			c.checkForm(f, unsafePath, "")
		}
	})
	t.Run("sent again by the caller", func(t *testing.T) {
		t.Parallel()
		c := newCopyCheck(t)
		c.repeats = true
		for _, f := range copyForms() {
			c.checkForm(f, unsafePath, "")
		}
		// A refused stream waits for another runner of the model.
		c.requests = 3
		for _, status := range []int{503, 421} {
			form := modelrunner.Form{Status: status, Copy: &modelrunner.Copy{WithNext: true}}
			c.checkForm(oddForm{fmt.Sprint(status, ", copied with the next request"), form}, modelPath, "large")
		}
	})
	t.Run("forwarded", func(t *testing.T) {
		t.Parallel()
		c := newForwardedFormCheck(t)
		c.repeats = true
		for _, f := range copyForms() {
			c.checkForm(f, unsafePath, "")
		}
	})
}
