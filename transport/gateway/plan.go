package gateway

import (
	"time"

	"github.com/zinniaroute/zinniaroute/coordination/gathering"
	"github.com/zinniaroute/zinniaroute/eventlog"
	"github.com/zinniaroute/zinniaroute/state/allocation"
	"github.com/zinniaroute/zinniaroute/state/orders"
	"github.com/zinniaroute/zinniaroute/state/routes"
)

const (
	// planInterval is the shortest interval between two plans.
	planInterval = 250 * time.Millisecond
	// firstPlanDelay is the time for which a VM aggregates reports before its first plan.
	firstPlanDelay = time.Second
	// planLogInterval is the shortest interval at which the demand for models and the number of their replicas are logged.
	planLogInterval = 2 * time.Second
	// moveReportTimeout is the time within which a planned move shows in the reports of its runner's owner.
	moveReportTimeout = 1500 * time.Millisecond
)

// planState is the state that the aggregator keeps between plans. Its maps have a runner or a service as key.
type planState struct {
	// pendingMoves holds the planned moves that the owners of the runners have not fetched yet. lastPlannedAt is when the
	// last move was planned, and lastTargets the model that it loads.
	pendingMoves  map[string]orders.Move
	lastPlannedAt map[string]time.Time
	lastTargets   map[string]string
	// loadedAt is when each model was loaded on a runner, by runner and model. It is zero for the models that a
	// runner held at its first plan.
	loadedAt map[string]map[string]time.Time
	// unloadedSince is the time since when no runner holds a model, by service and model.
	unloadedSince map[string]map[string]time.Time
	// aggregatingSince is when this VM began to aggregate. lastPlanAt is when it last planned, and lastLogAt when it last
	// logged the demand.
	aggregatingSince time.Time
	lastPlanAt       time.Time
	lastLogAt        time.Time
}

func newPlanState() planState {
	return planState{
		pendingMoves:  make(map[string]orders.Move),
		lastPlannedAt: make(map[string]time.Time),
		lastTargets:   make(map[string]string),
		loadedAt:      make(map[string]map[string]time.Time),
		unloadedSince: make(map[string]map[string]time.Time),
	}
}

// planInput is what the plan of a service is based on.
type planInput struct {
	service       *routes.Service
	runners       []*allocation.Runner
	demand        allocation.Demand
	unloadedSince map[string]time.Time
}

// planMoves plans moves of models. Only the aggregator calls it, one call at a time. It computes the plan without the lock: for 790
// runners that takes some 0.3 s, in which requests, reports and changes of the store would wait.
func (g *Gateway) planMoves(now time.Time) {
	table := g.table.Load()
	if table == nil {
		return
	}
	for _, in := range g.planInputs(now, table) {
		in.unloadedSince = allocation.UnloadedSince(now, in.service.Engine, in.runners, in.unloadedSince)
		g.applyPlan(now, in, allocation.Plan(now, in.service.Engine, in.runners, in.demand, in.unloadedSince))
	}
}

// planInputs returns what the plans of all services are based on, or nil if no plan is due.
func (g *Gateway) planInputs(now time.Time, table *routes.Table) []planInput {
	g.mu.Lock()
	defer g.mu.Unlock()
	if now.Sub(g.planState.lastPlanAt) < planInterval || now.Sub(g.planState.aggregatingSince) < firstPlanDelay {
		if g.planState.aggregatingSince.IsZero() {
			g.planState.aggregatingSince = now
		}
		return nil
	}
	g.planState.lastPlanAt = now
	owned := g.reports.Owned(now)
	var inputs []planInput
	for name, service := range table.Services {
		if service.Engine == nil {
			continue
		}
		in := planInput{
			service: service, runners: g.planRunners(now, name, owned), demand: g.reports.Demand(now, name),
			unloadedSince: g.planState.unloadedSince[name],
		}
		if now.Sub(g.planState.lastLogAt) >= planLogInterval {
			g.planState.lastLogAt = now
			g.log.Emit(eventlog.DemandSummary, name, allocation.Describe(in.runners, in.demand))
		}
		inputs = append(inputs, in)
	}
	return inputs
}

// applyPlan records the moves that were planned for a service, but for those of runners that were removed meanwhile.
func (g *Gateway) applyPlan(now time.Time, in planInput, plan []allocation.Assignment) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.planState.unloadedSince[in.service.Name] = in.unloadedSince
	for _, a := range plan {
		if g.directory.Get(a.Runner) == nil {
			continue
		}
		g.planState.pendingMoves[a.Runner] = a.Move
		g.planState.lastPlannedAt[a.Runner] = now
		g.planState.lastTargets[a.Runner] = a.Move.Load
		g.log.Emit(eventlog.MovePlanned, a.Runner, a.Move.Load, a.Move.Unload, in.demand[a.Move.Load])
	}
}

// planRunners returns the runners of a service with the state on which the plan is based. The caller must hold the
// lock.
func (g *Gateway) planRunners(
	now time.Time, service string, ownedRunners map[string]gathering.OwnedRunner,
) []*allocation.Runner {
	var runners []*allocation.Runner
	// The owner fetches the move with one report and tells of it with the next.
	timeout := moveReportTimeout + 2*g.reportDelay()
	for _, r := range g.directory.OfService(service) {
		owned, ok := ownedRunners[r.ID]
		holdings := r.Holdings
		if ok && owned.Incarnation == r.Incarnation {
			holdings = owned.Holdings
		}
		p := &allocation.Runner{
			ID: r.ID, InMemory: r.InMemory, OnDisk: r.OnDisk, Draining: r.Draining,
			Fixed:     !ok,
			Reduction: allocation.LimitReduction(g.limits.PerSecond(r.ID)),
			Moving:    owned.Moving || holdings.Busy || now.Sub(g.planState.lastPlannedAt[r.ID]) < timeout,
		}
		for _, held := range holdings.Models {
			p.Models = append(p.Models, held.Model)
		}
		p.Target = owned.Target
		if move, ok := g.planState.pendingMoves[r.ID]; ok || now.Sub(g.planState.lastPlannedAt[r.ID]) < timeout {
			p.Target = move.Load
			if !ok {
				p.Target = g.planState.lastTargets[r.ID]
			}
		}
		g.recordLoadedModels(now, r.ID, p.Models)
		p.LoadedAt = g.planState.loadedAt[r.ID]
		runners = append(runners, p)
	}
	return runners
}

// recordLoadedModels records when each model on a runner was loaded. The caller must hold the lock.
func (g *Gateway) recordLoadedModels(now time.Time, runner string, models []string) {
	previous := g.planState.loadedAt[runner]
	loadedAt := make(map[string]time.Time, len(models))
	for _, model := range models {
		loaded, ok := previous[model]
		if !ok && previous != nil {
			loaded = now
		}
		loadedAt[model] = loaded
	}
	g.planState.loadedAt[runner] = loadedAt
}
