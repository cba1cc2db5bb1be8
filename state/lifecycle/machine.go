package lifecycle

import (
	"slices"
	"time"
)

const (
	// maxUnreachable is the number of unreachable endpoints after which a request is given up.
	maxUnreachable = 4
	// maxDeclined is the number of declining endpoints after which a request is given up.
	maxDeclined = 3
	// defaultRetryAfter is the RetryAfter of a refused request when no event carried one.
	defaultRetryAfter = 300 * time.Millisecond
)

// Limits holds the limits that the request's route sets for retries.
type Limits struct {
	// Retryable allows retries after an attempt that may have run.
	Retryable bool
	// MaxRuns is the largest number of endpoints that may run the request.
	MaxRuns int
	// LossRetriesFree means that retries after Lost or Truncated use nothing from the retry budget. Only MaxRuns limits
	// them.
	LossRetriesFree bool
}

// Machine is the state machine of one request.
type Machine struct {
	limits Limits
	budget Budget

	endpoint         string
	excluded         []string
	unreachableCount int
	declinedCount    int
	// runs is the number of attempts that may have run.
	runs int
	// relayed reports that a part of the answer was relayed to the caller.
	relayed    bool
	done       bool
	cause      Cause
	reason     string
	retryAfter time.Duration
}

// New returns the machine of a request that has not started.
func New(limits Limits, budget Budget) *Machine {
	return &Machine{limits: limits, budget: budget, retryAfter: defaultRetryAfter}
}

// Excluded returns the endpoints that must not be chosen again.
func (m *Machine) Excluded() []string { return m.excluded }

// Endpoint returns the endpoint of the last attempt, or "".
func (m *Machine) Endpoint() string { return m.endpoint }

// Runs returns the number of attempts that may have run.
func (m *Machine) Runs() int { return m.runs }

// MayHaveRun reports whether an endpoint may have run the request.
func (m *Machine) MayHaveRun() bool { return m.runs > 0 }

// RecordRun counts an attempt that may have run when the deadline or the caller ended the request.
func (m *Machine) RecordRun() { m.runs++ }

// Reason returns why the request was retried, refused or failed, as a text for logs.
func (m *Machine) Reason() string { return m.reason }

// Cause returns the class of the reason, which is one of the Cause constants or "".
func (m *Machine) Cause() string { return string(m.cause) }

// setCause sets the cause, and the reason to its text.
func (m *Machine) setCause(cause Cause) { m.cause, m.reason = cause, string(cause) }

// RetryAfter returns the time after which the caller of a refused request may retry.
func (m *Machine) RetryAfter() time.Duration { return m.retryAfter }

// Step applies an event and returns the next action.
func (m *Machine) Step(now time.Time, event Event) Action {
	if m.done {
		return End
	}
	switch e := event.(type) {
	case Started, NotSent:
		return Choose
	case Chosen:
		return m.onChosen(e)
	case NoEndpoint:
		m.cause, m.reason, m.retryAfter = CauseNoEndpoint, e.Reason, max(e.RetryAfter, 0)
		return m.giveUp()
	case Unreachable:
		return m.onUnreachable()
	case Declined:
		return m.onDeclined(now, e)
	case Lost:
		return m.onLost(now, e)
	case Truncated:
		return m.onTruncated(now, e)
	case Answered:
		return m.onAnswered(now, e)
	case Completed, CallerLeft:
		m.done = true
		return End
	case Expired:
		m.setCause(CauseDeadlineExceeded)
		return m.giveUp()
	default:
		return End
	}
}

func (m *Machine) onChosen(e Chosen) Action {
	m.endpoint = e.Endpoint
	if m.relayed {
		return Resume
	}
	return Send
}

func (m *Machine) exclude() {
	if !slices.Contains(m.excluded, m.endpoint) {
		m.excluded = append(m.excluded, m.endpoint)
	}
}

func (m *Machine) onUnreachable() Action {
	m.exclude()
	m.setCause(CauseUnreachable)
	if m.unreachableCount++; m.unreachableCount >= maxUnreachable {
		return m.giveUp()
	}
	return Choose
}

func (m *Machine) onDeclined(now time.Time, e Declined) Action {
	if !e.Full {
		m.exclude()
	}
	m.setCause(CauseDeclined)
	if e.Misdirected {
		m.setCause(CauseMisdirected)
	}
	if m.declinedCount++; m.declinedCount >= maxDeclined || !m.budget.Take(now) {
		return m.giveUp()
	}
	return Choose
}

func (m *Machine) onLost(now time.Time, e Lost) Action {
	m.runs++
	m.exclude()
	m.setCause(CauseAnswerLost)
	if e.Unstated {
		m.setCause(CauseUnstated)
	}
	return m.retryOrGiveUp(now)
}

// retryOrGiveUp retries a request that may have run, if all limits allow it.
func (m *Machine) retryOrGiveUp(now time.Time) Action {
	if !m.limits.Retryable || m.runs >= m.limits.MaxRuns || !m.limits.LossRetriesFree && !m.budget.Take(now) {
		return m.giveUp()
	}
	return Choose
}

func (m *Machine) onTruncated(now time.Time, e Truncated) Action {
	m.relayed = true
	m.exclude()
	m.setCause(CauseTruncated)
	if !e.Resumable {
		return m.giveUp()
	}
	return m.retryOrGiveUp(now)
}

func (m *Machine) onAnswered(now time.Time, e Answered) Action {
	m.runs++
	if !e.Failure {
		m.relayed = true
		return Relay
	}
	m.exclude()
	m.setCause(CauseEndpointFailed)
	if m.relayed {
		// The caller has a part of another answer, which a failure cannot continue.
		return m.retryOrGiveUp(now)
	}
	if m.limits.Retryable && m.runs < m.limits.MaxRuns && m.budget.Take(now) {
		return Choose
	}
	m.relayed = true
	return Relay
}

func (m *Machine) giveUp() Action {
	m.done = true
	switch {
	case m.relayed:
		return Abort
	case m.runs > 0:
		return Fail
	default:
		return Refuse
	}
}
