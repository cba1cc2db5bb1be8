package integration

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/zinniaroute/zinniaroute/standin/modelrunner"
	"github.com/zinniaroute/zinniaroute/transport/group"
)

func TestResumedStreamEndsAsCompleteWhenTheNextRunnerFails(t *testing.T) {
	d := newDeployment(t)
	for _, id := range []string{"r1", "r2"} {
		d.addRunnerWith(modelrunner.Options{
			ID: id, Service: modelService, Domain: "a", MemoryMB: 200, ModelMB: 80, AdapterSlots: 2, StreamEvents: 5,
			Pause: 200 * time.Millisecond, Models: []modelrunner.Model{{Name: "large", Version: 1, Adapters: []string{}}},
		})
	}
	d.addGateway("vm-1")
	waitUntil(t, "the gateway serves", func() bool { return d.send("vm-1", resumePath, "large").status == 200 })
	for _, runner := range d.runners {
		runner.TruncateAfter(3)
	}
	received := make(chan gatewayResponse, 1)
	d.group.Run("caller", func(context.Context) { received <- d.send("vm-1", resumePath, "large") })
	group.Sleep(t.Context(), 300*time.Millisecond)
	for _, runner := range d.runners {
		runner.FailRequests(1)
	}
	r := <-received
	assert.Equal(t, r.eventIDs(), "1 2 3")
	assert.Assert(t, r.err != nil, "status %d, events %s, and no error", r.status, r.eventIDs())
}
