package vm

import (
	"time"

	"github.com/zinniaroute/zinniaroute/coordination/relay"
	"github.com/zinniaroute/zinniaroute/state/allocation"
	"github.com/zinniaroute/zinniaroute/state/allowance"
	"github.com/zinniaroute/zinniaroute/state/capacity"
	"github.com/zinniaroute/zinniaroute/state/dispatch"
	"github.com/zinniaroute/zinniaroute/state/fleet"
	"github.com/zinniaroute/zinniaroute/state/orders"
	"github.com/zinniaroute/zinniaroute/state/quarantine"
)

// Names of the calls.
const (
	// CallExchange sends a Report to the aggregator and returns a Summary.
	CallExchange = "/zinniaroute.VM/Exchange"
	// CallRequestAdapter asks the owner of a runner to load an adapter on it.
	CallRequestAdapter = "/zinniaroute.VM/Need"
	// CallTakePermit asks the aggregator for a permit to send a request to a runner that has named a limit.
	CallTakePermit = "/zinniaroute.VM/Permit"
	// CallOffer offers the store's content to a VM that may have none.
	CallOffer = "/zinniaroute.VM/Offer"
	// CallFindOrigin asks a VM where a stream began that a caller takes up.
	CallFindOrigin = "/zinniaroute.VM/Origin"
)

