package dispatch

import (
	"math"
	"time"
)

const (
	// failureHalfLife is the time after which half of an endpoint's failures are forgiven: an endpoint that recovers
	// takes its share again within some seconds.
	failureHalfLife = 2 * time.Second
	// failureWeight is the weight of one outcome in the failure share.
	failureWeight = 0.2
	// slownessWeight is the weight of one measurement in the slowness.
	slownessWeight = 0.25
	// slownessHalfLife is the time after which half of a measured slowness is forgotten.
	slownessHalfLife = 4 * time.Second
	maxSlowness      = 20
)

// Outcome is what an endpoint made of a request.
type Outcome string

// The outcomes.
const (
	Served   Outcome = "served"
	Failed   Outcome = "failed"
	Declined Outcome = "declined"
	// Dropped requests say nothing of the endpoint: the caller left, or time ran out early.
	Dropped Outcome = "dropped"
)

// Share is what other VMs have sent to an endpoint and not seen finished.
type Share struct {
	Running int `cbor:"1,keyasint,omitempty"`
	// Pending are the prompt tokens of requests whose answers have not begun.
	Pending int `cbor:"2,keyasint,omitempty"`
}

// load is what this VM knows of one endpoint's work.
type load struct {
	running int
	pending int
	others  Share
	// failures is the share of recent requests that failed, as of noted.
	failures float64
	noted    time.Time
	// slowness is how many times longer than predicted the endpoint takes to begin an answer, as of timed.
	slowness float64
	timed    time.Time
	// fullUntil is when an endpoint that declined for lack of room is tried again.
	fullUntil time.Time
	// silentUntil is when an endpoint that was not reached is tried again.
	silentUntil time.Time
	misses      int
	// unorderedUntil is when the runner's owner is asked for an adapter again.
	unorderedUntil time.Time
}

func decay(value float64, since time.Duration, halfLife time.Duration) float64 {
	if since <= 0 {
		return value
	}
	return value * math.Exp2(-float64(since)/float64(halfLife))
}

func (l *load) failureShare(now time.Time) float64 {
	return decay(l.failures, now.Sub(l.noted), failureHalfLife)
}

func (l *load) slow(now time.Time) float64 {
	return 1 + decay(max(0, l.slowness-1), now.Sub(l.timed), slownessHalfLife)
}

func (l *load) note(now time.Time, failed bool) {
	share := l.failureShare(now) * (1 - failureWeight)
	if failed {
		share += failureWeight
	}
	l.failures, l.noted = share, now
}

func (l *load) measure(now time.Time, ratio float64) {
	before := l.slow(now)
	ratio = min(max(ratio, 1), maxSlowness)
	l.slowness, l.timed = before+slownessWeight*(ratio-before), now
}
