package placement

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/zinniaroute/zinniaroute/state/catalog"
	"github.com/zinniaroute/zinniaroute/state/ledger"
)

// Two units lack replicas, one of them during a burst, and the budget permits one load. The load goes to the unit with
// more unmet steady demand.
func TestSteadyDemandIsLoadedForBeforeABurst(t *testing.T) {
	cases := []struct {
		name  string
		loads []Load
		want  string
	}{
		{"burst against more steady demand", []Load{{Name: "burst", Busy: 200, Steady: 10}, {Name: "steady", Busy: 100, Steady: 90}}, "steady"},
		{"burst while steady demand is served", []Load{{Name: "burst", Busy: 200, Steady: 10}, {Name: "steady", Busy: 15, Steady: 15}}, "burst"},
		{"steady part unknown", []Load{{Name: "burst", Busy: 200}, {Name: "steady", Busy: 100}}, "burst"},
	}
	for _, c := range cases {
		index := catalog.NewIndex(&catalog.Set{
			Deployment: []catalog.Deployment{{Name: "d", Domains: []string{"a"}, ConcurrentLoads: 1}},
			Runners: []catalog.Runner{
				{Name: "r1", Domain: "a", Accelerators: 1, MemoryMiB: 100},
				{Name: "r2", Domain: "a", Accelerators: 1, MemoryMiB: 100},
				{Name: "r3", Domain: "a", Accelerators: 1, MemoryMiB: 100},
			},
			Models: []catalog.Model{{Name: "burst", MemoryMiB: 100}, {Name: "steady", MemoryMiB: 100}},
		})
		held := func(unit string) []ledger.Item {
			return []ledger.Item{{Name: unit, Kind: ledger.ItemBase, MemoryMiB: 100, Accelerators: []int{0}, State: ledger.Resident, Serving: true}}
		}
		plan := NewPlanner().Plan(time.Unix(1000, 0), Input{
			Index: index, Assignment: Assign(index), Domain: "a", Loads: c.loads, LoadBudget: 1,
			Runners: []RunnerView{
				{Name: "r1", Accelerators: 1, MemoryMiB: 100, Usable: true, Items: held("burst")},
				{Name: "r2", Accelerators: 1, MemoryMiB: 100, Usable: true, Items: held("steady")},
				{Name: "r3", Accelerators: 1, MemoryMiB: 100, Usable: true},
			},
		})
		assert.Equal(t, len(plan.Moves), 1, c.name)
		assert.Equal(t, plan.Moves[0].Item, c.want, c.name)
	}
}

// A burst of three minutes hardly raises the steady part. The steady part falls soon after demand ends.
func TestTheSteadyPartOfDemand(t *testing.T) {
	f := NewForecast()
	now := time.Unix(1000, 0)
	follow := func(span time.Duration, busy float64) Load {
		var last []Load
		for end := now.Add(span); now.Before(end); now = now.Add(5 * time.Second) {
			last = f.Update(now, []Load{{Name: "m", Busy: busy}})
		}
		return last[0]
	}
	assert.Check(t, follow(time.Minute, 10).Steady > 9)
	burst := follow(3*time.Minute, 50)
	assert.Check(t, burst.Busy > 45)
	assert.Check(t, burst.Steady < 25, "%f", burst.Steady)
	assert.Check(t, follow(3*time.Minute, 5).Steady < 7)
}
