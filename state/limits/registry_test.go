package limits

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestRecordKeepsTheLatestLimit(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	at := func(ms int) time.Time { return now.Add(time.Duration(ms) * time.Millisecond) }
	type answer struct {
		sent, arrived int
		perSecond     float64
	}
	tests := []struct {
		name    string
		answers []answer
		want    float64
	}{
		{"none", []answer{{0, 10, Unlimited}}, Unlimited},
		{"named", []answer{{0, 10, 2}}, 2},
		{"lowered", []answer{{0, 10, 2}, {20, 30, 1}}, 1},
		{"raised", []answer{{0, 10, 2}, {20, 30, 5}}, 5},
		{"dropped", []answer{{0, 10, 2}, {20, 30, Unlimited}}, Unlimited},
		{"named again", []answer{{0, 10, 2}, {20, 30, Unlimited}, {40, 50, 2}}, 2},
		{"overtaken by an answer without a limit", []answer{{5, 10, 2}, {0, 30, Unlimited}}, 2},
		{"overtaken by an answer with a higher limit", []answer{{5, 10, 2}, {0, 30, 4}}, 2},
		{"overtaken by an answer with a lower limit", []answer{{5, 10, 2}, {0, 30, 1}}, 1},
		{"overtaken by an answer that named it", []answer{{20, 30, Unlimited}, {0, 40, 2}}, 2},
	}
	for _, test := range tests {
		r := NewRegistry()
		for _, a := range test.answers {
			r.Record(at(a.arrived), "r", a.perSecond, at(a.sent))
		}
		assert.Equal(t, r.PerSecond("r"), test.want, test.name)
		assert.Equal(t, r.PerSecond("other"), Unlimited, test.name)
	}
}

func TestMergeKeepsTheLatestRecord(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	at := func(ms int) time.Time { return now.Add(time.Duration(ms) * time.Millisecond) }
	tests := []struct {
		name    string
		known   Named
		merged  Named
		want    float64
		changed bool
	}{
		{"new", Named{}, Named{"r", 2, at(0)}, 2, true},
		{"dropped elsewhere", Named{"r", 2, at(0)}, Named{"r", Unlimited, at(10)}, Unlimited, true},
		{"named again elsewhere", Named{"r", Unlimited, at(0)}, Named{"r", 2, at(10)}, 2, true},
		{"older", Named{"r", 2, at(10)}, Named{"r", 1, at(0)}, 2, false},
		{"the same a moment later", Named{"r", 2, at(0)}, Named{"r", 2, at(300)}, 2, false},
		{"the same later", Named{"r", 2, at(0)}, Named{"r", 2, at(3000)}, 2, false},
	}
	for _, test := range tests {
		r := NewRegistry()
		if test.known.Runner != "" {
			r.named["r"] = test.known
		}
		assert.Equal(t, r.Merge(test.merged), test.changed, test.name)
		assert.Equal(t, r.PerSecond("r"), test.want, test.name)
	}
}

// A record goes from VM to VM, and seems later with each step.
func TestRecordThatVMsReportToEachOtherStaysAtItsTime(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	vms := []*Registry{NewRegistry(), NewRegistry()}
	vms[0].Record(now, "r", 2, now)
	for range 100 {
		now = now.Add(250 * time.Millisecond)
		for i, from := range vms {
			for _, named := range from.Current(now) {
				named.At = named.At.Add(300 * time.Millisecond)
				vms[1-i].Merge(named)
			}
		}
	}
	assert.Assert(t, now.Sub(vms[0].Current(now)[0].At) > 20*time.Second)
}

func TestEndOfALimitIsReportedForAWhile(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	r := NewRegistry()
	r.Record(now, "r", 2, now)
	r.Record(now.Add(time.Second), "r", Unlimited, now.Add(time.Second))
	assert.Equal(t, len(r.Current(now.Add(2*time.Second))), 1)
	assert.Equal(t, len(r.Current(now.Add(time.Minute))), 0)
	r.Record(now.Add(time.Minute), "r", 1, now.Add(time.Minute))
	assert.Equal(t, len(r.Current(now.Add(time.Hour))), 1)
	r.Forget(now.Add(time.Hour), func(string) bool { return true })
	assert.Equal(t, r.PerSecond("r"), 1.0)
	r.Forget(now.Add(time.Hour), func(string) bool { return false })
	assert.Equal(t, r.PerSecond("r"), Unlimited)
}
