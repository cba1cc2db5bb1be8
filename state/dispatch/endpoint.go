package dispatch

import (
	"math"
	"slices"
	"time"

	"github.com/zinniaroute/zinniaroute/state/decay"
	"github.com/zinniaroute/zinniaroute/state/fleet"
)

const (
	// failureHalfLife is the half-life of an endpoint's failure rate. A recovered endpoint gets its normal load again
	// within some seconds.
	failureHalfLife = 2 * time.Second
	// failureWeight is the weight of one outcome in the moving average of the failure rate.
	failureWeight = 0.2
	// latencyRatioWeight is the weight of one sample in the moving average of the latency ratio.
	latencyRatioWeight = 0.2
	// latencyRatioHalfLife is the half-life of the logarithm of the latency ratio.
	latencyRatioHalfLife = 4 * time.Second
	// maxLatencyRatio is the upper bound of a sample of the latency ratio; its inverse is the lower bound.
	maxLatencyRatio = 8
	// latencyOffset is added to the measured and to the predicted time, so that noise in short times has little weight.
	latencyOffset = 50 * time.Millisecond
	// prefillRateHalfLife is the half-life of the average of prompt tokens sent per second.
	prefillRateHalfLife = time.Second
	// priorityLevels is the number of priority levels: three priorities of workspaces with three of routes each. Less urgent
	// requests count as the last level. With four levels the requests of all but the first workspaces counted as alike. VMs of
	// the build before report four, and ignore the others.
	priorityLevels = 9
)

// Outcome says how a request to an endpoint ended.
type Outcome string

// The outcomes.
const (
	Served   Outcome = "served"
	Failed   Outcome = "failed"
	Declined Outcome = "declined"
	// Cancelled means that the caller left or the deadline passed. It counts against the endpoint only if the answer was
	// overdue and no other answer began since the request was sent.
	Cancelled Outcome = "dropped"
)

// EndpointLoad is the load that one or more VMs cause on an endpoint with requests in flight. Its numbers of tokens are
// multiplied by the slowdown factors of the models.
type EndpointLoad struct {
	// Running is the number of requests in flight.
	Running int `cbor:"1,keyasint,omitempty"`
	// PendingPrefillTokens is the number of prompt tokens that await prefill, by priority level.
	PendingPrefillTokens [priorityLevels]int `cbor:"2,keyasint,omitempty" json:"Pending"`
	// PrefillRate is the number of prompt tokens to prefill that are sent per second.
	PrefillRate float64 `cbor:"3,keyasint,omitempty" json:"Reading"`
	// PrefillRates is PrefillRate by priority level. VMs of the build before report none.
	PrefillRates [priorityLevels]int `cbor:"4,keyasint,omitempty" json:"ReadingByLevel"`
}

// Add adds another load to l.
func (l *EndpointLoad) Add(other EndpointLoad) {
	l.Running += other.Running
	l.PrefillRate += other.PrefillRate
	for i, tokens := range other.PendingPrefillTokens {
		l.PendingPrefillTokens[i] += tokens
		l.PrefillRates[i] += other.PrefillRates[i]
	}
}

// Subtract subtracts another load from l. The result is never negative, since the load may have changed since Add.
func (l *EndpointLoad) Subtract(other EndpointLoad) {
	l.Running = max(0, l.Running-other.Running)
	l.PrefillRate = max(0, l.PrefillRate-other.PrefillRate)
	for i, tokens := range other.PendingPrefillTokens {
		l.PendingPrefillTokens[i] = max(0, l.PendingPrefillTokens[i]-tokens)
		l.PrefillRates[i] = max(0, l.PrefillRates[i]-other.PrefillRates[i])
	}
}

// Limit says when requests get a permit for an endpoint that has named a limit.
type Limit struct {
	// Limited reports that the endpoint has named a limit, so that each request needs a permit.
	Limited bool `json:"limited,omitempty"`
	// PermitAt is when the next permit is expected.
	PermitAt time.Time `json:"permitAt,omitzero"`
	// ProbeAt is when the endpoint's latest answer is so old that a request should find out whether the limit is over.
	ProbeAt time.Time `json:"probeAt,omitzero"`
}

