package integration

import (
	"bytes"
	"context"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/zinniaroute/zinniaroute/document"
	"github.com/zinniaroute/zinniaroute/standin/caller"
	"github.com/zinniaroute/zinniaroute/standin/fault"
	"github.com/zinniaroute/zinniaroute/standin/modelrunner"
)

func servingDeployment(t *testing.T) *deployment {
	t.Helper()
	d := newDeployment(t)
	d.addRunner("r1", modelService, "large", "small")
	d.addRunner("r2", modelService, "large", "small")
	d.addRunner("p1", plainService)
	d.addRunner("p2", plainService)
	d.addGateway("vm-1")
	d.waitServing("vm-1")
	return d
}

func waitUntil(t *testing.T, description string, condition func() bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if condition() {
			return poll.Success()
		}
		return poll.Continue("still waiting: %s", description)
	}, poll.WithDelay(20*time.Millisecond), poll.WithTimeout(15*time.Second))
}

func TestGatewayServesEveryKindOfRequest(t *testing.T) {
	d := servingDeployment(t)
	long := bytes.Repeat([]byte("x"), 100_000)
	tests := []struct {
		name, path, model string
		body              []byte
		status            int
	}{
		{"stream", modelPath, "large", []byte("{}"), 200},
		{"stream with a long body", modelPath, "small", long, 200},
		{"resumable stream", resumePath, "small", []byte("{}"), 200},
		{"unsafe", unsafePath, "", []byte("{}"), 200},
		{"safe", safePath, "", nil, 200},
		{"no route", "/nowhere/", "", nil, 404},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			r := d.sendBody("vm-1", test.path, test.model, test.body)
			assert.NilError(t, r.err)
			assert.Equal(t, r.status, test.status)
			assert.Equal(t, r.seal != "", test.status == 200)
			if test.model != "" {
				assert.Equal(t, r.eventIDs(), "1 2 3 4 5")
			}
		})
	}
}

func TestGatewayLoadsAdaptersWithinAdapterSlots(t *testing.T) {
	d := servingDeployment(t)
	d.addGateway("vm-2")
	d.waitServing("vm-2")
	waitUntil(t, "the owners of the runners can order them", func() bool {
		return d.send("vm-1", modelPath, "large/a1").status == 200
	})
	for _, adapter := range []string{"a2", "a3", "a4", "a5", "a6", "a2", "a7", "a8", "a9"} {
		for _, vm := range []string{"vm-1", "vm-2"} {
			r := d.send(vm, modelPath, "large/"+adapter)
			if r.status == 503 {
				// Requests still use both adapter slots of both runners.
				waitUntil(t, vm+" serves adapter "+adapter, func() bool {
					return d.send(vm, modelPath, "large/"+adapter).status == 200
				})
			}
		}
	}
	for name, runner := range d.runners {
		assert.Assert(t, !runner.Overcommitted(), name)
	}
}

func TestGatewayRetriesOnlySafeRequests(t *testing.T) {
	d := servingDeployment(t)
	for _, id := range []string{"p1", "p2"} {
		d.runners[id].FailRequests(1)
	}
	r := d.send("vm-1", unsafePath, "")
	assert.Equal(t, r.status, 500)
	assert.Assert(t, r.seal != "", "the gateway removed the runner's signature from a failure of the runner itself")
	r = d.send("vm-1", safePath, "")
	assert.Equal(t, r.status, 200)
	counts := make(map[string]int)
	for _, id := range []string{"p1", "p2"} {
		for _, run := range d.runners[id].Runs() {
			counts[run.Attempt]++
		}
	}
	for attempt, count := range counts {
		assert.Assert(t, count <= 2, attempt)
	}
}

func TestGatewayRejectsSuccessWithoutSignature(t *testing.T) {
	d := servingDeployment(t)
	for _, id := range []string{"p1", "p2", "r1", "r2"} {
		d.runners[id].OmitSeals(1)
	}
	assert.Equal(t, d.send("vm-1", unsafePath, "").status, 502)
	assert.Equal(t, d.send("vm-1", modelPath, "large").status, 502)
	r := d.send("vm-1", safePath, "")
	assert.Equal(t, r.status, 200)
	assert.Assert(t, r.seal != "")
}

func TestGatewayResumesTruncatedStreamOnAnotherRunner(t *testing.T) {
	d := servingDeployment(t)
	for _, id := range []string{"r1", "r2"} {
		d.runners[id].TruncateAfter(2)
	}
	r := d.send("vm-1", resumePath, "large")
	if r.err != nil {
		// The second run was truncated too, and there is no third runner.
		r = d.send("vm-1", resumePath, "large")
	}
	assert.NilError(t, r.err)
	assert.Equal(t, r.eventIDs(), "1 2 3 4 5")
}

