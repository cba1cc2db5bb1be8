package lifecycle

import (
	"slices"
	"time"
)

const (
	// maxUnreached is the number of unreachable endpoints after which a request is given up.
	maxUnreached = 4
	// maxDeclined is the number of declining endpoints after which a request is given up.
	maxDeclined = 3
	// shortly is the RetryAfter of a refused request when no event carried one.
	shortly = 300 * time.Millisecond
)

// Limits holds the limits that the request's route sets for retries.
type Limits struct {
	// Repeatable allows retries after an attempt that may have run.
	Repeatable bool
	// MaxRuns is the largest number of endpoints that may run the request.
	MaxRuns int
	// LossesFree means that retries after Lost or Broken use nothing from the retry budget. Only MaxRuns limits them.
	LossesFree bool
}

// Machine is the state machine of one request.
type Machine struct {
	limits Limits
	budget Budget

	endpoint  string
	excluded  []string
	unreached int
	declined  int
	// runs is the number of attempts that may have run.
	runs int
	// begun reports that a part of the answer was relayed to the caller.
	begun  bool
	done   bool
	cause  Cause
	reason string
	retry  time.Duration
}

// New returns the machine of a request that has not started.
func New(limits Limits, budget Budget) *Machine {
	return &Machine{limits: limits, budget: budget, retry: shortly}
}

// Excluded returns the endpoints that must not be chosen again.
func (m *Machine) Excluded() []string { return m.excluded }

// Endpoint returns the endpoint of the last attempt, or "".
func (m *Machine) Endpoint() string { return m.endpoint }

// Runs returns the number of attempts that may have run.
func (m *Machine) Runs() int { return m.runs }

// MayHaveRun reports whether an endpoint may have run the request.
func (m *Machine) MayHaveRun() bool { return m.runs > 0 }

// NoteSent counts an attempt that may have run when the deadline or the caller ended the request.
func (m *Machine) NoteSent() { m.runs++ }

// Reason returns why the request was retried, refused or failed, as a text for logs.
func (m *Machine) Reason() string { return m.reason }

// Cause returns the class of the reason, which is one of the Cause constants or "".
func (m *Machine) Cause() string { return string(m.cause) }

// because sets the cause, and the reason to its text.
func (m *Machine) because(cause Cause) { m.cause, m.reason = cause, string(cause) }

// RetryAfter returns the time after which the caller of a refused request may retry.
func (m *Machine) RetryAfter() time.Duration { return m.retry }

// Step applies an event and returns the next action.
func (m *Machine) Step(now time.Time, event Event) Action {
	if m.done {
		return End
	}
	switch e := event.(type) {
	case Started:
		return Choose
	case Chosen:
		return m.chosen(e)
	case NoneFree:
		m.cause, m.reason, m.retry = Unplaced, e.Reason, max(e.RetryAfter, 0)
		return m.giveUp()
	case Unreached:
		return m.unreachedNow()
	case Declined:
		return m.declinedNow(now, e)
	case Lost:
		return m.lost(now)
	case Broken:
		return m.broken(now, e)
	case Answered:
		return m.answered(now, e)
	case Completed, CallerLeft:
		m.done = true
		return End
	case Expired:
		m.because(OutOfTime)
		return m.giveUp()
	default:
		return End
	}
}

func (m *Machine) chosen(e Chosen) Action {
	m.endpoint = e.Endpoint
	if m.begun {
		return Resume
	}
	return Send
}

func (m *Machine) exclude() {
	if !slices.Contains(m.excluded, m.endpoint) {
		m.excluded = append(m.excluded, m.endpoint)
	}
}

func (m *Machine) unreachedNow() Action {
	m.exclude()
	m.because(NotReached)
	if m.unreached++; m.unreached >= maxUnreached {
		return m.giveUp()
	}
	return Choose
}

func (m *Machine) declinedNow(now time.Time, e Declined) Action {
	m.exclude()
	m.because(WasDeclined)
	if e.Misdirected {
		m.because(HoldsOther)
	}
	if m.declined++; m.declined >= maxDeclined || !m.budget.Take(now) {
		return m.giveUp()
	}
	return Choose
}

func (m *Machine) lost(now time.Time) Action {
	m.runs++
	m.exclude()
	m.because(AnswerLost)
	return m.again(now)
}

// again retries a request that may have run, if all limits allow it.
func (m *Machine) again(now time.Time) Action {
	if !m.limits.Repeatable || m.runs >= m.limits.MaxRuns || !m.limits.LossesFree && !m.budget.Take(now) {
		return m.giveUp()
	}
	return Choose
}

func (m *Machine) broken(now time.Time, e Broken) Action {
	m.begun = true
	m.exclude()
	m.because(BrokeOff)
	if !e.Resumable {
		return m.giveUp()
	}
	return m.again(now)
}

func (m *Machine) answered(now time.Time, e Answered) Action {
	m.runs++
	if !e.Failure || m.begun {
		m.begun = true
		return Relay
	}
	m.exclude()
	m.because(EndpointFailed)
	if m.limits.Repeatable && m.runs < m.limits.MaxRuns && m.budget.Take(now) {
		return Choose
	}
	m.begun = true
	return Relay
}

func (m *Machine) giveUp() Action {
	m.done = true
	switch {
	case m.begun:
		return Cut
	case m.runs > 0:
		return Fail
	default:
		return Refuse
	}
}
