package control

import (
	"context"
	"time"

	"github.com/zinniaroute/zinniaroute/coordination/membership"
	"github.com/zinniaroute/zinniaroute/eventlog"
	"github.com/zinniaroute/zinniaroute/state/catalog"
	"github.com/zinniaroute/zinniaroute/state/ledger"
	"github.com/zinniaroute/zinniaroute/state/residency"
	"github.com/zinniaroute/zinniaroute/transport/group"
)

const (
	observeInterval = 500 * time.Millisecond
	// refreshInterval is the age from which a new observation replaces the stored one, and is sent to the peers, even if
	// nothing has changed.
	refreshInterval = 15 * time.Second
	// unreachableFailures is the number of consecutive failed reads after which a runner counts as unreachable.
	unreachableFailures = 2
)

// observeRunners reads the state of the runners that rendezvous hashing among the live VMs of the failure domain
// assigns to this VM.
func (c *Control) observeRunners(ctx context.Context) error {
	return group.Every(ctx, observeInterval, func(now time.Time) {
		for _, runner := range c.assignedRunners(now) {
			if c.observations.begin(runner.Name) {
				c.group.Run("observe runner", func(ctx context.Context) { c.observe(ctx, runner) })
			}
		}
	})
}

func (c *Control) assignedRunners(now time.Time) []*catalog.Runner {
	index := c.shared.activeCatalog().index
	var live []membership.Member
	c.shared.withLock(func() { live = c.shared.view.Live(now, c.settings.Process.Domain) })
	var assigned []*catalog.Runner
	for i := range index.Set.Runners {
		runner := &index.Set.Runners[i]
		if runner.Domain != c.settings.Process.Domain {
			continue
		}
		if membership.Position("observe "+runner.Name, c.settings.Process.Name, live) == 0 {
			assigned = append(assigned, runner)
		}
	}
	return assigned
}

func (c *Control) observe(ctx context.Context, runner *catalog.Runner) {
	state, err := c.readRunner(ctx, runner)
	failures := c.observations.end(runner.Name, err != nil)
	if err != nil && failures < unreachableFailures {
		return
	}
	now := time.Now()
	var previous residency.RunnerState
	var known bool
	var storedAt time.Time
	c.shared.withLock(func() { previous, storedAt, known = c.shared.runners.Get(runner.Name) })
	if err != nil {
		state = previous
		state.Reachable = false
	}
	state.Runner = runner.Name
	state.Observer = c.settings.Process.Name
	state.Draining = state.Draining || c.shared.isDraining(runner.Name)
	state.Sequence = previous.Sequence + 1
	if known && now.Sub(storedAt) < refreshInterval && !state.DiffersFrom(previous) {
		return
	}
	c.shared.putRunner(now, state)
	if !known || previous.Reachable != state.Reachable || previous.Draining != state.Draining {
		c.log.Emit(eventlog.RunnerReachabilityChanged, runner.Name, state.Reachable, state.Draining, err)
	}
}

func (c *Control) readRunner(ctx context.Context, runner *catalog.Runner) (residency.RunnerState, error) {
	report, err := c.engines.Report(ctx, runner.Address)
	if err != nil {
		return residency.RunnerState{}, err
	}
	state := residency.RunnerState{
		Reachable:   true,
		Draining:    report.Leaving,
		Incarnation: report.Incarnation,
		Running:     report.Running,
		Waiting:     report.Waiting,
	}
	if runner.Service != "" {
		return state, nil
	}
	entries, incarnation, err := c.engines.Index(ctx, runner.Address)
	if err != nil {
		return residency.RunnerState{}, err
	}
	state.Incarnation = incarnation
	state.Items = heldItems(entries)
	return state, nil
}

func heldItems(entries []ledger.IndexEntry) []residency.HeldItem {
	items := make([]residency.HeldItem, 0, len(entries))
	for _, entry := range entries {
		items = append(items, residency.HeldItem{
			Name:  entry.Name,
			Kind:  entry.Kind,
			Base:  entry.Base,
			Ready: entry.State == ledger.IndexReady,
		})
	}
	return items
}
