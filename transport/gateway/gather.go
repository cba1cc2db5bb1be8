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
	// planInterval is how often the gathering VM plans.
	planInterval = 250 * time.Millisecond
	// suspicionAge is the age up to which the gathering VM hands on suspicions: some exchanges.
	suspicionAge = 3 * time.Second
	// viewAge is the age up to which a VM hands on what the store says.
	viewAge = 1500 * time.Millisecond
	// useMemory is the time for which uses of adapters are told.
	useMemory = 10 * time.Second
)

// handlers returns the calls that peers make.
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
func (g *Gateway) digest(now time.Time) *vm.Digest {
	d := &vm.Digest{
		VM: g.settings.Name, Shares: g.desk.Shares(now), Demand: make(map[string]allocation.Demand),
		Known: g.known, Gatherer: g.gatherer, Heard: g.told,
		Suspicions: g.suspects.News(),
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
		if _, may := g.authority(now, id); may && o.ledger.Known() {
			d.Owned = append(d.Owned, g.owned(id, o))
		}
	}
	return d
}

// gather takes in a VM's digest and returns what the others know.
func (g *Gateway) gather(now time.Time, d *vm.Digest) *vm.Summary {
	word := gathering.Word{
		Shares: d.Shares, Demand: d.Demand,
		Uses: make(map[gathering.Place]time.Time), Owned: make(map[string]gathering.Owned),
	}
	mine := make(map[string]bool)
	for _, use := range d.Uses {
		word.Uses[gathering.Place{Runner: use.Runner, Unit: use.Unit}] = now.Add(-use.Age)
	}
	for _, o := range d.Owned {
		mine[o.Runner] = true
		word.Owned[o.Runner] = gathering.Owned{
			Incarnation: o.Incarnation, Holdings: o.Holdings, AsOf: now.Add(-o.Age), Moving: o.Moving,
			Target: o.Target,
		}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.gathered.Put(now, d.VM, word)
	s := &vm.Summary{
		Shares:   g.gathered.Shares(now, d.VM),
		Members:  g.gathered.Members(now),
		Moves:    make(map[string]orders.Move),
		Gatherer: g.incarnation,
		Grace:    max(0, g.graceUntil.Sub(now)),
	}
	g.suspects.Learn(now, d.Suspicions)
	s.Suspicions = g.suspects.Recent(now, suspicionAge)
	if view, ok := g.relay.Since(now, d.Known, viewAge); ok && d.VM != g.settings.Name {
		s.View = &view
	}
	heard := d.Heard
	if d.Gatherer != g.incarnation {
		heard = 0
	}
	var news map[string]gathering.Owned
	news, s.Told = g.gathered.OwnedSince(now, heard)
	for id, owned := range news {
		if mine[id] {
			continue
		}
		s.Known = append(s.Known, vm.Owned{
			Runner: id, Incarnation: owned.Incarnation, Holdings: owned.Holdings, Age: now.Sub(owned.AsOf), Moving: owned.Moving,
		})
	}
	for place, at := range g.gathered.Uses(now, d.VM, func(runner string) bool { return mine[runner] }) {
		s.Uses = append(s.Uses, vm.Use{Runner: place.Runner, Unit: place.Unit, Age: now.Sub(at)})
	}
	for id := range mine {
		if move, ok := g.moves[id]; ok {
			s.Moves[id] = move
			delete(g.moves, id)
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
	g.gatherer, g.told = s.Gatherer, s.Told
	g.suspects.Learn(now, s.Suspicions)
	for _, runner := range g.directory.All() {
		g.desk.SetOthers(runner.ID, s.Shares[runner.ID])
	}
	changed := false
	for _, o := range s.Known {
		changed = g.directory.Learn(o.Runner, o.Incarnation, o.Holdings, now.Add(-o.Age)) || changed
	}
	if changed {
		g.announce()
	}
	for _, use := range s.Uses {
		if o := g.ordered[use.Runner]; o != nil {
			o.ledger.Used(now.Add(-use.Age), use.Unit)
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

// plan decides on moves of models; only the VM that gathers plans.
func (g *Gateway) plan(now time.Time) {
	table := g.table.Load()
	if table == nil {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if now.Sub(g.planned) < planInterval || now.Sub(g.gathering) < gatherFirst {
		if g.gathering.IsZero() {
			g.gathering = now
		}
		return
	}
	g.planned = now
	known := g.gathered.Owned(now)
	for name, service := range table.Services {
		if service.Engine == nil {
			continue
		}
		runners := g.planRunners(now, name, known)
		demand := g.gathered.Demand(now, name)
		if now.Sub(g.planTold) >= planTell {
			g.planTold = now
			g.log.Emit(eventlog.PlanState, name, allocation.Describe(runners, demand))
		}
		g.absent[name] = allocation.Absent(now, service.Engine, runners, g.absent[name])
		for _, a := range allocation.Plan(now, service.Engine, runners, demand, g.absent[name]) {
			g.moves[a.Runner] = a.Move
			g.moved[a.Runner] = now
			g.targets[a.Runner] = a.Move.Load
			g.log.Emit(eventlog.MovePlanned, a.Runner, a.Move.Load, a.Move.Unload, demand[a.Move.Load])
		}
	}
}

const (
	// gatherFirst is the time for which a VM gathers before it plans.
	gatherFirst = time.Second
	// planTell is how often the demand for models and their copies are logged.
	planTell = 2 * time.Second
	// moveTime is the time in which a planned move shows in what its runner's owner tells.
	moveTime = 1500 * time.Millisecond
)

// planRunners returns the runners of a service as the plan sees them; the lock must be held.
func (g *Gateway) planRunners(now time.Time, service string, known map[string]gathering.Owned) []*allocation.Runner {
	var runners []*allocation.Runner
	for _, r := range g.directory.OfService(service) {
		owned, ok := known[r.ID]
		holdings := r.Holdings
		if ok && owned.Incarnation == r.Incarnation {
			holdings = owned.Holdings
		}
		p := &allocation.Runner{
			ID: r.ID, InMemory: r.InMemory, OnDisk: r.OnDisk, Gone: r.Leaving,
			Fixed:  !ok,
			Moving: owned.Moving || holdings.Busy || now.Sub(g.moved[r.ID]) < moveTime,
		}
		for _, held := range holdings.Models {
			p.Models = append(p.Models, held.Model)
		}
		p.Target = owned.Target
		if planned, ok := g.moves[r.ID]; ok || now.Sub(g.moved[r.ID]) < moveTime {
			p.Target = planned.Load
			if !ok {
				p.Target = g.targets[r.ID]
			}
		}
		g.noteHeld(now, r.ID, p.Models)
		p.Since = g.held[r.ID]
		runners = append(runners, p)
	}
	return runners
}

// noteHeld remembers since when a runner holds each model; the lock must be held.
func (g *Gateway) noteHeld(now time.Time, runner string, models []string) {
	before := g.held[runner]
	since := make(map[string]time.Time, len(models))
	for _, model := range models {
		at, ok := before[model]
		if !ok && before != nil {
			at = now
		}
		since[model] = at
	}
	g.held[runner] = since
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
	work := float64(allocation.Work(&x.request)) * g.desk.Pace(unit.Model)
	meter.Add(now, unit.Model, time.Duration(work))
}
