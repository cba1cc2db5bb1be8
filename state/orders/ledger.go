package orders

import (
	"slices"
	"time"

	"github.com/zinniaroute/zinniaroute/state/fleet"
	"github.com/zinniaroute/zinniaroute/state/routes"
)

const (
	// maxAdapterRequests bounds the adapters that requests wait for on one runner.
	maxAdapterRequests = 64
	// adapterRequestTimeout is the time after which a request for an adapter expires; by then no caller waits for it
	// any more.
	adapterRequestTimeout = 2 * time.Second
	// maxLoadingAdapters bounds the adapters that load on one runner at once.
	maxLoadingAdapters = 4
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
	// loadingAdapters holds the adapters that are loading, with the time from which they count as loaded. A zero time
	// means that only a report can end the load.
	loadingAdapters map[fleet.Unit]time.Time
	// loadingModel and unloadingModel name the models that the runner is loading and unloading.
	loadingModel   string
	unloadingModel string
	// unanswered is the order that has no result yet.
	unanswered *fleet.Order

	inMemory []string
	onDisk   []string

	adapterRequests map[fleet.Unit]time.Time
	lastUsed        map[fleet.Unit]time.Time
	move            *Move
	// loadPermitUntil is when the load permit for the move expires. A load from the weight store needs such a permit.
	loadPermitUntil time.Time
}

// New returns the ledger of a runner whose state is not known yet.
func New(runner string, engine *routes.Engine) *Ledger {
	return &Ledger{
		runner: runner, engine: engine,
		loadingAdapters: make(map[fleet.Unit]time.Time),
		adapterRequests: make(map[fleet.Unit]time.Time),
		lastUsed:        make(map[fleet.Unit]time.Time),
	}
}

// SetEngine replaces the models and memory limits of the runner's service after a change of configuration.
func (l *Ledger) SetEngine(engine *routes.Engine) { l.engine = engine }

// Invalidate marks the runner's state as unknown until the next report, as after another VM has owned the runner or a
// request found the record wrong.
func (l *Ledger) Invalidate() { l.known, l.unanswered = false, nil }

// Known reports whether the ledger holds the runner's state. Next returns no order otherwise.
func (l *Ledger) Known() bool { return l.known }

// Busy reports whether the runner is loading or unloading a model.
func (l *Ledger) Busy() bool { return l.loadingModel != "" || l.unloadingModel != "" }

// Moving reports whether a move waits or its orders are under way.
func (l *Ledger) Moving() bool { return l.move != nil || l.Busy() }

// Target returns the model that the move loads, or else the model that is loading, or "" when there is neither or the
// model is not known.
func (l *Ledger) Target() string {
	if l.move != nil {
		return l.move.Load
	}
	if l.loadingModel == unknownModel {
		return ""
	}
	return l.loadingModel
}

// Sequence returns the number of orders that the runner has accepted in this incarnation, as far as the ledger knows.
func (l *Ledger) Sequence() uint64 { return l.sequence }

// Incarnation returns the start of the runner, in Unix milliseconds, to which the state belongs.
func (l *Ledger) Incarnation() int64 { return l.incarnation }

// Holdings returns a copy of the units that the runner can serve, without models that are unloading and without
// adapters that are still loading.
func (l *Ledger) Holdings() fleet.Holdings {
	served := cloneHoldings(l.holdings)
	served.Busy = l.Busy()
	if l.unloadingModel == "" {
		return served
	}
	return served.Without(fleet.Unit{Model: l.unloadingModel})
}

// ApplyReport applies a runner's report and reports whether it changed the ledger. It drops a report from an earlier
// incarnation, one with fewer accepted orders than the ledger has, and any report while an order has no result.
func (l *Ledger) ApplyReport(r fleet.Report) bool {
	if l.unanswered != nil || r.Incarnation < l.incarnation {
		return false
	}
	if l.known && r.Incarnation == l.incarnation && r.Sequence < l.sequence {
		return false
	}
	changed := !l.known || r.Sequence != l.sequence || l.Busy() != r.Holdings.Busy ||
		len(l.holdings.Models) != len(r.Holdings.Models)
	l.replaceState(r)
	return changed
}

func (l *Ledger) replaceState(r fleet.Report) {
	if r.Incarnation != l.incarnation {
		// An order in doubt may have used the load permit before the restart.
		l.loadPermitUntil = time.Time{}
	}
	l.known, l.incarnation, l.sequence = true, r.Incarnation, r.Sequence
	l.holdings = cloneHoldings(r.Holdings)
	l.inMemory, l.onDisk = r.InMemory, r.OnDisk
	clear(l.loadingAdapters)
	for _, unit := range r.Holdings.LoadingAdapters {
		l.loadingAdapters[unit] = time.Time{}
	}
	l.holdings.LoadingAdapters = nil
	if r.Holdings.Busy {
		if l.loadingModel == "" && l.unloadingModel == "" {
			l.loadingModel = unknownModel
		}
		return
	}
	l.loadingModel, l.unloadingModel = "", ""
}

