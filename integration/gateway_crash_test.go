package integration

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"syscall"
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
	t.Parallel()
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

// callers is a set of gateways to which one caller sends a request in turn.
type callers struct {
	*deployment
	names []string
	sent  int
}

// sendInTurn sends a request to the next gateway and gives up after a time.
func (c *callers) sendInTurn(path, model, body string, patience time.Duration) (status int) {
	ctx, cancel := context.WithTimeout(c.t.Context(), patience)
	defer cancel()
	name := c.names[c.sent%len(c.names)]
	c.sent++
	response, err := testClient.Do(newRequest(ctx, c.gateways[name], path, model, []byte(body)))
	if err != nil {
		return 0
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	return response.StatusCode
}

// crashingDeployment starts gateways and runners of a service that crash on a request.
func crashingDeployment(t *testing.T, service string, crash modelrunner.Crash) *callers {
	t.Helper()
	d := newDeployment(t)
	for i := range 6 {
		runner := d.addRunner(fmt.Sprint("r", i), service, "large")
		runner.SetCrash(crash)
	}
	c := &callers{deployment: d, names: []string{"vm-1", "vm-2", "vm-3"}}
	for _, name := range c.names {
		d.addGateway(name)
	}
	c.waitServes(service)
	return c
}

func TestRequestWithoutBodyFromSeveralAddressesKeepsReachingRunners(t *testing.T) {
	t.Parallel()
	c := crashingDeployment(t, plainService, modelrunner.Crash{Path: safePath, NewID: true})
	for i := 0; c.lateRetries("") <= maxLateRetries && i < 42; i++ {
		c.sendFrom(netip.AddrFrom4([4]byte{127, 0, 1, byte(i/14 + 1)}), c.names[i%len(c.names)], safePath)
		group.Sleep(t.Context(), 300*time.Millisecond)
	}
	assert.Check(t, len(c.crashes()) >= 3)
	assert.Check(t, c.lateRetries("") <= maxLateRetries, "%d late retries", c.lateRetries(""))
}

func TestRequestThatWasCompletedBeforeKeepsReachingRunners(t *testing.T) {
	t.Parallel()
	tests := []struct {
		name, service, path, model string
		after                      time.Duration
	}{
		{"plain service", plainService, unsafePath, "", 50 * time.Millisecond},
		{"model service, late in the run", modelService, modelPath, "large", 2200 * time.Millisecond},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := crashingDeployment(t, test.service, modelrunner.Crash{})
			for range c.names {
				assert.Equal(t, c.sendInTurn(test.path, test.model, "poison", 5*time.Second), 200)
			}
			for _, runner := range c.runners {
				runner.SetCrash(modelrunner.Crash{Body: "poison", After: test.after, NewID: true})
			}
			for i := 0; c.lateRetries("poison") <= maxLateRetries && i < 40; i++ {
				c.sendInTurn(test.path, test.model, "poison", 5*time.Second)
				group.Sleep(t.Context(), 300*time.Millisecond)
			}
			assert.Check(t, len(c.crashes()) >= 3)
			assert.Check(t, c.lateRetries("poison") <= maxLateRetries, "%d late retries", c.lateRetries("poison"))
		})
	}
}

// A caller sends a request that crashes runners again for another model when it is refused (BUDGET).
func TestRequestForAnotherModelKeepsReachingRunners(t *testing.T) {
	t.Parallel()
	crash := modelrunner.Crash{Body: "poison"}
	c := crashingDeployment(t, modelService, crash)
	for i := range 6 {
		c.addRunner(fmt.Sprint("s", i), modelService, "large", "small").SetCrash(crash)
	}
	models := []string{"large", "small", "large/a1"}
	for i := 0; c.lateRetries("poison") <= maxLateRetries && i < 42; i++ {
		// Requests with the same parts of the prompt are served meanwhile.
		c.send(c.names[0], modelPath, models[i/14])
		c.sendInTurn(modelPath, models[i/14], "poison", 5*time.Second)
		group.Sleep(t.Context(), 300*time.Millisecond)
	}
	assert.Check(t, len(c.crashes()) >= 3)
	assert.Check(t, c.lateRetries("poison") <= maxLateRetries, "%d late retries", c.lateRetries("poison"))
}

