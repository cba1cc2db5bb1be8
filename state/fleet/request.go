package fleet

import (
	"net/netip"
	"time"

	"github.com/zinniaroute/zinniaroute/state/routes"
)

// PromptPart is a segment of a prompt. Requests that start with equal segments can share cached prefill.
type PromptPart struct {
	ID     uint64
	Tokens int
}

const (
	// PrefillRate is a runner's prefill rate in prompt tokens a second (38 a millisecond).
	PrefillRate = 38_000
	// DecodeStepTime is the base time of one decode step, which takes 4.4 to 5.2 ms.
	DecodeStepTime = 5 * time.Millisecond
)

// Resumption says where a caller resumes a stream that broke off. It is the zero value for a new stream.
type Resumption struct {
	// Attempt is the identifier of the attempt that brought the stream's first event, or "" if the caller did not name it.
	Attempt string
	// After is the identifier of the last event that the caller has.
	After string
}

// Request holds the properties of a caller's request on which admission and scheduling depend.
type Request struct {
	// ID is the identifier that the caller gave this attempt.
	ID string
	// Fingerprint is a hash of the request's content; retries of a request have the same, also for another model.
	Fingerprint uint64
	// ModelFingerprint is a hash of the content and the model, by which the build before counts crashes.
	ModelFingerprint uint64
	// Caller is the address that the caller connected from, and Target the path and query that it sent.
	Caller netip.Addr
	Target string
	Kind   routes.Kind
	// Priority is the rank of the request's workspace and route among those of the configuration; 0 is the most urgent. In a
	// configuration without workspaces it is the route's priority.
	Priority int
	// Workspace is the name of the workspace that the caller's key belongs to, or "" if there is none.
	Workspace string
	// WorkspacePriority is the workspace's part of the priority, in the configuration's numbers.
	WorkspacePriority int
	// Unit is the model or adapter that the request names; it is empty for plain services.
	Unit Unit
	// Parts are the segments of the prompt in order. Only this request has the last one.
	Parts        []PromptPart
	PromptTokens int
	OutputTokens int
	// HasTokens means that the caller named both numbers of tokens readably.
	HasTokens  bool
	ArrivedAt  time.Time
	Resumption Resumption
	// Deadline is the time by which the caller needs the complete response.
	Deadline time.Time
	// TargetLatency is the time from arrival to the first byte within which the response has its full value.
	TargetLatency time.Duration
	// MaxPause is the longest pause between two events of a stream with which the response has its full value, or zero.
	MaxPause time.Duration
}

// SharedParts returns the parts that other requests may share, which is all but the last.
func (r *Request) SharedParts() []uint64 {
	var shared []uint64
	for i := 0; i+1 < len(r.Parts); i++ {
		shared = append(shared, r.Parts[i].ID)
	}
	return shared
}

// SharedTokens returns the number of prompt tokens in parts that other requests may share, which is all but the last.
func (r *Request) SharedTokens() int {
	tokens := 0
	for i := 0; i+1 < len(r.Parts); i++ {
		tokens += r.Parts[i].Tokens
	}
	return tokens
}