// unknownModel stands for the model of an order that an earlier owner sent.
const unknownModel = "?"

func cloneHoldings(h fleet.Holdings) fleet.Holdings {
	models := make([]fleet.LoadedModel, 0, len(h.Models))
	for _, held := range h.Models {
		held.Adapters = slices.Clone(held.Adapters)
		models = append(models, held)
	}
	h.Models = models
	return h
}

// RequestAdapter records a request for an adapter and reports whether the runner holds the adapter already.
func (l *Ledger) RequestAdapter(now time.Time, unit fleet.Unit) bool {
	l.CompleteAdapterLoads(now)
	l.lastUsed[unit] = now
	if l.holdings.Has(unit) && l.unloadingModel != unit.Model {
		return true
	}
	if len(l.adapterRequests) < maxAdapterRequests {
		l.adapterRequests[unit] = now
	}
	return false
}

// RecordUse records that a request asked for an adapter at a time, which delays the adapter's eviction.
func (l *Ledger) RecordUse(at time.Time, unit fleet.Unit) {
	if at.After(l.lastUsed[unit]) {
		l.lastUsed[unit] = at
	}
}

// SetMove sets the next move; it does nothing while another move is unfinished.
func (l *Ledger) SetMove(m Move) {
	if l.Moving() {
		return
	}
	l.move, l.loadPermitUntil = &m, time.Time{}
}

// ColdLoad returns the model of the next order if it loads from the weight store and lacks a valid load permit, or "".
func (l *Ledger) ColdLoad(now time.Time) string {
	if !l.known || l.move == nil || now.Before(l.loadPermitUntil) || len(l.pendingUnloads()) > 0 || l.Busy() ||
		l.move.Load == "" {
		return ""
	}
	if slices.Contains(l.inMemory, l.move.Load) || slices.Contains(l.onDisk, l.move.Load) {
		return ""
	}
	return l.move.Load
}

// GrantLoadPermit records a load permit for the move, which allows a load from the weight store to start before until.
func (l *Ledger) GrantLoadPermit(until time.Time) { l.loadPermitUntil = until }

func (l *Ledger) pendingUnloads() []string {
	var present []string
	for _, model := range l.move.Unload {
		if l.holdings.Has(fleet.Unit{Model: model}) {
			present = append(present, model)
		}
	}
	return present
}

// CompleteAdapterLoads adds the adapters whose load time has passed to the holdings, and reports whether there were
// any.
func (l *Ledger) CompleteAdapterLoads(now time.Time) bool {
	completed := false
	for unit, at := range l.loadingAdapters {
		if at.IsZero() || now.Before(at) {
			continue
		}
		completed = true
		delete(l.loadingAdapters, unit)
		for i := range l.holdings.Models {
			if l.holdings.Models[i].Model == unit.Model && !slices.Contains(l.holdings.Models[i].Adapters, unit.Adapter) {
				l.holdings.Models[i].Adapters = append(l.holdings.Models[i].Adapters, unit.Adapter)
			}
		}
	}
	return completed
}

// HasLoadingAdapters reports whether adapters are loading.
func (l *Ledger) HasLoadingAdapters() bool { return len(l.loadingAdapters) > 0 }

// Next returns the order to send now, or false when there is none. The caller passes the order's result to
// RecordResult; until then Next returns no other order.
func (l *Ledger) Next(now time.Time, owner string, fence uint64) (fleet.Order, bool) {
	l.CompleteAdapterLoads(now)
	l.expireAdapterRequests(now)
	if !l.known || l.unanswered != nil || l.Busy() {
		return fleet.Order{}, false
	}
	order, ok := l.nextMoveOrder(now)
	if !ok {
		order, ok = l.nextAdapterOrder(now)
	}
	if !ok {
		return fleet.Order{}, false
	}
	order.Runner, order.ExpectedSequence, order.Owner, order.Fence = l.runner, l.sequence, owner, fence
	l.unanswered = &order
	return order, true
}

