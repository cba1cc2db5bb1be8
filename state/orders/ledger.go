package orders

import (
	"slices"
	"time"

	"github.com/zinniaroute/zinniaroute/state/fleet"
	"github.com/zinniaroute/zinniaroute/state/routes"
)

const (
	// maxNeeds bounds the adapters that requests wait for on one runner.
	maxNeeds = 64
	// needLife is the time after which a request for an adapter expires; by then no caller waits for it any more.
	needLife = 2 * time.Second
	// maxComing bounds the adapters that load on one runner at once.
	maxComing = 4
)

// Move is a planned change of the models on a runner: some unloads, followed by at most one load.
type Move struct {
	// Unload names the models to unload first.
	Unload []string `cbor:"1,keyasint,omitempty"`
	// Load names the model to load after the unloads.
	Load string `cbor:"2,keyasint,omitempty"`
}

// Ledger is the owner's record of one runner's memory and of the orders sent to it. Every order names the number of
// orders that the runner must have accepted before it. An order in doubt and its successor name the same number, so at
// most one of them takes effect.
type Ledger struct {
	runner string
	engine *routes.Engine

	// known is true while the fields below hold the runner's state after sequence accepted orders in this incarnation.
	known       bool
	incarnation int64
	sequence    uint64
	holdings    fleet.Holdings
	// coming holds the adapters that are loading, with the time from which they count as loaded. A zero time means that
	// only a report can end the load.
	coming map[fleet.Unit]time.Time
	// loading and unloading name the models that the runner is loading and unloading.
	loading   string
	unloading string
	// sent is the order that has no result yet.
	sent *fleet.Order

	inMemory []string
	onDisk   []string

	needs map[fleet.Unit]time.Time
	used  map[fleet.Unit]time.Time
	move  *Move
	// coldUntil is when the load permit for the move expires. A load from the weight store needs such a permit.
	coldUntil time.Time
}

// New returns the ledger of a runner whose state is not known yet.
func New(runner string, engine *routes.Engine) *Ledger {
	return &Ledger{
		runner: runner, engine: engine,
		coming: make(map[fleet.Unit]time.Time),
		needs:  make(map[fleet.Unit]time.Time),
		used:   make(map[fleet.Unit]time.Time),
	}
}

// SetEngine replaces the models and memory limits of the runner's service after a change of configuration.
func (l *Ledger) SetEngine(engine *routes.Engine) { l.engine = engine }

// Forget marks the runner's state as unknown until the next report, because another VM may have ordered the runner.
func (l *Ledger) Forget() { l.known, l.sent = false, nil }

// Known reports whether the ledger holds the runner's state. Next returns no order otherwise.
func (l *Ledger) Known() bool { return l.known }

// Busy reports whether the runner is loading or unloading a model.
func (l *Ledger) Busy() bool { return l.loading != "" || l.unloading != "" }

// Moving reports whether a move waits or its orders are under way.
func (l *Ledger) Moving() bool { return l.move != nil || l.Busy() }

// Target returns the model that the move loads, or else the model that is loading, or "" when there is neither or the
// model is not known.
func (l *Ledger) Target() string {
	if l.move != nil {
		return l.move.Load
	}
	if l.loading == unknownModel {
		return ""
	}
	return l.loading
}

// Sequence returns the number of orders that the runner has accepted in this incarnation, as far as the ledger knows.
func (l *Ledger) Sequence() uint64 { return l.sequence }

// Incarnation returns the start of the runner, in Unix milliseconds, to which the state belongs.
func (l *Ledger) Incarnation() int64 { return l.incarnation }

// Holdings returns a copy of the units that the runner can serve, without models that are unloading and without
// adapters that are still loading.
func (l *Ledger) Holdings() fleet.Holdings {
	served := clone(l.holdings)
	served.Busy = l.Busy()
	if l.unloading == "" {
		return served
	}
	return served.Without(fleet.Unit{Model: l.unloading})
}

// Reported applies a runner's report and reports whether it changed the ledger. It drops a report from an earlier
// incarnation, one with fewer accepted orders than the ledger has, and any report while an order has no result.
func (l *Ledger) Reported(r fleet.Report) bool {
	if l.sent != nil || r.Incarnation < l.incarnation {
		return false
	}
	if l.known && r.Incarnation == l.incarnation && r.Sequence < l.sequence {
		return false
	}
	changed := !l.known || r.Sequence != l.sequence || l.Busy() != r.Holdings.Busy ||
		len(l.holdings.Models) != len(r.Holdings.Models)
	l.take(r)
	return changed
}

