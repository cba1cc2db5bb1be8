package gateway

import (
	"context"
	"fmt"
	"io"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/zinniaroute/zinniaroute/state/dispatch"
	"github.com/zinniaroute/zinniaroute/state/fleet"
	"github.com/zinniaroute/zinniaroute/state/lifecycle"
	"github.com/zinniaroute/zinniaroute/state/quarantine"
	"github.com/zinniaroute/zinniaroute/state/routes"
	"github.com/zinniaroute/zinniaroute/transport/clock"
	"github.com/zinniaroute/zinniaroute/transport/group"
)

func TestRunnerThatIsOnlyCutOffCondemnsNothing(t *testing.T) {
	start := time.Unix(1_000_000, 0)
	v := &simulatedVM{name: "vm-1"}
	v.start(start)
	g := v.gateway
	g.mu.Lock()
	defer g.mu.Unlock()
	for i := range 8 {
		now := start.Add(time.Duration(i) * 10 * time.Second)
		runner := fleet.Runner{ID: "r1", Address: netipAddress(1), Incarnation: 7}
		g.recordRunnerStart(now, runner)
		x := &exchange{gateway: g, request: fleet.Request{Fingerprint: culprit, Unit: fleet.Unit{Model: "large"}}, choice: dispatch.Choice{Runner: &runner}}
		x.beginRun(now)
		x.failRun(t.Context(), now.Add(5*time.Second), errCallerLeft)
		g.directory.Remove("r1")
		g.recordRunnerStart(now.Add(8*time.Second), runner)
	}
	if s := g.crashes.tracker.Suspicion(start.Add(80*time.Second), quarantine.Fingerprint(culprit)); len(s.Endpoints) > 0 {
		t.Fatalf("condemned: %+v", s)
	}
}

// A request that waits for a runner must not be sent if its retries have crashed runners meanwhile.
func TestRequestThatWaitedIsSentAfterItsQuarantine(t *testing.T) {
	now := clock.Now()
	v := &simulatedVM{name: "vm-1"}
	v.start(now)
	g := v.gateway
	x := &exchange{
		gateway: g, service: "models", route: &routes.Route{Kind: routes.Stream}, machine: lifecycle.New(lifecycle.Limits{}, nil), request: fleet.Request{
			Fingerprint: culprit, Unit: fleet.Unit{Model: "large"}, ArrivedAt: now, Deadline: now.Add(time.Minute),
		},
	}
	add := func(id string, models ...fleet.LoadedModel) {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.directory.Put(now, fleet.Runner{ID: id, Service: "models", Holdings: fleet.Holdings{Models: models}})
		g.notifyDirectoryChange()
	}
	add("r1")
	tasks, err := group.New(t.Context())
	assert.NilError(t, err)
	refused := make(chan *lifecycle.NoEndpoint, 1)
	tasks.Run("choose", func(ctx context.Context) {
		_, refusal := g.chooseEndpoint(ctx, x)
		refused <- refusal
	})
	group.Sleep(t.Context(), 50*time.Millisecond)
	g.mu.Lock()
	for _, runner := range []string{"r2", "r3", "r4"} {
		g.recordCrash(now, quarantine.Origin{Request: "other"}, quarantine.Crash{
			Fingerprint: culprit, Endpoint: runner, SentAt: now, EndedAt: now, Early: true,
		}, io.EOF)
	}
	g.mu.Unlock()
	add("r1", fleet.LoadedModel{Model: "large"})
	refusal := <-refused
	assert.Assert(t, refusal != nil)
	assert.Equal(t, refusal.Reason, "the request has crashed several endpoints")
	assert.NilError(t, tasks.Stop())
}

// exchangeRecords makes one call from a VM to the aggregator. Lost is what the call loses: "", "report" or "summary".
func exchangeRecords(now time.Time, v, aggregator *simulatedVM, lost string) {
	g := v.gateway
	g.mu.Lock()
	report := g.report(now.Add(v.skew))
	changes := g.addCrashes(report)
	g.mu.Unlock()
	if lost == "report" {
		return
	}
	summary := aggregator.gateway.mergeReport(now.Add(aggregator.skew), report)
	if lost == "summary" {
		return
	}
	g.mu.Lock()
	g.recordCrashExchange(now.Add(v.skew), report, changes, summary)
	g.aggregatorIncarnation = summary.Aggregator
	g.mu.Unlock()
}

