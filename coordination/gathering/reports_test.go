package gathering

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/zinniaroute/zinniaroute/state/fleet"
)

var now = time.Unix(1_000_000, 0)

// ownedReport returns the report of a VM that owns runners, with a model that they hold.
func ownedReport(at time.Time, model string, runners ...string) Report {
	report := Report{Owned: make(map[string]OwnedRunner)}
	for _, runner := range runners {
		report.Owned[runner] = OwnedRunner{AsOf: at, Holdings: fleet.Holdings{Models: []fleet.LoadedModel{{Model: model}}}}
	}
	return report
}

// A VM that turns to another aggregator gets all states, in parts that do not fill the aggregator's link.
func TestStatesOfRunnersArriveInParts(t *testing.T) {
	const runners = 3*maxChanges + 5
	r := NewReports()
	for i := range runners {
		r.Put(now, fmt.Sprint("vm-", i), ownedReport(now, "a", fmt.Sprint("r", i)))
	}
	got := make(map[string]string)
	since, parts := uint64(0), 0
	for len(got) < runners && parts < 10 {
		parts++
		changed, upTo := r.OwnedChangedSince(now, since)
		assert.Assert(t, len(changed) <= maxChanges && upTo > since)
		since = upTo
		for runner, state := range changed {
			got[runner] = state.Holdings.Models[0].Model
		}
		// A state changes between two parts.
		r.Put(now, "vm-7", ownedReport(now.Add(time.Duration(parts)), fmt.Sprint("b", parts), "r7"))
	}
	assert.Equal(t, len(got), runners)
	changed, _ := r.OwnedChangedSince(now, since)
	for runner, state := range changed {
		got[runner] = state.Holdings.Models[0].Model
	}
	assert.Equal(t, got["r7"], fmt.Sprint("b", parts))
	assert.Equal(t, got["r8"], "a")
}

func TestOwnedRunnerIsForgottenWithItsReports(t *testing.T) {
	later := now.Add(time.Second)
	tests := []struct {
		name string
		put  func(r *Reports)
		at   time.Time
		want int
	}{
		{"reported", func(*Reports) {}, later, 1},
		{"the owner reports it no more", func(r *Reports) { r.Put(later, "vm-1", Report{}) }, later, 0},
		{"another VM has not reported it", func(r *Reports) { r.Put(later, "vm-2", Report{}) }, later, 1},
		{"the new owner reports it", func(r *Reports) {
			r.Put(later, "vm-2", ownedReport(later, "b", "r1"))
			r.Put(later, "vm-1", Report{})
		}, later, 1},
		{"the owner is gone", func(*Reports) {}, now.Add(reportTimeout + time.Millisecond), 0},
	}
	for _, test := range tests {
		r := NewReports()
		r.Put(now, "vm-1", ownedReport(now, "a", "r1"))
		test.put(r)
		assert.Equal(t, len(r.Owned(test.at)), test.want, test.name)
		changed, _ := r.OwnedChangedSince(test.at, 0)
		assert.Equal(t, len(changed), test.want, test.name)
	}
}

func TestReportShowsThatTheStoreServes(t *testing.T) {
	report := func(revision uint64) Report { return Report{SyncedRevision: fleet.NewRevision(0, revision)} }
	tests := []struct {
		name string
		at   time.Time
		next Report
		want bool
	}{
		{"later content", now.Add(250 * time.Millisecond), report(6), true},
		{"the same content", now.Add(250 * time.Millisecond), report(5), false},
		{"later content after a pause", now.Add(maxAdvanceAge + time.Millisecond), report(6), false},
		{"a later era", now.Add(250 * time.Millisecond), Report{SyncedRevision: fleet.NewRevision(1, 1)}, false},
	}
	for _, test := range tests {
		r := NewReports()
		assert.Assert(t, !r.ServedByStore(now, "vm-1", report(5)), "the first report")
		r.Put(now, "vm-1", report(5))
		assert.Equal(t, r.ServedByStore(test.at, "vm-1", test.next), test.want, test.name)
	}
}
