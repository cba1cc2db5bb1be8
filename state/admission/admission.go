package admission

import (
	"time"

	"github.com/zinniaroute/zinniaroute/state/fleet"
	"github.com/zinniaroute/zinniaroute/state/routes"
)

const (
	// lateness is the largest ratio of predicted time to target at which a request is still sent. Above it, late requests
	// delay those behind them, which then miss their targets too.
	lateness = 1.25
	// leastTarget is the time to first byte that is assumed as the target of routes without one.
	leastTarget = time.Second
	// maxDuty is the largest fraction of a runner's time for prefill. Running answers make no progress during prefill, so
	// a higher fraction makes long answers end too late.
	maxDuty = 0.9
	// maxBacklog is the number of prompt tokens awaiting prefill on a runner above which a large prompt is deferred. An
	// event of a running answer takes five tokens, so several chunks of prefill run before it. Four chunks of 4096 tokens
	// take 0.11 s each and stay within the gap of 0.6 s between events that callers accept.
	maxBacklog = 4 * 4096
	// smallPrompt is the number of tokens to prefill up to which a prompt is never deferred.
	smallPrompt = 1500
	// dutyWindow is the time over which the prefill utilization is averaged.
	dutyWindow = time.Second
	// soonest is the smallest RetryAfter of a rejected request.
	soonest = 100 * time.Millisecond
)

// Prediction is the prediction for a request on the best endpoint.
type Prediction struct {
	// Wait is the time to first byte.
	Wait time.Duration
	// PrefillUtilization is the fraction of the endpoint's time that prefill takes.
	PrefillUtilization float64
	// Backlog is the number of prompt tokens that await prefill on the endpoint.
	Backlog int
	// PrefillTokens is the number of the request's prompt tokens that need prefill.
	PrefillTokens int
}

// Verdict says whether to send a request now, and if not, why not and after what time the caller may retry.
type Verdict struct {
	Admit bool
	// Hold means that the request stays in the queue and is decided on again a moment later.
	Hold       bool
	Reason     string
	RetryAfter time.Duration
}

// Decide decides whether to send a request, given the prediction for the best endpoint. It sheds load when prompts for
// a model arrive faster than its copies prefill them. Without that, every request would be late.
func Decide(now time.Time, r *fleet.Request, p Prediction) Verdict {
	if r.Kind != routes.Stream {
		return Verdict{Admit: true}
	}
	target := r.Target
	if target <= 0 {
		target = leastTarget
	}
	limit := time.Duration(float64(target) * lateness)
	passed := now.Sub(r.Arrived)
	if passed+p.Wait > limit && p.Wait > limit/2 {
		return Verdict{Reason: "the queue is longer than the target", RetryAfter: max(soonest, p.Wait-limit/2)}
	}
	if p.PrefillTokens > smallPrompt &&
		(p.PrefillUtilization > maxDuty || p.Backlog > 0 && p.Backlog+p.PrefillTokens > maxBacklog) {
		return hold(p, limit, passed)
	}
	return Verdict{Admit: true}
}

// hold defers a large prompt while the endpoint prefills others. It rejects the prompt when its answer would be late.
func hold(p Prediction, limit, passed time.Duration) Verdict {
	v := Verdict{Hold: true, Reason: "the endpoint reads other prompts", RetryAfter: max(soonest, p.Wait)}
	if over := p.PrefillUtilization - maxDuty; over > 0 {
		v.RetryAfter = max(v.RetryAfter, time.Duration(over*float64(dutyWindow)))
	}
	v.Hold = passed+p.Wait <= limit
	return v
}
