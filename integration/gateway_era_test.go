package integration

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/zinniaroute/zinniaroute/standin/caller"
	"github.com/zinniaroute/zinniaroute/transport/group"
)

// returnStore makes the store return from a copy, and gives out more revisions than it had before, with a new
// configuration among the first.
func (d *deployment) returnStore(copied time.Duration) {
	earlier := d.store.Copy()
	group.Sleep(d.t.Context(), copied)
	d.store.ReturnFrom(earlier)
	d.configure(2, 10_000, plainRoute("later"))
	for range 400 {
		d.store.Put(caller.RunnerKeys+"p1", d.runners["p1"].Entry())
	}
}

func TestGatewayMissesChangesAfterTheStoreReturns(t *testing.T) {
	t.Parallel()
	d := servingDeployment(t)
	d.addGateway("vm-2")
	d.waitServing("vm-2")
	d.returnStore(2 * time.Second)
	for range 3 {
		group.Sleep(t.Context(), 2500*time.Millisecond)
		for _, name := range []string{"vm-1", "vm-2"} {
			r := d.send(name, "/later/x", "")
			assert.Check(t, r.status == 200, "%s answers %d for a route of the newest configuration", name, r.status)
			assert.Check(t, d.send(name, modelPath, "large").status == 200, "%s has lost the runners", name)
		}
	}
	assert.Check(t, strings.Contains(d.gatewayLog("vm-1"), `"event":410`), "the return is not logged")
}

// A runner must never get a lower fencing number than before, nor orders of two VMs without a pause between them.
func TestFencingNumberFallsAfterTheStoreReturns(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	empty := d.store.Copy()
	runner := d.addRunner("r1", modelService, "large")
	d.addRunner("p1", plainService)
	d.addGateway("vm-1")
	d.addGateway("vm-2")
	for i := range 2 {
		adapter := fmt.Sprint("large/a", i+1)
		waitUntil(t, "the adapter is loaded", func() bool { return d.send("vm-1", modelPath, adapter).status == 200 })
		before := len(runner.Orders())
		d.store.ReturnFrom(empty)
		waitUntil(t, "the runner gets orders again", func() bool {
			d.send("vm-2", modelPath, fmt.Sprint("large/b", i+1))
			return len(runner.Orders()) > before
		})
	}
	(&soak{deployment: d}).checkOrders(runner.Orders())
}
