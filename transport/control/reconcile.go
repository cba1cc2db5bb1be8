package control

import (
	"context"
	"time"

	"github.com/zinniaroute/zinniaroute/coordination/lease"
	"github.com/zinniaroute/zinniaroute/eventlog"
	"github.com/zinniaroute/zinniaroute/state/catalog"
	"github.com/zinniaroute/zinniaroute/state/ledger"
	"github.com/zinniaroute/zinniaroute/state/placement"
)

const (
	reconcileInterval = 250 * time.Millisecond
	planInterval      = time.Second
)

// runnerEvent is a ledger event for one runner.
type runnerEvent struct {
	runner string
	event  ledger.Event
}

// controller holds the ledgers and the plan of the runners of the failure domain. Only the reconcile goroutine changes
// it, under Control.controllerMu.
type controller struct {
	ledgers     map[string]*ledger.Ledger
	runners     map[string]*catalog.Runner
	planner     *placement.Planner
	forecast    *placement.Forecast
	loadLimiter *placement.LoadLimiter
	plan        placement.Plan
	// nextPlanAt is the time of the next plan.
	nextPlanAt time.Time
	// revision is the catalog revision for which the ledgers were opened.
	revision uint64
	// shortageReasons holds the reason of each logged shortage by unit.
	shortageReasons map[string]string
}

func newController() *controller {
	return &controller{
		ledgers:         make(map[string]*ledger.Ledger),
		runners:         make(map[string]*catalog.Runner),
		planner:         placement.NewPlanner(),
		forecast:        placement.NewForecast(),
		loadLimiter:     placement.NewLoadLimiter(),
		shortageReasons: make(map[string]string),
	}
}

// reconcile plans the items of the failure domain's runners, and orders the changes, while the VM holds the lease.
func (c *Control) reconcile(ctx context.Context) error {
	ticker := time.NewTicker(reconcileInterval)
	defer ticker.Stop()
	for {
		select {
		case e := <-c.runnerEvents.Items():
			c.stepRunner(e.runner, e.event)
		case <-ticker.C:
			c.tickRunners()
		case <-ctx.Done():
			return nil
		}
	}
}

func (c *Control) tickRunners() {
	now := time.Now()
	c.updateLedgers()
	authority := c.authority()
	if authority.Term != 0 && !now.Before(c.controller.nextPlanAt) {
		c.makePlan(now)
	}
	for name := range c.controller.ledgers {
		c.stepRunner(name, ledger.AuthorityChanged{Authority: authority})
	}
}

func (c *Control) authority() ledger.Authority {
	power, term := c.leasePower()
	return ledger.Authority{Term: term, Full: power == lease.PowerFull}
}

// updateLedgers opens ledgers for new runners of the catalog and closes those of removed ones.
func (c *Control) updateLedgers() {
	active := c.shared.activeCatalog()
	if active.snapshot.Head.Revision == c.controller.revision {
		return
	}
	c.controllerMu.Lock()
	defer c.controllerMu.Unlock()
	c.controller.revision = active.snapshot.Head.Revision
	c.controller.nextPlanAt = time.Time{}
	present := make(map[string]bool)
	for i := range active.index.Set.Runners {
		runner := &active.index.Set.Runners[i]
		if runner.Domain != c.settings.Process.Domain || runner.Service != "" {
			continue
		}
		present[runner.Name] = true
		c.controller.openLedger(runner)
	}
	for name := range c.controller.ledgers {
		if !present[name] {
			delete(c.controller.ledgers, name)
			delete(c.controller.runners, name)
		}
	}
}

// openLedger creates the ledger of a runner, or keeps the present one if the runner's catalog entry is unchanged.
func (k *controller) openLedger(runner *catalog.Runner) {
	previous, known := k.runners[runner.Name]
	k.runners[runner.Name] = runner
	if known && *previous == *runner {
		return
	}
	k.ledgers[runner.Name] = ledger.New(ledger.Config{
		Name:         runner.Name,
		Accelerators: runner.Accelerators,
		MemoryMiB:    runner.MemoryMiB,
		Fenced:       runner.Fenced,
	})
}

