package fleet

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/zinniaroute/zinniaroute/standin/seeded"
)

var _ = seeded.SetFlags()

func TestRunnerThatSaysThatItLeavesStaysDraining(t *testing.T) {
	later := now.Add(time.Second)
	tests := []struct {
		name  string
		apply func(d *Directory)
		want  bool
	}{
		{"said in an answer", func(d *Directory) { d.RecordDeparture(now, Departure{"r", 5}) }, true},
		{"the entry says ready again", func(d *Directory) {
			d.RecordDeparture(now, Departure{"r", 5})
			d.Put(later, entry(2, 5, false))
		}, true},
		{"the entry came back after an outage", func(d *Directory) {
			d.RecordDeparture(now, Departure{"r", 5})
			d.Remove("r")
			d.Put(later, entry(2, 5, false))
		}, true},
		{"the entry said so and came back from an older copy", func(d *Directory) {
			d.Put(now, entry(2, 5, true))
			d.Remove("r")
			d.Put(later, entry(3, 5, false))
		}, true},
		{"started again", func(d *Directory) {
			d.RecordDeparture(now, Departure{"r", 5})
			d.Put(later, entry(2, 6, false))
		}, false},
		{"late answer of an earlier incarnation", func(d *Directory) {
			d.Put(later, entry(2, 6, false))
			d.RecordDeparture(later, Departure{"r", 5})
		}, false},
		{"said before the entry arrived", func(d *Directory) {
			d.RecordDeparture(now, Departure{"r", 6})
			d.Put(later, entry(2, 6, false))
		}, true},
		{"another incarnation may have said so", func(d *Directory) {
			d.RecordLeavingAnswer(now, Departure{"r", 5}, now)
			d.Put(later, entry(2, 6, false))
		}, true},
		{"the incarnation after it says so", func(d *Directory) {
			d.RecordLeavingAnswer(now, Departure{"r", 5}, now)
			d.Put(later, entry(2, 6, false))
			d.SettleDeparture(later, Departure{"r", 6}, true, later)
		}, true},
		{"the incarnation after it does not say so", func(d *Directory) {
			d.RecordLeavingAnswer(now, Departure{"r", 5}, now)
			d.Put(later, entry(2, 6, false))
			d.SettleDeparture(later, Departure{"r", 6}, false, later)
		}, false},
		{"settled before it started again", func(d *Directory) {
			d.RecordLeavingAnswer(now, Departure{"r", 5}, now)
			d.SettleDeparture(later, Departure{"r", 5}, true, later)
			d.Put(later, entry(2, 6, false))
		}, false},
		{"said in an answer and not in the report", func(d *Directory) {
			d.RecordLeavingAnswer(now, Departure{"r", 5}, now)
			d.SettleDeparture(later, Departure{"r", 5}, false, later)
		}, true},
		{"a late answer after it was settled", func(d *Directory) {
			d.RecordLeavingAnswer(now, Departure{"r", 5}, now)
			d.SettleDeparture(later, Departure{"r", 5}, true, later)
			d.RecordLeavingAnswer(later, Departure{"r", 5}, now)
			d.Put(later, entry(2, 6, false))
		}, false},
		{"another runner", func(d *Directory) { d.RecordDeparture(now, Departure{"other", 5}) }, false},
	}
	for _, test := range tests {
		d := NewDirectory()
		d.Put(now, entry(1, 5, false))
		test.apply(d)
		assert.Equal(t, d.Get("r").Draining, test.want, test.name)
	}
}

func TestDepartureOfAnAbsentRunnerIsForgottenInTheEnd(t *testing.T) {
	d := NewDirectory()
	d.Put(now, entry(1, 5, false))
	d.RecordDeparture(now, Departure{"r", 5})
	assert.Equal(t, len(d.Departures(now.Add(time.Hour))), 1)
	d.Remove("r")
	assert.Equal(t, len(d.Departures(now.Add(time.Hour+departureTTL-time.Second))), 1)
	assert.Equal(t, len(d.Departures(now.Add(time.Hour+departureTTL))), 0)
}

// VMs hear of departures in different orders, several times, and through each other.
func TestDeparturesAreTheSameInWhateverOrderTheyAreMerged(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		told := rapid.SliceOf(rapid.Custom(func(t *rapid.T) Departure {
			return Departure{fmt.Sprint("r", rapid.IntRange(0, 4).Draw(t, "runner")), rapid.Int64Range(0, 5).Draw(t, "incarnation")}
		})).Draw(t, "told")
		order := rapid.Permutation(told).Draw(t, "order")
		one, other := NewDepartures(), NewDepartures()
		for _, d := range told {
			one.Record(now, d)
		}
		for i, d := range order {
			other.Record(now, d)
			if i%2 == 0 {
				other.Record(now, d)
			}
		}
		assert.DeepEqual(t, one.All(), other.All())
		for _, d := range one.All() {
			other.Record(now, d)
		}
		assert.DeepEqual(t, one.All(), other.All())
		for _, d := range told {
			assert.Assert(t, other.Includes(d.Runner, d.Incarnation), "%v is lost", d)
		}
	})
}
