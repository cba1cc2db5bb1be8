package integration

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/zinniaroute/zinniaroute/document"
	"github.com/zinniaroute/zinniaroute/eventlog"
	"github.com/zinniaroute/zinniaroute/standin/modelrunner"
	"github.com/zinniaroute/zinniaroute/state/fleet"
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

// controlCopyForms returns true refusals of orders and reports of which a copy follows.
func controlCopyForms() []oddForm {
	var forms []oddForm
	for _, status := range []int{409, 412, 421, 503} {
		copies := []modelrunner.Copy{{WithNext: true}, {Delay: document.NewDuration(time.Millisecond)}}
		for _, c := range copies {
			forms = append(forms, oddForm{
				fmt.Sprintf("%d for some orders and reports, copied with the next call: %v", status, c.WithNext),
				modelrunner.Form{Control: true, Status: status, Copy: &c},
			})
		}
	}
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
			for _, path := range []string{modelPath, resumePath} {
				form := modelrunner.Form{Status: status, Copy: &modelrunner.Copy{WithNext: true}}
				c.checkForm(oddForm{fmt.Sprint(path, ": ", status, ", copied with the next request"), form}, path, "large")
			}
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

// A runner that has refused an order or a report sends a copy of the refusal in place of the answer to the next call.
func TestCopyOfARefusedOrderHidesAnAcceptedOne(t *testing.T) {
	t.Parallel()
	c := newCopyCheck(t)
	c.requests = 5
	for _, f := range controlCopyForms() {
		before := c.oddAnswers()
		c.play("vm-1", f.form, modelPath, "large/"+adapterPlaceholder)
		assert.Check(t, c.oddAnswers() > before, "%s: no order or report was refused", f.name)
		assert.Check(t, c.served() > 0, "%s: no request was served", f.name)
	}
	for i := range 9 {
		adapter := fmt.Sprint("large/a", 1+i)
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			if c.deployment.send("vm-1", modelPath, adapter).status == http.StatusOK {
				return poll.Success()
			}
			return poll.Continue("%s is not loaded", adapter)
		}, poll.WithDelay(50*time.Millisecond), poll.WithTimeout(10*time.Second))
	}
	results := c.orderResults("vm-1", "r0")
	confirmed := results[fleet.OrderAccepted] + results[fleet.OrderCompleted]
	accepted := len(c.runners["r0"].Orders())
	t.Log("accepted by the runner:", accepted, "results at the VM:", results)
	assert.Check(t, confirmed <= accepted && accepted <= confirmed+results[fleet.OrderUnknown],
		"the runner accepted %d orders, the VM has the results %v", accepted, results)
}

// orderResults counts the results of the orders that a gateway sent to a runner.
func (c *formCheck) orderResults(gateway, runner string) map[fleet.OrderResult]int {
	c.t.Helper()
	log, err := readLog(c.directory, gateway)
	assert.NilError(c.t, err)
	results := make(map[fleet.OrderResult]int)
	for line := range strings.Lines(log) {
		var entry struct {
			Event  int               `json:"event"`
			Runner string            `json:"runner"`
			Result fleet.OrderResult `json:"result"`
		}
		if json.Unmarshal([]byte(line), &entry) == nil && entry.Event == eventlog.OrderSent.Number && entry.Runner == runner {
			results[entry.Result]++
		}
	}
	return results
}
