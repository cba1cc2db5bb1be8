package integration

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/zinniaroute/zinniaroute/protocol/operator"
	"github.com/zinniaroute/zinniaroute/standin/modelrunner"
	"github.com/zinniaroute/zinniaroute/transport/gateway"
	"github.com/zinniaroute/zinniaroute/transport/group"
)

const (
	// limitWindow is the window in which the requests to a runner that names a limit are counted.
	limitWindow = 4 * time.Second
	// limitLearningTime is the time after a runner first names its limit from which the limit binds.
	limitLearningTime = 3 * time.Second
)

// allowedWithin returns the number of requests in limitWindow that a limit allows, summed over all VMs.
func allowedWithin(perSecond float64) float64 { return 1.5*perSecond*limitWindow.Seconds() + 5 }

// mostWithin returns the largest number of arrivals after a time within one limitWindow.
func mostWithin(arrivals []modelrunner.Arrival, after time.Time) int {
	most := 0
	for i, first := range arrivals {
		count := 0
		for _, arrival := range arrivals[i:] {
			if arrival.At.Sub(first.At) < limitWindow {
				count++
			}
		}
		if !first.At.Before(after) {
			most = max(most, count)
		}
	}
	return most
}

// load sends requests at a rate to gateways in turn, each in a goroutine of its own.
type load struct {
	*deployment
	gateways     []string
	path, model  string
	perSecond    int
	sent, served atomic.Int64
	// refused counts the answers with a time to return, and slowestRefusal is the longest time that one took.
	refused        atomic.Int64
	slowestRefusal atomic.Int64
	calls          sync.WaitGroup
}

// run sends requests for a time and waits for the answers.
func (l *load) run(duration time.Duration) {
	ctx, cancel := context.WithTimeout(l.t.Context(), duration)
	defer cancel()
	_ = group.Every(ctx, time.Second/time.Duration(l.perSecond), func(time.Time) {
		name := l.gateways[int(l.sent.Add(1))%len(l.gateways)]
		l.calls.Go(func() { l.request(name) })
	})
	l.calls.Wait()
}

func (l *load) request(name string) {
	sentAt := time.Now()
	response := l.send(name, l.path, l.model)
	switch {
	case response.status == 200:
		l.served.Add(1)
	case response.status == 503 && response.retryAfter != "":
		l.refused.Add(1)
		for took := int64(time.Since(sentAt)); took > l.slowestRefusal.Load(); {
			l.slowestRefusal.Store(took)
		}
	}
}

// newLimitedLoad starts gateways, and runners of the plain service.
func newLimitedLoad(t *testing.T, gatewayCount, runnerCount, perSecond int) *load {
	t.Helper()
	l := &load{deployment: newDeployment(t), path: safePath, perSecond: perSecond}
	for i := range runnerCount {
		l.addRunner(fmt.Sprint("r", i), plainService)
	}
	l.startGateways(gatewayCount)
	return l
}

func (l *load) startGateways(count int) {
	l.t.Helper()
	for i := range count {
		l.gateways = append(l.gateways, fmt.Sprint("vm-", i))
		l.startGateway(l.gateways[i])
	}
	for _, name := range l.gateways {
		l.waitGatewayReady(name)
		waitUntil(l.t, name+" serves", func() bool { return l.send(name, l.path, l.model).status == 200 })
	}
}

func TestRunnerGetsMoreRequestsThanItsLimitFromAllGateways(t *testing.T) {
	t.Parallel()
	tests := []struct {
		name        string
		limit       float64
		limited     int
		path, model string
		perSecond   int
	}{
		{"one of four, idempotent", 1, 1, safePath, "", 30},
		{"two of four, streams", 2, 2, resumePath, "large", 40},
		{"all, not idempotent", 2, 4, unsafePath, "", 40},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			l := &load{deployment: newDeployment(t), path: test.path, model: test.model, perSecond: test.perSecond}
			service := plainService
			if test.model != "" {
				service = modelService
			}
			for i := range 4 {
				l.addRunner(fmt.Sprint("r", i), service, "large")
			}
			l.startGateways(9)
			for i := range test.limited {
				l.runners[fmt.Sprint("r", i)].SetLimit(fmt.Sprint(test.limit))
			}
			bindsFrom := time.Now().Add(limitLearningTime)
			l.run(limitLearningTime + 6*time.Second)
			for i := range test.limited {
				most := mostWithin(l.runners[fmt.Sprint("r", i)].Arrivals(), bindsFrom)
				assert.Check(t, float64(most) <= allowedWithin(test.limit), "r%d got %d requests in 4 s of %v allowed", i, most, allowedWithin(test.limit))
			}
			l.checkServed(test.limit, test.limited, bindsFrom)
		})
	}
}

