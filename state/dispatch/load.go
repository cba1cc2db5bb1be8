package dispatch

import (
	"math"
	"slices"
	"time"

	"github.com/zinniaroute/zinniaroute/state/decay"
)

const (
	// failureHalfLife is the half-life of an endpoint's failure rate. A recovered endpoint gets its normal load again
	// within some seconds.
	failureHalfLife = 2 * time.Second
	// failureWeight is the weight of one outcome in the moving average of the failure rate.
	failureWeight = 0.2
	// slownessWeight is the weight of one sample in the moving average of the latency ratio.
	slownessWeight = 0.2
	// slownessHalfLife is the half-life of the logarithm of the latency ratio.
	slownessHalfLife = 4 * time.Second
	// maxSlowness is the upper bound of a sample of the latency ratio; its inverse is the lower bound.
	maxSlowness = 8
	// slownessGround is added to the measured and to the predicted time, so that noise in short times has little weight.
	slownessGround = 50 * time.Millisecond
	// readHalfLife is the half-life of the average of prompt tokens sent per second.
	readHalfLife = time.Second
	// ranks is the number of priority levels. Less urgent requests count as the last level.
	ranks = 4
)

// Outcome says how a request to an endpoint ended.
type Outcome string

// The outcomes.
const (
	Served   Outcome = "served"
	Failed   Outcome = "failed"
	Declined Outcome = "declined"
	// Dropped means that the caller left or the deadline passed. It counts against the endpoint only if the answer was
	// overdue and no other answer began since the request was sent.
	Dropped Outcome = "dropped"
)

// Share is the load that one or more VMs cause on an endpoint with requests in flight.
type Share struct {
	Running int `cbor:"1,keyasint,omitempty"`
	// Pending is the number of prompt tokens that await prefill, by priority level.
	Pending [ranks]int `cbor:"2,keyasint,omitempty"`
	// Reading is the number of prompt tokens to prefill that are sent per second.
	Reading float64 `cbor:"3,keyasint,omitempty"`
}

// Add adds another load to s.
func (s *Share) Add(other Share) {
	s.Running += other.Running
	s.Reading += other.Reading
	for i, tokens := range other.Pending {
		s.Pending[i] += tokens
	}
}

// Subtract subtracts another load from s. The result is never negative, since the load may have changed since Add.
func (s *Share) Subtract(other Share) {
	s.Running = max(0, s.Running-other.Running)
	s.Reading = max(0, s.Reading-other.Reading)
	for i, tokens := range other.Pending {
		s.Pending[i] = max(0, s.Pending[i]-tokens)
	}
}

// rankOf returns the priority level of a request's priority, which may be out of range.
func rankOf(rank int) int { return min(max(rank, 0), ranks-1) }

// load is the state of one endpoint as this VM knows it.
type load struct {
	running int
	pending [ranks]int
	others  Share
	// read is the exponentially decayed sum of prompt tokens sent for prefill, as of readAt.
	read   float64
	readAt time.Time
	// failures is the moving average of the fraction of requests that failed, as of noted.
	failures float64
	noted    time.Time
	// slowness is the logarithm of the latency ratio, as of timed. The latency ratio is the measured time to first byte
	// divided by the predicted one.
	slowness float64
	timed    time.Time
	// fullUntil is the end of the backoff after the endpoint declined for lack of capacity.
	fullUntil time.Time
	// silentUntil is the end of the backoff after the endpoint was unreachable or did not begin to answer in time.
	silentUntil time.Time
	// misses is the number of consecutive requests that found the endpoint unreachable or unresponsive.
	misses int
	// began is the time at which an answer last began.
	began time.Time
	// waiting holds the requests whose answers have not begun.
	waiting []*Ticket
	// unorderedUntil is the end of the backoff after the runner's owner failed to load an adapter.
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

// measure adds a sample of the latency ratio: the measured time to first byte against the time that is predicted for a
// latency ratio of 1.
func (l *load) measure(now time.Time, measured, predicted time.Duration) {
	ratio := float64(measured+slownessGround) / float64(predicted+slownessGround)
	ratio = math.Log(min(max(ratio, 1.0/maxSlowness), maxSlowness))
	before := decay.After(l.slowness, now.Sub(l.timed), slownessHalfLife)
	l.slowness, l.timed = before+slownessWeight*(ratio-before), now
}

// ahead returns the number of prompt tokens that a runner prefills before a request of a priority level: those of the
// same and of more urgent levels, and half a chunk of a less urgent one. A runner does not interrupt a chunk.
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

// pieceTokens is the number of prompt tokens in one chunk of chunked prefill, which runs between two decode steps. A
// step with a full chunk takes about 0.1 s at 38 tokens per ms.
const pieceTokens = 4096

// noteSilent starts or doubles the backoff for an endpoint that was unreachable or did not begin to answer in time.
func (l *load) noteSilent(now time.Time) {
	l.misses++
	l.silentUntil = now.Add(min(silentMax, silentPause<<min(l.misses-1, 4)))
}

// silent reports whether an endpoint seems unresponsive, as in a network partition. After a timeout, the endpoint gets
// one probe request at a time until an answer begins.
func (l *load) silent(now time.Time) bool {
	if now.Before(l.silentUntil) || l.misses > 0 && len(l.waiting) > 0 {
		return true
	}
	return slices.ContainsFunc(l.waiting, func(t *Ticket) bool { return t.overdue(now) })
}

// overdue reports whether the wait for the first byte is far longer than predicted.
func (t *Ticket) overdue(now time.Time) bool {
	return now.Sub(t.sent) > max(leastOverdue, overdueFactor*t.wait)
}

const (
	// An answer is overdue when the wait exceeds both leastOverdue and overdueFactor times the prediction. Nine in ten
	// answers begin within three times the prediction or 0.3 s.
	leastOverdue  = 800 * time.Millisecond
	overdueFactor = 5
)

func (l *load) addRead(now time.Time, tokens int) {
	l.read, l.readAt = decay.After(l.read, now.Sub(l.readAt), readHalfLife)+float64(tokens), now
}

// reading returns the number of prompt tokens to prefill that this VM sends per second.
func (l *load) reading(now time.Time) float64 {
	return decay.Rate(decay.After(l.read, now.Sub(l.readAt), readHalfLife), readHalfLife)
}

// backlog returns the number of prompt tokens that all VMs have sent to the runner and that await prefill.
func (l *load) backlog() int {
	tokens := 0
	for i := range ranks {
		tokens += l.pending[i] + l.others.Pending[i]
	}
	return tokens
}
