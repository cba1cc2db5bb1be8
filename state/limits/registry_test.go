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
