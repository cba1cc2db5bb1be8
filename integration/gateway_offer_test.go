package integration

import (
	"context"
	"net/http"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/zinniaroute/zinniaroute/standin/fault"
	"github.com/zinniaroute/zinniaroute/standin/proxy"
	"github.com/zinniaroute/zinniaroute/transport/group"
)

func TestGatewayThatStartsWithoutTheStoreServesNothing(t *testing.T) {
	tests := []struct {
		name string
		// cut takes the store away, and killed names the gateways that are killed then.
		cut    func(d *deployment)
		killed []string
	}{
		{"the store is down", func(d *deployment) { d.store.Faults.Set(fault.Faults{Down: true}) }, []string{"vm-2"}},
		{"the first gateway is killed", func(d *deployment) { d.store.Faults.Set(fault.Faults{Down: true}) }, []string{"vm-1"}},
		{"two of three are killed", func(d *deployment) { d.store.Faults.Set(fault.Faults{Down: true}) }, []string{"vm-1", "vm-3"}},
		{"the store turns one gateway away", func(d *deployment) {
			d.storeLinks["vm-2"].Set(proxy.Faults{Disconnect: true})
		}, []string{"vm-2"}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			d := newDeployment(t)
			d.addRunner("r1", modelService, "large")
			d.addRunner("p1", plainService)
			for _, name := range []string{"vm-1", "vm-2", "vm-3"} {
				d.addGateway(name)
				d.waitServing(name)
			}
			group.Sleep(t.Context(), time.Second)
			test.cut(d)
			group.Sleep(t.Context(), 500*time.Millisecond)
			for _, name := range test.killed {
				d.processes[name].signal(syscall.SIGKILL)
				// A process that was killed exits with an error, which is expected here.
				_ = d.processes[name].command.Wait()
				d.startProcess(name, "gateway", "--settings", d.gateways[name].settings)
			}
			startedAt := time.Now()
			for _, name := range test.killed {
				d.waitServing(name)
			}
			assert.Check(t, time.Since(startedAt) < 6*time.Second, "served after %v", time.Since(startedAt))
			// It follows the store again when that is back.
			d.store.Faults.Set(fault.Faults{})
			d.storeLinks["vm-2"].Set(proxy.Faults{})
			d.configure(2, 10_000, plainRoute("new"))
			for _, name := range []string{"vm-1", "vm-2", "vm-3"} {
				waitUntil(t, name+" follows the store", func() bool {
					return d.send(name, "/new/one", "").status == http.StatusOK
				})
			}
			group.Sleep(context.Background(), 100*time.Millisecond)
		})
	}
}
