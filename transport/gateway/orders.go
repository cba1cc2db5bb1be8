package gateway

import (
	"context"
	"net/netip"
	"time"

	"github.com/zinniaroute/zinniaroute/coordination/pacing"
	"github.com/zinniaroute/zinniaroute/eventlog"
	"github.com/zinniaroute/zinniaroute/protocol/vm"
	"github.com/zinniaroute/zinniaroute/state/fleet"
	"github.com/zinniaroute/zinniaroute/state/limits"
	"github.com/zinniaroute/zinniaroute/state/orders"
	"github.com/zinniaroute/zinniaroute/state/routes"
	"github.com/zinniaroute/zinniaroute/transport/clock"
)

const (
	// busyReportInterval is the interval at which a runner's report is read while an order is under way or the state is
	// not known.
	busyReportInterval = 200 * time.Millisecond
	// limitedReportInterval is the same for a runner that has named a limit.
	limitedReportInterval = time.Second
	// idleReportInterval is the interval otherwise, to detect changes that no order explains.
	idleReportInterval = 3 * time.Second
	// maxStepInterval is the longest time until the next check whether an order is due.
	maxStepInterval = 200 * time.Millisecond
	// loadPermitRetryInterval is the time until the next attempt to get a permit for a load from the weight store.
	loadPermitRetryInterval = 400 * time.Millisecond
	// refusedOrderDelay is the pause after an order that did not reach its runner or was refused.
	refusedOrderDelay = 100 * time.Millisecond
)

// serviceEngine is a service's engine with the service's name.
type serviceEngine struct {
	service string
	engine  *routes.Engine
}

// ownedRunner is a runner that this VM owns, with the ledger of its orders.
type ownedRunner struct {
	ledger *orders.Ledger
	// wakeup wakes the task that sends the orders.
	wakeup chan struct{}
	// ledgerChanged is closed and replaced at each change of the ledger.
	ledgerChanged chan struct{}
	// reportReadAt is when the runner's report was last read, and permitRequestedAt when a load permit was last requested.
	reportReadAt      time.Time
	permitRequestedAt time.Time
	// ownedSince is since when this process has counted the prompts that await prefill at the runner.
	ownedSince time.Time
}

func (o *ownedRunner) wake() {
	select {
	case o.wakeup <- struct{}{}:
	default:
	}
}

func (o *ownedRunner) notifyLedgerChange() {
	close(o.ledgerChanged)
	o.ledgerChanged = make(chan struct{})
}

// startOrders starts the task that sends orders to a runner that this VM owns. The caller must hold the lock.
func (g *Gateway) startOrders(id string) {
	engine := g.engineOf(g.directory.Get(id))
	if g.ownedRunners[id] != nil || engine == nil {
		return
	}
	o := &ownedRunner{
		ledger:        orders.New(id, engine.engine),
		wakeup:        make(chan struct{}, 1),
		ledgerChanged: make(chan struct{}),
		ownedSince:    clock.Now(),
	}
	g.ownedRunners[id] = o
	g.tasks.Run("orders "+id, func(ctx context.Context) { g.sendOrders(ctx, id, o) })
}

// sendOrders sends orders to a runner as long as this VM owns it.
func (g *Gateway) sendOrders(ctx context.Context, id string, o *ownedRunner) {
	timer := time.NewTimer(maxStepInterval)
	defer timer.Stop()
	for ctx.Err() == nil {
		wait, isOwner := g.stepOrders(ctx, id, o)
		if !isOwner {
			return
		}
		timer.Reset(wait)
		select {
		case <-o.wakeup:
		case <-timer.C:
		case <-ctx.Done():
		}
	}
}

// stepOrders reads the runner's report, takes a load permit or sends an order, whichever is due first. It returns the
// time until the next step, or false if this VM no longer owns the runner.
func (g *Gateway) stepOrders(ctx context.Context, id string, o *ownedRunner) (time.Duration, bool) {
	now := clock.Now()
	g.mu.Lock()
	runner := g.directory.Get(id)
	if g.owners.Owner(id) != g.settings.Name || runner == nil {
		delete(g.ownedRunners, id)
		g.reservations.table.Forget(id)
		g.mu.Unlock()
		return 0, false
	}
	engine := g.engineOf(runner)
	fence, hasAuthority := g.authority(now, id)
	if engine == nil || !hasAuthority {
		o.ledger.Invalidate()
		g.mu.Unlock()
		return maxStepInterval, true
	}
	if g.scheduler.Resting(now, id) {
		g.mu.Unlock()
		return maxStepInterval, true
	}
	o.ledger.SetEngine(engine.engine)
	if o.ledger.CompleteAdapterLoads(now) {
		g.publishHoldings(now, id, o)
	}
	address := runner.Address
	if g.reportDue(now, runner, o) {
		o.reportReadAt = now
		g.mu.Unlock()
		g.readReport(ctx, id, address, o)
		return busyReportInterval, true
	}
	coldModel := o.ledger.ColdLoad(now)
	if coldModel != "" && now.Sub(o.permitRequestedAt) >= loadPermitRetryInterval {
		o.permitRequestedAt = now
		g.mu.Unlock()
		if g.takeLoadPermit(ctx, engine.service, engine.engine.LoadsPerSecond) {
			g.mu.Lock()
			o.ledger.GrantLoadPermit(now.Add(pacing.LoadStartTimeout))
			g.mu.Unlock()
			return 0, true
		}
		return loadPermitRetryInterval, true
	}
	order, ok := o.ledger.Next(now, g.settings.Name, fence)
	busy, loadingAdapters := o.ledger.Busy() || !o.ledger.Known(), o.ledger.HasLoadingAdapters()
	g.mu.Unlock()
	switch {
	case ok:
		return g.sendOrder(ctx, id, address, o, order), true
	case loadingAdapters:
		return adapterLoadCheckInterval, true
	case busy:
		return busyReportInterval, true
	default:
		return maxStepInterval, true
	}
}

