package quarantine

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/zinniaroute/zinniaroute/standin/seeded"
)

var _ = seeded.SetFlags()

var start = time.Unix(1_000_000, 0)

func TestRequestIsRefusedAfterThreeEarlyOrFourCrashes(t *testing.T) {
	cases := []struct {
		name      string
		crashes   []bool
		completed bool
		refused   bool
	}{
		{name: "one early crash", crashes: []bool{true}},
		{name: "two early crashes", crashes: []bool{true, true}},
		{name: "three early crashes", crashes: []bool{true, true, true}, refused: true},
		{name: "an early and two late crashes", crashes: []bool{true, false, false}},
		{name: "an early and three late crashes", crashes: []bool{true, false, false, false}, refused: true},
		{name: "three late crashes", crashes: []bool{false, false, false}},
		{name: "four late crashes", crashes: []bool{false, false, false, false}, refused: true},
		{name: "cleared by finishing", crashes: []bool{true, false}, completed: true},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			tracker := NewTracker()
			for i, early := range tc.crashes {
				tracker.RecordCrash(start.Add(time.Duration(i)*time.Second), 7, string(rune('a'+i)), early)
			}
			if tc.completed {
				tracker.RecordCompleted(7, "z")
				assert.Assert(t, !tracker.IsSuspect(start, 7))
			}
			assert.Equal(t, tracker.RetryAfter(start.Add(time.Minute), 7) > 0, tc.refused)
			assert.Equal(t, tracker.RetryAfter(start.Add(time.Hour), 7), time.Duration(0))
		})
	}
}

func TestRepeatedCrashOfOneEndpointCountsOnce(t *testing.T) {
	tracker := NewTracker()
	for range 5 {
		tracker.RecordCrash(start, 7, "a", true)
	}
	assert.Equal(t, tracker.RetryAfter(start, 7), time.Duration(0))
}

func TestMergedSuspicionsOfPeersAddUp(t *testing.T) {
	first, second := NewTracker(), NewTracker()
	first.RecordCrash(start, 7, "a", true)
	unreported := first.TakeUnreported()
	assert.Equal(t, len(unreported), 1)
	assert.Equal(t, len(first.TakeUnreported()), 0)
	second.Merge(start, unreported)
	second.RecordCrash(start.Add(time.Second), 7, "b", true)
	assert.Assert(t, second.NeedsRandomDelay(start.Add(time.Second), 7))
	second.RecordCrash(start.Add(2*time.Second), 7, "c", true)
	assert.Assert(t, second.RetryAfter(start.Add(2*time.Second), 7) > 0)
}

func TestQuarantineClearsSuspicionsItExplains(t *testing.T) {
	tracker := NewTracker()
	tracker.RecordCrash(start, 8, "a", true)
	tracker.RecordCrash(start, 9, "z", true)
	for i, endpoint := range []string{"a", "b", "c"} {
		tracker.RecordCrash(start.Add(time.Duration(i)*time.Second), 7, endpoint, true)
	}
	assert.Assert(t, !tracker.IsSuspect(start, 8))
	assert.Assert(t, tracker.IsSuspect(start, 9))
}

// A request that crashes every endpoint that runs it crashes at most three. Requests that run on the same endpoints are
// never refused.
func TestCulpritCrashesAtMostThreeEndpointsAndOthersAreNotRefused(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const culprit = Fingerprint(1)
		tracker := NewTracker()
		now := start
		innocents := rapid.IntRange(1, 8).Draw(t, "innocents")
		running := make(map[Fingerprint]bool)
		for f := range innocents {
			running[Fingerprint(f+2)] = true
		}
		crashes := 0
		for attempt := 0; tracker.RetryAfter(now, culprit) == 0; attempt++ {
			endpoint := string(rune('a' + attempt))
			now = now.Add(time.Second)
			tracker.RecordSent(now, culprit, endpoint)
			// An innocent request on the endpoint can be new only at the first crash.
			for f := range running {
				if rapid.Bool().Draw(t, "beside") {
					tracker.RecordCrash(now, f, endpoint, attempt == 0 && rapid.Bool().Draw(t, "fresh"))
				}
			}
			tracker.RecordCrash(now, culprit, endpoint, true)
			crashes++
			for f := range running {
				if tracker.RetryAfter(now, f) > 0 {
					t.Fatalf("innocent request %d is refused: %+v", f, tracker.All())
				}
				if rapid.Bool().Draw(t, "finishes") {
					tracker.RecordCompleted(f, endpoint)
				}
			}
		}
		if crashes > 3 {
			t.Fatalf("%d endpoints crashed", crashes)
		}
	})
}
