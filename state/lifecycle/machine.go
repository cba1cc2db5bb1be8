package lifecycle

import (
	"slices"
	"time"
)

const (
	// maxUnreached bounds the endpoints that are tried without reaching one.
	maxUnreached = 4
	// maxDeclined bounds the endpoints that may decline one request.
	maxDeclined = 3
	// shortly is the time after which a caller may come back when nothing better is known.
	shortly = 300 * time.Millisecond
)

// Limits are what the request's route allows.
type Limits struct {
	// Repeatable requests may be sent again after they may have run.
	Repeatable bool
	// MaxRuns is the largest number of endpoints that may run the request.
	MaxRuns int
	// LossesFree tells that repeats after a loss draw nothing from the budget; only MaxRuns bounds them.
	LossesFree bool
}

// Machine is the state of one request.
type Machine struct {
	limits Limits
	budget Budget

	endpoint  string
	excluded  []string
	unreached int
	declined  int
	// runs counts the sends that may have run.
	runs int
	// begun tells that a part of the answer was passed on.
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

// Endpoint returns the endpoint that was chosen last.
func (m *Machine) Endpoint() string { return m.endpoint }

// Runs returns the number of sends that may have run.
func (m *Machine) Runs() int { return m.runs }

// MayHaveRun reports whether an endpoint may have run the request.
func (m *Machine) MayHaveRun() bool { return m.runs > 0 }

// NoteSent counts a send whose fate is not known, when its time or its caller ended the request.
func (m *Machine) NoteSent() { m.runs++ }

// Reason returns why the request was refused or failed.
func (m *Machine) Reason() string { return m.reason }

// Cause returns the kind of the reason, of which there are few.
func (m *Machine) Cause() string { return string(m.cause) }

// because notes why the request may have to be given up.
func (m *Machine) because(cause Cause) { m.cause, m.reason = cause, string(cause) }

// RetryAfter returns when a refused request may come back.
func (m *Machine) RetryAfter() time.Duration { return m.retry }

// Step takes in an event and returns what is to be done.
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

// again sends a request that may have run to one more endpoint, if all bounds allow it.
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