// reportDue reports whether a runner's report must be read now. The caller must hold the lock.
func (g *Gateway) reportDue(now time.Time, runner *fleet.Runner, o *ownedRunner) bool {
	age := now.Sub(o.reportReadAt)
	settled := o.ledger.Known() && !o.ledger.Busy() && o.ledger.Incarnation() == runner.Incarnation
	switch {
	case settled && runner.Draining:
		return false
	case settled:
		return age >= idleReportInterval
	case g.limits.PerSecond(runner.ID) != limits.Unlimited:
		return age >= limitedReportInterval
	default:
		return age >= busyReportInterval
	}
}

func (g *Gateway) readReport(ctx context.Context, id string, address netip.AddrPort, o *ownedRunner) {
	sentAt := clock.Now()
	report, err := g.runnerClient.Report(ctx, id, address)
	now := clock.Now()
	if err != nil {
		g.log.Emit(eventlog.RunnerReportUnreadable, id, err)
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.recordAnswered(now, id, report.Incarnation, sentAt)
	if report.Leaving {
		g.recordDeparture(now, fleet.Departure{Runner: id, Incarnation: report.Incarnation})
	}
	if o.ledger.ApplyReport(report) {
		g.log.Emit(eventlog.RunnerReportApplied, id, report.Sequence, report.Holdings.Busy, len(report.Holdings.Models))
		g.publishHoldings(now, id, o)
	}
}

// publishHoldings copies a ledger's holdings to the directory and wakes the requests that wait for a change. The caller
// must hold the lock.
func (g *Gateway) publishHoldings(now time.Time, id string, o *ownedRunner) {
	g.directory.MergeHoldings(id, o.ledger.Incarnation(), o.ledger.Holdings(), now)
	g.notifyDirectoryChange()
	o.notifyLedgerChange()
}

// sendOrder sends an order, records its result, and returns the time until the next step.
func (g *Gateway) sendOrder(
	ctx context.Context,
	id string,
	address netip.AddrPort,
	o *ownedRunner,
	order fleet.Order,
) time.Duration {
	sentAt := clock.Now()
	result, err := g.runnerClient.SendOrder(ctx, address, order)
	now := clock.Now()
	ordersSent.Add(string(order.Verb)+"."+string(result), 1)
	g.log.Emit(
		eventlog.OrderSent, id, string(order.Verb), order.Unit.String(), string(result), order.ExpectedSequence, order.Fence,
		now.Sub(sentAt).Milliseconds(), err,
	)
	g.mu.Lock()
	defer g.mu.Unlock()
	o.ledger.RecordResult(now, result)
	g.publishHoldings(now, id, o)
	switch result {
	case fleet.OrderAccepted, fleet.OrderCompleted:
		return adapterLoadCheckInterval
	default:
		return refusedOrderDelay
	}
}

// adapterLoadCheckInterval is the interval at which the ledger is checked for adapters that have finished loading.
const adapterLoadCheckInterval = 2 * time.Millisecond

// ownedState returns the state of a runner that this VM owns. The caller must hold the lock.
func (g *Gateway) ownedState(id string, o *ownedRunner) vm.OwnedRunner {
	return vm.OwnedRunner{
		Runner: id, Incarnation: o.ledger.Incarnation(), Holdings: o.ledger.Holdings(), Moving: o.ledger.Moving(),
		Target: o.ledger.Target(),
	}
}

// loadAdapter loads an adapter on a runner that this VM owns, and waits until it is loaded or adapterLoadTimeout has
// passed. It returns the runner's state, whether the runner holds the adapter, and if not, why.
func (g *Gateway) loadAdapter(ctx context.Context, runner string, unit fleet.Unit) (vm.OwnedRunner, bool, string) {
	ctx, cancel := context.WithTimeout(ctx, adapterLoadTimeout)
	defer cancel()
	for {
		now := clock.Now()
		g.mu.Lock()
		o := g.ownedRunners[runner]
		if o == nil {
			g.mu.Unlock()
			return vm.OwnedRunner{}, false, "not the owner"
		}
		if _, hasAuthority := g.authority(now, runner); !hasAuthority || !o.ledger.Known() {
			g.mu.Unlock()
			return vm.OwnedRunner{}, false, "no authority, or the runner's state is not known"
		}
		if o.ledger.Busy() {
			g.mu.Unlock()
			return vm.OwnedRunner{}, false, "an order on weights is under way"
		}
		held := o.ledger.RequestAdapter(now, unit)
		changed := o.ledgerChanged
		owned := g.ownedState(runner, o)
		g.mu.Unlock()
		if held {
			return owned, true, ""
		}
		o.wake()
		select {
		case <-changed:
		case <-ctx.Done():
			return owned, false, "not loaded in time"
		}
	}
}

// adapterLoadTimeout is the longest wait for an adapter. A load takes several orders of some milliseconds each.
const adapterLoadTimeout = 150 * time.Millisecond
