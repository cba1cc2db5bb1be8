package gateway

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/zinniaroute/zinniaroute/coordination/gathering"
	"github.com/zinniaroute/zinniaroute/eventlog"
	"github.com/zinniaroute/zinniaroute/protocol/vm"
	"github.com/zinniaroute/zinniaroute/state/allocation"
	"github.com/zinniaroute/zinniaroute/state/orders"
	"github.com/zinniaroute/zinniaroute/transport/clock"
	"github.com/zinniaroute/zinniaroute/transport/group"
	"github.com/zinniaroute/zinniaroute/transport/rpc"
)

const (
	// aggregationInterval is the interval at which a VM sends its report to the aggregator, if there are at most
	// membersPerInterval VMs. It grows in proportion with more, so that the aggregator serves as many reports a second.
	aggregationInterval = 250 * time.Millisecond
	membersPerInterval  = 100
	// aggregationTimeout is the time limit for the call with a report, which takes some milliseconds on a healthy peer. It is
	// longer by half of reportDelay, as hundreds of VMs may turn to a peer at once.
	aggregationTimeout = 400 * time.Millisecond
	// peerBackoff is how long a VM that did not answer cannot be the aggregator.
	peerBackoff = 3 * time.Second
	// maxViewAge is the age of the last sync up to which the aggregator forwards the store's content. The platform
	// requires that a new configuration is in force within 2 s. If the aggregator loses the store, maxViewAge,
	// aggregationInterval, storeReadCheckInterval and one listing together leave a margin below that.
	maxViewAge = 1250 * time.Millisecond
	// adapterUseWindow is the time for which a VM reports the use of an adapter.
	adapterUseWindow = 10 * time.Second
	// heldBackTimeout is the time for which a VM waits for a large value that the aggregator holds back, before it reads the
	// store itself. All VMs get the value within a shorter time if the aggregator has a fast link.
	heldBackTimeout = 1500 * time.Millisecond
)

// peerHandlers returns the handlers of the calls that peers make.
func (g *Gateway) peerHandlers() *rpc.Mux {
	mux := rpc.NewMux()
	mux.Panicked = func(cause error) { g.log.Emit(eventlog.HandlerPanicked, cause, "") }
	rpc.Handle(mux, vm.CallExchange, g.serveReport)
	rpc.Handle(mux, vm.CallRequestAdapter, func(ctx context.Context, q *vm.AdapterRequest) (*vm.AdapterResponse, error) {
		owned, held, reason := g.loadAdapter(ctx, q.Runner, q.Unit)
		return &vm.AdapterResponse{Loaded: held, Reason: reason, Runner: owned}, nil
	})
	rpc.Handle(mux, vm.CallOffer, func(_ context.Context, offer *vm.Offer) (*vm.OfferResponse, error) {
		return g.serveOffer(clock.Now(), offer), nil
	})
	rpc.Handle(mux, vm.CallFindOrigin, func(ctx context.Context, q *vm.OriginRequest) (*vm.OriginResponse, error) {
		return g.serveOrigin(ctx, q), nil
	})
	rpc.Handle(mux, vm.CallTakePermit, func(ctx context.Context, q *vm.PermitRequest) (*vm.PermitResponse, error) {
		return g.servePermit(ctx, *q), nil
	})
	rpc.Handle(mux, vm.CallReserve, func(_ context.Context, q *vm.ReserveRequest) (*vm.ReserveResponse, error) {
		return g.serveReserve(clock.Now(), q), nil
	})
	rpc.Handle(mux, vm.CallRelease, func(_ context.Context, q *vm.ReleaseRequest) (*vm.ReleaseResponse, error) {
		g.serveRelease(clock.Now(), q)
		return &vm.ReleaseResponse{}, nil
	})
	return mux
}

// serveReport answers the report of another VM. One report at a time competes for the gateway's lock, however many VMs
// report at once, so that changes of the store and requests do not wait behind all of them. A report whose VM has given up
// meanwhile is dropped: the VM has turned to another aggregator.
func (g *Gateway) serveReport(ctx context.Context, report *vm.Report) (*vm.Summary, error) {
	if err := g.reportTurn.Acquire(ctx, 1); err != nil {
		reportsDropped.Add(1)
		return nil, errors.Wrap(err, "wait for other reports")
	}
	defer g.reportTurn.Release(1)
	if !g.hasContent() {
		return nil, errNoContent
	}
	return g.mergeReport(clock.Now(), report), nil
}

var errNoContent = errors.New("the VM has started and has nothing of the store's content yet")

// hasContent reports whether this VM has read the store, or has its content from another VM. Until then it cannot be the
// aggregator.
func (g *Gateway) hasContent() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.knownRevision != 0
}