func (l *Ledger) take(r fleet.Report) {
	if r.Incarnation != l.incarnation {
		// An order in doubt may have used the load permit before the restart.
		l.coldUntil = time.Time{}
	}
	l.known, l.incarnation, l.sequence = true, r.Incarnation, r.Sequence
	l.holdings = clone(r.Holdings)
	l.inMemory, l.onDisk = r.InMemory, r.OnDisk
	clear(l.coming)
	for _, unit := range r.Holdings.Coming {
		l.coming[unit] = time.Time{}
	}
	l.holdings.Coming = nil
	if r.Holdings.Busy {
		if l.loading == "" && l.unloading == "" {
			l.loading = unknownModel
		}
		return
	}
	l.loading, l.unloading = "", ""
}

// unknownModel stands for the model of an order that an earlier owner sent.
const unknownModel = "?"

func clone(h fleet.Holdings) fleet.Holdings {
	models := make([]fleet.Held, 0, len(h.Models))
	for _, held := range h.Models {
		held.Adapters = slices.Clone(held.Adapters)
		models = append(models, held)
	}
	h.Models = models
	return h
}

// Need records a request for an adapter and reports whether the runner holds the adapter already.
func (l *Ledger) Need(now time.Time, unit fleet.Unit) bool {
	l.Arrive(now)
	l.used[unit] = now
	if l.holdings.Has(unit) && l.unloading != unit.Model {
		return true
	}
	if len(l.needs) < maxNeeds {
		l.needs[unit] = now
	}
	return false
}

// Used records that a request asked for an adapter at a time, which delays the adapter's eviction.
func (l *Ledger) Used(at time.Time, unit fleet.Unit) {
	if at.After(l.used[unit]) {
		l.used[unit] = at
	}
}

// SetMove sets the next move; it does nothing while another move is unfinished.
func (l *Ledger) SetMove(m Move) {
	if l.Moving() {
		return
	}
	l.move, l.coldUntil = &m, time.Time{}
}

// ColdLoad returns the model of the next order if it loads from the weight store and lacks a valid load permit, or "".
func (l *Ledger) ColdLoad(now time.Time) string {
	if !l.known || l.move == nil || now.Before(l.coldUntil) || len(l.unloads()) > 0 || l.Busy() || l.move.Load == "" {
		return ""
	}
	if slices.Contains(l.inMemory, l.move.Load) || slices.Contains(l.onDisk, l.move.Load) {
		return ""
	}
	return l.move.Load
}

// GrantCold records a load permit for the move, which allows a load from the weight store to start before until.
func (l *Ledger) GrantCold(until time.Time) { l.coldUntil = until }

func (l *Ledger) unloads() []string {
	var present []string
	for _, model := range l.move.Unload {
		if l.holdings.Has(fleet.Unit{Model: model}) {
			present = append(present, model)
		}
	}
	return present
}

// Arrive adds the adapters whose load time has passed to the holdings, and reports whether there were any.
func (l *Ledger) Arrive(now time.Time) bool {
	arrived := false
	for unit, at := range l.coming {
		if at.IsZero() || now.Before(at) {
			continue
		}
		arrived = true
		delete(l.coming, unit)
		for i := range l.holdings.Models {
			if l.holdings.Models[i].Model == unit.Model && !slices.Contains(l.holdings.Models[i].Adapters, unit.Adapter) {
				l.holdings.Models[i].Adapters = append(l.holdings.Models[i].Adapters, unit.Adapter)
			}
		}
	}
	return arrived
}

// Coming reports whether adapters are loading.
func (l *Ledger) Coming() bool { return len(l.coming) > 0 }

// Next returns the order to send now, or false when there is none. The caller passes the order's result to Answered;
// until then Next returns no other order.
func (l *Ledger) Next(now time.Time, holder string, fence uint64) (fleet.Order, bool) {
	l.Arrive(now)
	l.expire(now)
	if !l.known || l.sent != nil || l.Busy() {
		return fleet.Order{}, false
	}
	order, ok := l.nextMove(now)
	if !ok {
		order, ok = l.nextAdapter(now)
	}
	if !ok {
		return fleet.Order{}, false
	}
	order.Runner, order.Expected, order.Holder, order.Fence = l.runner, l.sequence, holder, fence
	l.sent = &order
	return order, true
}

func (l *Ledger) expire(now time.Time) {
	for unit, at := range l.needs {
		if now.Sub(at) > needLife || l.holdings.Has(unit) {
			delete(l.needs, unit)
		}
	}
}

// memoryUsed returns the megabytes that the runner's models and adapters take, including adapters that are loading.
func (l *Ledger) memoryUsed() float64 {
	used := 0.0
	for _, held := range l.holdings.Models {
		model := l.engine.Model(held.Model)
		if model == nil {
			// A model that the catalog lacks may take all of the memory.
			return l.engine.MemoryMB
		}
		used += model.MemoryMB + float64(len(held.Adapters))*model.AdapterMB
	}
	for unit := range l.coming {
		if model := l.engine.Model(unit.Model); model != nil {
			used += model.AdapterMB
		}
	}
	return used
}

func (l *Ledger) places() int { return l.holdings.AdapterCount() + len(l.coming) }

