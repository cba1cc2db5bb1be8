package dispatch

import (
	"slices"
	"time"

	"github.com/zinniaroute/zinniaroute/state/admission"
	"github.com/zinniaroute/zinniaroute/state/fleet"
)

// Candidate is an endpoint with its cost for a request, and with the reasons against it.
type Candidate struct {
	Choice
	// Cost is the predicted wait plus all penalties. The endpoint with the lowest cost wins.
	Cost time.Duration
	// FailurePenalty is the penalty for recent failures.
	FailurePenalty time.Duration `json:"Failures"`
	// CrossDomainPenalty is the penalty for another failure domain.
	CrossDomainPenalty time.Duration `json:"Away"`
	// PausePenalty is the penalty for pauses of this answer, and of those running there.
	PausePenalty time.Duration `json:"Pauses"`
	// NotAdmitted means that admission control would not send the request there now.
	NotAdmitted bool `json:"NotAdmitted,omitempty"`
	// IneligibleReason is the reason why the endpoint cannot take the request, or "".
	IneligibleReason string `json:"Unfit"`
	// LastChoiceReason is the reason to use the endpoint only as the last choice, or "".
	LastChoiceReason string `json:"Doubt"`
	// ReasonUntil is when either reason ends, or zero if that is not known.
	ReasonUntil time.Time `json:"ReasonUntil,omitzero"`
}

// Candidates returns all endpoints with their costs for a request, the best one first.
func (s *Scheduler) Candidates(now time.Time, r *fleet.Request, runners []*fleet.Runner, excluded []string) []Candidate {
	base := s.baseline(now, r, s.usable(now, r, runners, excluded))
	all := make([]Candidate, 0, len(runners))
	for _, runner := range runners {
		c := s.candidate(now, r, runner, base)
		switch o := s.Obstacle(now, r, runner, excluded); {
		case o.LastChoice:
			c.LastChoiceReason, c.ReasonUntil = o.Reason, o.Until
		default:
			c.IneligibleReason, c.ReasonUntil = o.Reason, o.Until
		}
		all = append(all, c)
	}
	slices.SortStableFunc(all, func(a, b Candidate) int {
		if a.tier() != b.tier() {
			return a.tier() - b.tier()
		}
		return int(a.Cost - b.Cost)
	})
	return all
}

// tier returns the sort key that precedes the cost: 0 for a normal endpoint, 1 for one to which admission control would not
// send the request now, 2 for a last choice, 3 for an endpoint that cannot take the request.
func (c Candidate) tier() int {
	switch {
	case c.IneligibleReason != "":
		return 3
	case c.LastChoiceReason != "":
		return 2
	case c.NotAdmitted:
		return 1
	default:
		return 0
	}
}

// baseline holds the values that all endpoints of one choice have in common.
type baseline struct {
	// prefixes holds the hashes of the request's shared prefixes.
	prefixes []uint64
	// homeRunner is the ID of the runner on which all VMs expect these prefixes to be cached.
	homeRunner string
	// minFailureRate is the lowest failure rate among the usable endpoints. Only the excess over it is penalized.
	minFailureRate float64
}

func (s *Scheduler) baseline(now time.Time, r *fleet.Request, usable []*fleet.Runner) baseline {
	least := 1.0
	for _, runner := range usable {
		least = min(least, s.endpoint(runner.ID).failureRate(now))
	}
	prefixes := prefixHashes(r)
	return baseline{prefixes: prefixes, homeRunner: s.homeRunner(r, prefixes, usable), minFailureRate: least}
}

func (s *Scheduler) candidate(now time.Time, r *fleet.Request, runner *fleet.Runner, b baseline) Candidate {
	l := s.endpoint(runner.ID)
	prefillTokens := r.PromptTokens - r.SharedTokens()
	if runner.ID != b.homeRunner {
		prefillTokens = s.prefillTokens(now, r, b.prefixes, runner.ID)
	}
	speed := s.Speed(now, runner.ID)
	c := Candidate{Choice: Choice{
		Runner: runner, Wait: s.predictWait(now, r, runner, l, speed, prefillTokens),
		Backlog:            l.tokensAhead(priorityLevel(r.Priority)),
		PrefillTokens:      prefillTokens,
		PrefillUtilization: l.utilization(now, priorityLevel(r.Priority)) * speed.Prefill,
		AdapterNotLoaded:   r.Unit.Adapter != "" && !runner.Holdings.Has(r.Unit),
	}}
	spread := time.Duration(0)
	if r.Unit.Model == "" && l.plain.Slots > 0 {
		c.RoomWait, c.Wait, spread = l.predictPlain(now, r, l.serviceTime(now, s.usualService(runner.Service)))
	}
	if c.AdapterNotLoaded {
		c.Wait += adapterLoadDelay
	}
	if l.limit.Limited {
		c.Limited, c.PermitWait = true, max(0, l.limit.PermitAt.Sub(now))
		c.Wait += c.PermitWait + permitDelay
	}
	if runner.Domain != s.domain {
		c.CrossDomainPenalty = crossDomainPenalty
	}
	c.FailurePenalty = time.Duration((l.failureRate(now) - b.minFailureRate) * float64(certainFailurePenalty))
	c.PausePenalty = s.pausePenalty(now, r, l, speed, prefillTokens)
	c.Cost = c.Wait + c.FailurePenalty + c.CrossDomainPenalty + c.PausePenalty + spread + l.brittlePenalty(r, runner.ID)
	if l.limit.probeDue(now) {
		c.Cost -= probeBonus
	}
	// A penalty must not lead to a refusal while another endpoint would take the request in time.
	c.NotAdmitted = r.MaxPause > 0 && !admission.Decide(now, r, c.Prediction()).Admitted
	return c
}

// usable returns the endpoints that can take a request and seem responsive. If there is none, it returns the endpoints
// that are a last choice.
func (s *Scheduler) usable(now time.Time, r *fleet.Request, runners []*fleet.Runner, excluded []string) []*fleet.Runner {
	var usable, lastChoices []*fleet.Runner
	for _, runner := range runners {
		switch o := s.Obstacle(now, r, runner, excluded); {
		case o.LastChoice:
			lastChoices = append(lastChoices, runner)
		case o.Reason == "":
			usable = append(usable, runner)
		}
	}
	if len(usable) == 0 {
		return lastChoices
	}
	return usable
}
