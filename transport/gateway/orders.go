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
	// busyPoll is how often a runner is asked for its report while an order is under way or its state is not known.
	busyPoll = 200 * time.Millisecond
	// quietPoll is how often it is asked otherwise, to find what no order explains.
	quietPoll = 3 * time.Second
	// idleTick bounds the wait for something to do.
	idleTick = 200 * time.Millisecond
	// coldRetry is the pause after which a place among the loads from the weight store is tried for again.
	coldRetry = 400 * time.Millisecond
	// refusedPause follows an order that did not reach its runner or was refused.
	refusedPause = 100 * time.Millisecond
)

// platformEngine is a service's engine with the service's name.
type platformEngine struct {
	service string
	engine  *routes.Engine
}

// orderedRunner is a runner that this VM owns.
type orderedRunner struct {
	ledger *orders.Ledger
	// kick wakes the runner's duty.
	kick chan struct{}
	// changed is closed and replaced when the ledger has changed.
	changed  chan struct{}
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

// startOrders runs the duty of a runner that this VM owns; the lock must be held.
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

// orderRunner gives one runner its orders as long as this VM owns it.
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

// orderStep does one thing for a runner and returns when to look again, or false when this VM no longer owns it.
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

// reportDue reports whether a runner's report is to be read; the lock must be held.
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

// publish makes a ledger's change known to the requests of this VM; the lock must be held.
func (g *Gateway) publish(now time.Time, id string, o *orderedRunner) {
	g.directory.MergeHoldings(id, o.ledger.Incarnation(), o.ledger.Holdings(), now)
	g.announce()
	o.announce()
}

// giveOrder sends an order and returns when to look again.
func (g *Gateway) giveOrder(
	ctx context.Context,
	id string,
	address netip.AddrPort,
	o *orderedRunner,
	order fleet.Order,
) time.Duration {
	sent := clock.Now()
	result, err := g.engines.SendOrder(ctx, address, order)
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

// adapterPoll is how soon the arrival of an adapter is looked for.
const adapterPoll = 2 * time.Millisecond

// owned returns what this VM knows of a runner that it owns; the lock must be held.
func (g *Gateway) owned(id string, o *orderedRunner) vm.Owned {
	return vm.Owned{
		Runner: id, Incarnation: o.ledger.Incarnation(), Holdings: o.ledger.Holdings(), Moving: o.ledger.Moving(),
		Target: o.ledger.Target(),
	}
}

// need answers a request for an adapter on a runner that this VM owns, once it is there or the wait is over.
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

// needWait bounds the wait for an adapter: some orders, each of some milliseconds.
const needWait = 150 * time.Millisecond
