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
	// gain is how many times more work a copy of the new model must take on than the copy that it replaces did.
	gain = 1.3
	// leastShare is the work of each copy below which a model needs no further copy, in runners: runners that read
	// prompts for a larger part of their time answer late.
	leastShare = 0.25
	// stay is the time for which a model stays on a runner after it was loaded there.
	stay = 3 * time.Second
	// absentWeight is how many times dearer the work of a model is that no runner holds: nothing of it is served.
	absentWeight = 5
	// absentGrowth is what each second of absence adds to a model's urgency, in runners, so that every one gets its turn.
	absentGrowth = 0.2
)

// Runner is a runner as the plan sees it.
type Runner struct {
	ID       string
	Models   []string
	InMemory []string
	OnDisk   []string
	// Fixed runners are not to be ordered now; what they hold still counts.
	Fixed bool
	// Moving runners are changing what they hold.
	Moving bool
	// Gone runners hold copies that do not count, since they leave.
	Gone bool
	// Target is the model that a moving runner is about to hold, which counts as a copy.
	Target string
	// Since is when each model was loaded, as far as known.
	Since map[string]time.Time
}

func (r *Runner) holds(model string) bool {
	return slices.Contains(r.Models, model) || r.Target == model
}

// Demand is the work that a model's requests ask for, in runners.
type Demand map[string]float64

// Assignment is a move of one runner.
type Assignment struct {
	Runner string
	Move   orders.Move
}

// planner is one round of planning.
type planner struct {
	now     time.Time
	engine  *routes.Engine
	runners []*Runner
	demand  Demand
	copies  map[string]int
	// absent is since when no runner holds a model.
	absent map[string]time.Time
	// work is the demand that each runner is thought to serve.
	work map[string]float64
}

// Absent returns since when no runner holds each model, from what it returned before.
func Absent(now time.Time, engine *routes.Engine, runners []*Runner, before map[string]time.Time) map[string]time.Time {
	after := make(map[string]time.Time)
	for i := range engine.Models {
		name := engine.Models[i].Name
		if slices.ContainsFunc(runners, func(r *Runner) bool { return !r.Gone && r.holds(name) }) {
			continue
		}
		after[name] = now
		if since, ok := before[name]; ok {
			after[name] = since
		}
	}
	return after
}

// Plan returns the moves to begin now; absent tells since when no runner holds a model.
func Plan(
	now time.Time,
	engine *routes.Engine,
	runners []*Runner,
	demand Demand,
	absent map[string]time.Time,
) []Assignment {
	p := &planner{now: now, engine: engine, runners: runners, demand: demand, absent: absent}
	busy := 0
	for _, runner := range runners {
		if runner.Moving {
			busy++
		}
	}
	var assignments []Assignment
	for busy < atOnce(engine) {
		p.count()
		assignment, ok := p.best()
		if !ok {
			break
		}
		assignments = append(assignments, assignment)
		p.apply(assignment)
		busy++
	}
	return assignments
}

// atOnce returns the number of runners that may change their models at once: as many as the weight store can feed, and
// some that load from their own copies.
func atOnce(engine *routes.Engine) int {
	longest := time.Duration(0)
	for i := range engine.Models {
		longest = max(longest, engine.Models[i].LoadTime)
	}
	return warmMoves + int(math.Ceil(engine.LoadsPerSecond*longest.Seconds()))
}

// warmMoves is the number of moves at once beyond those that the weight store can feed.
const warmMoves = 2

func (p *planner) count() {
	p.copies = make(map[string]int)
	for _, runner := range p.runners {
		if runner.Gone {
			continue
		}
		for _, model := range runner.Models {
			p.copies[model]++
		}
		if runner.Target != "" && !slices.Contains(runner.Models, runner.Target) {
			p.copies[runner.Target]++
		}
	}
	p.work = make(map[string]float64)
	for _, runner := range p.runners {
		for _, model := range runner.Models {
			p.work[runner.ID] += p.share(model, 0)
		}
	}
}

// share is the work for each copy of a model if it had some more copies.
func (p *planner) share(model string, more int) float64 {
	return p.demand[model] / float64(max(1, p.copies[model]+more))
}

// least and most bound the demand for a model that may have been measured on a few requests only.
func (p *planner) least(model string) float64 {
	return max(0, p.demand[model]-math.Sqrt(p.demand[model]*oneRequest))
}

