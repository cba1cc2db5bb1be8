package gateway

import (
	"context"
	"net/netip"
	"time"

	"github.com/zinniaroute/zinniaroute/coordination/pacing"
	"github.com/zinniaroute/zinniaroute/eventlog"
	"github.com/zinniaroute/zinniaroute/protocol/vm"
	"github.com/zinniaroute/zinniaroute/state/fleet"
	"github.com/zinniaroute/zinniaroute/state/orders"
	"github.com/zinniaroute/zinniaroute/state/routes"
	"github.com/zinniaroute/zinniaroute/transport/clock"
)

const (
	// busyPoll is the interval at which a runner's report is read while an order is under way or the state is not known.
	busyPoll = 200 * time.Millisecond
	// quietPoll is the interval otherwise, to detect changes that no order explains.
	quietPoll = 3 * time.Second
	// idleTick is the longest time until the next check whether an order is due.
	idleTick = 200 * time.Millisecond
	// coldRetry is the time until the next attempt to get a permit for a load from the weight store.
	coldRetry = 400 * time.Millisecond
	// refusedPause is the pause after an order that did not reach its runner or was refused.
	refusedPause = 100 * time.Millisecond
)

// platformEngine is a service's engine with the service's name.
type platformEngine struct {
	service string
	engine  *routes.Engine
}

// orderedRunner is a runner that this VM owns, with the ledger of its orders.
type orderedRunner struct {
	ledger *orders.Ledger
	// kick wakes the task that sends the orders.
	kick chan struct{}
	// changed is closed and replaced at each change of the ledger.
	changed chan struct{}
	// reported is when the runner's report was last read, and tried when a load permit was last requested.
	reported time.Time
	tried    time.Time
}

func (o *orderedRunner) wake() {
	select {
	case o.kick <- struct{}{}:
	default:
	}
}

func (o *orderedRunner) announce() {
	close(o.changed)
	o.changed = make(chan struct{})
}

// startOrders starts the task that sends orders to a runner that this VM owns. The caller must hold the lock.
func (g *Gateway) startOrders(id string) {
	engine := g.engineOf(g.directory.Get(id))
	if g.ordered[id] != nil || engine == nil {
		return
	}
	o := &orderedRunner{
		ledger:  orders.New(id, engine.engine),
		kick:    make(chan struct{}, 1),
		changed: make(chan struct{}),
	}
	g.ordered[id] = o
	g.run.Run("orders "+id, func(ctx context.Context) { g.orderRunner(ctx, id, o) })
}

// orderRunner sends orders to a runner as long as this VM owns it.
func (g *Gateway) orderRunner(ctx context.Context, id string, o *orderedRunner) {
	timer := time.NewTimer(idleTick)
	defer timer.Stop()
	for ctx.Err() == nil {
		wait, alive := g.orderStep(ctx, id, o)
		if !alive {
			return
		}
		timer.Reset(wait)
		select {
		case <-o.kick:
		case <-timer.C:
		case <-ctx.Done():
		}
	}
}

// orderStep reads the runner's report, takes a load permit or sends an order, whichever is due first. It returns the
// time until the next step, or false if this VM no longer owns the runner.
func (g *Gateway) orderStep(ctx context.Context, id string, o *orderedRunner) (time.Duration, bool) {
	now := clock.Now()
	g.mu.Lock()
	runner := g.directory.Get(id)
	if g.owners.Owner(id) != g.settings.Name || runner == nil {
		delete(g.ordered, id)
		g.mu.Unlock()
		return 0, false
	}
	engine := g.engineOf(runner)
	fence, may := g.owners.Authority(now, id)
	if engine == nil || !may {
		o.ledger.Invalidate()
		g.mu.Unlock()
		return idleTick, true
	}
	o.ledger.SetEngine(engine.engine)
	if o.ledger.CompleteAdapterLoads(now) {
		g.publish(now, id, o)
	}
	address := runner.Address
	if g.reportDue(now, runner, o) {
		o.reported = now
		g.mu.Unlock()
		g.readReport(ctx, id, address, o)
		return busyPoll, true
	}
	cold := o.ledger.ColdLoad(now)
	if cold != "" && now.Sub(o.tried) >= coldRetry {
		o.tried = now
		g.mu.Unlock()
		if g.takeLoadPlace(ctx, engine.service, engine.engine.LoadsPerSecond) {
			g.mu.Lock()
			o.ledger.GrantLoadPermit(now.Add(pacing.LoadStartTimeout))
			g.mu.Unlock()
			return 0, true
		}
		return coldRetry, true
	}
	order, ok := o.ledger.Next(now, g.settings.Name, fence)
	busy, coming := o.ledger.Busy() || !o.ledger.Known(), o.ledger.HasLoadingAdapters()
	g.mu.Unlock()
	switch {
	case ok:
		return g.giveOrder(ctx, id, address, o, order), true
	case coming:
		return adapterPoll, true
	case busy:
		return busyPoll, true
	default:
		return idleTick, true
	}
}

