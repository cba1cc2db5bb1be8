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
	reconcileTick = 250 * time.Millisecond
	planInterval  = time.Second
)

// runnerEvent is a ledger event for one runner.
type runnerEvent struct {
	runner string
	event  ledger.Event
}

// controller owns the ledgers of the failure domain's runners; only its own duty touches it, under the lock.
type controller struct {
	ledgers   map[string]*ledger.Ledger
	addresses map[string]*catalog.Runner
	planner   *placement.Planner
	forecast  *placement.Forecast
	pacer     *placement.LoadLimiter
	plan      placement.Plan
	planAt    time.Time
	revision  uint64
	short     map[string]string
}

func newController() *controller {
	return &controller{
		ledgers:   make(map[string]*ledger.Ledger),
		addresses: make(map[string]*catalog.Runner),
		planner:   placement.NewPlanner(),
		forecast:  placement.NewForecast(),
		pacer:     placement.NewLoadLimiter(),
		short:     make(map[string]string),
	}
}

// reconcile drives the runners of the failure domain towards the plan while the lease is held.
func (c *Control) reconcile(ctx context.Context) error {
	ticker := time.NewTicker(reconcileTick)
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
	c.syncRunners()
	authority := c.authority()
	if authority.Term != 0 && !now.Before(c.controller.planAt) {
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

// syncRunners opens ledgers for new runners of the catalog and closes those of removed ones.
func (c *Control) syncRunners() {
	current := c.board.current()
	if current.snapshot.Head.Revision == c.controller.revision {
		return
	}
	c.controllerMu.Lock()
	defer c.controllerMu.Unlock()
	c.controller.revision = current.snapshot.Head.Revision
	c.controller.planAt = time.Time{}
	present := make(map[string]bool)
	for i := range current.index.Set.Runners {
		runner := &current.index.Set.Runners[i]
		if runner.Domain != c.settings.Process.Domain || runner.Service != "" {
			continue
		}
		present[runner.Name] = true
		c.controller.open(runner)
	}
	for name := range c.controller.ledgers {
		if !present[name] {
			delete(c.controller.ledgers, name)
			delete(c.controller.addresses, name)
		}
	}
}

// open keeps a runner's ledger, unless the runner itself has become another.
func (k *controller) open(runner *catalog.Runner) {
	before, known := k.addresses[runner.Name]
	k.addresses[runner.Name] = runner
	if known && *before == *runner {
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
	k.planAt = now.Add(planInterval)
	k.plan = k.planner.Plan(now, c.planInput(now))
	k.pacer.RecordStarted(len(k.plan.Moves))
	for _, runner := range k.plan.Runners {
		if machine := k.ledgers[runner.Runner]; machine != nil {
			c.perform(runner.Runner, machine.Step(now, ledger.DesiredChanged{Items: runner.Wants}))
		}
	}
	c.noteShortages(k.plan.Shortages)
}

func (c *Control) noteShortages(shortages []placement.Shortage) {
	before := c.controller.short
	c.controller.short = make(map[string]string, len(shortages))
	for _, shortage := range shortages {
		if shortage.Provisional {
			continue
		}
		c.controller.short[shortage.Unit] = shortage.Reason
		if before[shortage.Unit] != shortage.Reason {
			c.log.Emit(eventlog.UnitShort, shortage.Unit, shortage.Reason)
		}
	}
}

func (c *Control) planInput(now time.Time) placement.Input {
	current := c.board.current()
	in := placement.Input{
		Index:      current.index,
		Assignment: current.assignment,
		Domain:     c.settings.Process.Domain,
	}
	loading := 0
	c.board.with(func() {
		in.Demands = c.controller.forecast.Update(now, c.loads())
		in.RemoteReplicas = c.elsewhere(current.index)
		for name, machine := range c.controller.ledgers {
			state, _, known := c.board.runners.Get(name)
			view := placement.RunnerView{
				Name:         name,
				Accelerators: c.controller.addresses[name].Accelerators,
				MemoryMiB:    c.controller.addresses[name].MemoryMiB,
				Items:        machine.Items(),
				Usable:       machine.Settled() && known && state.Reachable && !state.Leaving && !c.board.leaving[name],
			}
			loading += loadsUnderWay(view.Items)
			in.Runners = append(in.Runners, view)
		}
	})
	domains := max(1, len(current.index.Deployment.Domains))
	in.LoadBudget = c.controller.pacer.Budget(now, current.index.Deployment, domains, loading)
	in.AdapterBudget = max(1, current.index.Deployment.ConcurrentAdapters/domains)
	return in
}

func loadsUnderWay(items []ledger.Item) int {
	count := 0
	for _, item := range items {
		if item.Kind == ledger.ItemBase && (item.State == ledger.Loading || item.State == ledger.InDoubt) {
			count++
		}
	}
	return count
}

// loads sums the demand that the failure domain's VMs saw; the caller holds the board.
func (c *Control) loads() []placement.UnitDemand {
	var loads []placement.UnitDemand
	for _, demand := range c.board.demands.Records() {
		if demand.Domain != c.settings.Process.Domain {
			continue
		}
		for _, unit := range demand.Units {
			loads = append(loads, placement.UnitDemand{Name: unit.Name, InFlight: unit.InFlight})
		}
	}
	return loads
}

// elsewhere counts the ready copies outside the failure domain; the caller holds the board.
func (c *Control) elsewhere(index *catalog.Index) []placement.ReplicaCount {
	counts := make(map[string]int)
	for _, state := range c.board.runners.Records() {
		runner := index.Runner(state.Runner)
		if runner == nil || runner.Domain == c.settings.Process.Domain || !state.Reachable || state.Leaving {
			continue
		}
		for _, item := range state.Items {
			if item.Ready {
				counts[item.Name]++
			}
		}
	}
	copies := make([]placement.ReplicaCount, 0, len(counts))
	for name, count := range counts {
		copies = append(copies, placement.ReplicaCount{Name: name, Count: count})
	}
	return copies
}

func (c *Control) stepRunner(name string, event ledger.Event) {
	c.controllerMu.Lock()
	defer c.controllerMu.Unlock()
	machine := c.controller.ledgers[name]
	if machine == nil {
		return
	}
	c.perform(name, machine.Step(time.Now(), event))
}
