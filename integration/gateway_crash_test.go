package integration

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/zinniaroute/zinniaroute/standin/modelrunner"
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
		d.runners[id].SetCrash(modelrunner.Crash{Body: "poison"})
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

const (
	// learningTime is the time after the third crash within which all VMs must know that a request crashes runners.
	learningTime = 3 * time.Second
	// maxLateRetries is the number of times that the request may still reach runners after that.
	maxLateRetries = 3
)

// crashes returns the times at which the deployment's runners crashed, in order.
func (d *deployment) crashes() []time.Time {
	var crashes []time.Time
	for _, runner := range d.runners {
		crashes = append(crashes, runner.Crashes()...)
	}
	slices.SortFunc(crashes, time.Time.Compare)
	return crashes
}

// lateRetries returns how often requests with a body reached runners later than learningTime after the third crash.
func (d *deployment) lateRetries(body string) int {
	crashes := d.crashes()
	if len(crashes) < 3 {
		return 0
	}
	count := 0
	for _, runner := range d.runners {
		for _, run := range runner.Runs() {
			if run.Body == body && run.At.After(crashes[2].Add(learningTime)) {
				count++
			}
		}
	}
	return count
}

func TestRequestKeepsReachingRunnersAfterItCrashedThree(t *testing.T) {
	tests := []struct {
		name  string
		crash modelrunner.Crash
	}{
		{"crashes at once", modelrunner.Crash{Body: "poison"}},
		{"crashes late in the run", modelrunner.Crash{Body: "poison", After: 2200 * time.Millisecond}},
		{"crashes late, runners return under new IDs", modelrunner.Crash{Body: "poison", After: 2200 * time.Millisecond, NewID: true}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			d := newDeployment(t)
			for i := range 6 {
				d.addRunner(fmt.Sprint("r", i), modelService, "large").SetCrash(test.crash)
			}
			names := []string{"vm-1", "vm-2", "vm-3"}
			for _, name := range names {
				d.addGateway(name)
			}
			for _, name := range names {
				waitUntil(t, name+" serves", func() bool { return d.send(name, modelPath, "large").status == 200 })
			}
			for i := 0; d.lateRetries("poison") <= maxLateRetries && i < 24; i++ {
				d.sendBody(names[i%len(names)], modelPath, "large", []byte("poison"))
				group.Sleep(t.Context(), 200*time.Millisecond)
			}
			assert.Check(t, len(d.crashes()) >= 3)
			late := d.lateRetries("poison")
			assert.Check(t, late <= maxLateRetries, "%d runners crashed, %d late retries", len(d.crashes()), late)
		})
	}
}
