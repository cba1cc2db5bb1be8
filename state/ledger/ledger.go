package ledger

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

const (
	// sequenceBits is the number of low bits of a fence that hold the sequence number of an order within its term.
	sequenceBits = 20
	// retryDelay is the delay after a failed order or read.
	retryDelay = 500 * time.Millisecond
	// OrderLingerWindow is the longest time for which an order may still take effect after its sender stopped
	// waiting for it.
	OrderLingerWindow = 30 * time.Second
	// readInterval is the interval between reads of a settled runner's index.
	readInterval = 2 * time.Second
)

// Config describes a runner. MemoryMiB is the memory of each accelerator; Fenced means that the engine checks fences.
type Config struct {
	Name         string
	Accelerators int
	MemoryMiB    int
	Fenced       bool
}

// phase is the progress of a lease holder that takes over a runner.
type phase string

const (
	phaseIdle    phase = "idle"
	phaseFencing phase = "fencing"
	phaseIntents phase = "intents"
	phaseReading phase = "reading"
	phaseSettled phase = "settled"
)

// Ledger is the ledger of one model runner: a state machine that Step drives. It is not safe for concurrent use.
type Ledger struct {
	config    Config
	authority Authority
	phase     phase
	// sequence is the number of orders sent in lastTerm.
	sequence    uint64
	lastTerm    uint64
	incarnation string
	items       map[string]*Item
	pending     map[string]Order
	desired     []DesiredItem
	// phaseStartedAt is the start of the current phase. An index that was requested earlier is ignored.
	phaseStartedAt time.Time
	nextOrderAt    time.Time
	nextReadAt     time.Time
	readInFlight   bool
	intents        intentLog
}

// New returns the empty ledger of a runner whose contents are unknown.
func New(config Config) *Ledger {
	return &Ledger{
		config:  config,
		phase:   phaseIdle,
		items:   make(map[string]*Item),
		pending: make(map[string]Order),
	}
}

// Step applies an event and returns the actions that are due.
func (l *Ledger) Step(now time.Time, event Event) []Action {
	switch e := event.(type) {
	case AuthorityChanged:
		l.setAuthority(now, e.Authority)
	case DesiredChanged:
		l.desired = e.Items
	case OrderAnswered:
		l.recordAnswer(now, e)
	case IndexRead:
		l.applyIndex(now, e)
	case IndexReadFailed:
		l.readInFlight = false
		l.nextReadAt = now.Add(retryDelay)
	case IntentsStored:
		l.intents.finishWrite(e)
	case IntentsRead:
		l.reserveIntents(now, e.Items)
	case IntentsReadFailed:
		l.restartTakeover(now)
		l.nextOrderAt = now.Add(retryDelay)
	case Tick:
	}
	return l.dueActions(now)
}

func (l *Ledger) setAuthority(now time.Time, authority Authority) {
	newTerm := authority.Term != l.authority.Term
	l.authority = authority
	if !newTerm {
		return
	}
	if authority.Term != 0 && authority.Term != l.lastTerm {
		l.lastTerm = authority.Term
		l.sequence = 0
	}
	l.intents = intentLog{}
	l.restartTakeover(now)
}

// restartTakeover begins the takeover of the runner again: fence it or read the intents, then read the engine's index.
func (l *Ledger) restartTakeover(now time.Time) {
	l.phase = phaseIdle
	l.phaseStartedAt = now
	l.nextOrderAt = now
}

// Settled reports whether the takeover is complete: the runner's contents are known and orders may be sent.
func (l *Ledger) Settled() bool { return l.phase == phaseSettled }

func (l *Ledger) isAuthorized() bool {
	if l.authority.Term == 0 {
		return false
	}
	return l.config.Fenced || l.authority.Full
}

// fence returns the fence of the latest order. Each order has a higher one than the order before. An engine that checks
// fences thus rejects each late or duplicate order once it has accepted a later order.
func (l *Ledger) fence() uint64 { return l.authority.Term<<sequenceBits | l.sequence }

func (l *Ledger) addOrder(verb Verb, item Item) Order {
	l.sequence++
	order := Order{
		ID:    fmt.Sprintf("%s/%d", l.config.Name, l.fence()),
		Verb:  verb,
		Fence: l.fence(),
		Item:  item,
	}
	l.pending[order.ID] = order
	return order
}

func (l *Ledger) setState(now time.Time, item *Item, state ItemState) {
	item.State = state
	item.StateChangedAt = now
	if state != Resident {
		item.Serving = false
	}
}

func (l *Ledger) recordAnswer(now time.Time, answer OrderAnswered) {
	order, known := l.pending[answer.OrderID]
	if !known {
		return
	}
	delete(l.pending, answer.OrderID)
	if order.Verb == VerbFence {
		l.recordFenceAnswer(now, order, answer.Result)
		return
	}
	item := l.items[order.Item.Name]
	if item == nil {
		return
	}
	switch answer.Result {
	case Confirmed:
		l.applyConfirmed(now, order, item)
	case Unknown:
		l.markInDoubt(now, item)
	case StaleFence:
		l.revert(now, order, item)
		l.relinquish(order)
	case Refused:
		l.revert(now, order, item)
		l.nextOrderAt = now.Add(retryDelay)
		l.nextReadAt = now
	}
}

func (l *Ledger) recordFenceAnswer(now time.Time, order Order, result Result) {
	if l.phase != phaseFencing || order.Fence != l.fence() {
		return
	}
	switch result {
	case Confirmed:
		l.phase = phaseReading
		l.phaseStartedAt = now
		l.nextReadAt = now
	case StaleFence:
		l.phase = phaseIdle
		l.relinquish(order)
	case Refused, Unknown:
		l.phase = phaseIdle
		l.nextOrderAt = now.Add(retryDelay)
	}
}

