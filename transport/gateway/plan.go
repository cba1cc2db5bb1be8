package gateway

import (
	"time"

	"github.com/zinniaroute/zinniaroute/coordination/gathering"
	"github.com/zinniaroute/zinniaroute/eventlog"
	"github.com/zinniaroute/zinniaroute/state/allocation"
	"github.com/zinniaroute/zinniaroute/state/orders"
)

const (
	// planInterval is the shortest interval between two plans.
	planInterval = 250 * time.Millisecond
	// gatherFirst is the time for which a VM aggregates digests before its first plan.
	gatherFirst = time.Second
	// planTell is the shortest interval at which the demand for models and the number of their copies are logged.
	planTell = 2 * time.Second
	// moveTime is the time within which a planned move shows in the reports of its runner's owner.
	moveTime = 1500 * time.Millisecond
)

// planState is the state that the aggregating VM keeps between plans. Its maps have a runner or a service as key.
type planState struct {
	// moves holds the planned moves that the owners of the runners have not fetched yet. moved is when the last move was
	// planned, and targets the model that it loads.
	moves   map[string]orders.Move
	moved   map[string]time.Time
	targets map[string]string
	// held is when each model was loaded on a runner, by runner and model. It is zero for the models that a
	// runner held at its first plan.
	held map[string]map[string]time.Time
	// absent is the time since when no runner holds a model, by service and model.
	absent map[string]map[string]time.Time
	// began is when this VM began to aggregate. planned is when it last planned, and told when it last logged the demand.
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

// plan plans moves of models. Only the aggregating VM calls it.
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
			g.log.Emit(eventlog.PlanState, name, allocation.Describe(runners, demand))
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

// planRunners returns the runners of a service with the state on which the plan is based. The caller must hold the
// lock.
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

// noteHeld records when each model on a runner was loaded. The caller must hold the lock.
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
