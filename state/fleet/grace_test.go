package fleet

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// A VM that was cut off alone must not keep runners that left meanwhile, nor make the others keep them.
func TestEntryGraceFollowsAnOutageOfTheStoreOnly(t *testing.T) {
	at := func(seconds float64) time.Time { return now.Add(time.Duration(seconds * float64(time.Second))) }
	tests := []struct {
		name  string
		apply func(e *EntryGrace)
		want  time.Duration
	}{
		{"answers go on", func(e *EntryGrace) {
			e.RecordAnswer(at(1.5))
			e.RecordAnswer(at(3))
		}, 0},
		{"no VM was served", func(e *EntryGrace) {
			e.RecordFailure(at(0.5))
			e.RecordAnswer(at(3))
		}, EntryReturnGrace},
		{"this VM has not called the store", func(e *EntryGrace) { e.RecordAnswer(at(3)) }, 0},
		{"the store has served a VM since the failure", func(e *EntryGrace) {
			e.RecordFailure(at(0.5))
			e.RecordView(at(1), at(0.8), 0)
			e.RecordAnswer(at(3))
		}, 0},
		{"the reader was cut off, this VM was not", func(e *EntryGrace) {
			e.RecordAnswer(at(1.5))
			e.RecordView(at(3), at(3), EntryReturnGrace)
		}, 0},
		{"this VM was cut off, the reader was not", func(e *EntryGrace) { e.RecordView(at(3), at(2.9), 0) }, 0},
		{"neither was served", func(e *EntryGrace) { e.RecordView(at(3), at(2.9), time.Second) }, time.Second},
		{"this VM listed before the reader's view", func(e *EntryGrace) {
			e.RecordFailure(at(0.5))
			e.RecordAnswer(at(3))
			e.RecordView(at(3), at(3), 0)
		}, 0},
		{"answers after the outage", func(e *EntryGrace) {
			e.RecordFailure(at(0.5))
			e.RecordAnswer(at(2.5))
			e.RecordAnswer(at(3))
		}, EntryReturnGrace - time.Second/2},
		{"the store has returned from an older copy", func(e *EntryGrace) {
			e.RecordAnswer(at(1.5))
			e.RecordReturn(at(3))
		}, EntryReturnGrace},
	}
	for _, test := range tests {
		e := NewEntryGrace(now)
		e.RecordAnswer(now)
		test.apply(e)
		assert.Equal(t, e.Remaining(at(3)), test.want, test.name)
	}
}

func TestEntryGraceOfAVMThatStartedDuringAnOutage(t *testing.T) {
	e := NewEntryGrace(now)
	e.RecordView(now, now.Add(-time.Minute), EntryReturnGrace)
	e.RecordFailure(now)
	e.RecordAnswer(now.Add(time.Second))
	assert.Equal(t, e.Remaining(now.Add(time.Second)), EntryReturnGrace)
}