func (c *Control) makePlan(now time.Time) {
	c.controllerMu.Lock()
	defer c.controllerMu.Unlock()
	k := c.controller
	k.nextPlanAt = now.Add(planInterval)
	k.plan = k.planner.Plan(now, c.planInput(now))
	k.loadLimiter.RecordStarted(len(k.plan.Moves))
	for _, runner := range k.plan.Runners {
		if runnerLedger := k.ledgers[runner.Runner]; runnerLedger != nil {
			c.performActions(runner.Runner, runnerLedger.Step(now, ledger.DesiredChanged{Items: runner.DesiredItems}))
		}
	}
	c.recordShortages(k.plan.Shortages)
}

func (c *Control) recordShortages(shortages []placement.Shortage) {
	previous := c.controller.shortageReasons
	c.controller.shortageReasons = make(map[string]string, len(shortages))
	for _, shortage := range shortages {
		if shortage.Provisional {
			continue
		}
		c.controller.shortageReasons[shortage.Unit] = shortage.Reason
		if previous[shortage.Unit] != shortage.Reason {
			c.log.Emit(eventlog.UnitWithoutCapacity, shortage.Unit, shortage.Reason)
		}
	}
}

func (c *Control) planInput(now time.Time) placement.Input {
	active := c.shared.activeCatalog()
	in := placement.Input{
		Index:      active.index,
		Assignment: active.assignment,
		Domain:     c.settings.Process.Domain,
	}
	inProgress := 0
	c.shared.withLock(func() {
		in.Demands = c.controller.forecast.Update(now, c.unitDemands())
		in.RemoteReplicas = c.remoteReplicas(active.index)
		for name, l := range c.controller.ledgers {
			state, _, known := c.shared.runners.Get(name)
			view := placement.RunnerView{
				Name:         name,
				Accelerators: c.controller.runners[name].Accelerators,
				MemoryMiB:    c.controller.runners[name].MemoryMiB,
				Items:        l.Items(),
				Usable:       l.Settled() && known && state.Reachable && !state.Draining && !c.shared.drainingRunners[name],
			}
			inProgress += loadsInProgress(view.Items)
			in.Runners = append(in.Runners, view)
		}
	})
	domains := max(1, len(active.index.Deployment.Domains))
	in.LoadBudget = c.controller.loadLimiter.Budget(now, active.index.Deployment, domains, inProgress)
	in.AdapterBudget = max(1, active.index.Deployment.ConcurrentAdapters/domains)
	return in
}

func loadsInProgress(items []ledger.Item) int {
	count := 0
	for _, item := range items {
		if item.Kind == ledger.ItemBase && (item.State == ledger.Loading || item.State == ledger.InDoubt) {
			count++
		}
	}
	return count
}

// unitDemands lists the demand that each VM of the failure domain measured. The caller holds the lock of the shared
// state.
func (c *Control) unitDemands() []placement.UnitDemand {
	var demands []placement.UnitDemand
	for _, demand := range c.shared.demands.Records() {
		if demand.Domain != c.settings.Process.Domain {
			continue
		}
		for _, unit := range demand.Units {
			demands = append(demands, placement.UnitDemand{Name: unit.Name, InFlight: unit.InFlight})
		}
	}
	return demands
}

// remoteReplicas counts the ready replicas outside the failure domain. The caller holds the lock of the shared state.
func (c *Control) remoteReplicas(index *catalog.Index) []placement.ReplicaCount {
	counts := make(map[string]int)
	for _, state := range c.shared.runners.Records() {
		runner := index.Runner(state.Runner)
		if runner == nil || runner.Domain == c.settings.Process.Domain || !state.Reachable || state.Draining {
			continue
		}
		for _, item := range state.Items {
			if item.Ready {
				counts[item.Name]++
			}
		}
	}
	replicas := make([]placement.ReplicaCount, 0, len(counts))
	for name, count := range counts {
		replicas = append(replicas, placement.ReplicaCount{Name: name, Count: count})
	}
	return replicas
}

func (c *Control) stepRunner(name string, event ledger.Event) {
	c.controllerMu.Lock()
	defer c.controllerMu.Unlock()
	runnerLedger := c.controller.ledgers[name]
	if runnerLedger == nil {
		return
	}
	c.performActions(name, runnerLedger.Step(time.Now(), event))
}
