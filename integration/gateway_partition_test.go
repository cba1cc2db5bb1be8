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
