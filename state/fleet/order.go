package fleet

// Report is what a model runner says of itself, as of some hundred milliseconds before it arrives.
type Report struct {
	Incarnation int64
	// Sequence is the number of orders that the runner has accepted since its start.
	Sequence uint64
	Holdings Holdings
	Queued   int
	Running  int
	InMemory []string
	OnDisk   []string
}

// Verb is what an order asks for.
type Verb string

// The verbs of orders.
const (
	Load   Verb = "load"
	Unload Verb = "unload"
)

// Order asks a runner to load or unload a model or an adapter.
type Order struct {
	Runner string
	Verb   Verb
	Unit   Unit
	// Expected is the number of orders that the runner must have accepted before, or it refuses.
	Expected uint64
	// Holder names the VM that gives the order, and Fence grows with each change of it.
	Holder string
	Fence  uint64
}

// OrderResult is what became of an order.
type OrderResult string

// The results of orders.
const (
	// OrderAccepted orders are being carried out, and count in the runner's sequence.
	OrderAccepted OrderResult = "accepted"
	// OrderHeld orders ask for what already is so, or were carried out at once.
	OrderHeld OrderResult = "held"
	// OrderBusy orders were refused, since another order is under way or the sequence differs.
	OrderBusy OrderResult = "busy"
	// OrderFenced orders were refused, since a later holder has ordered the runner.
	OrderFenced OrderResult = "fenced"
	// OrderRefused orders were refused for another reason.
	OrderRefused OrderResult = "refused"
	// OrderNotSent orders did not leave.
	OrderNotSent OrderResult = "notSent"
	// OrderUnknown orders may have been accepted, or may still be.
	OrderUnknown OrderResult = "unknown"
)
