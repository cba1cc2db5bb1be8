package ledger

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

const (
	// fenceBits is the number of low bits of a fence that hold the sequence number of an order within its term.
	fenceBits = 20
	// retryDelay is the delay after a failed order or read.
	retryDelay = 500 * time.Millisecond
	// OrderLinger is the longest time for which an order may still take effect after its sender stopped waiting for it.
	OrderLinger = 30 * time.Second
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

// Runner is the ledger of one model runner: a state machine that Step drives. It is not safe for concurrent use.
type Runner struct {
	config    Config
	authority Authority
	phase     phase
	// sequence is the number of orders sent in lastTerm.
	sequence    uint64
	lastTerm    uint64
	incarnation string
	items       map[string]*Item
	pending     map[string]Order
	wants       []Want
	// phaseFrom is the start of the current phase. An index that was requested earlier is ignored.
	phaseFrom time.Time
	retryAt   time.Time
	readAt    time.Time
	reading   bool
	intents   intentLog
}

// NewRunner returns the empty ledger of a runner whose contents are unknown.
func NewRunner(config Config) *Runner {
	return &Runner{
		config:  config,
		phase:   phaseIdle,
		items:   make(map[string]*Item),
		pending: make(map[string]Order),
	}
}

// Step applies an event and returns the actions that are due.
func (r *Runner) Step(now time.Time, event Event) []Action {
	switch e := event.(type) {
	case AuthorityChanged:
		r.setAuthority(now, e.Authority)
	case Desired:
		r.wants = e.Wants
	case Answered:
		r.answered(now, e)
	case Contents:
		r.contents(now, e)
	case ReadFailed:
		r.reading = false
		r.readAt = now.Add(retryDelay)
	case IntentsStored:
		r.intents.settle(e)
	case IntentsFound:
		r.adopt(now, e.Items)
	case IntentsReadFailed:
		r.restart(now)
		r.retryAt = now.Add(retryDelay)
	case Tick:
	}
	return r.advance(now)
}

func (r *Runner) setAuthority(now time.Time, authority Authority) {
	newTerm := authority.Term != r.authority.Term
	r.authority = authority
	if !newTerm {
		return
	}
	if authority.Term != 0 && authority.Term != r.lastTerm {
		r.lastTerm = authority.Term
		r.sequence = 0
	}
	r.intents = intentLog{}
	r.restart(now)
}

// restart begins the takeover of the runner again: fence it or read the intents, then read the engine's index.
func (r *Runner) restart(now time.Time) {
	r.phase = phaseIdle
	r.phaseFrom = now
	r.retryAt = now
}

// Settled reports whether the takeover is complete: the runner's contents are known and orders may be sent.
func (r *Runner) Settled() bool { return r.phase == phaseSettled }

func (r *Runner) mayOrder() bool {
	if r.authority.Term == 0 {
		return false
	}
	return r.config.Fenced || r.authority.Full
}

// fence returns the fence of the latest order. Each order has a higher one than the order before. An engine that checks
// fences thus rejects each late or duplicate order once it has accepted a later order.
func (r *Runner) fence() uint64 { return r.authority.Term<<fenceBits | r.sequence }

func (r *Runner) newOrder(verb Verb, item Item) Order {
	r.sequence++
	order := Order{
		ID:    fmt.Sprintf("%s/%d", r.config.Name, r.fence()),
		Verb:  verb,
		Fence: r.fence(),
		Item:  item,
	}
	r.pending[order.ID] = order
	return order
}

func (r *Runner) setState(now time.Time, item *Item, state ItemState) {
	item.State = state
	item.Since = now
	if state != Resident {
		item.Serving = false
	}
}

func (r *Runner) answered(now time.Time, answer Answered) {
	order, known := r.pending[answer.OrderID]
	if !known {
		return
	}
	delete(r.pending, answer.OrderID)
	if order.Verb == VerbFence {
		r.fenceAnswered(now, order, answer.Result)
		return
	}
	item := r.items[order.Item.Name]
	if item == nil {
		return
	}
	switch answer.Result {
	case Confirmed:
		r.confirmed(now, order, item)
	case Unknown:
		r.doubt(now, item)
	case StaleFence:
		r.undo(now, order, item)
		r.yield(order)
	case Refused:
		r.undo(now, order, item)
		r.retryAt = now.Add(retryDelay)
		r.readAt = now
	}
}

func (r *Runner) fenceAnswered(now time.Time, order Order, result Result) {
	if r.phase != phaseFencing || order.Fence != r.fence() {
		return
	}
	switch result {
	case Confirmed:
		r.phase = phaseReading
		r.phaseFrom = now
		r.readAt = now
	case StaleFence:
		r.phase = phaseIdle
		r.yield(order)
	case Refused, Unknown:
		r.phase = phaseIdle
		r.retryAt = now.Add(retryDelay)
	}
}

// yield gives up the authority if the rejected order is the latest one. Only a later lease holder can have sent a
// higher fence then.
func (r *Runner) yield(order Order) {
	if order.Fence == r.fence() {
		r.authority = Authority{}
		r.phase = phaseIdle
	}
}

func (r *Runner) confirmed(now time.Time, order Order, item *Item) {
	if order.Verb == VerbLoad {
		if item.State == Loading {
			r.setState(now, item, Resident)
			item.Serving = true
			r.linger(now, item)
		}
		return
	}
	if item.State == Unloading {
		r.free(now, item)
	}
}

// undo reverts the state change that came with an order, after the order had no effect.
func (r *Runner) undo(now time.Time, order Order, item *Item) {
	if order.Verb == VerbLoad && item.State == Loading {
		r.free(now, item)
	}
	if order.Verb == VerbUnload && item.State == Unloading {
		r.setState(now, item, Resident)
		item.Serving = true
	}
}

// doubt handles an order without a known outcome. A new fence makes sure that a fenced engine rejects it from then on.
func (r *Runner) doubt(now time.Time, item *Item) {
	r.linger(now, item)
	r.setState(now, item, InDoubt)
	r.retryAt = now.Add(retryDelay)
	if r.config.Fenced && r.phase == phaseSettled {
		r.restart(now)
		r.retryAt = now.Add(retryDelay)
	}
}

// linger records that a load order for the item may take effect again on a runner that does not check fences.
func (r *Runner) linger(now time.Time, item *Item) {
	if !r.config.Fenced {
		item.LingerUntil = now.Add(OrderLinger)
	}
}

// free removes an item and the adapters loaded on it. Items that an earlier load order may still load stay.
func (r *Runner) free(now time.Time, item *Item) {
	for _, other := range r.items {
		if other.Base == item.Name {
			r.freeOne(now, other)
		}
	}
	r.freeOne(now, item)
}

func (r *Runner) freeOne(now time.Time, item *Item) {
	if now.Before(item.LingerUntil) {
		r.setState(now, item, Lingering)
		return
	}
	delete(r.items, item.Name)
}

// UsedMiB returns the memory in MiB that the ledger counts as used on each accelerator.
func (r *Runner) UsedMiB() []int {
	used := make([]int, r.config.Accelerators)
	for _, item := range r.items {
		for _, accelerator := range item.Accelerators {
			used[accelerator] += item.MemoryMiB
		}
	}
	return used
}

func (r *Runner) freeMiB() []int {
	free := r.UsedMiB()
	for i := range free {
		free[i] = r.config.MemoryMiB - free[i]
	}
	return free
}

// Items returns the entries of the ledger sorted by name.
func (r *Runner) Items() []Item {
	items := make([]Item, 0, len(r.items))
	for _, item := range r.items {
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
func (r *Runner) Snapshot() Snapshot {
	pending := make([]Order, 0, len(r.pending))
	for _, order := range r.pending {
		pending = append(pending, order)
	}
	slices.SortFunc(pending, func(a, b Order) int { return strings.Compare(a.ID, b.ID) })
	return Snapshot{
		Runner:      r.config.Name,
		Phase:       string(r.phase),
		Term:        r.authority.Term,
		Full:        r.authority.Full,
		Fence:       r.fence(),
		Incarnation: r.incarnation,
		Items:       r.Items(),
		Pending:     pending,
		UsedMiB:     r.UsedMiB(),
		MemoryMiB:   r.config.MemoryMiB,
		WaitsFor:    r.waitsFor(),
	}
}

func (r *Runner) waitsFor() string {
	switch {
	case !r.mayOrder():
		return "the controller lease"
	case r.phase == phaseFencing || r.phase == phaseIdle:
		return "the fence to be confirmed"
	case r.phase == phaseIntents:
		return "the stored intents"
	case r.phase == phaseReading:
		return "the engine's index"
	case r.intents.waiting():
		return "the intents to be stored"
	default:
		return ""
	}
}

func kindOf(entry Reported) ItemKind {
	if entry.Kind == "" {
		return ItemBase
	}
	return entry.Kind
}

// HoldsAny reports whether the ledger has an entry for one of the names.
func (r *Runner) HoldsAny(names ...string) bool {
	return slices.ContainsFunc(names, func(name string) bool { return r.items[name] != nil })
}
