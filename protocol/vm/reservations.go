package vm

import "time"

// Names of the calls to the owner of runners, which VMs of earlier builds do not know. They answer with an error, after which the
// summary counts.
const (
	// CallReserve reserves a prompt at runners and returns how many tokens of other VMs await prefill there.
	CallReserve = "/zinniaroute.VM/Reserve"
	// CallRelease ends reservations.
	CallRelease = "/zinniaroute.VM/Release"
)

// ReserveRequest reserves the prompt of one request at runners that the receiver owns.
type ReserveRequest struct {
	VM string `cbor:"1,keyasint"`
	// Incarnation is the VM's process, and ID the request within it.
	Incarnation string `cbor:"2,keyasint"`
	ID          uint64 `cbor:"3,keyasint"`
	// Level is the request's priority, 0 first.
	Level   int           `cbor:"4,keyasint,omitempty"`
	Prompts []PromptCount `cbor:"5,keyasint"`
}

// PromptCount is the number of tokens that a runner has to prefill for a prompt, which depends on the prefixes that it has cached.
type PromptCount struct {
	Runner string `cbor:"1,keyasint"`
	Tokens int    `cbor:"2,keyasint"`
}

// ReserveResponse holds the counts of those runners of the request that the receiver owns.
type ReserveResponse struct {
	Runners []PendingPrompts `cbor:"1,keyasint,omitempty"`
}

// PendingPrompts says how much awaits prefill at a runner for all VMs but the one that asks.
type PendingPrompts struct {
	Runner string `cbor:"1,keyasint"`
	// Tokens holds the prompt tokens by priority level, without the empty levels at the end.
	Tokens []int `cbor:"2,keyasint,omitempty"`
	// Counted is the time for which the owner has counted. It knows of no prompts from before that.
	Counted time.Duration `cbor:"3,keyasint"`
}

// ReleaseRequest ends reservations of one process of a VM.
type ReleaseRequest struct {
	VM          string    `cbor:"1,keyasint"`
	Incarnation string    `cbor:"2,keyasint"`
	Releases    []Release `cbor:"3,keyasint"`
}

// Release ends the reservation of a request at a runner.
type Release struct {
	Runner string `cbor:"1,keyasint"`
	ID     uint64 `cbor:"2,keyasint"`
}

// ReleaseResponse is the empty answer to a ReleaseRequest.
type ReleaseResponse struct{}
