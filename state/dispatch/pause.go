package dispatch

import (
	"time"

	"github.com/zinniaroute/zinniaroute/state/capacity"
	"github.com/zinniaroute/zinniaroute/state/fleet"
)

const (
	// maxTokensBetweenEvents is the largest number of prompt tokens that a runner reads between two events of an answer: one
	// piece before each of the decode steps of an event. A slow runner takes 0.19 s for them, and 0.47 s while its machine is busy.
	maxTokensBetweenEvents = tokensPerEvent * 1024
	// riskyPause and certainPause are the predicted pauses, in parts of the longest that the answers allow, from which one may
	// be late and at which it certainly is. The predicted pause of an idle machine grows by 2.5 if it gets busy.
	riskyPause   = 0.35
	certainPause = 1.0
	// latePausePenalty is the penalty, as time, for another answer that certainly pauses for too long, and ownPausePenalty the
	// one for the request's own answer, which has all its events before it.
	latePausePenalty = 120 * time.Millisecond
	ownPausePenalty  = 300 * time.Millisecond
	// prefillPreview is the time of which an answer that begins now is expected to meet the prompts, at the rate at which
	// they arrived last. Without it, short requests stayed on slow runners between two long prompts.
	prefillPreview = 500 * time.Millisecond
	// fullyExposedTokens is the length of an answer that meets whatever the runner reads. Shorter ones have fewer pauses.
	fullyExposedTokens = 100
)

// pausePenalty returns the penalty for the pauses that a request and the answers running on an endpoint cause each other. The
// other answers are taken to allow the pauses that the request allows, since VMs know only their number.
func (s *Scheduler) pausePenalty(
	now time.Time, r *fleet.Request, l *endpointState, speed capacity.Speed, prefillTokens int,
) time.Duration {
	if r.MaxPause <= 0 || r.Unit.Model == "" {
		return 0
	}
	answers := max(0, l.running-len(l.awaitingFirstByte)+l.others.Running)
	risk := func(pendingTokens float64) float64 {
		return pauseRisk(r.MaxPause, speed, answers, int(pendingTokens))
	}
	pending := float64(l.backlog())
	own := float64(prefillTokens) * s.Slowdown(r.Unit.Model)
	others := float64(answers) * (risk(pending+own) - risk(pending))
	exposure := 1.0
	if r.OutputTokens > 0 {
		exposure = min(1, float64(r.OutputTokens)/fullyExposedTokens)
	}
	arriving := l.utilization(now, priorityLevels-1) * fleet.PrefillRate * prefillPreview.Seconds()
	return time.Duration(others*float64(latePausePenalty) + exposure*risk(pending+arriving)*float64(ownPausePenalty))
}

// pauseRisk returns how likely, from 0 to 1, an answer pauses for too long while a runner reads prompts between its events.
func pauseRisk(maxPause time.Duration, speed capacity.Speed, answers, pendingTokens int) float64 {
	event := float64(tokensPerEvent*(fleet.DecodeStepTime+time.Duration(answers)*stepTimePerRequest)) * speed.Decode
	pause := event + float64(prefillTime(min(pendingTokens, maxTokensBetweenEvents)))*speed.Prefill
	part := pause * speed.Busy / float64(maxPause)
	return min(max((part-riskyPause)/(certainPause-riskyPause), 0), 1)
}
