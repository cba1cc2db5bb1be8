package integration

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/zinniaroute/zinniaroute/standin/caller"
)

// applyTimeout is the time within which every gateway must apply a configuration after its write to the store.
const applyTimeout = 2 * time.Second

// The gateway that reads the store for all others loses the store: its link is cut, hangs, or loses the responses. A
// configuration that is written after that must still apply on the other gateways within applyTimeout.
func TestGatewaysApplyConfigurationWhenStoreReaderLosesStore(t *testing.T) {
	for _, c := range storeLinkFaults {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			d := newDeployment(t)
			d.addRunner("p1", plainService)
			for _, vm := range []string{"vm-1", "vm-2", "vm-3"} {
				d.addGateway(vm)
			}
			poll.WaitOn(t, func(poll.LogT) poll.Result {
				if d.send("vm-3", safePath, "").status == 200 {
					return poll.Success()
				}
				return poll.Continue("vm-3 does not serve requests yet")
			}, poll.WithDelay(20*time.Millisecond))
			d.storeLinks["vm-1"].Set(c.faults)
			d.configure(2, 10_000, plainRoute("added"))
			changedAt := time.Now()
			for _, vm := range []string{"vm-2", "vm-3"} {
				poll.WaitOn(t, func(poll.LogT) poll.Result {
					if d.send(vm, "/added/one", "").status == 200 {
						return poll.Success()
					}
					return poll.Continue("%s does not serve the new route yet", vm)
				}, poll.WithDelay(10*time.Millisecond))
				took := time.Since(changedAt)
				t.Logf("%s: %v", vm, took)
				assert.Check(t, took < applyTimeout, "%s: %v", vm, took)
			}
		})
	}
}

// The gateway that reads the store for all others ends. The others know the content up to a revision, so they need only what
// has changed since: a listing takes the links of small VMs for a second and more.
func TestGatewaysListTheStoreAgainWhenItsReaderEnds(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	d.addRunner("p1", plainService)
	others := []string{"vm-2", "vm-3", "vm-4"}
	d.addGateway("vm-1")
	for _, vm := range others {
		d.addGateway(vm)
	}
	for _, vm := range others {
		waitUntil(t, vm+" serves", func() bool { return d.send(vm, safePath, "").status == 200 })
	}
	calls := func(vm string) int {
		var vars struct {
			Calls map[string]int `json:"storeCalls"`
		}
		assert.NilError(t, getJSON(d.gateways[vm].operations, "/debug/vars", &vars))
		return vars.Calls[caller.ListPath]
	}
	// The others end their own reading once views arrive.
	time.Sleep(2 * time.Second)
	before := make(map[string]int)
	for _, vm := range others {
		before[vm] = calls(vm)
	}
	d.processes["vm-1"].kill()
	d.configure(2, 10_000, plainRoute("added"))
	changedAt := time.Now()
	for _, vm := range others {
		waitUntil(t, vm+" serves the new route", func() bool { return d.send(vm, "/added/one", "").status == 200 })
		assert.Check(t, time.Since(changedAt) < applyTimeout, "%s: %v", vm, time.Since(changedAt))
	}
	time.Sleep(2 * time.Second)
	for _, vm := range others {
		assert.Check(t, calls(vm) == before[vm], "%s has listed the store %d times", vm, calls(vm)-before[vm])
	}
}
