package fleet

import (
	"time"

	"github.com/zinniaroute/zinniaroute/state/routes"
)

// Part is a piece of a prompt that requests may share.
type Part struct {
	ID     uint64
	Tokens int
}

const (
	// ReadRate is the number of prompt tokens that a runner reads in a second; source: the users' sheets (38 a ms).
	ReadRate = 38_000
	// StepTime is the base time of a token; source: the users' sheets (4.4 to 5.2 ms).
	StepTime = 5 * time.Millisecond
)

// Request is what a caller asks for, as far as decisions need it.
type Request struct {
	// ID is the caller's identifier of this attempt.
	ID string
	// Print identifies what is asked for, equal for repeats of the same request.
	Print uint64
	Kind  routes.Kind
	// Rank orders the kinds of requests; zero goes first.
	Rank int
	// Unit is the model or adapter that must answer; it is empty for plain services.
	Unit Unit
	// Parts are the pieces of the prompt in order; the last is the request's own.
	Parts        []Part
	PromptTokens int
	OutputTokens int
	Arrived      time.Time
	// Deadline is when the request must have its final answer.
	Deadline time.Time
	// Target is the time from arrival to the first byte within which the answer has its full value.
	Target time.Duration
}

// SharedTokens returns the tokens of the parts that other requests may share.
func (r *Request) SharedTokens() int {
	tokens := 0
	for i := 0; i+1 < len(r.Parts); i++ {
		tokens += r.Parts[i].Tokens
	}
	return tokens
}
