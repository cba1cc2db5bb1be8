package admission

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/zinniaroute/zinniaroute/state/fleet"
	"github.com/zinniaroute/zinniaroute/state/routes"
)

func TestPatienceOfCallers(t *testing.T) {
	tests := []struct {
		name                    string
		kind                    routes.Kind
		target, pause, deadline time.Duration
		want                    time.Duration
	}{
		{"a short target", routes.Stream, 300 * time.Millisecond, 150 * time.Millisecond, 12 * time.Second, 2 * time.Second},
		{"a long target", routes.Stream, 4 * time.Second, 150 * time.Millisecond, 20 * time.Second, 16 * time.Second},
		{"long pauses", routes.Stream, 600 * time.Millisecond, 600 * time.Millisecond, 15 * time.Second, 4800 * time.Millisecond},
		{"a short deadline", routes.Stream, time.Second, 0, 1500 * time.Millisecond, 1500 * time.Millisecond},
		{"no stream", routes.Safe, 300 * time.Millisecond, 0, 3 * time.Second, 3 * time.Second},
	}
	for _, test := range tests {
		r := &fleet.Request{
			Kind: test.kind, TargetLatency: test.target, MaxPause: test.pause, ArrivedAt: now, Deadline: now.Add(test.deadline),
		}
		assert.Equal(t, Patience(r), test.want-patienceMargin, test.name)
	}
}

func TestDecideOnARequestForAModelThatNoRunnerHolds(t *testing.T) {
	tests := []struct {
		name               string
		waited, missing    time.Duration
		loadTime, deadline time.Duration
		deferred           bool
		retryAfter         time.Duration
	}{
		{"a load of a second", 0, 0, time.Second, 12 * time.Second, true, 0},
		{"a load of four seconds", 0, 0, 4 * time.Second, 12 * time.Second, false, 4500 * time.Millisecond},
		{"a load of four seconds, under way", 0, 3 * time.Second, 4 * time.Second, 12 * time.Second, true, 0},
		{"overdue", 0, 8 * time.Second, 4 * time.Second, 12 * time.Second, true, 0},
		{"overdue, and the caller has waited", 1900 * time.Millisecond, 8 * time.Second, 4 * time.Second, 12 * time.Second, false, overdueRetryAfter},
		{"overdue by the time of a load", 0, 9 * time.Second, 4 * time.Second, 12 * time.Second, false, overdueRetryAfter},
		{"a short load, overdue", 0, 1500 * time.Millisecond, 200 * time.Millisecond, 12 * time.Second, true, 0},
		{"a short load, long overdue", 0, 2 * time.Second, 200 * time.Millisecond, 12 * time.Second, false, overdueRetryAfter},
		{"no time left", 0, 0, 500 * time.Millisecond, 600 * time.Millisecond, false, time.Second},
	}
	for _, test := range tests {
		r := &fleet.Request{
			Kind: routes.Stream, TargetLatency: 300 * time.Millisecond, MaxPause: 150 * time.Millisecond,
			ArrivedAt: now.Add(-test.waited), Deadline: now.Add(test.deadline - test.waited),
		}
		d := DecideUnloaded(now, r, Unloaded{Since: now.Add(-test.missing), LoadTime: test.loadTime})
		assert.Equal(t, d.Deferred, test.deferred, test.name)
		assert.Equal(t, d.RetryAfter, test.retryAfter, test.name)
		assert.Assert(t, !d.Admitted, test.name)
	}
}

// A runner with the only replica of a model leaves, and the model is loaded elsewhere after some seconds. Callers arrive all
// the while; each leaves without a first event after its patience, and comes back once after a rejection, after as much of
// the named time as a third of the time that it has left.
func TestCallersOfAModelThatIsBeingLoadedAreServedInTheEnd(t *testing.T) {
	tests := []struct {
		name                    string
		load                    time.Duration
		target, pause, deadline time.Duration
		// served is the part of the callers, in percent, that must be served, and held the longest time that one that is not
		// served may be kept.
		served int
		held   time.Duration
	}{
		{"notices", 4 * time.Second, 300 * time.Millisecond, 150 * time.Millisecond, 12 * time.Second, 99, 0},
		{"batches", 4 * time.Second, 4 * time.Second, 150 * time.Millisecond, 20 * time.Second, 99, 0},
		{"drafts", 1200 * time.Millisecond, 800 * time.Millisecond, 600 * time.Millisecond, 6 * time.Second, 99, 0},
		{"questions of a large site", 5800 * time.Millisecond, 600 * time.Millisecond, 600 * time.Millisecond, 15 * time.Second, 99, 0},
		{"summaries with little time", 4 * time.Second, time.Second, 150 * time.Millisecond, 4 * time.Second, 40, 500 * time.Millisecond},
	}
	for _, test := range tests {
		loadedAt := now.Add(planTime + test.load)
		u := Unloaded{Since: now, LoadTime: test.load}
		served, callers, longest := 0, 0, time.Duration(0)
		for at := now; at.Before(loadedAt); at = at.Add(50 * time.Millisecond) {
			callers++
			ok, held := callUntilLoaded(at, loadedAt, u, fleet.Request{
				Kind: routes.Stream, TargetLatency: test.target, MaxPause: test.pause, ArrivedAt: at, Deadline: at.Add(test.deadline),
			})
			if ok {
				served++
				continue
			}
			longest = max(longest, held)
		}
		assert.Check(t, 100*served >= test.served*callers, "%s: %d of %d callers are served", test.name, served, callers)
		assert.Check(t, longest <= test.held, "%s: a caller that is not served is held for %v", test.name, longest)
	}
}

// callUntilLoaded follows a caller and reports whether it gets a first event, and else how long it was held.
func callUntilLoaded(at, loadedAt time.Time, u Unloaded, first fleet.Request) (bool, time.Duration) {
	held := time.Duration(0)
	r := first
	for range 2 {
		for now := at; ; now = now.Add(10 * time.Millisecond) {
			if !now.Before(loadedAt) {
				return now.Before(first.Deadline) && now.Sub(r.ArrivedAt) <= Patience(&r), held
			}
			d := DecideUnloaded(now, &r, u)
			if d.Deferred {
				continue
			}
			held += now.Sub(r.ArrivedAt)
			at = now.Add(min(d.RetryAfter, first.Deadline.Sub(now)/3))
			r.ArrivedAt = at
			break
		}
	}
	return false, held
}