// probeDue reports whether a request should find out whether the limit is over.
func (l Limit) probeDue(now time.Time) bool {
	return l.Limited && !now.Before(l.ProbeAt) && !now.Before(l.PermitAt)
}

// priorityLevel returns the priority level of a request's priority, which may be out of range.
func priorityLevel(priority int) int { return min(max(priority, 0), priorityLevels-1) }

// endpointState is the state of one endpoint as this VM knows it. Its numbers of tokens are multiplied by the slowdown
// factors of the models.
type endpointState struct {
	// running is the number of requests in flight that this VM sent.
	running int
	// pending is the number of prompt tokens that this VM sent and that await prefill, by priority level.
	pending [priorityLevels]int
	// others is the load that the other VMs report. If the endpoint's owner has told the pending tokens since the report, at
	// observedAt, they replace those of the summary, which reportedPending holds.
	others          EndpointLoad
	observedAt      time.Time
	reportedPending [priorityLevels]int
	// prefillSums are the exponentially decayed sums of prompt tokens that this VM sent for prefill, by priority level, as of
	// prefillSumAt.
	prefillSums  [priorityLevels]float64
	prefillSumAt time.Time
	// failureAverage is the moving average of the fraction of requests that failed, as of failureAverageAt.
	failureAverage   float64
	failureAverageAt time.Time
	// logLatencyRatio is the logarithm of the latency ratio, as of logLatencyRatioAt. The latency ratio is the measured
	// time to first byte divided by the predicted one.
	logLatencyRatio   float64
	logLatencyRatioAt time.Time
	// atCapacityUntil is the end of the backoff after the endpoint declined for lack of capacity.
	atCapacityUntil time.Time
	// backoffUntil is the end of the backoff after the endpoint was unreachable or did not begin to answer in time.
	backoffUntil time.Time
	// timeouts is the number of consecutive requests that found the endpoint unreachable or unresponsive.
	timeouts int
	// lastFirstByteAt is the time at which an answer last began.
	lastFirstByteAt time.Time
	// awaitingFirstByte holds the requests whose answers have not begun.
	awaitingFirstByte []*InFlight
	limit             Limit
	brittle           Brittle
	plain             PlainLoad
	// failure is the last failed connection of this VM, and othersFailure those that several others report.
	failure, othersFailure Failure
	// occupancy is the moving average of the time for which a served request takes a place.
	occupancy time.Duration
	// restUntil is the end of the rest that the endpoint asked for. returning reports that no answer has begun since then, so
	// that the endpoint gets one request at a time.
	restUntil time.Time
	returning bool
	// restAskedAt is when the endpoint last asked for a rest.
	restAskedAt time.Time
	// removed reports that the endpoint is not listed, and that the state holds its rest only.
	removed bool
	// adapterBackoffUntil is the end of the backoff after the runner's owner failed to load an adapter.
	adapterBackoffUntil time.Time
}

func (l *endpointState) failureRate(now time.Time) float64 {
	return decay.After(l.failureAverage, now.Sub(l.failureAverageAt), failureHalfLife)
}

func (l *endpointState) recordOutcome(now time.Time, failed bool) {
	rate := l.failureRate(now) * (1 - failureWeight)
	if failed {
		rate += failureWeight
	}
	l.failureAverage, l.failureAverageAt = rate, now
}

// recordOccupancy adds a sample of the time for which a served request took a place.
func (l *endpointState) recordOccupancy(sample time.Duration) {
	if l.occupancy == 0 {
		l.occupancy = sample
	}
	l.occupancy += time.Duration(occupancyWeight * float64(sample-l.occupancy))
}

// recordLatency adds a sample of the latency ratio: the measured time to first byte against the time that is predicted
// for a latency ratio of 1.
func (l *endpointState) recordLatency(now time.Time, measured, predicted time.Duration) {
	ratio := float64(measured+latencyOffset) / float64(predicted+latencyOffset)
	ratio = math.Log(min(max(ratio, 1.0/maxLatencyRatio), maxLatencyRatio))
	before := decay.After(l.logLatencyRatio, now.Sub(l.logLatencyRatioAt), latencyRatioHalfLife)
	l.logLatencyRatio, l.logLatencyRatioAt = before+latencyRatioWeight*(ratio-before), now
}

