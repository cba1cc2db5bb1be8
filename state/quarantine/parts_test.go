package quarantine

import (
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

func TestPartOfPromptsIsQuarantined(t *testing.T) {
	const first, middle, other, deep = 1, 2, 3, 4
	chain := []uint64{first, middle}
	s := time.Second
	tests := []struct {
		name    string
		runs    []endedRun
		cleared []Clearance
		want    []uint64
	}{
		{"two crashes", []endedRun{{"a", 0, chain}, {"b", s, chain}}, nil, nil},
		{"three crashes", []endedRun{{"a", 0, chain}, {"b", s, chain}, {"c", 2 * s, chain}}, nil, []uint64{middle}},
		{
			"three crashes at once have a common cause",
			[]endedRun{{"a", 0, chain}, {"b", 10 * time.Millisecond, chain}, {"c", 20 * time.Millisecond, chain}},
			nil, nil,
		},
		{"three runs that one crash ended", []endedRun{{"a", 0, chain}, {"a", 0, chain}, {"a", time.Millisecond, chain}}, nil, nil},
		{
			"the part in most crashes",
			[]endedRun{
				{"a", 0, chain},
				{"a", 0, []uint64{first, other}},
				{"b", s, chain},
				{"b", s, []uint64{first, other}},
				{"c", 2 * s, chain},
				{"c", 2 * s, []uint64{first, other}},
				{"d", 3 * s, chain},
			},
			nil,
			[]uint64{middle},
		},
		{
			"two parts in the same three crashes",
			[]endedRun{
				{"a", 0, chain},
				{"a", 0, []uint64{first, other}},
				{"b", s, chain},
				{"b", s, []uint64{first, other}},
				{"c", 2 * s, chain},
				{"c", 2 * s, []uint64{first, other}},
			},
			nil, nil,
		},
		{
			"the deepest of the parts of one chain",
			[]endedRun{{"a", 0, []uint64{first, middle, deep}}, {"b", s, []uint64{first, middle, deep}}, {"c", 2 * s, []uint64{first, middle, deep}}},
			nil,
			[]uint64{deep},
		},
		{
			"a first part with another part each time",
			[]endedRun{
				{"a", 0, []uint64{first, 11}},
				{"b", s, []uint64{first, 12}},
				{"c", 2 * s, []uint64{first, 13}},
				{"d", 3 * s, []uint64{first, 14}},
				{"e", 4 * s, []uint64{first, 15}},
			},
			nil,
			[]uint64{first},
		},
		{
			"a first part five times within a second",
			[]endedRun{
				{"a", 0, []uint64{first, 11}},
				{"b", 200 * time.Millisecond, []uint64{first, 12}},
				{"c", 400 * time.Millisecond, []uint64{first, 13}},
				{"d", 600 * time.Millisecond, []uint64{first, 14}},
				{"e", 800 * time.Millisecond, []uint64{first, 15}},
			},
			nil, nil,
		},
		{
			"a first part four times",
			[]endedRun{{"a", 0, []uint64{first, 11}}, {"b", s, []uint64{first, 12}}, {"c", 2 * s, []uint64{first, 13}}, {"d", 3 * s, []uint64{first, 14}}},
			nil, nil,
		},
		{
			"a request with the part was answered between",
			[]endedRun{{"a", 0, chain}, {"b", s, chain}, {"c", 2 * s, chain}},
			[]Clearance{{Part: middle, At: start.Add(500 * time.Millisecond)}},
			nil,
		},
		{
			"a request with the part was answered before",
			[]endedRun{{"a", 0, chain}, {"b", s, chain}, {"c", 2 * s, chain}},
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
			for i, endpoint := range []string{"a", "b", "c"} {
				crash := endedRun{endpoint, time.Duration(i) * time.Second, []uint64{1, 2}}.crash(i)
				crash.Incarnation = 7
				crashes = append(crashes, crash)
			}
			observer.RecordCrashes(start.Add(2*time.Second), crashes)
			owner.RecordCrashes(start.Add(3*time.Second), crashes)
			clearances := owner.RecordAnswered("c", test.incarnation, crashes[2].EndedAt.Add(test.answeredAt))
			observer.Merge(clearances)
			assert.Equal(t, len(owner.Quarantined()), test.want)
			assert.Equal(t, len(observer.Quarantined()), test.want)

			late.RecordAnswered("c", test.incarnation, crashes[2].EndedAt.Add(test.answeredAt))
			_, clearances = late.RecordCrashes(start.Add(12*time.Second), crashes)
			assert.Equal(t, len(clearances), 1-test.want)
			assert.Equal(t, len(late.Quarantined()), test.want)
		})
	}
}
