package allocation

import (
	"cmp"
	"slices"
	"strings"
)

// balanceRounds is the number of passes over the models. The loads change little after three.
const balanceRounds = 3

// balance is an estimate of which part of the demand each runner serves: the demand for each model is spread over the
// runners that hold it so that they are as evenly loaded as possible, as the choice of endpoints does.
type balance struct {
	// work is the demand that each runner serves, and share the part of it for each model. Both are in runners.
	work  map[string]float64
	share map[string]map[string]float64
	// level is the load of the runners that serve a model, relative to their capacity. A further replica on a runner with
	// a lower load takes work from them.
	level map[string]float64
}

// newBalance spreads demand over the runners, by water filling for one model after the other.
func newBalance(runners []*Runner, demand Demand) *balance {
	b := &balance{
		work: make(map[string]float64), share: make(map[string]map[string]float64), level: make(map[string]float64),
	}
	holders := make(map[string][]*Runner)
	for _, runner := range runners {
		if runner.Draining {
			continue
		}
		b.share[runner.ID] = make(map[string]float64)
		for _, model := range runner.servedModels() {
			holders[model] = append(holders[model], runner)
		}
	}
	models := make([]string, 0, len(holders))
	for model := range holders {
		models = append(models, model)
	}
	slices.SortFunc(models, func(a, c string) int {
		return cmp.Or(cmp.Compare(demand[c], demand[a]), strings.Compare(a, c))
	})
	for range balanceRounds {
		for _, model := range models {
			b.fill(model, holders[model], demand[model])
		}
	}
	return b
}

// fill spreads the demand for a model over its holders, given the work for other models there.
func (b *balance) fill(model string, holders []*Runner, demand float64) {
	for _, runner := range holders {
		b.work[runner.ID] -= b.share[runner.ID][model]
		delete(b.share[runner.ID], model)
	}
	load := func(r *Runner) float64 { return b.work[r.ID] / r.capacity() }
	slices.SortStableFunc(holders, func(a, c *Runner) int { return cmp.Compare(load(a), load(c)) })
	// The level is that at which the least loaded holders take the whole demand.
	capacity, work, used := 0.0, demand, 0
	for used < len(holders) {
		runner := holders[used]
		capacity += runner.capacity()
		work += b.work[runner.ID]
		used++
		if used == len(holders) || work/capacity <= load(holders[used]) {
			break
		}
	}
	level := work / capacity
	b.level[model] = level
	for _, runner := range holders[:used] {
		share := max(0, level*runner.capacity()-b.work[runner.ID])
		b.share[runner.ID][model] = share
		b.work[runner.ID] += share
	}
}

// capacity returns the part of its capacity that the runner offers, which is never zero.
func (r *Runner) capacity() float64 { return max(minCapacity, 1-r.Reduction) }

// servedModels returns the models that the runner holds or is loading.
func (r *Runner) servedModels() []string {
	if r.Target == "" || slices.Contains(r.Models, r.Target) {
		return r.Models
	}
	return append(slices.Clone(r.Models), r.Target)
}
