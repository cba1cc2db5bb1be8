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
	// exchangeInterval is the interval at which a VM sends its digest to the aggregating VM.
	exchangeInterval = 250 * time.Millisecond
	// exchangeTimeout is the time limit for the call with a digest, which takes some milliseconds on a healthy peer.
	exchangeTimeout = 400 * time.Millisecond
	// silentTime is how long a VM that did not answer is not considered as the aggregating one.
	silentTime = 3 * time.Second
	// suspicionAge is the age up to which the aggregating VM forwards suspicions. It spans several exchanges, so that each
	// VM gets them.
	suspicionAge = 3 * time.Second
	// viewAge is the age of the last sync up to which a VM forwards the store's content. The platform requires that a new
	// configuration is in force within 2 s. If the forwarding VM loses the store, viewAge, one exchange, restCheck and one
	// listing together leave a margin below that.
	viewAge = 1250 * time.Millisecond
	// useMemory is the time for which a VM reports the use of an adapter.
	useMemory = 10 * time.Second
)

// handlers returns the handlers of the calls that peers make.
func (g *Gateway) handlers() *rpc.Mux {
	mux := rpc.NewMux()
	rpc.Handle(mux, vm.CallExchange, func(_ context.Context, d *vm.Digest) (*vm.Summary, error) {
		return g.gather(clock.Now(), d), nil
	})
	rpc.Handle(mux, vm.CallNeed, func(ctx context.Context, q *vm.NeedRequest) (*vm.NeedAnswer, error) {
		word, held, reason := g.need(ctx, q.Runner, q.Unit)
		return &vm.NeedAnswer{Held: held, Reason: reason, Owned: word}, nil
	})
	return mux
}

// exchange sends the VM's digest to the aggregating VM and applies the summary that it returns. The aggregating VM also
// plans the moves of models.
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
		summary, err := rpc.Call[vm.Digest, vm.Summary](ctx, peer.digests, vm.CallExchange, digest, exchangeTimeout)
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

// hub returns the aggregating VM, or "": the first member by name that is this VM or a peer without backoff.
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

// digest returns the report of this VM for the aggregating VM. The caller must hold the lock.
func (g *Gateway) digest(now time.Time) *vm.Digest {
	d := &vm.Digest{
		VM: g.settings.Name, Shares: g.desk.EndpointLoads(now), Demand: make(map[string]allocation.Demand),
		Known: g.known, Gatherer: g.gatherer, Heard: g.told,
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
		d.Uses = append(d.Uses, vm.Use{Runner: place.Runner, Unit: place.Unit, Age: age})
	}
	for id, o := range g.ordered {
		if _, may := g.owners.Authority(now, id); may && o.ledger.Known() {
			d.Owned = append(d.Owned, g.owned(id, o))
		}
	}
	return d
}

// gather merges a VM's digest and returns the summary of the other VMs' digests.
func (g *Gateway) gather(now time.Time, d *vm.Digest) *vm.Summary {
	word := gathering.Report{
		Shares: d.Shares, Demand: d.Demand,
		AdapterRequestedAt: make(map[gathering.RunnerUnit]time.Time), Owned: make(map[string]gathering.OwnedRunner),
	}
	mine := make(map[string]bool)
	for _, use := range d.Uses {
		word.AdapterRequestedAt[gathering.RunnerUnit{Runner: use.Runner, Unit: use.Unit}] = now.Add(-use.Age)
	}
	for _, o := range d.Owned {
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
		Shares:   g.gathered.Shares(now, d.VM),
		Moves:    make(map[string]orders.Move),
		Gatherer: g.incarnation,
		Grace:    max(0, g.graceUntil.Sub(now)),
	}
	g.suspects.Merge(now, d.Suspicions)
	s.Suspicions = g.suspects.Recent(now, suspicionAge)
	if view, ok := g.relay.Since(now, d.Known, viewAge); ok && d.VM != g.settings.Name {
		s.View = &view
	}
	heard := d.Heard
	if d.Gatherer != g.incarnation {
		heard = 0
	}
	var news map[string]gathering.OwnedRunner
	news, s.Told = g.gathered.OwnedChangedSince(now, heard)
	for id, owned := range news {
		if mine[id] {
			continue
		}
		s.Known = append(s.Known, vm.Owned{
			Runner: id, Incarnation: owned.Incarnation, Holdings: owned.Holdings, Age: now.Sub(owned.AsOf), Moving: owned.Moving,
		})
	}
	for place, at := range g.gathered.AdapterRequestedAt(now, d.VM, func(runner string) bool { return mine[runner] }) {
		s.Uses = append(s.Uses, vm.Use{Runner: place.Runner, Unit: place.Unit, Age: now.Sub(at)})
	}
	for id := range mine {
		if move, ok := g.plans.moves[id]; ok {
			s.Moves[id] = move
			delete(g.plans.moves, id)
		}
	}
	return s
}

// learn applies a summary of the other VMs' digests.
func (g *Gateway) learn(now time.Time, s *vm.Summary) {
	if s.View != nil {
		g.takeView(now, s.View, s.Grace)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if s.View == nil {
		g.relayed = time.Time{}
	}
	g.gatherer, g.told = s.Gatherer, s.Told
	g.suspects.Merge(now, s.Suspicions)
	for _, runner := range g.directory.All() {
		g.desk.SetOtherLoad(runner.ID, s.Shares[runner.ID])
	}
	changed := false
	for _, o := range s.Known {
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
			g.log.Emit(eventlog.MoveTaken, id, move.Load, move.Unload)
			o.ledger.SetMove(move)
			o.wake()
		}
	}
}

// use adds the work of a request for a model or an adapter to the demand on which the plan is based. The caller must
// hold the lock.
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
