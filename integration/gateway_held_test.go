package integration

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/zinniaroute/zinniaroute/document"
	"github.com/zinniaroute/zinniaroute/standin/modelrunner"
	"github.com/zinniaroute/zinniaroute/standin/proxy"
	"github.com/zinniaroute/zinniaroute/transport/group"
)

// A VM is cut off from its runners, and its process is killed while an order is on its way. The order reaches the runner after
// those of the next process, which have a higher fencing number (ONE).
func TestOrderOfAKilledProcessArrivesAfterThoseOfTheNext(t *testing.T) {
	t.Parallel()
	const cutTime, resendTime = 4 * time.Second, 2 * time.Second
	d := newDeployment(t)
	d.addRunner("r1", modelService, "large")
	d.addRunner("r2", modelService, "large")
	d.addGateway("vm-1")
	waitUntil(t, "vm-1 serves", func() bool { return d.send("vm-1", modelPath, "large").status == 200 })
	var stopped atomic.Bool
	for i := range 4 {
		// More adapters than the runners have room for, so that each request needs an order.
		d.group.Run("caller", func(ctx context.Context) {
			for n := i; !stopped.Load() && ctx.Err() == nil; n += 4 {
				d.send("vm-1", modelPath, fmt.Sprintf("large/a%d", n%16))
				group.Sleep(ctx, 10*time.Millisecond)
			}
		})
	}
	group.Sleep(t.Context(), contactTime)
	cut := proxy.Faults{FreezeUp: true, RefuseNew: true, Resend: document.Duration{Duration: resendTime}}
	links := []*proxy.Proxy{d.runnerLinks["r1"], d.runnerLinks["r2"]}
	for _, link := range links {
		link.Set(cut)
	}
	cutAt := time.Now()
	waitUntil(t, "an order is held up", func() bool {
		return links[0].Holds("POST "+modelrunner.OrderPath) || links[1].Holds("POST "+modelrunner.OrderPath)
	})
	d.processes["vm-1"].kill()
	group.Sleep(t.Context(), 500*time.Millisecond)
	d.startProcess("vm-1", "gateway", "--settings", d.gateways["vm-1"].settings)
	group.Sleep(t.Context(), cutTime-time.Since(cutAt))
	for _, link := range links {
		link.Set(proxy.Faults{})
	}
	group.Sleep(t.Context(), 2*resendTime)
	stopped.Store(true)
	fences := make(map[uint64]bool)
	for _, id := range []string{"r1", "r2"} {
		orders := d.runners[id].ReceivedOrders()
		for i, order := range orders {
			fences[order.Fence] = true
			assert.Check(t, i == 0 || order.Fence >= orders[i-1].Fence, "runner %s: fencing number %d after %d", id, order.Fence, orders[max(0, i-1)].Fence)
		}
	}
	assert.Check(t, len(fences) >= 4, "the next process has ordered no runner: fencing numbers %v", fences)
}