func (l *Ledger) expireAdapterRequests(now time.Time) {
	for unit, at := range l.adapterRequests {
		if now.Sub(at) > adapterRequestTimeout || l.holdings.Has(unit) {
			delete(l.adapterRequests, unit)
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
	for unit := range l.loadingAdapters {
		if model := l.engine.Model(unit.Model); model != nil {
			used += model.AdapterMB
		}
	}
	return used
}

func (l *Ledger) usedAdapterSlots() int { return l.holdings.AdapterCount() + len(l.loadingAdapters) }

func (l *Ledger) nextMoveOrder(now time.Time) (fleet.Order, bool) {
	if l.move == nil || len(l.loadingAdapters) > 0 {
		return fleet.Order{}, false
	}
	if present := l.pendingUnloads(); len(present) > 0 {
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

func (l *Ledger) nextAdapterOrder(now time.Time) (fleet.Order, bool) {
	if len(l.loadingAdapters) >= maxLoadingAdapters {
		return fleet.Order{}, false
	}
	unit, ok := l.oldestAdapterRequest()
	if !ok {
		return fleet.Order{}, false
	}
	model := l.engine.Model(unit.Model)
	if l.usedAdapterSlots() >= l.engine.AdapterSlots || l.memoryUsed()+model.AdapterMB > l.engine.MemoryMB {
		return l.evictionOrder(now)
	}
	return fleet.Order{Verb: fleet.Load, Unit: unit}, true
}

// oldestAdapterRequest returns the adapter with the oldest request, among adapters whose base model is loaded.
func (l *Ledger) oldestAdapterRequest() (fleet.Unit, bool) {
	var oldest fleet.Unit
	var since time.Time
	for unit, at := range l.adapterRequests {
		_, loading := l.loadingAdapters[unit]
		if loading || l.engine.Model(unit.Model) == nil || !l.holdings.Has(fleet.Unit{Model: unit.Model}) {
			continue
		}
		if since.IsZero() || at.Before(since) || at.Equal(since) && unit.String() < oldest.String() {
			oldest, since = unit, at
		}
	}
	return oldest, !since.IsZero()
}

// evictionOrder returns the order that unloads the least recently used adapter.
func (l *Ledger) evictionOrder(now time.Time) (fleet.Order, bool) {
	var victim fleet.Unit
	found := false
	for _, held := range l.holdings.Models {
		for _, adapter := range held.Adapters {
			unit := fleet.Unit{Model: held.Model, Adapter: adapter}
			if now.Sub(l.lastUsed[unit]) < minAdapterIdleTime {
				continue
			}
			if !found || l.lastUsed[unit].Before(l.lastUsed[victim]) ||
				l.lastUsed[unit].Equal(l.lastUsed[victim]) && unit.String() < victim.String() {
				victim, found = unit, true
			}
		}
	}
	return fleet.Order{Verb: fleet.Unload, Unit: victim}, found
}

// minAdapterIdleTime is the time for which an adapter stays loaded after its last request. Running requests keep their
// adapter in any case.
const minAdapterIdleTime = 500 * time.Millisecond

// RecordResult records the result of the order that Next returned. A result that leaves the order in doubt makes the
// state unknown until the next report.
func (l *Ledger) RecordResult(now time.Time, result fleet.OrderResult) {
	order := l.unanswered
	l.unanswered = nil
	if order == nil {
		return
	}
	switch result {
	case fleet.OrderAccepted:
		l.sequence++
		l.applyAccepted(now, *order)
	case fleet.OrderCompleted:
		l.applyCompleted(now, *order)
	case fleet.OrderNotSent:
	default:
		// The runner may have accepted the order, or its sequence differs from the ledger's. Only a new report can
		// tell.
		l.known = false
	}
}

func (l *Ledger) applyAccepted(now time.Time, order fleet.Order) {
	unit := order.Unit
	switch {
	case unit.Adapter == "" && order.Verb == fleet.Load:
		l.loadingModel = unit.Model
		l.move = nil
	case unit.Adapter == "":
		l.unloadingModel = unit.Model
	case order.Verb == fleet.Load:
		l.loadingAdapters[unit] = now.Add(adapterLoadTime)
		delete(l.adapterRequests, unit)
	default:
		l.removeAdapter(unit)
	}
}

// adapterLoadTime is the time after which a loading adapter counts as loaded: a load takes up to 9.7 ms while few
// others run.
const adapterLoadTime = 10 * time.Millisecond

func (l *Ledger) applyCompleted(now time.Time, order fleet.Order) {
	unit := order.Unit
	switch {
	case unit.Adapter != "" && order.Verb == fleet.Unload:
		// The runner unloads an unused adapter at once, and counts that as an accepted order.
		l.sequence++
		l.removeAdapter(unit)
	case unit.Adapter != "":
		l.loadingAdapters[unit] = now
		delete(l.adapterRequests, unit)
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