func TestGatewayAbortsTruncatedStreamThatCannotResume(t *testing.T) {
	d := servingDeployment(t)
	for _, id := range []string{"r1", "r2"} {
		d.runners[id].TruncateAfter(2)
	}
	r := d.send("vm-1", modelPath, "large")
	assert.Assert(t, r.err != nil, "a truncated response must not look complete")
}

func TestGatewayCancelsRunWhenCallerDisconnects(t *testing.T) {
	d := newDeployment(t)
	runner := d.addRunnerWith(modelrunner.Options{
		ID: "slow", Service: modelService, Domain: "a", MemoryMB: 200, ModelMB: 80, AdapterSlots: 2,
		StreamEvents: 1000, Pause: 20 * time.Millisecond,
		Models: []modelrunner.Model{{Name: "large", Version: 1, Adapters: []string{}}},
	})
	node := d.addGateway("vm-1")
	var cancel context.CancelFunc
	waitUntil(t, "a runner runs the request", func() bool {
		var ctx context.Context
		ctx, cancel = context.WithCancel(context.Background())
		response, err := testClient.Do(newRequest(ctx, node, modelPath, "large", nil))
		if err != nil || response.StatusCode != 200 {
			cancel()
			return false
		}
		return true
	})
	cancel()
	cancelledAt := time.Now()
	waitUntil(t, "the runner cancels the run", func() bool {
		runs := runner.Runs()
		return len(runs) > 0 && runs[len(runs)-1].Cancelled
	})
	assert.Assert(t, time.Since(cancelledAt) < 500*time.Millisecond, "cancelled after %v", time.Since(cancelledAt))
}

func TestGatewayAppliesNewConfiguration(t *testing.T) {
	d := servingDeployment(t)
	d.addGateway("vm-2")
	d.waitServing("vm-2")
	d.configure(2, 10_000, plainRoute("more"))
	writtenAt := time.Now()
	for _, vm := range []string{"vm-1", "vm-2"} {
		waitUntil(t, "the new route is served by "+vm, func() bool { return d.send(vm, "/more/x", "").status == 200 })
	}
	assert.Assert(t, time.Since(writtenAt) < 2*time.Second, "applied after %v", time.Since(writtenAt))
}

func TestGatewaySendsNoNewRequestToDrainingRunner(t *testing.T) {
	d := servingDeployment(t)
	d.runners["p1"].SetDraining()
	d.store.Put(caller.RunnerKeys+"p1", d.runners["p1"].Entry())
	announcedAt := time.Now()
	for time.Since(announcedAt) < 2*time.Second {
		d.send("vm-1", safePath, "")
	}
	before := len(d.runners["p1"].Runs())
	for range 50 {
		assert.Equal(t, d.send("vm-1", safePath, "").status, 200)
	}
	assert.Equal(t, len(d.runners["p1"].Runs()), before)
}

// A VM whose calls to read the store take too long must not go on with an old list of runners, while the store answers others.
func TestRunnerThatLeftIsUsedByAnOldList(t *testing.T) {
	d := servingDeployment(t)
	d.store.Faults.Set(fault.Faults{Delay: document.NewDuration(10 * time.Second), PathContains: "kv-watch"})
	time.Sleep(time.Second)
	d.runners["p1"].SetDraining()
	d.store.Put(caller.RunnerKeys+"p1", d.runners["p1"].Entry())
	time.Sleep(2 * time.Second)
	before := len(d.runners["p1"].Runs())
	for range 50 {
		assert.Equal(t, d.send("vm-1", safePath, "").status, 200)
	}
	assert.Equal(t, len(d.runners["p1"].Runs()), before, "requests reach the runner that drains")
}

// A VM whose calls to read the store take too long must not tell callers that a route does not exist, after which they do not retry.
func TestRouteIsDeniedByAnOldConfiguration(t *testing.T) {
	d := servingDeployment(t)
	assert.Equal(t, d.send("vm-1", "/later/x", "").status, 404)
	d.store.Faults.Set(fault.Faults{Delay: document.NewDuration(10 * time.Second), PathContains: "kv-watch"})
	time.Sleep(time.Second)
	d.configure(2, 10_000, plainRoute("later"))
	time.Sleep(2 * time.Second)
	refused := d.send("vm-1", "/later/x", "")
	assert.Equal(t, refused.status, 503)
	d.store.Faults.Set(fault.Faults{})
	waitUntil(t, "the new route is served", func() bool { return d.send("vm-1", "/later/x", "").status == 200 })
	assert.Equal(t, d.send("vm-1", "/never/x", "").status, 404)
}

