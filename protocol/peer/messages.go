package peer

import (
	"time"

	"github.com/zinniaroute/zinniaroute/coordination/claims"
	"github.com/zinniaroute/zinniaroute/coordination/dissemination"
	"github.com/zinniaroute/zinniaroute/coordination/membership"
	"github.com/zinniaroute/zinniaroute/state/quarantine"
	"github.com/zinniaroute/zinniaroute/state/residency"
)

// Names of the calls.
const (
	CallExchange = "/zinniaroute.Peer/Exchange"
	CallCatalog  = "/zinniaroute.Peer/Catalog"
	CallFollow   = "/zinniaroute.Peer/Follow"
	CallReport   = "/zinniaroute.Peer/Report"
	CallClaim    = "/zinniaroute.Peer/Claim"
	CallSettle   = "/zinniaroute.Peer/Settle"
	CallSuspect  = "/zinniaroute.Peer/Suspect"
)

// ExchangeRequest holds digests of the sender's records, by which the peer selects the records that the sender lacks.
type ExchangeRequest struct {
	Sender  membership.Member      `cbor:"1,keyasint"`
	Members []dissemination.Digest `cbor:"2,keyasint,omitempty"`
	Runners []dissemination.Digest `cbor:"3,keyasint,omitempty"`
	Demands []dissemination.Digest `cbor:"4,keyasint,omitempty"`
	// Crashes is number 6; number 5 is not used again.
	Crashes []dissemination.Digest `cbor:"6,keyasint,omitempty"`
}

// ExchangeResponse holds the records that the requester lacks.
type ExchangeResponse struct {
	Members []membership.Member     `cbor:"1,keyasint,omitempty"`
	Runners []residency.RunnerState `cbor:"2,keyasint,omitempty"`
	Demands []residency.Demand      `cbor:"3,keyasint,omitempty"`
	// Crashes is number 6; number 5 is not used again.
	Crashes []quarantine.Crash `cbor:"6,keyasint,omitempty"`
	// Revision is the catalog revision of the peer. The requester fetches the catalog if its own revision is lower.
	Revision uint64 `cbor:"4,keyasint"`
}

// CatalogRequest asks for the catalog without the chunks that the sender already has.
type CatalogRequest struct {
	KnownDigests []string `cbor:"1,keyasint,omitempty"`
}

// CatalogChunk is one chunk of the catalog as stored in the key-value service.
type CatalogChunk struct {
	Digest string `cbor:"1,keyasint"`
	Value  []byte `cbor:"2,keyasint"`
}

// CatalogResponse holds the head as stored in the key-value service, and the chunks that the requester lacks.
type CatalogResponse struct {
	Head   []byte         `cbor:"1,keyasint"`
	Chunks []CatalogChunk `cbor:"2,keyasint,omitempty"`
}

// FollowRequest subscribes an entry to the catalog, the runners and the crash records of a control and to their changes.
type FollowRequest struct {
	Entry string `cbor:"1,keyasint"`
	// Revision is the catalog revision of the entry.
	Revision uint64 `cbor:"2,keyasint"`
}

// FollowUpdate holds the changes since the previous update. The first update holds all runners and crash records.
type FollowUpdate struct {
	// Catalog is the whole catalog, or nil if the entry has its revision already.
	Catalog *CatalogResponse        `cbor:"1,keyasint,omitempty"`
	Runners []residency.RunnerState `cbor:"2,keyasint,omitempty"`
	// Revision is the catalog revision of the control.
	Revision uint64 `cbor:"3,keyasint"`
	// Crashes is number 5; number 4 is not used again.
	Crashes []quarantine.Crash `cbor:"5,keyasint,omitempty"`
	// Entries is the number of entry VMs that are alive, or zero from a control of the build before.
	Entries int `cbor:"6,keyasint,omitempty"`
}

// ReportRequest reports the demand that an entry has measured for each unit, and the catalog revision that it uses.
type ReportRequest struct {
	Entry    string                 `cbor:"1,keyasint"`
	Revision uint64                 `cbor:"2,keyasint"`
	Units    []residency.UnitDemand `cbor:"3,keyasint,omitempty"`
}

// ReportResponse acknowledges a ReportRequest.
type ReportResponse struct{}

// SuspectRequest reports requests during which endpoints failed. It is sent at once, not with the next exchange.
type SuspectRequest struct {
	// Crashes is number 3; number 1 is not used again.
	Crashes []quarantine.Crash `cbor:"3,keyasint"`
	// ForwardToPeers asks the control to forward the crash records to its peers.
	ForwardToPeers bool `cbor:"2,keyasint,omitempty"`
}

// SuspectResponse acknowledges a SuspectRequest.
type SuspectResponse struct{}

// ClaimRequest asks for the exclusive right to run a non-idempotent request.
type ClaimRequest struct {
	Key         string        `cbor:"1,keyasint"`
	RequestID   string        `cbor:"2,keyasint"`
	Fingerprint uint64        `cbor:"3,keyasint"`
	Lifetime    time.Duration `cbor:"4,keyasint"`
}

// ClaimResponse holds the status of the claim and, for a request that has already run, its recorded answer.
type ClaimResponse struct {
	Status claims.Status  `cbor:"1,keyasint"`
	Answer *claims.Answer `cbor:"2,keyasint,omitempty"`
}

// SettleRequest records the outcome of a claimed request.
type SettleRequest struct {
	Key       string `cbor:"1,keyasint"`
	RequestID string `cbor:"2,keyasint"`
	// Outcome is Done, DoneUnrecorded or Uncertain, or Won to withdraw the claim because the request has not run.
	Outcome claims.Status  `cbor:"3,keyasint"`
	Answer  *claims.Answer `cbor:"4,keyasint,omitempty"`
}

// SettleResponse acknowledges a SettleRequest.
type SettleResponse struct{}