// syncWithAggregator sends the VM's report to the aggregator and applies the summary that it returns. The aggregator
// itself merges its own report and also plans the moves of models.
func (g *Gateway) syncWithAggregator(ctx context.Context) error {
	var reportedAt time.Time
	return group.EveryOrWhen(ctx, aggregationInterval, g.reportNow, func(time.Time) {
		now := clock.Now()
		aggregator := g.aggregator(now)
		g.mu.Lock()
		g.recordAggregator(now, aggregator)
		isSelf := aggregator == "" || aggregator == g.settings.Name
		interval := g.minReportInterval(now)
		if isSelf {
			interval = earlyReportInterval
		}
		if wait := interval - now.Sub(reportedAt); wait > 0 {
			g.mu.Unlock()
			if interval > earlyReportInterval || !group.Sleep(ctx, wait) {
				return
			}
			now = clock.Now()
			g.mu.Lock()
		}
		report := g.report(now)
		g.lastReportAt = now
		crashChanges := g.addCrashes(report)
		timeout := aggregationTimeout + g.reportDelay()/2
		g.mu.Unlock()
		reportedAt = now
		if isSelf {
			g.applySummary(now, now, g.mergeReport(now, report))
			g.planMoves(now)
			g.offerContent(now)
			return
		}
		peer := g.peers.get(aggregator)
		summary, err := rpc.Call[vm.Report, vm.Summary](ctx, peer.reportClient, vm.CallExchange, report, timeout)
		if err != nil {
			g.peers.setBackoff(aggregator, clock.Now().Add(peerBackoff))
			g.log.Emit(eventlog.PeerUnreachable, aggregator, err)
			g.mu.Lock()
			g.lastViewAt = time.Time{}
			g.mu.Unlock()
			return
		}
		askedAt := now
		now = clock.Now()
		g.mu.Lock()
		g.recordCrashExchange(now, report, crashChanges, summary)
		g.mu.Unlock()
		g.applySummary(askedAt, now, summary)
	})
}

// reportDelay returns by how much the interval between two reports exceeds aggregationInterval. The caller must hold the
// lock.
func (g *Gateway) reportDelay() time.Duration {
	return time.Duration((g.members()-1)/membersPerInterval) * aggregationInterval
}

// report returns the report of this VM for the aggregator. The caller must hold the lock.
func (g *Gateway) report(now time.Time) *vm.Report {
	report := &vm.Report{
		Allowances: g.allowanceReport(now),
		VM:         g.settings.Name, EndpointLoads: g.scheduler.EndpointLoads(now), Demand: make(map[string]allocation.Demand),
		SyncedRevision: g.knownRevision, Aggregator: g.aggregatorIncarnation, ReceivedChanges: g.receivedChanges,
		PackedViews: true, Limits: g.knownLimits(now), Departures: g.knownDepartures(now),
		PathLost: g.path.Lost(), Brittle: g.knownBrittle(now), Paced: true,
		Capacities:     g.scheduler.Capacity().Evidence(now),
		RunnerFailures: g.knownFailures(now),
	}
	for service, meter := range g.demandMeters {
		report.Demand[service] = meter.Rates(now)
	}
	for ru, at := range g.adapterUsedAt {
		age := now.Sub(at)
		if age > adapterUseWindow {
			delete(g.adapterUsedAt, ru)
			continue
		}
		report.AdapterUses = append(report.AdapterUses, vm.AdapterUse{Runner: ru.Runner, Unit: ru.Unit, Age: age})
	}
	for id, o := range g.ownedRunners {
		if _, hasAuthority := g.authority(now, id); hasAuthority && o.ledger.Known() {
			report.OwnedRunners = append(report.OwnedRunners, g.ownedState(id, o))
		}
	}
	return report
}

