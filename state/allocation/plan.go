package allocation

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/zinniaroute/zinniaroute/state/orders"
	"github.com/zinniaroute/zinniaroute/state/routes"
)

const (
	// minUrgencyRatio is how many times the urgency of a new replica must exceed the work that each remaining replica
	// of the replaced model gets. A ratio above 1 keeps the plan from swapping models back and forth.
	minUrgencyRatio = 1.3
	// minWorkPerReplica is the work of each replica, in runners, below which a model needs no further replica. Runners
	// that spend a larger part of their time on prefill answer late.
	minWorkPerReplica = 0.25
	// minResidence is the time for which a model stays on a runner after its load.
	minResidence = 3 * time.Second
	// unloadedDemandFactor multiplies the demand for a model that no runner holds, since none of its requests are
	// served.
	unloadedDemandFactor = 5
	// unloadedUrgencyPerSecond is the urgency, in runners, that a model gains in each second in which no runner holds
	// it. It ensures that each model gets loaded in the end.
	unloadedUrgencyPerSecond = 0.2
)

// Runner is the state of a runner on which the plan is based.
type Runner struct {
	ID       string
	Models   []string
	InMemory []string
	OnDisk   []string
	// Fixed runners get no moves now; their replicas still count.
	Fixed bool
	// Moving runners are carrying out a move, and get no other.
	Moving bool
	// Draining runners take no new requests: they get no moves, and their replicas do not count.
	Draining bool
	// Target is the model that a moving runner is loading, which counts as a replica.
	Target string
	// Reduction is the part of its capacity, from 0 to 1, that the runner does not offer, as LimitReduction returns it.
	Reduction float64
	// LoadedAt is when each model was loaded, or the zero time when not known.
	LoadedAt map[string]time.Time
}

// LimitReduction returns the Reduction of a runner that takes at most a number of requests a second.
func LimitReduction(perSecond float64) float64 { return max(0, 1-perSecond*typicalWork.Seconds()) }

func (r *Runner) holds(model string) bool {
	return slices.Contains(r.Models, model) || r.Target == model
}

// Demand is the work that the requests for each model cause, in runners: seconds of work a second.
type Demand map[string]float64

// Assignment is a move and the runner that carries it out.
type Assignment struct {
	Runner string
	Move   orders.Move
}

// planner holds the inputs and running totals of one planning round.
type planner struct {
	now      time.Time
	engine   *routes.Engine
	runners  []*Runner
	demand   Demand
	replicas map[string]int
	// capacity is the capacity of a model's replicas, in runners.
	capacity map[string]float64
	// unloadedSince is the time since which no runner holds a model.
	unloadedSince map[string]time.Time
	// balance is the estimate of which demand each runner serves.
	balance *balance
}

// UnloadedSince returns the models that no runner holds, each with the time since when; before is the previous result.
func UnloadedSince(
	now time.Time,
	engine *routes.Engine,
	runners []*Runner,
	before map[string]time.Time,
) map[string]time.Time {
	after := make(map[string]time.Time)
	for i := range engine.Models {
		name := engine.Models[i].Name
		if slices.ContainsFunc(runners, func(r *Runner) bool { return !r.Draining && r.holds(name) }) {
			continue
		}
		after[name] = now
		if since, ok := before[name]; ok {
			after[name] = since
		}
	}
	return after
}

// Plan returns the moves to start now, the most urgent first; unloadedSince is the result of UnloadedSince.
func Plan(
	now time.Time,
	engine *routes.Engine,
	runners []*Runner,
	demand Demand,
	unloadedSince map[string]time.Time,
) []Assignment {
	p := &planner{now: now, engine: engine, runners: runners, demand: demand, unloadedSince: unloadedSince}
	busy := 0
	for _, runner := range runners {
		if runner.Moving {
			busy++
		}
	}
	var assignments []Assignment
	for busy < maxConcurrentMoves(engine) {
		p.updateTotals()
		assignment, ok := p.mostUrgentMove()
		if !ok {
			break
		}
		assignments = append(assignments, assignment)
		p.apply(assignment)
		busy++
	}
	return assignments
}

