package ledger

import (
	"time"
)

// ItemState is the last known state of an item on a runner.
type ItemState string

// The states of an item. In each of them the ledger counts the item's memory as used.
const (
	// Loading means that a load order has not been answered.
	Loading ItemState = "loading"
	// Resident means that the engine has confirmed the item.
	Resident ItemState = "resident"
	// Unloading means that an unload order has not been answered.
	Unloading ItemState = "unloading"
	// InDoubt means that an order for the item has no known outcome.
	InDoubt ItemState = "inDoubt"
	// Lingering means that the item was unloaded but an earlier load order may still take effect.
	Lingering ItemState = "lingering"
)

// Item is a base model or an adapter that takes memory on a runner, or may take it.
type Item struct {
	Name         string    `json:"name"`
	Kind         ItemKind  `json:"kind"`
	Base         string    `json:"base,omitempty"`
	Weights      string    `json:"weights,omitempty"`
	MemoryMiB    int       `json:"memoryMiB"`
	Accelerators []int     `json:"accelerators"`
	State        ItemState `json:"state"`
	// StateChangedAt is the time at which the item entered its state.
	StateChangedAt time.Time `json:"since"`
	// LingerUntil is the time from which no earlier load order for the item can take effect. It is used only on a
	// runner without fencing.
	LingerUntil time.Time `json:"lingerUntil,omitzero"`
	// Serving reports whether the engine has reported the item as ready.
	Serving bool `json:"serving"`
}

// DesiredItem is an item that a runner should hold, and the resources that it needs.
type DesiredItem struct {
	Name         string
	Kind         ItemKind
	Base         string
	Weights      string
	MemoryMiB    int
	Accelerators int
	// PreferredAccelerators lists the indices of the accelerators to use if each has enough free memory; empty means any.
	PreferredAccelerators []int `json:"At"`
}

// Verb is the kind of an order.
type Verb string

// The kinds of orders. A fence order changes nothing but the highest fence that the engine has seen.
const (
	VerbFence  Verb = "fence"
	VerbLoad   Verb = "load"
	VerbUnload Verb = "unload"
)

// Order is a command to the engine of a runner. Fence grows with each order; a fenced engine rejects a lower one.
type Order struct {
	ID    string `json:"id"`
	Verb  Verb   `json:"verb"`
	Fence uint64 `json:"fence"`
	Item  Item   `json:"item"`
}

// Result is the outcome of an order.
type Result string

// The outcomes of orders.
const (
	// Confirmed means that the order took effect.
	Confirmed Result = "confirmed"
	// Refused means that the order did not take effect and never will.
	Refused Result = "refused"
	// StaleFence means that the engine rejected the order because it has seen a higher fence,
	// such as that of a later lease holder.
	StaleFence Result = "staleFence"
	// Unknown means that the order may have taken effect or may still do so.
	Unknown Result = "unknown"
)

// Authority is the right to send orders to a runner.
type Authority struct {
	// Term is the term of the controller lease and the high bits of each fence; zero means no authority.
	Term uint64
	// Full reports whether the lease is certainly held. A runner without fencing is sent orders only then.
	Full bool
}

// Event is an input of a runner's ledger.
type Event interface{ event() }

// AuthorityChanged gives the new authority of the process.
type AuthorityChanged struct{ Authority Authority }

// DesiredChanged gives the items that the runner should hold, the most important first.
type DesiredChanged struct{ Items []DesiredItem }

// OrderAnswered gives the outcome of an order.
type OrderAnswered struct {
	OrderID string
	Result  Result
}

// IndexRead gives the engine's index. The engine produced it after RequestedAt.
type IndexRead struct {
	Incarnation string
	RequestedAt time.Time
	Entries     []IndexEntry
}

// IndexReadFailed reports that the engine's index could not be read.
type IndexReadFailed struct{}

// IntentsStored reports whether the key-value service stored the intents of the WriteIntents with the same Sequence.
type IntentsStored struct {
	Sequence uint64
	Stored   bool
}

// IntentsRead gives the intents that earlier lease holders stored for a runner without fencing.
type IntentsRead struct{ Items []Item }

// IntentsReadFailed reports that the stored intents could not be read.
type IntentsReadFailed struct{}

// Tick asks for the actions that have become due.
type Tick struct{}

func (AuthorityChanged) event()  {}
func (DesiredChanged) event()    {}
func (OrderAnswered) event()     {}
func (IndexRead) event()         {}
func (IndexReadFailed) event()   {}
func (IntentsStored) event()     {}
func (IntentsRead) event()       {}
func (IntentsReadFailed) event() {}
func (Tick) event()              {}

// Action is an output of a runner's ledger, which the caller carries out.
type Action interface{ action() }

// SendOrder asks to send an order; the outcome returns as OrderAnswered.
type SendOrder struct{ Order Order }

// ReadIndex asks to read the engine's index; the outcome returns as IndexRead or IndexReadFailed.
type ReadIndex struct{}

// WriteIntents asks to store the open intents; the outcome returns as IntentsStored. No load or unload
// order is sent until then.
type WriteIntents struct {
	Sequence uint64
	Items    []Item
}

// ReadIntents asks for the stored intents; the outcome returns as IntentsRead or IntentsReadFailed.
type ReadIntents struct{}

func (SendOrder) action()    {}
func (ReadIndex) action()    {}
func (WriteIntents) action() {}
func (ReadIntents) action()  {}
