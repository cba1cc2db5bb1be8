package admission

import (
	"time"

	"github.com/zinniaroute/zinniaroute/state/fleet"
	"github.com/zinniaroute/zinniaroute/state/routes"
)

const (
	// maxTargetRatio is the largest ratio of predicted time to target latency at which a request is still sent. Above it,
	// late requests delay those behind them, which then miss their targets too.
	maxTargetRatio = 1.25
	// defaultTargetLatency is the target latency of routes that set none.
	defaultTargetLatency = time.Second
	// maxPrefillUtilization is the largest fraction of a runner's time for prefill. Running answers make no progress
	// during prefill, so a higher fraction makes long answers end too late.
	maxPrefillUtilization = 0.9
	// maxBacklogTokens is the number of prompt tokens awaiting prefill on a runner above which a large prompt is deferred.
	// An event of a running answer takes five tokens, so several chunks of prefill run before it. Four chunks of 4096
	// tokens take 0.11 s each and stay within the gap of 0.6 s between events that callers accept.
	maxBacklogTokens = 4 * 4096
	// smallPromptTokens is the number of tokens to prefill up to which a prompt is never deferred.
	smallPromptTokens = 1500
	// utilizationWindow is the time over which the prefill utilization is averaged.
	utilizationWindow = time.Second
	// minRetryAfter is the smallest RetryAfter of a rejected request.
	minRetryAfter = 100 * time.Millisecond
)

// Prediction is the prediction for a request on the best endpoint.
type Prediction struct {
	// Wait is the time to first byte.
	Wait time.Duration
	// PrefillUtilization is the fraction of the endpoint's time that prefill takes for requests that are not less urgent. A
	// less urgent request therefore gives way to what more urgent ones use, and to nothing when they use nothing.
	PrefillUtilization float64
	// Backlog is the number of prompt tokens that are prefilled before the request on the endpoint.
	Backlog int
	// PrefillTokens is the number of the request's prompt tokens that need prefill.
	PrefillTokens int
	// PermitWait is the part of Wait until the endpoint, which has named a limit, may get the request.
	PermitWait time.Duration
	// RoomWait is the part of Wait until the endpoint, which reports its load, is expected to have room for the request. Zero
	// means that it has room now.
	RoomWait time.Duration
}

// Decision says whether to send a request now, and if not, why not and after what time the caller may retry.
type Decision struct {
	Admitted bool `json:"Admit"`
	// Deferred means that the request stays in the queue and is decided on again a moment later.
	Deferred   bool `json:"Hold"`
	Reason     string
	RetryAfter time.Duration
	// RoomWait is the time after which a deferred request is expected to find room, or zero if that is not known.
	RoomWait time.Duration
}

// Decide decides whether to send a request, given the prediction for the best endpoint. It sheds load when prompts for
// a model arrive faster than its replicas prefill them. Without that, every request would be late.
func Decide(now time.Time, r *fleet.Request, p Prediction) Decision {
	limit, waited := maxLatency(r), now.Sub(r.ArrivedAt)
	if p.PermitWait > 0 && waited+p.PermitWait > limit {
		return Decision{Reason: LimitReached, RetryAfter: max(minRetryAfter, p.PermitWait)}
	}
	if p.RoomWait > 0 {
		return awaitRoom(p, Target(r), waited)
	}
	if r.Kind != routes.Stream {
		return Decision{Admitted: true}
	}
	if waited+p.Wait > limit && p.Wait > limit/2 {
		return Decision{Reason: "the queue is longer than the target", RetryAfter: max(minRetryAfter, p.Wait-limit/2)}
	}
	if p.PrefillTokens > smallPromptTokens &&
		(p.PrefillUtilization > maxPrefillUtilization || p.Backlog > 0 && p.Backlog+p.PrefillTokens > maxBacklogTokens) {
		return deferOrReject(p, limit, waited)
	}
	return Decision{Admitted: true}
}

// awaitRoom defers a request until its endpoint is expected to have room. It rejects the request at once if its answer would
// be late by then. On a deployment of 3 runners with 6 slots each and 124 requests a second, 17% of the sends were turned
// away, and each used up a retry.
func awaitRoom(p Prediction, target, waited time.Duration) Decision {
	return Decision{
		Deferred: waited+p.Wait <= target, Reason: "the endpoints have no room",
		RetryAfter: max(minRetryAfter, p.RoomWait, waited+p.Wait-target), RoomWait: p.RoomWait,
	}
}

// LimitReached is the reason for the rejection of a request that would wait too long for a permit.
const LimitReached = "the endpoint has named a limit, which other requests use up"

// PermitTimeout returns how long a request may wait for the permit to an endpoint that has named a limit. It is never
// negative.
func PermitTimeout(now time.Time, r *fleet.Request) time.Duration {
	return max(0, maxLatency(r)-now.Sub(r.ArrivedAt))
}

// maxLatency returns the longest time to first byte with which a request is still sent.
func maxLatency(r *fleet.Request) time.Duration {
	return time.Duration(float64(Target(r)) * maxTargetRatio)
}

// Target returns the time from arrival to the first byte within which a response has its full value, also for routes that set
// none.
func Target(r *fleet.Request) time.Duration {
	if r.TargetLatency <= 0 {
		return defaultTargetLatency
	}
	return r.TargetLatency
}

// deferOrReject defers a large prompt while the endpoint prefills others. It rejects the prompt when its answer would
// be late.
func deferOrReject(p Prediction, limit, waited time.Duration) Decision {
	d := Decision{Deferred: true, Reason: "the endpoint reads other prompts", RetryAfter: max(minRetryAfter, p.Wait)}
	if over := p.PrefillUtilization - maxPrefillUtilization; over > 0 {
		d.RetryAfter = max(d.RetryAfter, time.Duration(over*float64(utilizationWindow)))
	}
	d.Deferred = waited+p.Wait <= limit
	return d
}