// tokensAhead returns the number of prompt tokens that a runner prefills before a request of a priority level: those of
// the same and of more urgent levels, and half a chunk of a less urgent one. A runner does not interrupt a chunk.
func (l *endpointState) tokensAhead(priority int) int {
	before, after := 0, 0
	for i := range priorityLevels {
		tokens := l.pending[i] + l.others.PendingPrefillTokens[i]
		if i <= priority {
			before += tokens
		} else {
			after += tokens
		}
	}
	return before + min(after, chunkTokens/2)
}

// chunkTokens is the number of prompt tokens in one chunk of chunked prefill, which runs between two decode steps. A
// step with a full chunk takes about 0.1 s at 38 tokens per ms.
const chunkTokens = 4096

// recordTimeout starts or doubles the backoff for an endpoint that was unreachable or did not begin to answer in time.
func (l *endpointState) recordTimeout(now time.Time) {
	l.timeouts++
	l.backoffUntil = now.Add(min(maxTimeoutBackoff, timeoutBackoff<<min(l.timeouts-1, 4)))
}

// unresponsive reports whether an endpoint seems unresponsive, as in a network partition. After a timeout, the endpoint
// gets one probe request at a time until an answer begins.
func (l *endpointState) unresponsive(now time.Time) bool {
	if now.Before(l.backoffUntil) || l.timeouts > 0 && len(l.awaitingFirstByte) > 0 {
		return true
	}
	return slices.ContainsFunc(l.awaitingFirstByte, func(t *InFlight) bool { return t.overdue(now) })
}

// overdue reports whether the wait for the first byte is far longer than predicted.
func (t *InFlight) overdue(now time.Time) bool {
	return now.Sub(t.sentAt) > max(minOverdueWait, overdueFactor*t.predictedWait)
}

const (
	// An answer is overdue when the wait exceeds both minOverdueWait and overdueFactor times the prediction. Nine in ten
	// answers begin within three times the prediction or 0.3 s.
	minOverdueWait = 800 * time.Millisecond
	overdueFactor  = 5
)

func (l *endpointState) recordPrefill(now time.Time, level, tokens int) {
	l.prefillSums, l.prefillSumAt = l.decayedPrefill(now), now
	l.prefillSums[level] += float64(tokens)
}

// decayedPrefill returns the sums of prompt tokens that this VM sent for prefill, by priority level.
func (l *endpointState) decayedPrefill(now time.Time) [priorityLevels]float64 {
	sums := l.prefillSums
	if sums == [priorityLevels]float64{} {
		return sums
	}
	factor := decay.After(1, now.Sub(l.prefillSumAt), prefillRateHalfLife)
	for i := range sums {
		sums[i] *= factor
	}
	return sums
}

// prefillRates returns the number of prompt tokens to prefill that this VM sends per second, by priority level.
func (l *endpointState) prefillRates(now time.Time) [priorityLevels]float64 {
	rates := l.decayedPrefill(now)
	for i := range rates {
		rates[i] = decay.Rate(rates[i], prefillRateHalfLife)
	}
	return rates
}

// utilization returns the fraction of the endpoint's time that prefill takes for requests of a priority level and of more urgent
// ones, over all VMs. What is less urgent is prefilled later and must not keep a request out: in a replay of an overload over 66
// VMs, prompts with a target of 0.6 s were in time in 0.33 of all cases instead of 0.47 when all levels counted.
func (l *endpointState) utilization(now time.Time, level int) float64 {
	rate := l.others.PrefillRate
	for i, own := range l.prefillRates(now) {
		if i <= level {
			rate += own
		} else {
			rate -= float64(l.others.PrefillRates[i])
		}
	}
	return max(0, rate) / fleet.PrefillRate
}

// backlog returns the number of prompt tokens that all VMs have sent to the runner and that await prefill.
func (l *endpointState) backlog() int {
	tokens := 0
	for i := range priorityLevels {
		tokens += l.pending[i] + l.others.PendingPrefillTokens[i]
	}
	return tokens
}
