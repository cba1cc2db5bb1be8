package integration

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/zinniaroute/zinniaroute/standin/caller"
	"github.com/zinniaroute/zinniaroute/standin/proxy"
	"github.com/zinniaroute/zinniaroute/transport/group"
)

const (
	// contactTime is the time after the start of a partition from which requests count.
	contactTime = 3 * time.Second
	// partitionedCallerTimeout is how long a caller of these tests waits for an answer.
	partitionedCallerTimeout = 5 * time.Second
)

// firstTries counts the requests of callers that try once, and those that were served.
type firstTries struct{ sent, served int }

func (f firstTries) share() float64 { return float64(f.served) / float64(max(1, f.sent)) }

// partitionLoad sends requests of all kinds to all gateways at a rate and counts them by gateway.
type partitionLoad struct {
	*deployment
	gateways []string
	mu       sync.Mutex
	tries    map[string]firstTries
	failures map[string]int
}

func newPartitionLoad(t *testing.T, gateways int) *partitionLoad {
	t.Helper()
	l := &partitionLoad{deployment: newDeployment(t)}
	for i := range 2 {
		l.addRunner(fmt.Sprint("r", i), modelService, "large", "small")
		l.addRunner(fmt.Sprint("p", i), plainService)
	}
	for i := range gateways {
		l.gateways = append(l.gateways, fmt.Sprint("vm-", i))
		l.startGateway(l.gateways[i])
	}
	for _, name := range l.gateways {
		l.waitGatewayReady(name)
		l.waitServing(name)
	}
	return l
}

// run sends requests for a time, waits for the answers, and forgets what was counted before.
func (l *partitionLoad) run(perSecond int, duration time.Duration) {
	l.tries, l.failures = make(map[string]firstTries), make(map[string]int)
	requests := []struct{ path, model string }{
		{safePath, ""}, {unsafePath, ""}, {modelPath, "large"}, {resumePath, "small"},
	}
	ctx, cancel := context.WithTimeout(l.t.Context(), duration)
	defer cancel()
	var calls sync.WaitGroup
	next := 0
	_ = group.Every(ctx, time.Second/time.Duration(perSecond), func(time.Time) {
		name, r := l.gateways[next%len(l.gateways)], requests[next/len(l.gateways)%len(requests)]
		next++
		calls.Go(func() { l.request(name, r.path, r.model) })
	})
	calls.Wait()
}