// reportDue reports whether a runner's report must be read now. The caller must hold the lock.
func (g *Gateway) reportDue(now time.Time, runner *fleet.Runner, o *orderedRunner) bool {
	age := now.Sub(o.reported)
	if !o.ledger.Known() || o.ledger.Busy() || o.ledger.Incarnation() != runner.Incarnation {
		return age >= busyPoll
	}
	return age >= quietPoll
}

func (g *Gateway) readReport(ctx context.Context, id string, address netip.AddrPort, o *orderedRunner) {
	report, err := g.engines.Report(ctx, id, address)
	now := clock.Now()
	if err != nil {
		g.log.Emit(eventlog.ReportFailed, id, err)
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if o.ledger.ApplyReport(report) {
		g.log.Emit(eventlog.RunnerReported, id, report.Sequence, report.Holdings.Busy, len(report.Holdings.Models))
		g.publish(now, id, o)
	}
}

// publish copies a ledger's holdings to the directory and wakes the requests that wait for a change. The caller must
// hold the lock.
func (g *Gateway) publish(now time.Time, id string, o *orderedRunner) {
	g.directory.MergeHoldings(id, o.ledger.Incarnation(), o.ledger.Holdings(), now)
	g.announce()
	o.announce()
}

// giveOrder sends an order, records its result, and returns the time until the next step.
func (g *Gateway) giveOrder(
	ctx context.Context,
	id string,
	address netip.AddrPort,
	o *orderedRunner,
	order fleet.Order,
) time.Duration {
	sent := clock.Now()
	result, err := g.engines.Order(ctx, address, order)
	now := clock.Now()
	ordersGiven.Add(string(order.Verb)+"."+string(result), 1)
	g.log.Emit(
		eventlog.OrderGiven, id, string(order.Verb), order.Unit.String(), string(result), order.ExpectedSequence, order.Fence,
		now.Sub(sent).Milliseconds(), err,
	)
	g.mu.Lock()
	defer g.mu.Unlock()
	o.ledger.RecordResult(now, result)
	g.publish(now, id, o)
	switch result {
	case fleet.OrderAccepted, fleet.OrderCompleted:
		return adapterPoll
	default:
		return refusedPause
	}
}

// adapterPoll is the interval at which the ledger is checked for adapters that have finished loading.
const adapterPoll = 2 * time.Millisecond

// owned returns the state of a runner that this VM owns. The caller must hold the lock.
func (g *Gateway) owned(id string, o *orderedRunner) vm.Owned {
	return vm.Owned{
		Runner: id, Incarnation: o.ledger.Incarnation(), Holdings: o.ledger.Holdings(), Moving: o.ledger.Moving(),
		Target: o.ledger.Target(),
	}
}

// need loads an adapter on a runner that this VM owns, and waits until it is loaded or needWait has passed. It returns
// the runner's state, whether the runner holds the adapter, and if not, why.
func (g *Gateway) need(ctx context.Context, runner string, unit fleet.Unit) (vm.Owned, bool, string) {
	ctx, cancel := context.WithTimeout(ctx, needWait)
	defer cancel()
	for {
		now := clock.Now()
		g.mu.Lock()
		o := g.ordered[runner]
		if o == nil {
			g.mu.Unlock()
			return vm.Owned{}, false, "not the owner"
		}
		if _, may := g.owners.Authority(now, runner); !may || !o.ledger.Known() {
			g.mu.Unlock()
			return vm.Owned{}, false, "no authority, or the runner's state is not known"
		}
		if o.ledger.Busy() {
			g.mu.Unlock()
			return vm.Owned{}, false, "an order on weights is under way"
		}
		held := o.ledger.RequestAdapter(now, unit)
		changed := o.changed
		word := g.owned(runner, o)
		g.mu.Unlock()
		if held {
			return word, true, ""
		}
		o.wake()
		select {
		case <-changed:
		case <-ctx.Done():
			return word, false, "not loaded in time"
		}
	}
}

// needWait is the longest wait for an adapter. A load takes several orders of some milliseconds each.
const needWait = 150 * time.Millisecond
