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
func TestLoadGoesToSteadyDemandBeforeBurst(t *testing.T) {
	cases := []struct {
		name    string
		demands []UnitDemand
		want    string
	}{
		{"burst against more steady demand", []UnitDemand{{Name: "burst", InFlight: 200, SteadyInFlight: 10}, {Name: "steady", InFlight: 100, SteadyInFlight: 90}}, "steady"},
		{"burst while steady demand is served", []UnitDemand{{Name: "burst", InFlight: 200, SteadyInFlight: 10}, {Name: "steady", InFlight: 15, SteadyInFlight: 15}}, "burst"},
		{"steady part unknown", []UnitDemand{{Name: "burst", InFlight: 200}, {Name: "steady", InFlight: 100}}, "burst"},
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
			Index: index, Assignment: Assign(index), Domain: "a", Demands: c.demands, LoadBudget: 1,
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
func TestForecastSteadyPartIgnoresShortBurst(t *testing.T) {
	f := NewForecast()
	now := time.Unix(1000, 0)
	runFor := func(span time.Duration, inFlight float64) UnitDemand {
		var last []UnitDemand
		for end := now.Add(span); now.Before(end); now = now.Add(5 * time.Second) {
			last = f.Update(now, []UnitDemand{{Name: "m", InFlight: inFlight}})
		}
		return last[0]
	}
	assert.Check(t, runFor(time.Minute, 10).SteadyInFlight > 9)
	burst := runFor(3*time.Minute, 50)
	assert.Check(t, burst.InFlight > 45)
	assert.Check(t, burst.SteadyInFlight < 25, "%f", burst.SteadyInFlight)
	assert.Check(t, runFor(3*time.Minute, 5).SteadyInFlight < 7)
}
