package gateway

import (
	"time"

	"github.com/zinniaroute/zinniaroute/coordination/gathering"
	"github.com/zinniaroute/zinniaroute/eventlog"
	"github.com/zinniaroute/zinniaroute/state/allocation"
	"github.com/zinniaroute/zinniaroute/state/orders"
)

const (
	// planInterval is how often the gathering VM plans.
	planInterval = 250 * time.Millisecond
	// gatherFirst is the time for which a VM gathers before it plans.
	gatherFirst = time.Second
	// planTell is how often the demand for models and their copies are logged.
	planTell = 2 * time.Second
	// moveTime is the time in which a planned move shows in what its runner's owner tells.
	moveTime = 1500 * time.Millisecond
)

// planState is what the gathering VM remembers from plan to plan.
type planState struct {
	// moves are planned and not yet handed to the owners of their runners; moved is when they were planned, and targets
	// are the models that they load.
	moves   map[string]orders.Move
	moved   map[string]time.Time
	targets map[string]string
	// held is since when runners hold their models, as the plan has seen it.
	held map[string]map[string]time.Time
	// absent is since when no runner of a service holds a model.
	absent map[string]map[string]time.Time
	// began is when this VM began to gather, planned and told are when it last planned and logged what it knows.
	began   time.Time
	planned time.Time
	told    time.Time
}

func newPlanState() planState {
	return planState{
		moves:   make(map[string]orders.Move),
		moved:   make(map[string]time.Time),
		targets: make(map[string]string),
		held:    make(map[string]map[string]time.Time),
		absent:  make(map[string]map[string]time.Time),
	}
}

// plan decides on moves of models; only the VM that gathers plans.
func (g *Gateway) plan(now time.Time) {
	table := g.table.Load()
	if table == nil {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if now.Sub(g.plans.planned) < planInterval || now.Sub(g.plans.began) < gatherFirst {
		if g.plans.began.IsZero() {
			g.plans.began = now
		}
		return
	}
	g.plans.planned = now
	known := g.gathered.Owned(now)
	for name, service := range table.Services {
		if service.Engine == nil {
			continue
		}
		runners := g.planRunners(now, name, known)
		demand := g.gathered.Demand(now, name)
		if now.Sub(g.plans.told) >= planTell {
			g.plans.told = now
			g.log.Emit(eventlog.DemandSummary, name, allocation.Describe(runners, demand))
		}
		g.plans.absent[name] = allocation.UnloadedSince(now, service.Engine, runners, g.plans.absent[name])
		for _, a := range allocation.Plan(now, service.Engine, runners, demand, g.plans.absent[name]) {
			g.plans.moves[a.Runner] = a.Move
			g.plans.moved[a.Runner] = now
			g.plans.targets[a.Runner] = a.Move.Load
			g.log.Emit(eventlog.MovePlanned, a.Runner, a.Move.Load, a.Move.Unload, demand[a.Move.Load])
		}
	}
}

// planRunners returns the runners of a service as the plan sees them; the lock must be held.
func (g *Gateway) planRunners(now time.Time, service string, known map[string]gathering.OwnedRunner) []*allocation.Runner {
	var runners []*allocation.Runner
	for _, r := range g.directory.OfService(service) {
		owned, ok := known[r.ID]
		holdings := r.Holdings
		if ok && owned.Incarnation == r.Incarnation {
			holdings = owned.Holdings
		}
		p := &allocation.Runner{
			ID: r.ID, InMemory: r.InMemory, OnDisk: r.OnDisk, Draining: r.Draining,
			Fixed:  !ok,
			Moving: owned.Moving || holdings.Busy || now.Sub(g.plans.moved[r.ID]) < moveTime,
		}
		for _, held := range holdings.Models {
			p.Models = append(p.Models, held.Model)
		}
		p.Target = owned.Target
		if planned, ok := g.plans.moves[r.ID]; ok || now.Sub(g.plans.moved[r.ID]) < moveTime {
			p.Target = planned.Load
			if !ok {
				p.Target = g.plans.targets[r.ID]
			}
		}
		g.noteHeld(now, r.ID, p.Models)
		p.LoadedAt = g.plans.held[r.ID]
		runners = append(runners, p)
	}
	return runners
}

// noteHeld remembers since when a runner holds each model; the lock must be held.
func (g *Gateway) noteHeld(now time.Time, runner string, models []string) {
	before := g.plans.held[runner]
	since := make(map[string]time.Time, len(models))
	for _, model := range models {
		at, ok := before[model]
		if !ok && before != nil {
			at = now
		}
		since[model] = at
	}
	g.plans.held[runner] = since
}
