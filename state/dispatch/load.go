package dispatch

import (
	"math"
	"slices"
	"time"

	"github.com/zinniaroute/zinniaroute/state/decay"
)

const (
	// failureHalfLife is the time after which half of an endpoint's failures are forgiven: an endpoint that recovers
	// takes its share again within some seconds.
	failureHalfLife = 2 * time.Second
	// failureWeight is the weight of one outcome in the failure share.
	failureWeight = 0.2
	// slownessWeight is the weight of one measurement in the slowness.
	slownessWeight = 0.2
	// slownessHalfLife is the time after which half of a measured slowness is forgotten.
	slownessHalfLife = 4 * time.Second
	// maxSlowness and its inverse bound a measurement.
	maxSlowness = 8
	// slownessGround is added to both sides of a measurement, so that short times say little.
	slownessGround = 50 * time.Millisecond
	// readHalfLife is the time over which the reading of prompts is averaged.
	readHalfLife = time.Second
	// ranks is the number of ranks that are told apart.
	ranks = 4
)

// Outcome is what an endpoint made of a request.
type Outcome string

// The outcomes.
const (
	Served   Outcome = "served"
	Failed   Outcome = "failed"
	Declined Outcome = "declined"
	// Dropped requests were given up: the caller left, or time ran out. They say nothing of the endpoint unless the answer
	// was overdue and no other one has begun since.
	Dropped Outcome = "dropped"
)

// Share is what other VMs have sent to an endpoint and not seen finished.
type Share struct {
	Running int `cbor:"1,keyasint,omitempty"`
	// Pending are the prompt tokens of requests whose answers have not begun, by rank.
	Pending [ranks]int `cbor:"2,keyasint,omitempty"`
	// Reading is the number of prompt tokens sent a second.
	Reading float64 `cbor:"3,keyasint,omitempty"`
}

// Add adds another share.
func (s *Share) Add(other Share) {
	s.Running += other.Running
	s.Reading += other.Reading
	for i, tokens := range other.Pending {
		s.Pending[i] += tokens
	}
}

// Subtract takes another share off, which may have changed since it was added.
func (s *Share) Subtract(other Share) {
	s.Running = max(0, s.Running-other.Running)
	s.Reading = max(0, s.Reading-other.Reading)
	for i, tokens := range other.Pending {
		s.Pending[i] = max(0, s.Pending[i]-tokens)
	}
}

// rankOf returns the place of a rank among those that are told apart.
func rankOf(rank int) int { return min(max(rank, 0), ranks-1) }

// load is what this VM knows of one endpoint's work.
type load struct {
	running int
	pending [ranks]int
	others  Share
	// read is the sum of prompt tokens sent, of which half are forgotten each readHalfLife, as of readAt.
	read   float64
	readAt time.Time
	// failures is the share of recent requests that failed, as of noted.
	failures float64
	noted    time.Time
	// slowness is the logarithm of how many times longer than predicted the endpoint takes to begin an answer, as of
	// timed.
	slowness float64
	timed    time.Time
	// fullUntil is when an endpoint that declined for lack of room is tried again.
	fullUntil time.Time
	// silentUntil is when an endpoint that was not reached, or did not begin to answer, is tried again.
	silentUntil time.Time
	// misses counts the requests in a row for which it was silent.
	misses int
	// began is when an answer last began.
	began time.Time
	// waiting are the requests whose answers have not begun.
	waiting []*Ticket
	// unorderedUntil is when the runner's owner is asked for an adapter again.
	unorderedUntil time.Time
}

func (l *load) failureShare(now time.Time) float64 {
	return decay.After(l.failures, now.Sub(l.noted), failureHalfLife)
}

func (l *load) slow(now time.Time) float64 {
	return math.Exp(decay.After(l.slowness, now.Sub(l.timed), slownessHalfLife))
}

func (l *load) note(now time.Time, failed bool) {
	share := l.failureShare(now) * (1 - failureWeight)
	if failed {
		share += failureWeight
	}
	l.failures, l.noted = share, now
}

// measure takes in the time to the first byte against the time predicted without the slowness.
func (l *load) measure(now time.Time, measured, predicted time.Duration) {
	ratio := float64(measured+slownessGround) / float64(predicted+slownessGround)
	ratio = math.Log(min(max(ratio, 1.0/maxSlowness), maxSlowness))
	before := decay.After(l.slowness, now.Sub(l.timed), slownessHalfLife)
	l.slowness, l.timed = before+slownessWeight*(ratio-before), now
}

// ahead returns the prompt tokens that a runner reads before a request of a rank: those of its rank and of more urgent
// ones, and a part of a piece of the others, which is not interrupted.
func (l *load) ahead(rank int) int {
	before, after := 0, 0
	for i := range ranks {
		tokens := l.pending[i] + l.others.Pending[i]
		if i <= rank {
			before += tokens
		} else {
			after += tokens
		}
	}
	return before + min(after, pieceTokens/2)
}

// pieceTokens is the number of prompt tokens that a runner reads between two tokens of others; source: the sheets (a
// step with a prompt's piece takes about 0.1 s at 38 tokens a ms).
const pieceTokens = 4096

// noteSilent leaves an endpoint alone that was not reached or did not begin to answer.
func (l *load) noteSilent(now time.Time) {
	l.misses++
	l.silentUntil = now.Add(min(silentMax, silentPause<<min(l.misses-1, 4)))
}

// silent reports whether an endpoint is thought not to answer, as in a network partition. One that was silent gets one
// request at a time until it begins to answer.
func (l *load) silent(now time.Time) bool {
	if now.Before(l.silentUntil) || l.misses > 0 && len(l.waiting) > 0 {
		return true
	}
	return slices.ContainsFunc(l.waiting, func(t *Ticket) bool { return t.overdue(now) })
}

// overdue reports whether a request has waited for its answer's first byte for far longer than predicted.
func (t *Ticket) overdue(now time.Time) bool {
	return now.Sub(t.sent) > max(leastOverdue, overdueFactor*t.wait)
}

const (
	// leastOverdue and overdueFactor tell from when an answer is overdue; nine in ten begin within three times the
	// prediction or 0.3 s.
	leastOverdue  = 800 * time.Millisecond
	overdueFactor = 5
)

func (l *load) addRead(now time.Time, tokens int) {
	l.read, l.readAt = decay.After(l.read, now.Sub(l.readAt), readHalfLife)+float64(tokens), now
}

// reading returns the prompt tokens that this VM sends a second.
func (l *load) reading(now time.Time) float64 {
	return decay.Rate(decay.After(l.read, now.Sub(l.readAt), readHalfLife), readHalfLife)
}

// backlog returns the prompt tokens that the runner has been sent and has not read, by any VM.
func (l *load) backlog() int {
	tokens := 0
	for i := range ranks {
		tokens += l.pending[i] + l.others.Pending[i]
	}
	return tokens
}
