package orders

import (
	"slices"
	"time"

	"github.com/zinniaroute/zinniaroute/state/fleet"
	"github.com/zinniaroute/zinniaroute/state/routes"
)

const (
	// maxNeeds bounds the adapters that wait to be loaded on one runner.
	maxNeeds = 64
	// needLife is the time after which nobody waits for an adapter any more.
	needLife = 2 * time.Second
	// maxComing is the number of adapters that may be on their way to one runner at once.
	maxComing = 4
)

// Move is a change of the models that a runner holds.
type Move struct {
	// Unload names the models to give up first.
	Unload []string `cbor:"1,keyasint,omitempty"`
	// Load names the model to take in.
	Load string `cbor:"2,keyasint,omitempty"`
}

// Ledger is what the owner of a runner knows of it. Every order names the number of orders that the runner must have
// accepted before, so that of an order in doubt and its successor only one can take effect.
type Ledger struct {
	runner string
	engine *routes.Engine

	// known tells that the state below is that after sequence orders in this incarnation.
	known       bool
	incarnation int64
	sequence    uint64
	holdings    fleet.Holdings
	// coming are adapters on their way, with the time at which they are taken to have arrived.
	coming map[fleet.Unit]time.Time
	// loading and unloading are models with an order on weights under way.
	loading   string
	unloading string
	// sent is the order whose answer is awaited.
	sent *fleet.Order

	inMemory []string
	onDisk   []string

	needs map[fleet.Unit]time.Time
	used  map[fleet.Unit]time.Time
	move  *Move
	// coldUntil is when the place among the loads from the weight store ends that was had for the move.
	coldUntil time.Time
}

// New returns the ledger of a runner of which nothing is known yet.
func New(runner string, engine *routes.Engine) *Ledger {
	return &Ledger{
		runner: runner, engine: engine,
		coming: make(map[fleet.Unit]time.Time),
		needs:  make(map[fleet.Unit]time.Time),
		used:   make(map[fleet.Unit]time.Time),
	}
}

// SetEngine takes in a changed configuration.
func (l *Ledger) SetEngine(engine *routes.Engine) { l.engine = engine }

// Forget drops what is known, as after another VM has owned the runner.
func (l *Ledger) Forget() { l.known, l.sent = false, nil }

// Known reports whether the runner's state is known.
func (l *Ledger) Known() bool { return l.known }

// Busy reports whether an order on weights is under way.
func (l *Ledger) Busy() bool { return l.loading != "" || l.unloading != "" }

// Moving reports whether a move has not been finished.
func (l *Ledger) Moving() bool { return l.move != nil || l.Busy() }

// Target returns the model that is being loaded, or will be by the move, or "".
func (l *Ledger) Target() string {
	if l.move != nil {
		return l.move.Load
	}
	if l.loading == unknownModel {
		return ""
	}
	return l.loading
}

// Sequence returns the number of orders that the runner is thought to have accepted.
func (l *Ledger) Sequence() uint64 { return l.sequence }

// Incarnation returns the runner's start to which the state belongs.
func (l *Ledger) Incarnation() int64 { return l.incarnation }

// Holdings returns what the runner can serve: a model that is being unloaded is left out, and an adapter on its way is
// not there yet. The holdings are the caller's own.
func (l *Ledger) Holdings() fleet.Holdings {
	served := clone(l.holdings)
	served.Busy = l.Busy()
	if l.unloading == "" {
		return served
	}
	return served.Without(fleet.Unit{Model: l.unloading})
}

// Reported takes in a report and reports whether it changed what is known. A report may be older than the last order,
// which the number of accepted orders shows.
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
		// An order in doubt may have begun the load before the restart.
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

// unknownModel stands for the model of an order that an earlier owner gave.
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

// Need asks for an adapter, and reports whether it is there already.
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

// Used notes that an adapter was asked for at a time.
func (l *Ledger) Used(at time.Time, unit fleet.Unit) {
	if at.After(l.used[unit]) {
		l.used[unit] = at
	}
}

// SetMove takes in a move unless another is under way.
func (l *Ledger) SetMove(m Move) {
	if l.Moving() {
		return
	}
	l.move, l.coldUntil = &m, time.Time{}
}

// ColdLoad returns the model of the next order if it must come from the weight store and has no place there now.
func (l *Ledger) ColdLoad(now time.Time) string {
	if !l.known || l.move == nil || now.Before(l.coldUntil) || len(l.unloads()) > 0 || l.Busy() || l.move.Load == "" {
		return ""
	}
	if slices.Contains(l.inMemory, l.move.Load) || slices.Contains(l.onDisk, l.move.Load) {
		return ""
	}
	return l.move.Load
}

// GrantCold notes that a place among the loads from the weight store was had, and until when the load may begin.
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

// Arrive takes the adapters whose time has come as held, and reports whether there are any.
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

// Coming reports whether adapters are on their way.
func (l *Ledger) Coming() bool { return len(l.coming) > 0 }

// Next returns the order to send now, or false when there is none; its answer must be given to Answered.
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

// memoryUsed returns the memory that the runner's models and adapters take, those on their way included.
func (l *Ledger) memoryUsed() float64 {
	used := 0.0
	for _, held := range l.holdings.Models {
		model := l.engine.Model(held.Model)
		if model == nil {
			// An unknown model may take everything.
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

// oldestNeed returns the adapter that has waited longest among those whose model the runner holds.
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

// evict returns the order that unloads the adapter that was used longest ago.
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

// minStay is the time for which an adapter stays after its last use; runs that use it keep it anyway.
const minStay = 500 * time.Millisecond

// Answered takes in what became of the order that was sent.
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
		// The order may have been accepted, or the sequence is not what was thought: only a new report tells.
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

// adapterTime is when a loading adapter is taken as held; source: the users' sheets (at most 9.7 ms when few load).
const adapterTime = 10 * time.Millisecond

func (l *Ledger) held(now time.Time, order fleet.Order) {
	unit := order.Unit
	switch {
	case unit.Adapter != "" && order.Verb == fleet.Unload:
		// An adapter that nothing uses is unloaded at once, which counts as an order.
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
