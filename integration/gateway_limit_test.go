package integration

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

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

// mostWithin returns the largest number of times after a time within one limitWindow.
func mostWithin(times []time.Time, after time.Time) int {
	most := 0
	for i, first := range times {
		count := 0
		for _, at := range times[i:] {
			if at.Sub(first) < limitWindow {
				count++
			}
		}
		if !first.Before(after) {
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
	calls        sync.WaitGroup
}

// run sends requests for a time and waits for the answers.
func (l *load) run(duration time.Duration) {
	ctx, cancel := context.WithTimeout(l.t.Context(), duration)
	defer cancel()
	_ = group.Every(ctx, time.Second/time.Duration(l.perSecond), func(time.Time) {
		gateway := l.gateways[int(l.sent.Add(1))%len(l.gateways)]
		l.calls.Go(func() {
			if l.send(gateway, l.path, l.model).status == 200 {
				l.served.Add(1)
			}
		})
	})
	l.calls.Wait()
}

func TestRunnerGetsMoreRequestsThanItsLimitFromAllGateways(t *testing.T) {
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
			for i := range 9 {
				l.gateways = append(l.gateways, fmt.Sprint("vm-", i))
				l.startGateway(l.gateways[i])
			}
			for _, name := range l.gateways {
				l.waitGatewayReady(name)
				waitUntil(t, name+" serves", func() bool { return l.send(name, l.path, l.model).status == 200 })
			}
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
		used := 0
		for _, at := range runner.Arrivals() {
			if at.After(since) {
				used++
			}
		}
		want := limit * time.Since(since).Seconds() / 3
		assert.Check(l.t, float64(used) >= want, "%s got %d requests, and its limit allows %v", id, used, 3*want)
	}
}