// maxConcurrentMoves returns the number of runners that may change their models at once: as many as the weight store
// can supply, and warmMoves runners that load from copies of the weights on their own VM.
func maxConcurrentMoves(engine *routes.Engine) int {
	longest := time.Duration(0)
	for i := range engine.Models {
		longest = max(longest, engine.Models[i].LoadTime)
	}
	return warmMoves + int(math.Ceil(engine.LoadsPerSecond*longest.Seconds()))
}

// warmMoves is the number of concurrent moves beyond those that the weight store can supply.
const warmMoves = 2

func (p *planner) updateTotals() {
	p.replicas, p.capacity = make(map[string]int), make(map[string]float64)
	for _, runner := range p.runners {
		if runner.Draining {
			continue
		}
		for _, model := range runner.servedModels() {
			p.replicas[model]++
			p.capacity[model] += 1 - runner.Reduction
		}
	}
	p.balance = newBalance(p.runners, p.demand)
}

// minCapacity is the least capacity of replicas on which the plan is based.
const minCapacity = 0.02

// minDemand and maxDemand bound the demand for a model, since its measurement may rest on a few requests. The margin is
// one standard deviation of the number of requests in the decaying sum.
func (p *planner) minDemand(model string) float64 {
	return max(0, p.demand[model]-math.Sqrt(p.demand[model]*demandPerRequest))
}

func (p *planner) maxDemand(model string) float64 {
	return p.demand[model] + math.Sqrt(p.demand[model]*demandPerRequest) + demandPerRequest
}

// demandPerRequest is the demand, in runners, that one recent request adds.
var demandPerRequest = typicalWork.Seconds() * math.Ln2 / demandHalfLife.Seconds()

// typicalWork is the work of a typical request.
const typicalWork = 100 * time.Millisecond

// urgency returns the value of one more replica of a model, in runners.
func (p *planner) urgency(model string) float64 {
	if p.replicas[model] == 0 {
		return unloadedDemandFactor*p.maxDemand(model) +
			unloadedUrgencyPerSecond*p.now.Sub(p.unloadedSince[model]).Seconds()
	}
	// A further replica takes over no more than the model's own demand.
	own := p.minDemand(model) / min(1, max(minCapacity, p.capacity[model]))
	return min(p.balance.level[model], own)
}

// mostUrgentMove returns a move for the most urgent model that a runner can load.
func (p *planner) mostUrgentMove() (Assignment, bool) {
	models := make([]*routes.Model, 0, len(p.engine.Models))
	for i := range p.engine.Models {
		models = append(models, &p.engine.Models[i])
	}
	slices.SortStableFunc(models, func(a, b *routes.Model) int {
		return cmp.Or(cmp.Compare(p.urgency(b.Name), p.urgency(a.Name)), strings.Compare(a.Name, b.Name))
	})
	for _, model := range models {
		if p.replicas[model.Name] > 0 && p.urgency(model.Name) < minWorkPerReplica {
			break
		}
		if assignment, ok := p.cheapestMove(model); ok {
			return assignment, true
		}
	}
	return Assignment{}, false
}

// cheapestMove returns the cheapest move that adds a replica of a model.
func (p *planner) cheapestMove(model *routes.Model) (Assignment, bool) {
	best, bestCost := Assignment{}, math.Inf(1)
	for _, runner := range p.runners {
		if runner.Fixed || runner.Moving || runner.Draining || runner.holds(model.Name) {
			continue
		}
		victims, loss, ok := p.victims(runner, model)
		if !ok || !p.relieves(runner, model, loss) {
			continue
		}
		if cost := loss + p.loadCost(runner, model) + p.balance.work[runner.ID] + runner.Reduction; cost < bestCost {
			best = Assignment{Runner: runner.ID, Move: orders.Move{Unload: victims, Load: model.Name}}
			bestCost = cost
		}
	}
	return best, best.Runner != ""
}

// relieves reports whether a replica of a model on a runner, which gives up some of its work for it, takes work from the
// model's other replicas.
func (p *planner) relieves(runner *Runner, model *routes.Model, loss float64) bool {
	if p.replicas[model.Name] == 0 {
		return true
	}
	return (p.balance.work[runner.ID]-loss)/runner.capacity() < p.balance.level[model.Name]/minUrgencyRatio
}

