package dispatch

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/zinniaroute/zinniaroute/standin/seeded"
	"github.com/zinniaroute/zinniaroute/state/fleet"
)

var _ = seeded.Fix()

// TestARestoredDeskChoosesTheSame checks that a snapshot holds all state that a choice depends on, except for cached
// prompt prefixes.
func TestARestoredDeskChoosesTheSame(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		runners := runnersOf(rapid.IntRange(1, 5).Draw(t, "runners"))
		for i, runner := range runners {
			runner.Domain = rapid.SampledFrom([]string{"a", "b"}).Draw(t, fmt.Sprint("domain", i))
		}
		d := NewDesk("a")
		now := start
		var open []*Ticket
		for range rapid.IntRange(0, 40).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 600).Draw(t, "pause")) * time.Millisecond)
			open = disturb(t, d, now, runners, open)
		}
		data, err := json.Marshal(d.Snapshot(now))
		assert.NilError(t, err)
		var saved Snapshot
		assert.NilError(t, json.Unmarshal(data, &saved))
		restored := Restore(saved)
		for _, after := range []time.Duration{0, 300 * time.Millisecond, 5 * time.Second} {
			want := d.Weigh(now.Add(after), quick(), runners, nil)
			got := restored.Weigh(now.Add(after), quick(), runners, nil)
			for i := range want {
				assert.Equal(t, got[i].Runner.ID, want[i].Runner.ID)
				assert.Equal(t, got[i].Doubt, want[i].Doubt)
				near := got[i].Cost - want[i].Cost
				assert.Check(t, near.Abs() < time.Microsecond, "%v and %v", got[i].Cost, want[i].Cost)
			}
			best, _ := d.Choose(now.Add(after), quick(), runners, nil)
			assert.Equal(t, best.Runner.ID, want[0].Runner.ID, "Choose returns the first candidate")
		}
	})
}

func disturb(t *rapid.T, d *Desk, now time.Time, runners []*fleet.Runner, open []*Ticket) []*Ticket {
	if len(open) == 0 || rapid.Bool().Draw(t, "send") {
		runner := rapid.SampledFrom(runners).Draw(t, "runner")
		return append(open, d.Sent(now, quick(), Choice{Runner: runner, Wait: 20 * time.Millisecond}))
	}
	ticket := open[0]
	switch rapid.IntRange(0, 4).Draw(t, "fate") {
	case 0:
		d.Unreached(now, ticket)
	case 1:
		d.Ended(now, ticket, Declined)
	case 2:
		d.Ended(now, ticket, Dropped)
	case 3:
		d.Began(now, ticket)
		d.Ended(now, ticket, Served)
	default:
		d.Ended(now, ticket, Failed)
	}
	return open[1:]
}
