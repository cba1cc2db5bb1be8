package gateway

import (
	"context"
	"time"

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
	// exchangeInterval is how often a VM tells the gathering one what it knows.
	exchangeInterval = 250 * time.Millisecond
	// exchangeTimeout bounds an exchange, which takes some milliseconds when the peer is well.
	exchangeTimeout = 400 * time.Millisecond
	// silentTime is how long a VM that did not answer is passed over.
	silentTime = 3 * time.Second
	// suspicionAge is the age up to which the gathering VM hands on suspicions: some exchanges.
	suspicionAge = 3 * time.Second
	// viewAge is the age up to which a VM hands on what the store says. With an exchange, restCheck and a listing it leaves
	// a margin to the two seconds in which the platform wants a configuration in force.
	viewAge = 1250 * time.Millisecond
	// useMemory is the time for which uses of adapters are told.
	useMemory = 10 * time.Second
)

// handlers returns the calls that peers make.
func (g *Gateway) handlers() *rpc.Mux {
	mux := rpc.NewMux()
	rpc.Handle(mux, vm.CallExchange, func(_ context.Context, d *vm.Report) (*vm.Summary, error) {
		return g.gather(clock.Now(), d), nil
	})
	rpc.Handle(mux, vm.CallRequestAdapter, func(ctx context.Context, q *vm.AdapterRequest) (*vm.AdapterResponse, error) {
		word, held, reason := g.need(ctx, q.Runner, q.Unit)
		return &vm.AdapterResponse{Loaded: held, Reason: reason, Runner: word}, nil
	})
	return mux
}

// exchange tells the gathering VM what this one knows, and learns what the others know.
func (g *Gateway) exchange(ctx context.Context) error {
	return group.Every(ctx, exchangeInterval, func(time.Time) {
		now := clock.Now()
		hub := g.hub(now)
		g.mu.Lock()
		digest := g.digest(now)
		g.mu.Unlock()
		if hub == "" || hub == g.settings.Name {
			g.learn(now, g.gather(now, digest))
			g.plan(now)
			return
		}
		peer := g.peers.get(hub)
		summary, err := rpc.Call[vm.Report, vm.Summary](ctx, peer.digests, vm.CallExchange, digest, exchangeTimeout)
		if err != nil {
			g.peers.silence(hub, clock.Now().Add(silentTime))
			g.log.Emit(eventlog.PeerUnreachable, hub, err)
			g.mu.Lock()
			g.relayed = time.Time{}
			g.mu.Unlock()
			return
		}
		g.learn(clock.Now(), summary)
	})
}

// hub returns the VM that gathers: the first member that answers.
func (g *Gateway) hub(now time.Time) string {
	g.mu.Lock()
	members := g.owners.Members()
	g.mu.Unlock()
	for _, member := range members {
		if member == g.settings.Name || !g.peers.silent(now, member) {
			return member
		}
	}
	return ""
}

// digest returns what this VM tells; the lock must be held.
func (g *Gateway) digest(now time.Time) *vm.Report {
	d := &vm.Report{
		VM: g.settings.Name, Shares: g.desk.EndpointLoads(now), Demand: make(map[string]allocation.Demand),
		SyncedRevision: g.known, Aggregator: g.gatherer, ReceivedChanges: g.told,
		Suspicions: g.suspects.TakeUnreported(),
	}
	for service, meter := range g.meters {
		d.Demand[service] = meter.Rates(now)
	}
	for place, at := range g.uses {
		age := now.Sub(at)
		if age > useMemory {
			delete(g.uses, place)
			continue
		}
		d.Uses = append(d.Uses, vm.AdapterUse{Runner: place.Runner, Unit: place.Unit, Age: age})
	}
	for id, o := range g.ordered {
		if _, may := g.owners.Authority(now, id); may && o.ledger.Known() {
			d.OwnedRunners = append(d.OwnedRunners, g.owned(id, o))
		}
	}
	return d
}

