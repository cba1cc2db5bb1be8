package origins

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var start = time.Unix(1_000_000, 0)

func at(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }

func TestTableDropsExpiredAndExcessOrigins(t *testing.T) {
	table := NewTable()
	v1 := Origin{Service: "s", Software: "v1"}
	table.Put(at(0), "a", v1, at(10))
	origin, ok := table.Get(at(9), "a")
	assert.Assert(t, ok)
	assert.Equal(t, origin, v1)
	_, ok = table.Get(at(10), "a")
	assert.Assert(t, !ok)
	for i := range maxOrigins + 10 {
		table.Put(at(11), fmt.Sprint(i), v1, at(20))
	}
	assert.Equal(t, len(table.byAttempt), maxOrigins)
	_, ok = table.Get(at(12), "0")
	assert.Assert(t, !ok)
	_, ok = table.Get(at(12), fmt.Sprint(maxOrigins))
	assert.Assert(t, ok)
}

func TestOnlyVersionOfAService(t *testing.T) {
	type sighting struct {
		seconds  float64
		software string
	}
	tests := []struct {
		name  string
		syncs []float64
		seen  []sighting
		want  string
	}{
		{"one version", []float64{0, 2, 4, 6, 8, 10, 12}, []sighting{{0, "v1"}, {12, "v1"}}, "v1"},
		{"two versions", []float64{0, 2, 4, 6, 8, 10, 12}, []sighting{{12, "v1"}, {12, "v2"}}, ""},
		{"the other left in the period", []float64{0, 2, 4, 6, 8, 10, 12}, []sighting{{5, "v1"}, {12, "v2"}}, ""},
		{"the other left before", []float64{-8, -6, -4, -2, 0, 2, 4, 6, 8, 10, 12}, []sighting{{-8, "v1"}, {12, "v2"}}, "v2"},
		{"an unknown version", []float64{0, 2, 4, 6, 8, 10, 12}, []sighting{{12, "v1"}, {12, ""}}, ""},
		{"not long enough in sync", []float64{8, 10, 12}, []sighting{{12, "v1"}}, ""},
		{"a gap", []float64{0, 2, 6, 8, 10, 12}, []sighting{{12, "v1"}}, ""},
		{"out of sync", []float64{0, 2, 4, 6, 8}, []sighting{{8, "v1"}}, ""},
		{"no runner", []float64{0, 2, 4, 6, 8, 10, 12}, nil, ""},
	}
	for _, test := range tests {
		h := NewHistory()
		for _, seconds := range test.syncs {
			h.RecordSync(at(seconds))
		}
		for _, s := range test.seen {
			h.Record(at(s.seconds), "s", s.software)
		}
		software, ok := h.Only(at(12), "s", 10*time.Second)
		assert.Equal(t, software, test.want, test.name)
		assert.Equal(t, ok, test.want != "", test.name)
	}
}
