package integration

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// applyTimeout is the required upper bound of the time between the write of a configuration to the store and the moment
// when every gateway applies it.
const applyTimeout = 2 * time.Second

// A configuration must not arrive late when only the gateway that reads the store for all others loses its link to the
// store: the link is cut, hangs, or loses the responses, and then the configuration changes.
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