// sendFrom sends a request without a body over a connection of its own from an address.
func (d *deployment) sendFrom(address netip.Addr, gateway, path string) {
	dialer := &net.Dialer{LocalAddr: net.TCPAddrFromAddrPort(netip.AddrPortFrom(address, 0))}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DialContext: dialer.DialContext}}
	response, err := client.Do(newRequest(d.t.Context(), d.gateways[gateway], path, "", nil))
	if err == nil {
		_ = response.Body.Close()
	}
}

func (c *callers) waitServes(service string) {
	c.t.Helper()
	path, model := modelPath, "large"
	if service == plainService {
		path, model = unsafePath, ""
	}
	for _, name := range c.names {
		waitUntil(c.t, name+" serves", func() bool { return c.send(name, path, model).status == 200 })
	}
}

func TestRequestToPlainServiceKeepsReachingRunnersAfterItCrashedThree(t *testing.T) {
	t.Parallel()
	c := crashingDeployment(t, plainService, modelrunner.Crash{Body: "poison", NewID: true})
	for i := 0; c.lateRetries("poison") <= maxLateRetries && i < 40; i++ {
		c.sendInTurn(unsafePath, "", "poison", 5*time.Second)
		group.Sleep(t.Context(), 300*time.Millisecond)
	}
	assert.Check(t, len(c.crashes()) >= 3)
	assert.Check(t, c.lateRetries("poison") <= maxLateRetries, "%d late retries", c.lateRetries("poison"))
}

func TestRequestKeepsReachingRunnersThatItCrashesSilently(t *testing.T) {
	t.Parallel()
	c := crashingDeployment(t, modelService, modelrunner.Crash{Body: "poison", Silent: true, NewID: true})
	startedAt := time.Now()
	for c.lateRetries("poison") <= maxLateRetries && time.Since(startedAt) < 20*time.Second {
		c.sendInTurn(modelPath, "large", "poison", time.Second)
		group.Sleep(t.Context(), 200*time.Millisecond)
	}
	assert.Check(t, len(c.crashes()) >= 3)
	assert.Check(t, c.lateRetries("poison") <= maxLateRetries, "%d late retries", c.lateRetries("poison"))
}

func TestQuarantineIsLostWithAllGateways(t *testing.T) {
	c := crashingDeployment(t, modelService, modelrunner.Crash{Body: "poison", NewID: true})
	waitUntil(t, "every gateway refuses the request", func() bool {
		for range c.names {
			if c.sendInTurn(modelPath, "large", "poison", 5*time.Second) != 503 {
				return false
			}
		}
		return true
	})
	group.Sleep(t.Context(), time.Second)
	for _, name := range c.names {
		c.processes[name].kill()
	}
	before := len(c.crashes())
	for _, name := range c.names {
		c.startProcess(name, "gateway", "--settings", c.gateways[name].settings)
	}
	for _, name := range c.names {
		c.waitGatewayReady(name)
	}
	c.waitServes(modelService)
	for range 9 {
		c.sendInTurn(modelPath, "large", "poison", 5*time.Second)
	}
	assert.Equal(t, len(c.crashes()), before)
}

func TestShutdownEndsStreamOfSilentRunnerAsComplete(t *testing.T) {
	d := newDeployment(t)
	runner := d.addRunnerWith(modelrunner.Options{
		ID: "r1", Service: modelService, Domain: "a", MemoryMB: 200, ModelMB: 80, AdapterSlots: 2, StreamEvents: 5,
		Pause: 200 * time.Millisecond, Models: []modelrunner.Model{{Name: "large", Version: 1, Adapters: []string{}}},
	})
	runner.SetCrash(modelrunner.Crash{Silent: true})
	d.addGateway("vm-1")
	waitUntil(t, "the gateway serves", func() bool { return d.send("vm-1", modelPath, "large").status == 200 })
	received := make(chan gatewayResponse, 1)
	d.group.Run("caller", func(context.Context) { received <- d.send("vm-1", modelPath, "large") })
	group.Sleep(t.Context(), 500*time.Millisecond)
	runner.CrashNow()
	d.processes["vm-1"].signal(syscall.SIGTERM)
	r := <-received
	assert.Assert(t, r.err != nil, "status %d, events %s, and no error", r.status, r.eventIDs())
}