// OwnedRunner is the state of a runner according to its owner.
type OwnedRunner struct {
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

// AdapterUse records when a VM last used an adapter on a runner; Age is the time since then.
type AdapterUse struct {
	Runner string        `cbor:"1,keyasint"`
	Unit   fleet.Unit    `cbor:"2,keyasint"`
	Age    time.Duration `cbor:"3,keyasint"`
}

// Limit is the limit that a runner has named in its answers.
type Limit struct {
	Runner string `cbor:"1,keyasint"`
	// PerSecond is the number of requests a second, or infinite if the runner names no limit any more.
	PerSecond float64 `cbor:"2,keyasint"`
	// Age is the time since the latest answer with this limit.
	Age time.Duration `cbor:"3,keyasint"`
	// Next is the time until the next permit, in answers of the aggregator.
	Next time.Duration `cbor:"4,keyasint,omitempty"`
}

// Brittle says that a runner falls over if it turns too many requests away for want of room.
type Brittle struct {
	Runner string `cbor:"1,keyasint"`
	// PerSecond is the number of requests that it may turn away within a second, or infinite if it is not brittle any more.
	PerSecond float64 `cbor:"2,keyasint"`
	// Age is the time since the latest answer that says so.
	Age time.Duration `cbor:"3,keyasint"`
	// TurnedAway reports that it has turned a request away of late, TurnedAwayAge ago.
	TurnedAway    bool          `cbor:"4,keyasint,omitempty"`
	TurnedAwayAge time.Duration `cbor:"5,keyasint,omitempty"`
}

// RunnerFailure says that connections to a runner were refused or reset.
type RunnerFailure struct {
	Runner      string `cbor:"1,keyasint"`
	Incarnation int64  `cbor:"2,keyasint"`
	// Age is the time since the latest failure.
	Age time.Duration `cbor:"3,keyasint"`
	// VMs is the number of VMs whose connections failed, in summaries.
	VMs int `cbor:"4,keyasint,omitempty"`
}

// Departure says that a runner leaves in one incarnation.
type Departure struct {
	Runner      string `cbor:"1,keyasint"`
	Incarnation int64  `cbor:"2,keyasint"`
}

// Report is the state that a VM sends to the aggregator.
type Report struct {
	VM            string                           `cbor:"1,keyasint"`
	EndpointLoads map[string]dispatch.EndpointLoad `cbor:"2,keyasint,omitempty"`
	Demand        map[string]allocation.Demand     `cbor:"3,keyasint,omitempty"`
	AdapterUses   []AdapterUse                     `cbor:"4,keyasint,omitempty"`
	OwnedRunners  []OwnedRunner                    `cbor:"5,keyasint,omitempty"`
	// SyncedRevision is the revision of the store up to which the VM is synced.
	SyncedRevision fleet.Revision `cbor:"6,keyasint,omitempty"`
	// Aggregator is the aggregator process that answered last. ReceivedChanges is the number of changes of runners that
	// it had sent by then.
	Aggregator      string `cbor:"7,keyasint,omitempty"`
	ReceivedChanges uint64 `cbor:"8,keyasint,omitempty"`
	// Crashes holds changes of crash records that the aggregator lacks. ReceivedCrashes is the number of the last change that
	// it had sent by the answer before. Number 9 is not used again.
	Crashes         []quarantine.Crash `cbor:"10,keyasint,omitempty"`
	ReceivedCrashes uint64             `cbor:"11,keyasint,omitempty"`
	// Clearances and ReceivedClearances are the same for clearances.
	Clearances         []quarantine.Clearance `cbor:"13,keyasint,omitempty"`
	ReceivedClearances uint64                 `cbor:"14,keyasint,omitempty"`
	// PackedViews reports that the VM reads views with compressed values.
	PackedViews bool `cbor:"12,keyasint,omitempty"`
	// Limits holds the limits that runners have named in answers to the VM.
	Limits []Limit `cbor:"15,keyasint,omitempty"`
	// Departures holds the runners that leave, as far as the VM knows.
	Departures []Departure `cbor:"16,keyasint,omitempty"`
	// PathLost reports that the VM has lost its path to the runners.
	PathLost bool `cbor:"17,keyasint,omitempty"`
	// Brittle holds the runners that have said to the VM that they are brittle.
	Brittle []Brittle `cbor:"18,keyasint,omitempty"`
	// Paced reports that the VM knows of large values that are held back from a view.
	Paced bool `cbor:"19,keyasint,omitempty"`
	// Allowances holds what the VM has spent of the allowances of workspaces. VMs of earlier builds send none.
	Allowances *allowance.Report `cbor:"20,keyasint,omitempty"`
	// Capacities holds what the VM measured of the runners' speeds.
	Capacities map[string]capacity.Evidence `cbor:"21,keyasint,omitempty"`
	// RunnerFailures holds the runners at which connections of the VM have failed, unless the VM has lost its path.
	RunnerFailures []RunnerFailure `cbor:"22,keyasint,omitempty"`
	// ReceivedCrashesAfter and ReceivedClearancesAfter are the numbers of the changes up to which the VM has none: it has those
	// after them. ReadsRanges reports that it takes records in such parts. VMs of earlier builds get records in order.
	ReceivedCrashesAfter    uint64 `cbor:"23,keyasint,omitempty"`
	ReceivedClearancesAfter uint64 `cbor:"24,keyasint,omitempty"`
	ReadsRanges             bool   `cbor:"25,keyasint,omitempty"`
}

// Summary is the aggregator's answer to a VM.
type Summary struct {
	// EndpointLoads holds the sums over all other VMs, by runner.
	EndpointLoads map[string]dispatch.EndpointLoad `cbor:"1,keyasint,omitempty"`
	// Runners holds the states of runners that other VMs own.
	Runners []OwnedRunner `cbor:"2,keyasint,omitempty"`
	// Moves holds the planned model moves on runners that the VM owns, by runner.
	Moves map[string]orders.Move `cbor:"3,keyasint,omitempty"`
	// AdapterUses holds the adapter uses of other VMs on runners that the VM owns.
	AdapterUses []AdapterUse `cbor:"4,keyasint,omitempty"`
	// View holds the changes in the store, or is nil if the aggregator is not synced with the store.
	View *relay.View `cbor:"6,keyasint,omitempty"`
	// Grace is the remaining time in which a runner that the view lacks may reappear before it counts as removed.
	Grace time.Duration `cbor:"7,keyasint,omitempty"`
	// Aggregator is the aggregator process that answers. SentChanges is the number of changes of runners that it has
	// sent so far.
	Aggregator  string `cbor:"8,keyasint"`
	SentChanges uint64 `cbor:"9,keyasint"`
	// Crashes holds changes of crash records that the VM lacks, and SentCrashes is the number of the last change sent so far.
	// Number 10 is not used again.
	Crashes     []quarantine.Crash `cbor:"11,keyasint,omitempty"`
	SentCrashes uint64             `cbor:"12,keyasint,omitempty"`
	// Clearances and SentClearances are the same for clearances.
	Clearances     []quarantine.Clearance `cbor:"13,keyasint,omitempty"`
	SentClearances uint64                 `cbor:"14,keyasint,omitempty"`
	// Limits holds the limits that runners have named in answers to any VM.
	Limits []Limit `cbor:"15,keyasint,omitempty"`
	// Departures holds the runners that leave, as far as any VM knows.
	Departures []Departure `cbor:"16,keyasint,omitempty"`
	// LostPaths holds the VMs that have lost their path to the runners.
	LostPaths []string `cbor:"17,keyasint,omitempty"`
	// Brittle holds the runners that have said to any VM that they are brittle.
	Brittle []Brittle `cbor:"18,keyasint,omitempty"`
	// Allowances holds what the other VMs have spent of the allowances of workspaces.
	Allowances *allowance.Summary `cbor:"19,keyasint,omitempty"`
	// Capacities holds what all other VMs measured of the runners' speeds.
	Capacities map[string]capacity.Evidence `cbor:"20,keyasint,omitempty"`
	// RunnerFailures holds the runners at which connections of other VMs have failed.
	RunnerFailures []RunnerFailure `cbor:"21,keyasint,omitempty"`
	// SentCrashesAfter and SentClearancesAfter are the numbers of the changes up to which no records were sent yet.
	SentCrashesAfter    uint64 `cbor:"22,keyasint,omitempty"`
	SentClearancesAfter uint64 `cbor:"23,keyasint,omitempty"`
}

// AdapterRequest asks the owner of a runner to load an adapter on it.
type AdapterRequest struct {
	VM     string     `cbor:"1,keyasint"`
	Runner string     `cbor:"2,keyasint"`
	Unit   fleet.Unit `cbor:"3,keyasint"`
}

// AdapterResponse reports whether the adapter is loaded.
type AdapterResponse struct {
	Loaded bool `cbor:"1,keyasint"`
	// Reason states why the adapter is not loaded.
	Reason string      `cbor:"2,keyasint,omitempty"`
	Runner OwnedRunner `cbor:"3,keyasint"`
}

// PermitRequest asks for a permit to send a request to a runner that has named a limit.
type PermitRequest struct {
	Runner string `cbor:"1,keyasint"`
	// PerSecond is the limit as the VM knows it.
	PerSecond float64 `cbor:"2,keyasint"`
	// Within is how long the request may wait for the permit.
	Within time.Duration `cbor:"3,keyasint"`
	// Forwarded reports that another VM passes the call on, which takes the receiver for the aggregator.
	Forwarded bool `cbor:"4,keyasint,omitempty"`
}

// PermitResponse holds the times of a limits.Grant, from the moment of the answer.
type PermitResponse struct {
	Granted bool          `cbor:"1,keyasint"`
	Wait    time.Duration `cbor:"2,keyasint"`
	Next    time.Duration `cbor:"3,keyasint"`
}

// OriginRequest asks where a stream began.
type OriginRequest struct {
	// Attempt is the attempt that brought the stream's first event.
	Attempt string `cbor:"1,keyasint"`
	// Service is the only service at which the stream can have begun, or "" if there are several.
	Service string `cbor:"2,keyasint,omitempty"`
	// Model is the model of the stream, whose runners are asked whether they have started again. VMs of builds before this
	// field send none, and no runner is asked for them.
	Model string `cbor:"3,keyasint,omitempty"`
}

// OriginResponse tells where a stream began, if the VM knows it.
type OriginResponse struct {
	Known    bool   `cbor:"1,keyasint"`
	Service  string `cbor:"2,keyasint,omitempty"`
	Software string `cbor:"3,keyasint,omitempty"`
}

// Offer offers the store's content to a VM that may have none.
type Offer struct {
	// View is the whole content, or nil to ask whether it is needed.
	View *relay.View `cbor:"1,keyasint,omitempty"`
}

// OfferResponse is the answer to an offer.
type OfferResponse struct {
	// Needed reports that the VM has no configuration.
	Needed bool `cbor:"1,keyasint,omitempty"`
}