func (l *Ledger) nextMove(now time.Time) (fleet.Order, bool) {
	if l.move == nil || len(l.coming) > 0 {
		return fleet.Order{}, false
	}
	if present := l.unloads(); len(present) > 0 {
		return fleet.Order{Verb: fleet.Unload, Unit: fleet.Unit{Model: present[0]}}, true
	}
	model := l.engine.Model(l.move.Load)
	if model == nil || l.holdings.Has(fleet.Unit{Model: l.move.Load}) {
		l.move = nil
		return fleet.Order{}, false
	}
	if l.memoryUsed()+model.MemoryMB > l.engine.MemoryMB {
		l.move = nil
		return fleet.Order{}, false
	}
	if l.ColdLoad(now) != "" {
		return fleet.Order{}, false
	}
	return fleet.Order{Verb: fleet.Load, Unit: fleet.Unit{Model: l.move.Load}}, true
}

func (l *Ledger) nextAdapter(now time.Time) (fleet.Order, bool) {
	if len(l.coming) >= maxComing {
		return fleet.Order{}, false
	}
	unit, ok := l.oldestNeed()
	if !ok {
		return fleet.Order{}, false
	}
	model := l.engine.Model(unit.Model)
	if l.places() >= l.engine.AdapterSlots || l.memoryUsed()+model.AdapterMB > l.engine.MemoryMB {
		return l.evict(now)
	}
	return fleet.Order{Verb: fleet.Load, Unit: unit}, true
}

// oldestNeed returns the adapter with the oldest request, among adapters whose base model is loaded.
func (l *Ledger) oldestNeed() (fleet.Unit, bool) {
	var oldest fleet.Unit
	var since time.Time
	for unit, at := range l.needs {
		_, coming := l.coming[unit]
		if coming || l.engine.Model(unit.Model) == nil || !l.holdings.Has(fleet.Unit{Model: unit.Model}) {
			continue
		}
		if since.IsZero() || at.Before(since) || at.Equal(since) && unit.String() < oldest.String() {
			oldest, since = unit, at
		}
	}
	return oldest, !since.IsZero()
}

// evict returns the order that unloads the least recently used adapter.
func (l *Ledger) evict(now time.Time) (fleet.Order, bool) {
	var victim fleet.Unit
	found := false
	for _, held := range l.holdings.Models {
		for _, adapter := range held.Adapters {
			unit := fleet.Unit{Model: held.Model, Adapter: adapter}
			if now.Sub(l.used[unit]) < minStay {
				continue
			}
			if !found || l.used[unit].Before(l.used[victim]) ||
				l.used[unit].Equal(l.used[victim]) && unit.String() < victim.String() {
				victim, found = unit, true
			}
		}
	}
	return fleet.Order{Verb: fleet.Unload, Unit: victim}, found
}

// minStay is the time for which an adapter stays loaded after its last request. Running requests keep their adapter in
// any case.
const minStay = 500 * time.Millisecond

// Answered records the result of the order that Next returned. A result that leaves the order in doubt makes the state
// unknown until the next report.
func (l *Ledger) Answered(now time.Time, result fleet.OrderResult) {
	order := l.sent
	l.sent = nil
	if order == nil {
		return
	}
	switch result {
	case fleet.OrderAccepted:
		l.sequence++
		l.accepted(now, *order)
	case fleet.OrderHeld:
		l.held(now, *order)
	case fleet.OrderNotSent:
	default:
		// The runner may have accepted the order, or its sequence differs from the ledger's. Only a new report can
		// tell.
		l.known = false
	}
}

func (l *Ledger) accepted(now time.Time, order fleet.Order) {
	unit := order.Unit
	switch {
	case unit.Adapter == "" && order.Verb == fleet.Load:
		l.loading = unit.Model
		l.move = nil
	case unit.Adapter == "":
		l.unloading = unit.Model
	case order.Verb == fleet.Load:
		l.coming[unit] = now.Add(adapterTime)
		delete(l.needs, unit)
	default:
		l.removeAdapter(unit)
	}
}

// adapterTime is the time after which a loading adapter counts as loaded: a load takes up to 9.7 ms while few others
// run.
const adapterTime = 10 * time.Millisecond

func (l *Ledger) held(now time.Time, order fleet.Order) {
	unit := order.Unit
	switch {
	case unit.Adapter != "" && order.Verb == fleet.Unload:
		// The runner unloads an unused adapter at once, and counts that as an accepted order.
		l.sequence++
		l.removeAdapter(unit)
	case unit.Adapter != "":
		l.coming[unit] = now
		delete(l.needs, unit)
	default:
		l.known = false
	}
}

func (l *Ledger) removeAdapter(unit fleet.Unit) {
	for i := range l.holdings.Models {
		held := &l.holdings.Models[i]
		if held.Model == unit.Model {
			held.Adapters = slices.DeleteFunc(held.Adapters, func(a string) bool { return a == unit.Adapter })
		}
	}
}
