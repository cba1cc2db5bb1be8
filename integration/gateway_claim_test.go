package integration

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/zinniaroute/zinniaroute/standin/fault"
	"github.com/zinniaroute/zinniaroute/standin/proxy"
	"github.com/zinniaroute/zinniaroute/transport/group"
)

// ownerOf returns the name of the gateway that owns a runner, or "".
func (d *deployment) ownerOf(runner string) string {
	var owner struct {
		VM string `json:"vm"`
	}
	_ = json.Unmarshal(d.store.Value("owners/"+runner), &owner)
	return owner.VM
}

// The store loses the key of a runner's owner, and the answers to the claims of the other gateway.
func TestClaimWithALostAnswerFollowsTheFormerOwnerAtOnce(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	runner := d.addRunner("r1", modelService, "large")
	d.addRunner("p1", plainService)
	vms := []string{"vm-1", "vm-2"}
	for _, vm := range vms {
		d.addGateway(vm)
	}
	for _, vm := range vms {
		d.waitServing(vm)
	}
	adapters := 0
	loadAdapters := func() {
		adapters++
		for _, vm := range vms {
			d.send(vm, modelPath, fmt.Sprint("large/a", adapters))
		}
	}
	waitUntil(t, "the runner gets orders", func() bool {
		loadAdapters()
		return len(runner.Orders()) > 0
	})
	former := d.ownerOf("r1")
	ordered := func() bool {
		orders := runner.Orders()
		return orders[len(orders)-1].Holder != former
	}
	d.storeLinks[former].Set(proxy.Faults{Disconnect: true})
	d.store.Remove(memberKeys + former)
	d.store.Commits.Set(fault.Faults{DropShare: 1})
	for until := time.Now().Add(5 * time.Second); time.Now().Before(until); {
		loadAdapters()
	}
	d.store.Commits.Set(fault.Faults{})
	assert.Assert(t, d.ownerOf("r1") != former, "the runner has not changed its owner")
	for until := time.Now().Add(12 * time.Second); time.Now().Before(until) && !ordered(); {
		loadAdapters()
		group.Sleep(t.Context(), 20*time.Millisecond)
	}
	assert.Check(t, ordered(), "the new owner does not order the runner")
	d.checkOrders(runner.Orders())
}
