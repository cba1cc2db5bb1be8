package integration

import (
	"context"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/zinniaroute/zinniaroute/standin/caller"
	"github.com/zinniaroute/zinniaroute/standin/modelrunner"
	"github.com/zinniaroute/zinniaroute/standin/proxy"
	"github.com/zinniaroute/zinniaroute/transport/group"
)

// A request waits for a model whose load takes longer than the VM may go on after SIGTERM.
func TestGatewayThatStopsCutsRequestsThatWait(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	d.loadS = 6
	d.configure(2, 10_000)
	d.addRunnerWith(modelrunner.Options{
		ID: "r1", Service: modelService, Domain: "a", MemoryMB: 200, ModelMB: 80, AdapterSlots: 2, LoadTime: time.Minute,
		StreamEvents: 5, Pause: 20 * time.Millisecond, Models: []modelrunner.Model{{Name: "large", Version: 1, Adapters: []string{}}},
	})
	d.addGateway("vm-1")
	waitUntil(t, "vm-1 serves", func() bool { return d.send("vm-1", modelPath, "large").status == http.StatusOK })
	responses := make(chan gatewayResponse, 4)
	for range cap(responses) {
		d.group.Run("call", func(context.Context) { responses <- d.send("vm-1", modelPath, "small") })
	}
	group.Sleep(t.Context(), 300*time.Millisecond)
	stoppedAt := time.Now()
	d.processes["vm-1"].signal(syscall.SIGTERM)
	for range cap(responses) {
		response := <-responses
		assert.Check(t, response.err == nil && response.status == http.StatusServiceUnavailable, "status %d, %v", response.status, response.err)
		assert.Check(t, response.retryAfter != "", "no time to come back")
	}
	took := time.Since(stoppedAt)
	assert.Check(t, took < 2*time.Second, "they were answered after %v", took)
}

// Bookings wait for a place while the VM stops. Those that are passed on late in its grace period are cut at its end.
func TestGatewayThatStopsPassesOnRequestsThatWait(t *testing.T) {
	t.Parallel()
	const places, work = 8, 4 * time.Second
	d := newDeployment(t)
	d.addRunnerWith(modelrunner.Options{ID: "p1", Service: plainService, Domain: "a", Pause: work})
	patient := caller.Route{
		Name: "patient", Host: testHost, Prefix: "/patient/", Kind: "unsafe", TimeoutMS: 20_000, TargetLatencyMS: 8000, Priority: 1,
		Service: plainService, MaxAttempts: 1,
	}
	d.configure(2, 10_000, patient)
	d.addGateway("vm-1")
	// Checks of the path to the runners take places too.
	d.runners["p1"].SetBrittle(modelrunner.Brittle{PerSecond: 1, Places: 2 * places})
	runs := func() int {
		isCheck := func(r modelrunner.Run) bool { return r.Path != patient.Prefix }
		return len(slices.DeleteFunc(d.runners["p1"].Runs(), isCheck))
	}
	waitUntil(t, "vm-1 serves", func() bool { return d.send("vm-1", patient.Prefix, "").status == http.StatusOK })
	// The place of that request is free.
	group.Sleep(t.Context(), 100*time.Millisecond)
	first, waiting := make(chan gatewayResponse, places), make(chan gatewayResponse, 4)
	call := func(responses chan<- gatewayResponse) {
		for range cap(responses) {
			d.group.Run("call", func(context.Context) { responses <- d.send("vm-1", patient.Prefix, "") })
		}
	}
	call(first)
	waitUntil(t, "the runner is full", func() bool { return runs() >= 1+places })
	call(waiting)
	group.Sleep(t.Context(), 300*time.Millisecond)
	stoppedAt := time.Now()
	d.processes["vm-1"].signal(syscall.SIGTERM)
	for range cap(waiting) {
		response := <-waiting
		assert.Check(t, response.err == nil && response.status == http.StatusServiceUnavailable, "status %d, %v", response.status, response.err)
		assert.Check(t, response.retryAfter != "", "no time to come back")
	}
	took := time.Since(stoppedAt)
	assert.Check(t, took < 3500*time.Millisecond, "they were answered after %v", took)
	for range cap(first) {
		response := <-first
		assert.Check(t, response.err == nil && response.status == http.StatusOK, "status %d, %v", response.status, response.err)
	}
	assert.Check(t, runs() == 1+places, "%d requests have run", runs())
}