func (l *partitionLoad) request(name, path, model string) {
	ctx, cancel := context.WithTimeout(context.Background(), partitionedCallerTimeout)
	defer cancel()
	outcome := "no answer"
	response, err := testClient.Do(newRequest(ctx, l.deployment.gateways[name], path, model, []byte("{}")))
	if err == nil {
		body, readErr := io.ReadAll(response.Body)
		_ = response.Body.Close()
		r := gatewayResponse{status: response.StatusCode, body: string(body)}
		outcome = fmt.Sprint(r.status)
		if readErr != nil || r.status == http.StatusOK && model != "" && r.eventIDs() != "1 2 3 4 5" {
			outcome = "broken off"
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	tries := l.tries[name]
	tries.sent++
	if outcome == "200" {
		tries.served++
	} else {
		l.failures[name+" "+path+" "+outcome]++
	}
	l.tries[name] = tries
}

// sums returns the counts of the gateways among those named, and of all others.
func (l *partitionLoad) sums(named []string) (those, others firstTries) {
	for name, tries := range l.tries {
		sum := &others
		if slices.Contains(named, name) {
			sum = &those
		}
		sum.sent += tries.sent
		sum.served += tries.served
	}
	return those, others
}

func TestCallersOfGatewaysWithoutAPathToRunnersAreNotServed(t *testing.T) {
	tests := []struct {
		name          string
		faults        proxy.Faults
		gateways, cut int
	}{
		{"connections hang at half of the gateways", proxy.Faults{Freeze: true}, 4, 2},
		{"connections are reset at all gateways but one", proxy.Faults{Disconnect: true}, 4, 3},
		{"open connections live on and new ones are refused", proxy.Faults{RefuseNew: true}, 3, 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			l := newPartitionLoad(t, test.gateways)
			cut := l.gateways[:test.cut]
			l.partitionGateways(test.faults, cut...)
			l.run(40, contactTime)
			l.run(40, 5*time.Second)
			those, others := l.sums(cut)
			t.Logf("%+v served at the partitioned gateways, %+v at the others; not served: %v", those, others, l.failures)
			failed := those.sent - those.served
			assert.Check(t, others.share() >= 0.9, "the others served %+v", others)
			assert.Check(t, those.share() >= others.share()*2/3 || failed <= 10+(those.sent+others.sent)/50,
				"the partitioned gateways served %+v, the others %+v", those, others)
			l.partitionGateways(proxy.Faults{})
			l.run(40, time.Second)
			l.run(40, 2*time.Second)
			healed, _ := l.sums(l.gateways)
			assert.Check(t, healed.share() >= 0.95, "after the partition, all gateways served %+v: %v", healed, l.failures)
		})
	}
}

// forwardingGateway returns a deployment of two gateways of which the first has lost its path to the runners, and which forwards
// requests to the second.
func forwardingGateway(t *testing.T) *partitionLoad {
	t.Helper()
	l := newPartitionLoad(t, 2)
	l.partitionGateways(proxy.Faults{Disconnect: true}, "vm-0")
	waitUntil(t, "vm-0 forwards requests", func() bool { return l.send("vm-0", safePath, "").status == http.StatusOK })
	return l
}

func TestCallerThatLeavesDoesNotCancelAForwardedRequest(t *testing.T) {
	t.Parallel()
	l := forwardingGateway(t)
	for range 5 {
		ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
		response, err := testClient.Do(newRequest(ctx, l.deployment.gateways["vm-0"], modelPath, "large", []byte("leaves")))
		if err == nil {
			_, _ = io.Copy(io.Discard, response.Body)
			_ = response.Body.Close()
		}
		cancel()
	}
	group.Sleep(t.Context(), time.Second)
	runs := 0
	for _, runner := range l.runners {
		for _, run := range runner.Runs() {
			if run.Body == "leaves" {
				runs++
				assert.Check(t, run.Cancelled, "%s was not cancelled", run.Attempt)
			}
		}
	}
	assert.Check(t, runs > 0, "no request reached a runner")
}

// The VM that takes the requests is killed while it serves them.
func TestForwardedRequestRunsTwiceOrLooksComplete(t *testing.T) {
	t.Parallel()
	l := forwardingGateway(t)
	type answer struct {
		attempt string
		gatewayResponse
	}
	var mu sync.Mutex
	var answers []answer
	var calls sync.WaitGroup
	for i := range 60 {
		if i == 30 {
			l.processes["vm-1"].kill()
			l.startProcess("vm-1", "gateway", "--settings", l.deployment.gateways["vm-1"].settings)
		}
		path, model := unsafePath, ""
		if i%2 == 0 {
			path, model = modelPath, "large"
		}
		request := newRequest(context.Background(), l.deployment.gateways["vm-0"], path, model, []byte("{}"))
		calls.Go(func() {
			a := answer{attempt: request.Header.Get(caller.AttemptHeader)}
			if response, err := testClient.Do(request); err != nil {
				a.err = err
			} else {
				body, err := io.ReadAll(response.Body)
				_ = response.Body.Close()
				a.gatewayResponse = gatewayResponse{status: response.StatusCode, body: string(body), err: err}
			}
			mu.Lock()
			defer mu.Unlock()
			answers = append(answers, a)
		})
		group.Sleep(t.Context(), 5*time.Millisecond)
	}
	calls.Wait()
	runs := make(map[string]int)
	for _, runner := range l.runners {
		for _, run := range runner.Runs() {
			runs[run.Attempt]++
		}
	}
	statuses := make(map[int]int)
	for _, a := range answers {
		statuses[a.status]++
		assert.Check(t, runs[a.attempt] <= 1, "%s ran %d times", a.attempt, runs[a.attempt])
		assert.Check(t, a.status != http.StatusServiceUnavailable || runs[a.attempt] == 0, "%s was refused and ran", a.attempt)
		whole := a.body == "answer of p0" || a.body == "answer of p1" || a.eventIDs() == "1 2 3 4 5"
		assert.Check(t, a.status != http.StatusOK || a.err != nil || whole, "%s looks complete with body %q", a.attempt, a.body)
	}
	assert.Check(t, statuses[http.StatusOK] >= 20, "statuses %v", statuses)
}

// The second gateway has lost its path too, and the first does not know yet.
func TestForwardedRequestIsForwardedAgain(t *testing.T) {
	t.Parallel()
	l := forwardingGateway(t)
	l.partitionGateways(proxy.Faults{Disconnect: true}, "vm-0", "vm-1")
	waitUntil(t, "requests are refused", func() bool {
		return l.send("vm-0", safePath, "").status != http.StatusOK && l.send("vm-1", safePath, "").status != http.StatusOK
	})
	group.Sleep(t.Context(), 2*time.Second)
	for _, name := range l.gateways {
		for range 5 {
			sentAt := time.Now()
			r := l.send(name, unsafePath, "")
			assert.Check(t, r.status == http.StatusServiceUnavailable || r.status == http.StatusBadGateway, "status %d", r.status)
			assert.Check(t, time.Since(sentAt) < time.Second, "an answer without a path after %v", time.Since(sentAt))
		}
	}
	l.partitionGateways(proxy.Faults{Disconnect: true}, "vm-1")
	waitUntil(t, "vm-1 forwards to vm-0", func() bool { return l.send("vm-1", safePath, "").status == http.StatusOK })
}