// relinquish gives up the authority if the rejected order is the latest one. Only a later lease holder can have sent a
// higher fence then.
func (l *Ledger) relinquish(order Order) {
	if order.Fence == l.fence() {
		l.authority = Authority{}
		l.phase = phaseIdle
	}
}

func (l *Ledger) applyConfirmed(now time.Time, order Order, item *Item) {
	if order.Verb == VerbLoad {
		if item.State == Loading {
			l.setState(now, item, Resident)
			item.Serving = true
			l.extendLinger(now, item)
		}
		return
	}
	if item.State == Unloading {
		l.removeWithAdapters(now, item)
	}
}

// revert reverts the state change that came with an order, after the order had no effect.
func (l *Ledger) revert(now time.Time, order Order, item *Item) {
	if order.Verb == VerbLoad && item.State == Loading {
		l.removeWithAdapters(now, item)
	}
	if order.Verb == VerbUnload && item.State == Unloading {
		l.setState(now, item, Resident)
		item.Serving = true
	}
}

// markInDoubt handles an order without a known outcome. On a fenced runner it starts the takeover again: an engine that
// has confirmed a later fence rejects the order if it arrives late.
func (l *Ledger) markInDoubt(now time.Time, item *Item) {
	l.extendLinger(now, item)
	l.setState(now, item, InDoubt)
	l.nextOrderAt = now.Add(retryDelay)
	if l.config.Fenced && l.phase == phaseSettled {
		l.restartTakeover(now)
		l.nextOrderAt = now.Add(retryDelay)
	}
}

// extendLinger records that a load order for the item may take effect again on a runner that does not check fences.
func (l *Ledger) extendLinger(now time.Time, item *Item) {
	if !l.config.Fenced {
		item.LingerUntil = now.Add(OrderLingerWindow)
	}
}

// removeWithAdapters removes an item and the adapters loaded on it. Items that an earlier load order may still
// load stay.
func (l *Ledger) removeWithAdapters(now time.Time, item *Item) {
	for _, other := range l.items {
		if other.Base == item.Name {
			l.remove(now, other)
		}
	}
	l.remove(now, item)
}

func (l *Ledger) remove(now time.Time, item *Item) {
	if now.Before(item.LingerUntil) {
		l.setState(now, item, Lingering)
		return
	}
	delete(l.items, item.Name)
}

// UsedMiB returns the memory in MiB that the ledger counts as used on each accelerator.
func (l *Ledger) UsedMiB() []int {
	used := make([]int, l.config.Accelerators)
	for _, item := range l.items {
		for _, accelerator := range item.Accelerators {
			used[accelerator] += item.MemoryMiB
		}
	}
	return used
}

func (l *Ledger) freeMiB() []int {
	free := l.UsedMiB()
	for i := range free {
		free[i] = l.config.MemoryMiB - free[i]
	}
	return free
}

// Items returns the entries of the ledger sorted by name.
func (l *Ledger) Items() []Item {
	items := make([]Item, 0, len(l.items))
	for _, item := range l.items {
		items = append(items, *item)
	}
	slices.SortFunc(items, func(a, b Item) int { return strings.Compare(a.Name, b.Name) })
	return items
}

// Snapshot is the state of a runner's ledger as shown to operators. WaitsFor is the condition that blocks orders.
type Snapshot struct {
	Runner      string  `json:"runner"`
	Phase       string  `json:"phase"`
	Term        uint64  `json:"term"`
	Full        bool    `json:"full"`
	Fence       uint64  `json:"fence"`
	Incarnation string  `json:"incarnation,omitempty"`
	Items       []Item  `json:"items"`
	Pending     []Order `json:"pending,omitempty"`
	UsedMiB     []int   `json:"usedMiB"`
	MemoryMiB   int     `json:"memoryMiB"`
	WaitsFor    string  `json:"waitsFor,omitempty"`
}

// Snapshot returns a copy of the state of the ledger.
func (l *Ledger) Snapshot() Snapshot {
	pending := make([]Order, 0, len(l.pending))
	for _, order := range l.pending {
		pending = append(pending, order)
	}
	slices.SortFunc(pending, func(a, b Order) int { return strings.Compare(a.ID, b.ID) })
	return Snapshot{
		Runner:      l.config.Name,
		Phase:       string(l.phase),
		Term:        l.authority.Term,
		Full:        l.authority.Full,
		Fence:       l.fence(),
		Incarnation: l.incarnation,
		Items:       l.Items(),
		Pending:     pending,
		UsedMiB:     l.UsedMiB(),
		MemoryMiB:   l.config.MemoryMiB,
		WaitsFor:    l.waitsFor(),
	}
}

func (l *Ledger) waitsFor() string {
	switch {
	case !l.isAuthorized():
		return "the controller lease"
	case l.phase == phaseFencing || l.phase == phaseIdle:
		return "the fence to be confirmed"
	case l.phase == phaseIntents:
		return "the stored intents"
	case l.phase == phaseReading:
		return "the engine's index"
	case l.intents.isWriting():
		return "the intents to be stored"
	default:
		return ""
	}
}

func kindOf(entry IndexEntry) ItemKind {
	if entry.Kind == "" {
		return ItemBase
	}
	return entry.Kind
}

// HoldsAny reports whether the ledger has an entry for one of the names.
func (l *Ledger) HoldsAny(names ...string) bool {
	return slices.ContainsFunc(names, func(name string) bool { return l.items[name] != nil })
}
