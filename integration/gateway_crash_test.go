package integration

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/zinniaroute/zinniaroute/transport/group"
)

func TestGatewayQuarantinesRequestThatCrashesRunners(t *testing.T) {
	d := servingDeployment(t)
	d.addRunner("r3", modelService, "large")
	d.addRunner("r4", modelService, "large")
	d.addGateway("vm-2")
	d.waitServing("vm-2")
	modelRunners := []string{"r1", "r2", "r3", "r4"}
	for _, id := range modelRunners {
		d.runners[id].CrashOn("poison")
	}
	for i := range 24 {
		d.sendBody([]string{"vm-1", "vm-2"}[i%2], modelPath, "large", []byte("poison"))
		group.Sleep(t.Context(), 200*time.Millisecond)
	}
	poisoned := 0
	for _, id := range modelRunners {
		for _, run := range d.runners[id].Runs() {
			if run.Body == "poison" {
				poisoned++
			}
		}
	}
	assert.Assert(t, poisoned >= 2 && poisoned <= 4, "the request that crashes runners reached them %d times, want 2 to 4", poisoned)
	r := d.sendBody("vm-1", modelPath, "large", []byte("poison"))
	assert.Equal(t, r.status, 503)
	assert.Assert(t, r.retryAfter != "")
	group.Sleep(t.Context(), 2*time.Second)
	assert.Equal(t, d.send("vm-1", modelPath, "large").status, 200)
}
