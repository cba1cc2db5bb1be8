package routing

import "time"

const (
	// openAfter is the number of consecutive failures that opens a breaker.
	openAfter = 3
	// minOpenTime is the time for which a breaker first stays open. Each further failure doubles it up to maxOpenTime.
	minOpenTime = 500 * time.Millisecond
	maxOpenTime = 15 * time.Second
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
	failures int
	openTime time.Duration
	openTill time.Time
	probeAt  time.Time
	probing  bool
}

// State returns the state of the breaker at a time.
func (b *Breaker) State(now time.Time) BreakerState {
	switch {
	case b.failures < openAfter:
		return BreakerClosed
	case now.Before(b.openTill):
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
		return !b.probing || now.Sub(b.probeAt) >= probeTimeout
	default:
		return false
	}
}

// Sent records that a request is sent. If the breaker is half-open, the request is the probe.
func (b *Breaker) Sent(now time.Time) {
	if b.State(now) == BreakerHalfOpen {
		b.probing = true
		b.probeAt = now
	}
}

// Succeeded closes the breaker and resets its failure count.
func (b *Breaker) Succeeded() { *b = Breaker{} }

// Failed counts a failure. From openAfter consecutive failures on, it opens the breaker, each time for twice as long.
func (b *Breaker) Failed(now time.Time) {
	b.failures++
	b.probing = false
	if b.failures < openAfter {
		return
	}
	b.openTime = min(maxOpenTime, max(minOpenTime, b.openTime*2))
	b.openTill = now.Add(b.openTime)
}
