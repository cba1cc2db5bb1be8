package lifecycle

import "time"

// Event is the result of an action on a request.
type Event interface{ event() }

// Started is the first event of a request.
type Started struct{}

// Chosen carries the endpoint for the next attempt.
type Chosen struct{ Endpoint string }

// NoEndpoint means that no endpoint can take the request now. RetryAfter is the time after which one may.
type NoEndpoint struct {
	Reason     string
	RetryAfter time.Duration
}

// NotSent means that the chosen endpoint could not take the request any more when it was to be sent.
type NotSent struct{}

// Unreachable means that no byte of the request reached the endpoint.
type Unreachable struct{}

// Declined means that the endpoint confirmed that it did not run the request.
type Declined struct {
	// Misdirected means that the endpoint is another one than expected, or does not hold the requested unit.
	Misdirected bool
	// Full means that the endpoint had no room for the request. It may be chosen again when it has.
	Full bool
}

// Lost means that the request was sent, but its answer did not arrive whole, and no part of it was relayed. Unstated means
// that an answer arrived that reads like a refusal but does not say that the request was not executed.
type Lost struct{ Unstated bool }

// Truncated means that the answer was truncated after a part of it was relayed. Resumable means that the last relayed
// event is known, so another endpoint can continue.
type Truncated struct{ Resumable bool }

// Answered means that the status line and the headers of an answer arrived. Failure means that the status reports a
// failure of the endpoint, or that the answer cannot continue the part that was relayed.
type Answered struct{ Failure bool }

// Completed means that the whole answer was relayed.
type Completed struct{}

// CallerLeft means that the caller closed its connection.
type CallerLeft struct{}

// Expired means that the deadline of the request passed.
type Expired struct{}

func (Started) event()     {}
func (Chosen) event()      {}
func (NoEndpoint) event()  {}
func (NotSent) event()     {}
func (Unreachable) event() {}
func (Declined) event()    {}
func (Lost) event()        {}
func (Truncated) event()   {}
func (Answered) event()    {}
func (Completed) event()   {}
func (CallerLeft) event()  {}
func (Expired) event()     {}

// Action is the next step for a request.
type Action string

// The actions.
const (
	// Choose selects an endpoint that is not in Excluded.
	Choose Action = "choose"
	// Send sends the request to the chosen endpoint.
	Send Action = "send"
	// Resume sends the request to the chosen endpoint, to continue after the last relayed event.
	Resume Action = "resume"
	// Relay sends the answer that arrived to the caller.
	Relay Action = "relay"
	// Refuse answers that the request has not run and never will.
	Refuse Action = "refuse"
	// Fail answers that the request failed and may have run.
	Fail Action = "fail"
	// Abort closes the caller's connection, since a partly relayed answer cannot be completed.
	Abort Action = "cut"
	// End means that nothing is left to do.
	End Action = "end"
)

// Cause is the class of reasons for which a request is retried or given up.
type Cause string

// The causes.
const (
	CauseNoEndpoint       Cause = "no endpoint takes it"
	CauseUnreachable      Cause = "endpoint not reached"
	CauseDeclined         Cause = "endpoint declined"
	CauseMisdirected      Cause = "endpoint holds something else"
	CauseAnswerLost       Cause = "answer lost"
	CauseUnstated         Cause = "refused without saying that it was not executed"
	CauseTruncated        Cause = "answer broke off"
	CauseEndpointFailed   Cause = "endpoint failed"
	CauseDeadlineExceeded Cause = "out of time"
)

// Budget limits the retries of requests.
type Budget interface {
	// Take uses up one retry. It reports false when none is left.
	Take(now time.Time) bool
}
