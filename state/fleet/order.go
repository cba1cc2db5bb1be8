package fleet

// Report is the state that a model runner reports of itself. It is a few hundred milliseconds old on arrival.
type Report struct {
	Incarnation int64
	// Leaving means that the runner leaves.
	Leaving bool
	// Sequence is the number of orders that the runner has accepted since its start.
	Sequence uint64
	Holdings Holdings
	Queued   int
	Running  int
	InMemory []string
	OnDisk   []string
}

// Verb is the action of an order.
type Verb string

// The actions of orders.
const (
	Load   Verb = "load"
	Unload Verb = "unload"
)

// Order asks a runner to load or unload a model or an adapter.
type Order struct {
	Runner string
	Verb   Verb
	Unit   Unit
	// ExpectedSequence is the number of orders that the runner must have accepted before this one; otherwise it
	// refuses.
	ExpectedSequence uint64
	// Owner names the VM that sends the order as the runner's owner. Fence grows with each change of owner.
	Owner string
	Fence uint64
}

// OrderResult is the outcome of an order. Its values appear in logs.
type OrderResult string

// The results of orders.
const (
	// OrderAccepted means that the runner executes the order and has counted it in its sequence.
	OrderAccepted OrderResult = "accepted"
	// OrderCompleted means that the runner was in the ordered state already, or reached it at once.
	OrderCompleted OrderResult = "held"
	// OrderBusy means that the runner refused, because another order is under way or the sequence differs.
	OrderBusy OrderResult = "busy"
	// OrderFenced means that the runner refused, because it has had an order with a higher fence.
	OrderFenced OrderResult = "fenced"
	// OrderRefused means that the runner refused for another reason.
	OrderRefused OrderResult = "refused"
	// OrderNotSent means that the order never left this VM.
	OrderNotSent OrderResult = "notSent"
	// OrderUnknown means that the order is in doubt: the runner may have accepted it, or may still do so.
	OrderUnknown OrderResult = "unknown"
)