// loadCost returns the cost of a load in runners: a tenth of its time in seconds, which spreads the load over ten
// seconds.
func (p *planner) loadCost(runner *Runner, model *routes.Model) float64 {
	switch {
	case slices.Contains(runner.InMemory, model.Name):
		return model.HostLoadTime.Seconds() / 10
	case slices.Contains(runner.OnDisk, model.Name):
		return model.DiskLoadTime.Seconds() / 10
	default:
		return coldLoadCostFactor * model.LoadTime.Seconds() / 10
	}
}

// coldLoadCostFactor raises the cost of a load from the weight store, since the store limits the rate of loads.
const coldLoadCostFactor = 2

// victims returns the models that a runner must unload to fit another, and the work that their replicas serve.
func (p *planner) victims(runner *Runner, model *routes.Model) ([]string, float64, bool) {
	free := p.engine.MemoryMB - p.adapterMemoryMB()
	held := make([]*routes.Model, 0, len(runner.Models))
	for _, name := range runner.Models {
		m := p.engine.Model(name)
		if m == nil {
			return nil, 0, false
		}
		free -= m.MemoryMB
		held = append(held, m)
	}
	slices.SortStableFunc(held, func(a, b *routes.Model) int {
		return cmp.Compare(p.balance.share[runner.ID][a.Name], p.balance.share[runner.ID][b.Name])
	})
	var names []string
	loss := 0.0
	for _, victim := range held {
		if free >= model.MemoryMB {
			break
		}
		if !p.mayReplace(runner, victim, model) {
			continue
		}
		free += victim.MemoryMB
		loss += p.balance.share[runner.ID][victim.Name]
		names = append(names, victim.Name)
	}
	return names, loss, free >= model.MemoryMB
}

// mayReplace reports whether a replica of victim may be replaced by a replica of model. The last replica of a model
// always stays.
func (p *planner) mayReplace(runner *Runner, victim, model *routes.Model) bool {
	if p.replicas[victim.Name] <= 1 || p.now.Sub(runner.LoadedAt[victim.Name]) < minResidence {
		return false
	}
	remaining := max(minCapacity, p.capacity[victim.Name]-(1-runner.Reduction))
	level := p.balance.level[victim.Name] + p.balance.share[runner.ID][victim.Name]/remaining
	after := min(level, p.maxDemand(victim.Name))
	return after*minUrgencyRatio < p.urgency(model.Name)
}

// adapterMemoryMB returns the memory kept free for adapters, in megabytes.
func (p *planner) adapterMemoryMB() float64 {
	largest := 0.0
	for i := range p.engine.Models {
		if p.engine.Models[i].AdapterCount > 0 {
			largest = max(largest, p.engine.Models[i].AdapterMB)
		}
	}
	return largest * float64(p.engine.AdapterSlots)
}

func (p *planner) apply(a Assignment) {
	for _, runner := range p.runners {
		if runner.ID != a.Runner {
			continue
		}
		runner.Models = slices.DeleteFunc(slices.Clone(runner.Models), func(m string) bool {
			return slices.Contains(a.Move.Unload, m)
		})
		runner.Target = a.Move.Load
		runner.Moving = true
	}
}

// maxDescribedModels bounds the models that Describe names.
const maxDescribedModels = 8

// Describe formats the demand for the busiest models, in runners, and the number of their replicas for a log line.
func Describe(runners []*Runner, demand Demand) string {
	p := &planner{runners: runners, demand: demand}
	p.updateTotals()
	names := make([]string, 0, len(demand))
	for name := range demand {
		names = append(names, name)
	}
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Or(cmp.Compare(demand[b], demand[a]), strings.Compare(a, b))
	})
	var text strings.Builder
	for _, name := range names[:min(len(names), maxDescribedModels)] {
		fmt.Fprintf(&text, "%s %.2f/%d ", name, demand[name], p.replicas[name])
	}
	return strings.TrimSpace(text.String())
}