// gather takes in a VM's digest and returns what the others know.
func (g *Gateway) gather(now time.Time, d *vm.Report) *vm.Summary {
	word := gathering.Report{
		Shares: d.Shares, Demand: d.Demand,
		AdapterRequestedAt: make(map[gathering.RunnerUnit]time.Time), Owned: make(map[string]gathering.OwnedRunner),
	}
	mine := make(map[string]bool)
	for _, use := range d.Uses {
		word.AdapterRequestedAt[gathering.RunnerUnit{Runner: use.Runner, Unit: use.Unit}] = now.Add(-use.Age)
	}
	for _, o := range d.OwnedRunners {
		mine[o.Runner] = true
		word.Owned[o.Runner] = gathering.OwnedRunner{
			Incarnation: o.Incarnation, Holdings: o.Holdings, AsOf: now.Add(-o.Age), Moving: o.Moving,
			Target: o.Target,
		}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.gathered.Put(now, d.VM, word)
	s := &vm.Summary{
		Shares:     g.gathered.Shares(now, d.VM),
		Moves:      make(map[string]orders.Move),
		Aggregator: g.incarnation,
		Grace:      max(0, g.graceUntil.Sub(now)),
	}
	g.suspects.Merge(now, d.Suspicions)
	s.Suspicions = g.suspects.Recent(now, suspicionAge)
	if view, ok := g.relay.Since(now, d.SyncedRevision, viewAge); ok && d.VM != g.settings.Name {
		s.View = &view
	}
	heard := d.ReceivedChanges
	if d.Aggregator != g.incarnation {
		heard = 0
	}
	var news map[string]gathering.OwnedRunner
	news, s.SentChanges = g.gathered.OwnedChangedSince(now, heard)
	for id, owned := range news {
		if mine[id] {
			continue
		}
		s.Runners = append(s.Runners, vm.OwnedRunner{
			Runner: id, Incarnation: owned.Incarnation, Holdings: owned.Holdings, Age: now.Sub(owned.AsOf), Moving: owned.Moving,
		})
	}
	for place, at := range g.gathered.AdapterRequestedAt(now, d.VM, func(runner string) bool { return mine[runner] }) {
		s.Uses = append(s.Uses, vm.AdapterUse{Runner: place.Runner, Unit: place.Unit, Age: now.Sub(at)})
	}
	for id := range mine {
		if move, ok := g.plans.moves[id]; ok {
			s.Moves[id] = move
			delete(g.plans.moves, id)
		}
	}
	return s
}

// learn takes in what the other VMs know.
func (g *Gateway) learn(now time.Time, s *vm.Summary) {
	if s.View != nil {
		g.takeView(now, s.View, s.Grace)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if s.View == nil {
		g.relayed = time.Time{}
	}
	g.gatherer, g.told = s.Aggregator, s.SentChanges
	g.suspects.Merge(now, s.Suspicions)
	for _, runner := range g.directory.All() {
		g.desk.SetOtherLoad(runner.ID, s.Shares[runner.ID])
	}
	changed := false
	for _, o := range s.Runners {
		changed = g.directory.MergeHoldings(o.Runner, o.Incarnation, o.Holdings, now.Add(-o.Age)) || changed
	}
	if changed {
		g.announce()
	}
	for _, use := range s.Uses {
		if o := g.ordered[use.Runner]; o != nil {
			o.ledger.RecordUse(now.Add(-use.Age), use.Unit)
		}
	}
	for id, move := range s.Moves {
		if o := g.ordered[id]; o != nil {
			g.log.Emit(eventlog.MoveAccepted, id, move.Load, move.Unload)
			o.ledger.SetMove(move)
			o.wake()
		}
	}
}

// use notes a request for a model or an adapter, for the plan and for the choice of what to evict.
func (g *Gateway) use(now time.Time, service string, x *exchange) {
	unit := x.request.Unit
	if unit.Model == "" {
		return
	}
	meter := g.meters[service]
	if meter == nil {
		meter = allocation.NewMeter(now)
		g.meters[service] = meter
	}
	work := float64(allocation.Work(&x.request)) * g.desk.Slowdown(unit.Model)
	meter.Add(now, unit.Model, time.Duration(work))
}
