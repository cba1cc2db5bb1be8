package routing

import "time"

const (
	// failureThreshold is the number of consecutive failures that opens a breaker.
	failureThreshold = 3
	// minOpenInterval is the time for which a breaker first stays open. Each further failure doubles it, up to
	// maxOpenInterval.
	minOpenInterval = 500 * time.Millisecond
	maxOpenInterval = 15 * time.Second
	// probeTimeout is the time after which a probe without an outcome no longer blocks the next probe.
	probeTimeout = 10 * time.Second
)

// BreakerState is the state of a circuit breaker, as shown to operators.
type BreakerState string

// The states of a circuit breaker: it allows all requests, none, or one probe at a time.
const (
	BreakerClosed   BreakerState = "closed"
	BreakerOpen     BreakerState = "open"
	BreakerHalfOpen BreakerState = "halfOpen"
)

// Breaker is a circuit breaker for one endpoint. Its zero value is closed. It is not safe for concurrent use.
type Breaker struct {
	failures     int
	openInterval time.Duration
	openUntil    time.Time
	probeSentAt  time.Time
	probing      bool
}

// State returns the state of the breaker at a time.
func (b *Breaker) State(now time.Time) BreakerState {
	switch {
	case b.failures < failureThreshold:
		return BreakerClosed
	case now.Before(b.openUntil):
		return BreakerOpen
	default:
		return BreakerHalfOpen
	}
}

// Allows reports whether a request may be sent. A half-open breaker allows one probe at a time.
func (b *Breaker) Allows(now time.Time) bool {
	switch b.State(now) {
	case BreakerClosed:
		return true
	case BreakerHalfOpen:
		return !b.probing || now.Sub(b.probeSentAt) >= probeTimeout
	default:
		return false
	}
}

// RecordSent records that a request is sent. If the breaker is half-open, the request is the probe.
func (b *Breaker) RecordSent(now time.Time) {
	if b.State(now) == BreakerHalfOpen {
		b.probing = true
		b.probeSentAt = now
	}
}

// RecordSuccess closes the breaker and resets its failure count.
func (b *Breaker) RecordSuccess() { *b = Breaker{} }

// RecordFailure counts a failure. From failureThreshold consecutive failures on, it opens the breaker, each time for
// twice as long, up to maxOpenInterval.
func (b *Breaker) RecordFailure(now time.Time) {
	b.failures++
	b.probing = false
	if b.failures < failureThreshold {
		return
	}
	b.openInterval = min(maxOpenInterval, max(minOpenInterval, b.openInterval*2))
	b.openUntil = now.Add(b.openInterval)
}
