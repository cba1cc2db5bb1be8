package integration

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/zinniaroute/zinniaroute/standin/proxy"
)

// storeLinkFaults are the ways in which the link between a gateway and the store fails.
var storeLinkFaults = []struct {
	name   string
	faults proxy.Faults
}{
	{"cut", proxy.Faults{Disconnect: true}},
	{"frozen", proxy.Faults{Freeze: true}},
	{"no responses", proxy.Faults{FreezeDown: true}},
}

// A gateway that loses the store keeps serving with its last known state, and another gateway takes over its runners.
// This also holds when calls of the first gateway still reach the store and only the responses are lost.
func TestGatewayKeepsServingWithoutStore(t *testing.T) {
	for _, c := range storeLinkFaults {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			d := newDeployment(t)
			runner := d.addRunner("r1", modelService, "large")
			d.addRunner("p1", plainService)
			d.addGateway("vm-1")
			d.waitServing("vm-1")
			d.addGateway("vm-2")
			d.waitServing("vm-2")
			assert.Equal(t, d.send("vm-1", modelPath, "large/a1").status, 200)
			d.storeLinks["vm-1"].Set(c.faults)
			adapterNumber := 0
			poll.WaitOn(t, func(poll.LogT) poll.Result {
				for _, request := range []struct{ path, model string }{{modelPath, "large"}, {safePath, ""}} {
					r := d.send("vm-1", request.path, request.model)
					assert.Assert(t, r.status == 200, "%s: %d %s %v", request.path, r.status, r.body, r.err)
				}
				adapterNumber++
				r := d.send("vm-2", modelPath, fmt.Sprint("large/b", adapterNumber))
				orders := runner.Orders()
				if orders[len(orders)-1].Holder == "vm-2" && r.status == 200 {
					return poll.Success()
				}
				return poll.Continue("vm-2 has not taken over the runner yet")
			}, poll.WithDelay(50*time.Millisecond), poll.WithTimeout(30*time.Second))
			(&soak{deployment: d}).checkOrders(runner.Orders())
		})
	}
}