func (p *planner) most(model string) float64 {
	return p.demand[model] + math.Sqrt(p.demand[model]*oneRequest) + oneRequest
}

// oneRequest is the demand that one request a moment ago shows, in runners: a usual one takes a tenth of a second.
var oneRequest = 0.1 * math.Ln2 / demandHalfLife.Seconds()

// urgency is what one more copy of a model is worth.
func (p *planner) urgency(model string) float64 {
	if p.copies[model] == 0 {
		return absentWeight*p.most(model) + absentGrowth*p.now.Sub(p.absent[model]).Seconds()
	}
	return p.least(model) / float64(p.copies[model])
}

// best returns the move that is worth most.
func (p *planner) best() (Assignment, bool) {
	models := make([]*routes.Model, 0, len(p.engine.Models))
	for i := range p.engine.Models {
		models = append(models, &p.engine.Models[i])
	}
	slices.SortStableFunc(models, func(a, b *routes.Model) int {
		return cmp.Or(cmp.Compare(p.urgency(b.Name), p.urgency(a.Name)), strings.Compare(a.Name, b.Name))
	})
	for _, model := range models {
		if p.copies[model.Name] > 0 && p.urgency(model.Name) < leastShare {
			break
		}
		if assignment, ok := p.placeFor(model); ok {
			return assignment, true
		}
	}
	return Assignment{}, false
}

// placeFor returns the cheapest move that gives a model one more copy.
func (p *planner) placeFor(model *routes.Model) (Assignment, bool) {
	best, bestCost := Assignment{}, math.Inf(1)
	for _, runner := range p.runners {
		if runner.Fixed || runner.Moving || runner.Gone || runner.holds(model.Name) {
			continue
		}
		victims, loss, ok := p.victims(runner, model)
		if !ok {
			continue
		}
		if cost := loss + p.loadCost(runner, model) + p.work[runner.ID]; cost < bestCost {
			best = Assignment{Runner: runner.ID, Move: orders.Move{Unload: victims, Load: model.Name}}
			bestCost = cost
		}
	}
	return best, best.Runner != ""
}

// loadCost is the time of a load, in runners of a second.
func (p *planner) loadCost(runner *Runner, model *routes.Model) float64 {
	switch {
	case slices.Contains(runner.InMemory, model.Name):
		return model.HostLoadTime.Seconds() / 10
	case slices.Contains(runner.OnDisk, model.Name):
		return model.DiskLoadTime.Seconds() / 10
	default:
		return coldFactor * model.LoadTime.Seconds() / 10
	}
}

// coldFactor makes a load from the weight store dearer than its time, since such loads are rationed.
const coldFactor = 2

// victims returns the models that a runner must give up for another, and the work that their copies served.
func (p *planner) victims(runner *Runner, model *routes.Model) ([]string, float64, bool) {
	free := p.engine.MemoryMB - p.reserve()
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
		return cmp.Compare(p.share(a.Name, 0), p.share(b.Name, 0))
	})
	var names []string
	loss := 0.0
	for _, victim := range held {
		if free >= model.MemoryMB {
			break
		}
		if !p.mayGo(runner, victim, model) {
			continue
		}
		free += victim.MemoryMB
		loss += p.share(victim.Name, 0)
		names = append(names, victim.Name)
	}
	return names, loss, free >= model.MemoryMB
}

// mayGo reports whether a copy may make way for a copy of another model.
func (p *planner) mayGo(runner *Runner, victim, model *routes.Model) bool {
	if p.copies[victim.Name] <= 1 || p.now.Sub(runner.Since[victim.Name]) < stay {
		return false
	}
	after := p.most(victim.Name) / float64(p.copies[victim.Name]-1)
	return after*gain < p.urgency(model.Name)
}

// reserve is the memory kept for adapters, in megabytes.
func (p *planner) reserve() float64 {
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

// described is the number of models that a description names.
const described = 8

// Describe tells the demand for the busiest models and the number of their copies, as text for a log.
func Describe(runners []*Runner, demand Demand) string {
	p := &planner{runners: runners, demand: demand}
	p.count()
	names := make([]string, 0, len(demand))
	for name := range demand {
		names = append(names, name)
	}
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Or(cmp.Compare(demand[b], demand[a]), strings.Compare(a, b))
	})
	var text strings.Builder
	for _, name := range names[:min(len(names), described)] {
		fmt.Fprintf(&text, "%s %.2f/%d ", name, demand[name], p.copies[name])
	}
	return strings.TrimSpace(text.String())
}