// checkServed checks that almost all requests are served if some runners have no limit, and that runners with a limit are
// used to a third of it or more otherwise.
func (l *load) checkServed(limit float64, limited int, since time.Time) {
	if limited < len(l.runners) {
		sent, served := l.sent.Load(), l.served.Load()
		assert.Check(l.t, 20*served >= 19*sent, "%d of %d requests were served", served, sent)
		return
	}
	for id, runner := range l.runners {
		used := countSince(runner.Arrivals(), since)
		want := limit * time.Since(since).Seconds() / 3
		assert.Check(l.t, float64(used) >= want, "%s got %d requests, and its limit allows %v", id, used, 3*want)
	}
}

func TestLimitIsExceededWhenTheAggregatorEnds(t *testing.T) {
	for _, signal := range []syscall.Signal{syscall.SIGKILL, syscall.SIGSTOP, syscall.SIGTERM} {
		t.Run(signal.String(), func(t *testing.T) {
			t.Parallel()
			const limit = 3
			l := newLimitedLoad(t, 4, 1, 30)
			runner := l.runners["r0"]
			runner.SetLimit(fmt.Sprint(limit))
			l.run(limitLearningTime)
			bindsFrom := time.Now()
			aggregator := l.aggregator()
			l.gateways = slices.DeleteFunc(l.gateways, func(name string) bool { return name == aggregator })
			l.processes[aggregator].signal(signal)
			l.run(6 * time.Second)
			l.processes[aggregator].signal(syscall.SIGCONT)
			l.run(4 * time.Second)
			most := mostWithin(runner.Arrivals(), bindsFrom)
			assert.Check(t, float64(most) <= allowedWithin(limit), "%d requests in 4 s of %v allowed", most, allowedWithin(limit))
			used := countSince(runner.Arrivals(), bindsFrom)
			assert.Check(t, used >= 10*limit/3, "%d requests in 10 s at a limit of %d a second", used, limit)
		})
	}
}

// aggregator returns the VM that the first gateway takes for the aggregator.
func (l *load) aggregator() string {
	l.t.Helper()
	var dump gateway.Dump
	assert.NilError(l.t, getJSON(l.deployment.gateways[l.gateways[0]].operations, operator.StatePath, &dump))
	return dump.Aggregator
}

func countSince(arrivals []modelrunner.Arrival, since time.Time) int {
	count := 0
	for _, arrival := range arrivals {
		if arrival.At.After(since) {
			count++
		}
	}
	return count
}

func TestRequestsBeyondALimitWaitInsteadOfBeingRefused(t *testing.T) {
	t.Parallel()
	l := newLimitedLoad(t, 3, 1, 20)
	l.runners["r0"].SetLimit("1")
	l.run(limitLearningTime)
	l.sent.Store(0)
	l.served.Store(0)
	l.refused.Store(0)
	l.slowestRefusal.Store(0)
	l.run(4 * time.Second)
	sent, served, refused := l.sent.Load(), l.served.Load(), l.refused.Load()
	assert.Check(t, served >= 2, "%d served", served)
	assert.Check(t, served+refused >= sent-1, "of %d requests %d were served and %d told when to return", sent, served, refused)
	slowest := time.Duration(l.slowestRefusal.Load())
	assert.Check(t, slowest < time.Second, "a refusal took %v", slowest)
}

func TestRunnerIsHeldBackAfterItNamesNoLimit(t *testing.T) {
	t.Parallel()
	l := newLimitedLoad(t, 3, 1, 20)
	for _, limit := range []string{"0", "0.5", "few"} {
		l.runners["r0"].SetLimit(limit)
		l.run(2 * time.Second)
	}
	l.runners["r0"].SetLimit("")
	l.run(5 * time.Second)
	l.sent.Store(0)
	l.served.Store(0)
	l.run(2 * time.Second)
	assert.Check(t, l.served.Load() >= l.sent.Load()-1, "%d of %d requests were served", l.served.Load(), l.sent.Load())
}
