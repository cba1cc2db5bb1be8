package residency

import (
	"math"
	"slices"

	"github.com/zinniaroute/zinniaroute/state/ledger"
)

// HeldItem is a unit or adapter on a runner. Ready items serve requests.
type HeldItem struct {
	Name  string          `cbor:"1,keyasint" json:"name"`
	Kind  ledger.ItemKind `cbor:"2,keyasint" json:"kind"`
	Base  string          `cbor:"3,keyasint,omitempty" json:"base,omitempty"`
	Ready bool            `cbor:"4,keyasint" json:"ready"`
}

// RunnerState is one VM's observation of a runner.
type RunnerState struct {
	Runner      string     `cbor:"1,keyasint" json:"runner"`
	Sequence    uint64     `cbor:"2,keyasint" json:"sequence"`
	Observer    string     `cbor:"3,keyasint" json:"observer"`
	Reachable   bool       `cbor:"4,keyasint" json:"reachable"`
	Draining    bool       `cbor:"5,keyasint,omitempty" json:"leaving,omitempty"`
	Incarnation string     `cbor:"6,keyasint,omitempty" json:"incarnation,omitempty"`
	Items       []HeldItem `cbor:"7,keyasint,omitempty" json:"items,omitempty"`
	Running     int        `cbor:"8,keyasint,omitempty" json:"running"`
	Waiting     int        `cbor:"9,keyasint,omitempty" json:"waiting"`
}

// Key returns the runner's name, which identifies the record.
func (s RunnerState) Key() string { return s.Runner }

// Version returns the observation's sequence number.
func (s RunnerState) Version() uint64 { return s.Sequence }

// Holds reports whether the runner has an item that is ready to serve.
func (s RunnerState) Holds(name string) bool {
	for _, item := range s.Items {
		if item.Name == name {
			return item.Ready
		}
	}
	return false
}

const (
	// minLoadChange, in requests, and minLoadChangeShare, as a share of the earlier load, are the smallest changes of a
	// runner's load that are spread immediately. The larger of the two applies.
	minLoadChange      = 3
	minLoadChangeShare = 0.25
)

// DiffersFrom reports whether an observation differs enough from an earlier one to be spread immediately.
func (s RunnerState) DiffersFrom(previous RunnerState) bool {
	if s.Reachable != previous.Reachable || s.Draining != previous.Draining || s.Incarnation != previous.Incarnation {
		return true
	}
	if !slices.Equal(s.Items, previous.Items) {
		return true
	}
	load, previousLoad := float64(s.Running+s.Waiting), float64(previous.Running+previous.Waiting)
	return math.Abs(load-previousLoad) >= max(minLoadChange, minLoadChangeShare*previousLoad)
}

// UnitDemand is the demand that an entry measured for a model, version or adapter.
type UnitDemand struct {
	Name string `cbor:"1,keyasint" json:"name"`
	// RequestsPerSecond is the rate at which requests arrive.
	RequestsPerSecond float64 `cbor:"2,keyasint" json:"perSecond"`
	// InFlight is the mean number of requests in flight.
	InFlight float64 `cbor:"3,keyasint" json:"busy"`
	// RejectedPerSecond is the rate of requests that the entry rejects for lack of capacity.
	RejectedPerSecond float64 `cbor:"4,keyasint,omitempty" json:"refused,omitempty"`
}

// Demand is the recent demand that one VM measured.
type Demand struct {
	VM       string       `cbor:"1,keyasint" json:"vm"`
	Domain   string       `cbor:"2,keyasint" json:"domain"`
	Sequence uint64       `cbor:"3,keyasint" json:"sequence"`
	Units    []UnitDemand `cbor:"4,keyasint,omitempty" json:"units,omitempty"`
}

// Key returns the VM's name, which identifies the record.
func (d Demand) Key() string { return d.VM }

// Version returns the sequence number of the measurement.
func (d Demand) Version() uint64 { return d.Sequence }