// A caller reads its answer slowly, and the VM counts the request as ended once the handler has written it.
func TestGatewayThatStopsCutsAnswersThatAreReadSlowly(t *testing.T) {
	t.Parallel()
	const size = 7 << 20
	d := newDeployment(t)
	d.addRunnerWith(modelrunner.Options{ID: "p1", Service: plainService, Domain: "a", AnswerBytes: size})
	node := d.addGateway("vm-1")
	waitUntil(t, "vm-1 serves", func() bool { return d.send("vm-1", unsafePath, "").status == http.StatusOK })
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
		if err == nil {
			// Otherwise the buffers of the sockets hold the whole answer.
			err = conn.(*net.TCPConn).SetReadBuffer(256 << 10)
		}
		return conn, err
	}
	client := &http.Client{Transport: &http.Transport{DialContext: dial}}
	response, err := client.Do(newRequest(t.Context(), node, unsafePath, "", []byte("{}")))
	assert.NilError(t, err)
	defer func() { _ = response.Body.Close() }()
	d.processes["vm-1"].signal(syscall.SIGTERM)
	group.Sleep(t.Context(), 4*time.Second)
	body, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	assert.Equal(t, len(body), size)
	assert.NilError(t, d.processes["vm-1"].command.Wait())
}

// Requests of all kinds go on to arrive on open connections until the process is gone, also through a VM that forwards them. The
// platform sends the stop signal twice.
func TestPlannedStopCutsRequestsThatComeLate(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	const events, pause = 10, 300 * time.Millisecond
	for _, id := range []string{"r0", "r1"} {
		d.addRunnerWith(modelrunner.Options{
			ID: id, Service: modelService, Domain: "a", MemoryMB: 200, ModelMB: 80, AdapterSlots: 2, StreamEvents: events, Pause: pause,
			Models: []modelrunner.Model{{Name: "large", Version: 1, Adapters: []string{}}},
		})
	}
	for _, id := range []string{"p0", "p1"} {
		d.addRunnerWith(modelrunner.Options{ID: id, Service: plainService, Domain: "a", Pause: time.Second})
	}
	for _, name := range []string{"vm-1", "vm-2", "vm-3"} {
		d.startGateway(name)
	}
	for _, name := range []string{"vm-1", "vm-2", "vm-3"} {
		d.waitGatewayReady(name)
		waitUntil(t, name+" serves", func() bool { return d.send(name, modelPath, "large").eventIDs() != "" })
	}
	d.partitionGateways(proxy.Faults{Freeze: true, RefuseNew: true}, "vm-2")
	waitUntil(t, "vm-2 forwards requests", func() bool { return d.send("vm-2", safePath, "").status == http.StatusOK })
	requests := []struct{ path, model string }{{modelPath, "large"}, {unsafePath, ""}, {safePath, ""}}
	type attempt struct{ id, gateway, outcome string }
	attempts := make(chan attempt, 2000)
	var calls sync.WaitGroup
	stopped := d.processes["vm-1"]
	next := 0
	stopped.signal(syscall.SIGTERM)
	ctx, cancel := context.WithTimeout(t.Context(), 9*time.Second)
	defer cancel()
	_ = group.Every(ctx, 25*time.Millisecond, func(time.Time) {
		if next == 40 {
			stopped.signal(syscall.SIGTERM)
		}
		name, r := []string{"vm-1", "vm-2"}[next%2], requests[next/2%len(requests)]
		next++
		calls.Go(func() {
			request := newRequest(context.Background(), d.gateways[name], r.path, r.model, []byte("{}"))
			attempts <- attempt{request.Header.Get(caller.AttemptHeader), name, outcomeOf(testClient.Do(request))}
		})
	})
	calls.Wait()
	close(attempts)
	assert.NilError(t, stopped.command.Wait())
	ran := make(map[string]bool)
	for _, runner := range d.runners {
		for _, run := range runner.Runs() {
			ran[run.Attempt] = true
		}
	}
	counts := make(map[string]int)
	for a := range attempts {
		counts[a.gateway+" "+a.outcome]++
		assert.Check(t, a.outcome != "cut" || !ran[a.id], "%s at %s has run and was cut", a.id, a.gateway)
		assert.Check(t, a.outcome != "503" || !ran[a.id], "%s at %s has run and was refused", a.id, a.gateway)
	}
	t.Log(counts)
	assert.Check(t, counts["vm-1 200"] > 0 && counts["vm-1 503"] > 0 && counts["vm-2 200"] > 0)
}

// outcomeOf returns the status of a whole answer, or "cut".
func outcomeOf(response *http.Response, err error) string {
	if err != nil {
		return "cut"
	}
	defer func() { _ = response.Body.Close() }()
	if _, err := io.ReadAll(response.Body); err != nil {
		return "cut"
	}
	return strconv.Itoa(response.StatusCode)
}
