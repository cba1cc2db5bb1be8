package vm

import (
	"time"

	"github.com/zinniaroute/zinniaroute/coordination/relay"
	"github.com/zinniaroute/zinniaroute/state/allocation"
	"github.com/zinniaroute/zinniaroute/state/dispatch"
	"github.com/zinniaroute/zinniaroute/state/fleet"
	"github.com/zinniaroute/zinniaroute/state/orders"
	"github.com/zinniaroute/zinniaroute/state/quarantine"
)

// The names of the calls.
const (
	// CallExchange hands a Digest to the VM that gathers them, and returns a Summary.
	CallExchange = "/zinniaroute.VM/Exchange"
	// CallNeed asks the owner of a runner for an adapter there.
	CallNeed = "/zinniaroute.VM/Need"
)

// Owned is what the owner of a runner knows of it.
type Owned struct {
	Runner      string         `cbor:"1,keyasint"`
	Incarnation int64          `cbor:"2,keyasint"`
	Holdings    fleet.Holdings `cbor:"3,keyasint"`
	// Age is how long ago the holdings were known to be so.
	Age time.Duration `cbor:"4,keyasint"`
	// Moving runners have an order on weights under way.
	Moving bool `cbor:"5,keyasint,omitempty"`
	// Target is the model that the runner is about to hold.
	Target string `cbor:"6,keyasint,omitempty"`
}

// Use tells when an adapter was last asked for on a runner.
type Use struct {
	Runner string        `cbor:"1,keyasint"`
	Unit   fleet.Unit    `cbor:"2,keyasint"`
	Age    time.Duration `cbor:"3,keyasint"`
}

// Digest is what a VM tells the one that gathers.
type Digest struct {
	VM     string                           `cbor:"1,keyasint"`
	Shares map[string]dispatch.EndpointLoad `cbor:"2,keyasint,omitempty"`
	Demand map[string]allocation.Demand     `cbor:"3,keyasint,omitempty"`
	Uses   []Use                            `cbor:"4,keyasint,omitempty"`
	Owned  []Owned                          `cbor:"5,keyasint,omitempty"`
	// Known is the store's revision up to which the VM knows everything.
	Known uint64 `cbor:"6,keyasint,omitempty"`
	// Gatherer and Heard name the process that last answered and how many changes of runners it had told by then.
	Gatherer string `cbor:"7,keyasint,omitempty"`
	Heard    uint64 `cbor:"8,keyasint,omitempty"`
	// Suspicions are requests under which endpoints were lost, since the last digest.
	Suspicions []quarantine.Suspicion `cbor:"9,keyasint,omitempty"`
}

// Summary is what the gathering VM tells another.
type Summary struct {
	// Shares are the sums of all other VMs.
	Shares map[string]dispatch.EndpointLoad `cbor:"1,keyasint,omitempty"`
	// Known is what the owners of runners know of them.
	Known []Owned `cbor:"2,keyasint,omitempty"`
	// Moves are the changes that the plan asks for at runners that the VM owns.
	Moves map[string]orders.Move `cbor:"3,keyasint,omitempty"`
	// Uses are those of other VMs at runners that the VM owns.
	Uses []Use `cbor:"4,keyasint,omitempty"`
	// View is what has changed in the store, absent when the gathering VM does not know.
	View *relay.View `cbor:"6,keyasint,omitempty"`
	// Grace is the time in which runners that the view lacks may come back.
	Grace time.Duration `cbor:"7,keyasint,omitempty"`
	// Gatherer names the answering process, and Told is the number of changes of runners that it has told.
	Gatherer string `cbor:"8,keyasint"`
	Told     uint64 `cbor:"9,keyasint"`
	// Suspicions are those that any VM has told lately.
	Suspicions []quarantine.Suspicion `cbor:"10,keyasint,omitempty"`
}

// NeedRequest asks for an adapter on a runner.
type NeedRequest struct {
	VM     string     `cbor:"1,keyasint"`
	Runner string     `cbor:"2,keyasint"`
	Unit   fleet.Unit `cbor:"3,keyasint"`
}

// NeedAnswer tells whether the adapter is there now.
type NeedAnswer struct {
	Held bool `cbor:"1,keyasint"`
	// Reason tells why it is not.
	Reason string `cbor:"2,keyasint,omitempty"`
	Owned  Owned  `cbor:"3,keyasint"`
}