func TestCrashRecordsAreLostWithACallOrAnAggregator(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	tests := []struct {
		name string
		// lost holds what each call loses. The aggregator restarts after a call that loses "aggregator".
		lost []string
	}{
		{"no failure", []string{"", ""}},
		{"report lost", []string{"", "report", ""}},
		{"summary lost", []string{"", "summary", ""}},
		{"aggregator restarted", []string{"", "aggregator", "", ""}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			observer, aggregator, other := &simulatedVM{name: "vm-1"}, &simulatedVM{name: "vm-2"}, &simulatedVM{name: "vm-3"}
			for _, v := range []*simulatedVM{observer, aggregator, other} {
				v.start(now)
			}
			for i, lost := range test.lost {
				if i == 1 {
					observer.gateway.mu.Lock()
					observer.gateway.recordCrash(now, quarantine.Origin{Request: "request"}, quarantine.Crash{
						Fingerprint: culprit, Endpoint: "r1", SentAt: now, EndedAt: now, Early: true,
					}, io.EOF)
					observer.gateway.mu.Unlock()
				}
				exchangeRecords(now, observer, aggregator, lost)
				if lost == "aggregator" {
					aggregator.start(now)
				}
			}
			exchangeRecords(now, other, aggregator, "")
			for _, v := range []*simulatedVM{aggregator, other} {
				suspicion := v.gateway.crashes.tracker.Suspicion(now, culprit)
				assert.Equal(t, len(suspicion.Endpoints), 1, v.name)
			}
		})
	}
}

// The loss of the path to the runners ends the connections of requests that crash nothing.
func TestRequestsInFlightAtTheLossOfThePathAreQuarantined(t *testing.T) {
	for _, answered := range []int{0, 1} {
		now := time.Unix(1_000_000, 0)
		v := &simulatedVM{name: "vm-0"}
		v.start(now)
		g := v.gateway
		for i := range 6 {
			x := &exchange{gateway: g, request: fleet.Request{Fingerprint: culprit}}
			x.choice = dispatch.Choice{Runner: &fleet.Runner{ID: fmt.Sprint("r", i), Incarnation: now.UnixMilli()}}
			g.mu.Lock()
			x.beginRun(now)
			x.failRun(t.Context(), now.Add(time.Second), io.EOF)
			g.mu.Unlock()
		}
		checkPath(g, now.Add(time.Second), answered)
		g.mu.Lock()
		retryAfter := g.crashes.tracker.RetryAfter(now.Add(time.Second), culprit)
		g.mu.Unlock()
		assert.Equal(t, retryAfter > 0, answered > 0, "%d runners answered the check", answered)
	}
}

// VMs of the build before count the crashes of a request for each model by itself.
func TestCrashesAreCountedTogetherWithTheBuildBefore(t *testing.T) {
	const content, model, otherModel = 1, 2, 3
	now := time.Unix(1_000_000, 0)
	request := func(byModel uint64) fleet.Request {
		return fleet.Request{Fingerprint: content, ModelFingerprint: byModel, Unit: fleet.Unit{Model: "large"}}
	}
	crashOf := func(fingerprint quarantine.Fingerprint, runner int) quarantine.Crash {
		return quarantine.Crash{
			Fingerprint: fingerprint, Endpoint: fmt.Sprint("r", runner), SentAt: now, EndedAt: now, Early: true,
		}
	}
	tests := []struct {
		name string
		// here and before are the crashes that this VM and one of the build before have observed.
		here, before int
		// refused is whether this VM refuses the request, refusedOther whether it refuses it for another model, and
		// refusedBefore whether the VM of the build before does.
		refused, refusedOther, refusedBefore bool
	}{
		{"crashes at this build", 3, 0, true, true, true},
		{"crashes at the build before", 0, 3, true, false, true},
		{"crashes at both", 2, 1, true, false, true},
		{"too few", 1, 1, false, false, false},
	}
	for _, test := range tests {
		v := &simulatedVM{name: "vm-1"}
		v.start(now)
		g := v.gateway
		before := quarantine.NewTracker()
		g.mu.Lock()
		for i := range test.here {
			g.recordCrash(now, quarantine.Origin{ModelFingerprint: model}, crashOf(content, i), io.EOF)
		}
		var observed []quarantine.Crash
		for i := range test.before {
			observed = append(observed, crashOf(model, test.here+i))
			before.RecordCrash(now, observed[i])
		}
		g.mergeCrashes(now, "vm-2", observed)
		report := g.report(now)
		g.addCrashes(report)
		g.mu.Unlock()
		before.Merge(now, report.Crashes)
		refuses := func(byModel uint64) bool {
			return g.quarantineRefusal(now, &exchange{gateway: g, request: request(byModel)}) != nil
		}
		assert.Equal(t, refuses(model), test.refused, test.name)
		assert.Equal(t, refuses(otherModel), test.refusedOther, test.name)
		assert.Equal(t, before.RetryAfter(now, model) > 0, test.refusedBefore, test.name)
	}
}
