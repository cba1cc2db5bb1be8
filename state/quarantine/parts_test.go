package quarantine

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// endedRun is a run that an endpoint ended after an offset from start.
type endedRun struct {
	endpoint string
	after    time.Duration
	parts    []uint64
}

func (r endedRun) crash(number int) Crash {
	at := start.Add(r.after)
	return Crash{
		Fingerprint: Fingerprint(number), Endpoint: r.endpoint, SentAt: at.Add(-50 * time.Millisecond), EndedAt: at, Parts: r.parts,
	}
}

// crashesOf returns the ends of endpoints, one after the other, each under one run for each prompt.
func crashesOf(count int, gap time.Duration, prompts ...[]uint64) []endedRun {
	var runs []endedRun
	for i := range count {
		for _, parts := range prompts {
			runs = append(runs, endedRun{fmt.Sprint("e", i), time.Duration(i) * gap, parts})
		}
	}
	return runs
}

func TestPartOfPromptsIsQuarantined(t *testing.T) {
	const first, middle, other, deep = 1, 2, 3, 4
	chain, otherChain := []uint64{first, middle}, []uint64{first, other}
	s := time.Second
	// firstOnly returns crashes under prompts that share their first part only.
	firstOnly := func(count int, gap time.Duration) []endedRun {
		runs := crashesOf(count, gap, chain)
		for i := range runs {
			runs[i].parts = []uint64{first, uint64(10 + i)}
		}
		return runs
	}
	tests := []struct {
		name    string
		runs    []endedRun
		cleared []Clearance
		want    []uint64
	}{
		{"three crashes", crashesOf(3, s, chain), nil, nil},
		{"four crashes", crashesOf(4, s, chain), nil, []uint64{middle}},
		{"four crashes at once have a common cause", crashesOf(4, 10*time.Millisecond, chain), nil, nil},
		{"four runs that one crash ended", crashesOf(1, s, chain, chain, chain, chain), nil, nil},
		{
			"the part in most crashes",
			append(crashesOf(4, s, chain, otherChain), endedRun{"e4", 4 * s, chain}), nil,
			[]uint64{middle},
		},
		{"two parts in the same four crashes", crashesOf(4, s, chain, otherChain), nil, nil},
		{"two parts in the same five crashes", crashesOf(5, s, chain, otherChain), nil, []uint64{middle, other}},
		{"the deepest of the parts of one chain", crashesOf(4, s, []uint64{first, middle, deep}), nil, []uint64{deep}},
		{"a first part with another part each time", firstOnly(5, s), nil, []uint64{first}},
		{"a first part five times within a second", firstOnly(5, 200*time.Millisecond), nil, nil},
		{"a first part four times", firstOnly(4, s), nil, nil},
		{
			"a request with the part was answered between", crashesOf(4, s, chain),
			[]Clearance{{Part: middle, At: start.Add(500 * time.Millisecond)}},
			nil,
		},
		{
			"a request with the part was answered before", crashesOf(4, s, chain),
			[]Clearance{{Part: middle, At: start.Add(-time.Millisecond)}},
			[]uint64{middle},
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			observer, peer := NewPartTracker(), NewPartTracker()
			for i, run := range test.runs {
				crash := run.crash(i)
				observer.RecordCrashes(crash.EndedAt, []Crash{crash})
			}
			observer.Merge(test.cleared)
			for i := range test.runs {
				crash := test.runs[len(test.runs)-1-i].crash(len(test.runs) - 1 - i)
				peer.RecordCrashes(start.Add(time.Minute), []Crash{crash, crash})
			}
			peer.Merge(test.cleared)
			for _, tracker := range []*PartTracker{observer, peer} {
				var quarantined []uint64
				for _, s := range tracker.Quarantined() {
					quarantined = append(quarantined, s.Part)
				}
				assert.DeepEqual(t, quarantined, test.want)
			}
			wait, _ := observer.RetryAfter(start.Add(10*s), []uint64{99, middle, deep, first})
			assert.Equal(t, wait > 0, len(test.want) > 0)
			observer.Expire(start.Add(time.Hour))
			assert.Equal(t, len(observer.Quarantined()), 0)
		})
	}
}

// A VM that has seen a request with a part answered since a crash tells the others once.
func TestClearanceOfAPartReachesVMsThatSawItsCrash(t *testing.T) {
	tracker := NewPartTracker()
	run := endedRun{"a", 0, []uint64{1, 2}}
	tracker.RecordCompleted([]uint64{1}, start.Add(time.Second))
	_, clearances := tracker.RecordCrashes(start.Add(2*time.Second), []Crash{run.crash(1)})
	assert.DeepEqual(t, clearances, []Clearance{{Part: 1, At: start.Add(time.Second)}})
	assert.DeepEqual(t, tracker.RecordCompleted([]uint64{2}, start.Add(-time.Second)), []Clearance(nil))
	assert.DeepEqual(t, tracker.RecordCompleted([]uint64{2}, start.Add(time.Second)), []Clearance{{Part: 2, At: start.Add(time.Second)}})
	assert.DeepEqual(t, tracker.RecordCompleted([]uint64{2}, start.Add(2*time.Second)), []Clearance(nil))
}

func TestRunThatHasBeenAnsweredForAWhileAccusesItsParts(t *testing.T) {
	runs := NewRuns()
	run := runs.Begin(start, 7, "a", 1, nil)
	run.Origin.Parts = []uint64{1, 2}
	assert.DeepEqual(t, run.Crash(start.Add(time.Minute)).Parts, []uint64{1, 2})
	run.RecordFirstByte(start.Add(time.Second))
	assert.DeepEqual(t, run.Crash(start.Add(1100*time.Millisecond)).Parts, []uint64{1, 2})
	assert.DeepEqual(t, run.Crash(start.Add(2*time.Second)).Parts, []uint64(nil))
}

// A cut or a reset ends connections to endpoints that go on.
func TestPartIsQuarantinedThoughTheEndpointsGoOn(t *testing.T) {
	tests := []struct {
		name        string
		incarnation int64
		answeredAt  time.Duration
		want        int
	}{
		{"answered before", 7, -time.Second, 1},
		{"answered just after", 7, 100 * time.Millisecond, 1},
		{"answered later", 7, 10 * time.Second, 0},
		{"answered by the next incarnation", 8, 10 * time.Second, 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			observer, owner, late := NewPartTracker(), NewPartTracker(), NewPartTracker()
			var crashes []Crash
			for i, endpoint := range []string{"a", "b", "c", "d"} {
				crash := endedRun{endpoint, time.Duration(i) * time.Second, []uint64{1, 2}}.crash(i)
				crash.Incarnation = 7
				crashes = append(crashes, crash)
			}
			observer.RecordCrashes(start.Add(3*time.Second), crashes)
			owner.RecordCrashes(start.Add(4*time.Second), crashes)
			clearances := owner.RecordAnswered("d", test.incarnation, crashes[3].EndedAt.Add(test.answeredAt))
			observer.Merge(clearances)
			assert.Equal(t, len(owner.Quarantined()), test.want)
			assert.Equal(t, len(observer.Quarantined()), test.want)

			late.RecordAnswered("d", test.incarnation, crashes[3].EndedAt.Add(test.answeredAt))
			_, clearances = late.RecordCrashes(start.Add(13*time.Second), crashes)
			assert.Equal(t, len(clearances), 1-test.want)
			assert.Equal(t, len(late.Quarantined()), test.want)
		})
	}
}
