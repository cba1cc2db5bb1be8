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

// Names of the calls.
const (
	// CallExchange sends a Digest to the aggregator and returns a Summary.
	CallExchange = "/zinniaroute.VM/Exchange"
	// CallNeed asks the owner of a runner to load an adapter on it.
	CallNeed = "/zinniaroute.VM/Need"
)

// Owned is the state of a runner according to its owner.
type Owned struct {
	Runner      string         `cbor:"1,keyasint"`
	Incarnation int64          `cbor:"2,keyasint"`
	Holdings    fleet.Holdings `cbor:"3,keyasint"`
	// Age is the time since the holdings were last confirmed.
	Age time.Duration `cbor:"4,keyasint"`
	// Moving reports whether an order on weights is in flight.
	Moving bool `cbor:"5,keyasint,omitempty"`
	// Target is the model that the runner is to hold next.
	Target string `cbor:"6,keyasint,omitempty"`
}

// Use records when an adapter was last requested on a runner; Age is the time since then.
type Use struct {
	Runner string        `cbor:"1,keyasint"`
	Unit   fleet.Unit    `cbor:"2,keyasint"`
	Age    time.Duration `cbor:"3,keyasint"`
}

// Digest is the report that a VM sends to the aggregator.
type Digest struct {
	VM     string                       `cbor:"1,keyasint"`
	Shares map[string]dispatch.Share    `cbor:"2,keyasint,omitempty"`
	Demand map[string]allocation.Demand `cbor:"3,keyasint,omitempty"`
	Uses   []Use                        `cbor:"4,keyasint,omitempty"`
	Owned  []Owned                      `cbor:"5,keyasint,omitempty"`
	// Known is the revision of the store up to which the VM is synced.
	Known uint64 `cbor:"6,keyasint,omitempty"`
	// Gatherer is the aggregator process that answered last. Heard is the number of changes of runners that it had sent
	// by then.
	Gatherer string `cbor:"7,keyasint,omitempty"`
	Heard    uint64 `cbor:"8,keyasint,omitempty"`
	// Suspicions holds the requests during which endpoints have failed since the previous report.
	Suspicions []quarantine.Suspicion `cbor:"9,keyasint,omitempty"`
}

// Summary is the aggregator's answer to a VM.
type Summary struct {
	// Shares holds the sums over all other VMs, by runner.
	Shares map[string]dispatch.Share `cbor:"1,keyasint,omitempty"`
	// Known holds the states of runners that other VMs own.
	Known []Owned `cbor:"2,keyasint,omitempty"`
	// Moves holds the planned model moves on runners that the VM owns, by runner.
	Moves map[string]orders.Move `cbor:"3,keyasint,omitempty"`
	// Uses holds the adapter uses of other VMs on runners that the VM owns.
	Uses []Use `cbor:"4,keyasint,omitempty"`
	// View holds the changes in the store, or is nil if the aggregator is not synced with the store.
	View *relay.View `cbor:"6,keyasint,omitempty"`
	// Grace is the remaining time in which a runner that the view lacks may reappear before it counts as removed.
	Grace time.Duration `cbor:"7,keyasint,omitempty"`
	// Gatherer is the aggregator process that answers. Told is the number of changes of runners that it has sent so far.
	Gatherer string `cbor:"8,keyasint"`
	Told     uint64 `cbor:"9,keyasint"`
	// Suspicions holds the recent suspicions of all VMs.
	Suspicions []quarantine.Suspicion `cbor:"10,keyasint,omitempty"`
}

// NeedRequest asks the owner of a runner to load an adapter on it.
type NeedRequest struct {
	VM     string     `cbor:"1,keyasint"`
	Runner string     `cbor:"2,keyasint"`
	Unit   fleet.Unit `cbor:"3,keyasint"`
}

// NeedAnswer reports whether the adapter is loaded.
type NeedAnswer struct {
	Held bool `cbor:"1,keyasint"`
	// Reason states why the adapter is not loaded.
	Reason string `cbor:"2,keyasint,omitempty"`
	Owned  Owned  `cbor:"3,keyasint"`
}
