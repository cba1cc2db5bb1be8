package admission

import (
	"time"

	"github.com/zinniaroute/zinniaroute/state/fleet"
	"github.com/zinniaroute/zinniaroute/state/routes"
)

const (
	// lateness is the part of its target that a request may be predicted to take and still be sent: beyond it, requests
	// that are served late keep those behind them from being served in time.
	lateness = 1.25
	// leastTarget is assumed for routes that name no target.
	leastTarget = time.Second
	// maxDuty is the part of a runner's time that prompts may use up: while it reads, the answers that it generates
	// stand still, so that long ones end too late.
	maxDuty = 0.9
	// maxBacklog is the number of unread prompt tokens on a runner beyond which a large prompt waits: more would be read
	// without a break, and an event of a running answer takes five tokens, so that four pieces of 4096 tokens of 0.11 s
	// each stay within the pause of 0.6 s that callers accept.
	maxBacklog = 4 * 4096
	// smallPrompt is the number of unread tokens up to which a prompt does not count against the duty.
	smallPrompt = 1500
	// dutyWindow is the time over which the duty is averaged.
	dutyWindow = time.Second
	// soonest is the shortest time after which a caller is asked back.
	soonest = 100 * time.Millisecond
)

// Prospect is what is predicted for a request on the best endpoint.
type Prospect struct {
	// Wait is the time to the first byte.
	Wait time.Duration
	// Duty is the part of the endpoint's time that reading prompts uses up.
	Duty float64
	// Backlog is the number of prompt tokens that the endpoint has been sent and has not read.
	Backlog int
	// Unread is the number of the request's prompt tokens that the endpoint must read.
	Unread int
}

// Verdict tells whether a request is sent, and if not, why and when it may come back.
type Verdict struct {
	Admit bool
	// Hold tells that the request may be sent a moment later.
	Hold       bool
	Reason     string
	RetryAfter time.Duration
}

// Decide judges a request by what is predicted for it. The load it answers: more prompts arrive for a model than its
// copies read, so that everything would be late.
func Decide(now time.Time, r *fleet.Request, p Prospect) Verdict {
	if r.Kind != routes.Stream {
		return Verdict{Admit: true}
	}
	target := r.TargetLatency
	if target <= 0 {
		target = leastTarget
	}
	limit := time.Duration(float64(target) * lateness)
	passed := now.Sub(r.ArrivedAt)
	if passed+p.Wait > limit && p.Wait > limit/2 {
		return Verdict{Reason: "the queue is longer than the target", RetryAfter: max(soonest, p.Wait-limit/2)}
	}
	if p.Unread > smallPrompt && (p.Duty > maxDuty || p.Backlog > 0 && p.Backlog+p.Unread > maxBacklog) {
		return hold(p, limit, passed)
	}
	return Verdict{Admit: true}
}

// hold keeps a large prompt back while the endpoint reads others, as long as it can still be answered in time.
func hold(p Prospect, limit, passed time.Duration) Verdict {
	v := Verdict{Hold: true, Reason: "the endpoint reads other prompts", RetryAfter: max(soonest, p.Wait)}
	if over := p.Duty - maxDuty; over > 0 {
		v.RetryAfter = max(v.RetryAfter, time.Duration(over*float64(dutyWindow)))
	}
	v.Hold = passed+p.Wait <= limit
	return v
}