func TestGatewayServesDuringStoreOutage(t *testing.T) {
	d := servingDeployment(t)
	d.store.Faults.Set(fault.Faults{Down: true})
	for range 20 {
		assert.Equal(t, d.send("vm-1", modelPath, "large").status, 200)
		assert.Equal(t, d.send("vm-1", unsafePath, "").status, 200)
	}
	d.store.Faults.Set(fault.Faults{})
	d.configure(2, 10_000, plainRoute("back"))
	waitUntil(t, "the configuration written after the outage applies", func() bool {
		return d.send("vm-1", "/back/x", "").status == 200
	})
}

func TestGatewayFollowsStoreThatDroppedItsHistory(t *testing.T) {
	d := servingDeployment(t)
	d.store.Remove(caller.RunnerKeys + "p1")
	d.heartbeats["p1"]()
	d.store.CompactHistory()
	d.configure(2, 10_000, plainRoute("after"))
	waitUntil(t, "the new route is served", func() bool { return d.send("vm-1", "/after/x", "").status == 200 })
}

func TestGatewayIgnoresMalformedRunnerEntries(t *testing.T) {
	d := servingDeployment(t)
	for key, value := range map[string]string{
		caller.RunnerKeys + "bad-1": "not json", caller.RunnerKeys + "bad-2": `{"service":7}`, caller.RunnerKeys + "bad-3": `{"service":"plain","address":"x"}`,
		caller.RunnerKeys + "bad-4": `{"service":"plain","address":"127.0.0.1:1","state":"odd"}`,
	} {
		d.store.Put(key, []byte(value))
	}
	for range 30 {
		assert.Equal(t, d.send("vm-1", safePath, "").status, 200)
	}
}

func TestGatewayShutdownAbortsNoStream(t *testing.T) {
	d := servingDeployment(t)
	var wait sync.WaitGroup
	responses := make([]gatewayResponse, 20)
	for i := range responses {
		wait.Go(func() { responses[i] = d.send("vm-1", modelPath, "large") })
	}
	d.processes["vm-1"].signal(syscall.SIGTERM)
	waitUntil(t, "the gateway is no longer ready", func() bool { return !d.isReady("vm-1") })
	wait.Wait()
	for _, r := range responses {
		assert.NilError(t, r.err)
		assert.Equal(t, r.eventIDs(), "1 2 3 4 5")
	}
	assert.NilError(t, d.processes["vm-1"].command.Wait())
}

func TestGatewayReloadsSettingsOnSIGHUP(t *testing.T) {
	d := servingDeployment(t)
	d.processes["vm-1"].signal(syscall.SIGHUP)
	for range 20 {
		assert.Equal(t, d.send("vm-1", modelPath, "large").status, 200)
	}
	waitUntil(t, "the reload is logged", func() bool { return strings.Contains(d.gatewayLog("vm-1"), `"event":104`) })
}

func TestKilledGatewayOrdersItsRunnersAfterRestart(t *testing.T) {
	d := servingDeployment(t)
	waitUntil(t, "a runner loads the first adapter", func() bool { return d.send("vm-1", modelPath, "large/a1").status == 200 })
	d.processes["vm-1"].kill()
	d.startProcess("vm-1", "gateway", "--settings", d.gateways["vm-1"].settings)
	d.waitGatewayReady("vm-1")
	readyAt := time.Now()
	waitUntil(t, "a runner loads another adapter", func() bool { return d.send("vm-1", modelPath, "large/a9").status == 200 })
	assert.Assert(t, time.Since(readyAt) < 6*time.Second, "the adapter was loaded after %v", time.Since(readyAt))
	for _, id := range []string{"r1", "r2"} {
		orders := d.runners[id].Orders()
		for i := 1; i < len(orders); i++ {
			assert.Assert(t, orders[i].Fence >= orders[i-1].Fence)
		}
	}
}

func TestGatewayWithoutConfigurationIsNotReadyAndRejectsRequests(t *testing.T) {
	d := newDeployment(t)
	d.store.Remove(caller.ConfigurationKey)
	node := d.startGateway("vm-1")
	waitUntil(t, "the gateway answers 503 with Retry-After", func() bool {
		response, err := http.Get("http://" + node.callers.String() + safePath)
		if err != nil {
			return false
		}
		_ = response.Body.Close()
		return response.StatusCode == 503 && response.Header.Get("Retry-After") != ""
	})
	assert.Assert(t, !d.isReady("vm-1"))
	d.configure(1, 10_000)
	d.waitGatewayReady("vm-1")
}

func (d *deployment) gatewayLog(name string) string {
	data, err := readLog(d.directory, name)
	if err != nil {
		return ""
	}
	return data
}