// mergeReport merges a VM's report and returns the summary of the other VMs' reports.
func (g *Gateway) mergeReport(now time.Time, received *vm.Report) *vm.Summary {
	report := gathering.Report{
		EndpointLoads: received.EndpointLoads, Demand: received.Demand,
		AdapterUsedAt: make(map[gathering.RunnerUnit]time.Time), Owned: make(map[string]gathering.OwnedRunner),
		PathLost: received.PathLost, SyncedRevision: received.SyncedRevision, Capacities: received.Capacities,
		Failures: readFailures(now, received.RunnerFailures),
	}
	ownedByVM := make(map[string]bool)
	for _, use := range received.AdapterUses {
		report.AdapterUsedAt[gathering.RunnerUnit{Runner: use.Runner, Unit: use.Unit}] = now.Add(-use.Age)
	}
	for _, o := range received.OwnedRunners {
		ownedByVM[o.Runner] = true
		report.Owned[o.Runner] = gathering.OwnedRunner{
			Incarnation: o.Incarnation, Holdings: o.Holdings, AsOf: now.Add(-o.Age), Moving: o.Moving,
			Target: o.Target,
		}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.reports.ServedByStore(now, received.VM, report) {
		g.entryGrace.RecordAnswer(now)
	}
	g.reports.Put(now, received.VM, report)
	s := &vm.Summary{
		EndpointLoads: g.reports.EndpointLoads(now, received.VM),
		Moves:         make(map[string]orders.Move),
		Aggregator:    g.incarnation,
		Grace:         g.entryGrace.Remaining(now),
	}
	g.exchangeCrashes(now, received, s)
	g.exchangeLimits(now, received, s)
	g.exchangeAllowances(now, received, s)
	g.mergeDepartures(now, received.Departures)
	s.Departures = g.knownDepartures(now)
	s.LostPaths = g.reports.LostPaths(now)
	s.RunnerFailures = writeFailures(now, g.reports.Failures(now, received.VM))
	g.mergeBrittle(now, received.Brittle)
	s.Brittle = g.knownBrittle(now)
	s.Capacities = g.reports.Capacities(now, received.VM)
	if view, ok := g.storeLog.Since(now, received.SyncedRevision, maxViewAge); ok && received.VM != g.settings.Name {
		if received.PackedViews {
			g.storeLog.Pack(&view)
		}
		if received.Paced {
			view.HoldBack(now, g.pace)
		}
		s.View = &view
	}
	receivedChanges := received.ReceivedChanges
	if received.Aggregator != g.incarnation {
		receivedChanges = 0
	}
	var changes map[string]gathering.OwnedRunner
	changes, s.SentChanges = g.reports.OwnedChangedSince(now, receivedChanges)
	for id, owned := range changes {
		if ownedByVM[id] {
			continue
		}
		s.Runners = append(s.Runners, vm.OwnedRunner{
			Runner: id, Incarnation: owned.Incarnation, Holdings: owned.Holdings, Age: now.Sub(owned.AsOf), Moving: owned.Moving,
		})
	}
	for id := range ownedByVM {
		for unit, at := range g.reports.AdapterUses(now, id) {
			s.AdapterUses = append(s.AdapterUses, vm.AdapterUse{Runner: id, Unit: unit, Age: now.Sub(at)})
		}
		if move, ok := g.planState.pendingMoves[id]; ok {
			s.Moves[id] = move
			delete(g.planState.pendingMoves, id)
		}
	}
	return s
}

// applySummary applies a summary of the other VMs' reports that answers a call sent at askedAt.
func (g *Gateway) applySummary(askedAt, now time.Time, s *vm.Summary) {
	if s.View != nil {
		g.applyView(askedAt, now, s.View, s.Grace)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if s.View == nil {
		g.lastViewAt = time.Time{}
	}
	g.aggregatorIncarnation, g.receivedChanges = s.Aggregator, s.SentChanges
	for _, runner := range g.directory.All() {
		g.scheduler.SetOtherLoad(askedAt, runner.ID, s.EndpointLoads[runner.ID])
	}
	defer g.queue.Changed(now)
	g.applyFailures(now, s.RunnerFailures)
	g.applyLimits(now, s.Limits)
	g.applyAllowances(askedAt, now, s)
	g.mergeDepartures(now, s.Departures)
	g.mergeBrittle(now, s.Brittle)
	g.applyCapacities(now, s.Capacities)
	g.lostPeers = make(map[string]bool, len(s.LostPaths))
	for _, name := range s.LostPaths {
		g.lostPeers[name] = true
	}
	changed := false
	for _, o := range s.Runners {
		changed = g.directory.MergeHoldings(o.Runner, o.Incarnation, o.Holdings, now.Add(-o.Age)) || changed
	}
	if changed {
		g.notifyDirectoryChange()
	}
	for _, use := range s.AdapterUses {
		if o := g.ownedRunners[use.Runner]; o != nil {
			o.ledger.RecordUse(now.Add(-use.Age), use.Unit)
		}
	}
	for id, move := range s.Moves {
		if o := g.ownedRunners[id]; o != nil {
			g.log.Emit(eventlog.MoveAccepted, id, move.Load, move.Unload)
			o.ledger.SetMove(move)
			o.wake()
		}
	}
}

// recordDemand adds the work of a request for a model or an adapter to the demand on which the plan is based. The
// caller must hold the lock.
func (g *Gateway) recordDemand(now time.Time, service string, x *exchange) {
	unit := x.request.Unit
	if unit.Model == "" {
		return
	}
	meter := g.demandMeters[service]
	if meter == nil {
		meter = allocation.NewMeter(now)
		g.demandMeters[service] = meter
	}
	work := float64(allocation.Work(&x.request)) * g.scheduler.Slowdown(unit.Model)
	meter.Add(now, unit.Model, time.Duration(work))
}
