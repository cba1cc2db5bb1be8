package dispatch

import (
	"time"

	"github.com/zinniaroute/zinniaroute/state/fleet"
)

const (
	// spreadCost and spreadPart define the costs that count as equal to the best: those above it by at most spreadCost plus a
	// part of its cost, up to maxSpreadCost, which is below the penalty for another failure domain.
	spreadCost    = 3 * time.Millisecond
	spreadPart    = 0.08
	maxSpreadCost = 20 * time.Millisecond
	// plainSpreadCost takes the place of both for plain endpoints. Their costs differ by 1 ms for each request in flight.
	plainSpreadCost = 1500 * time.Microsecond
	// maxSpreadTokens is the number of prompt tokens that an endpoint of equal cost may have to read beyond those of the best.
	// More of them are a prefix that the best one has cached.
	maxSpreadTokens = 256
)

// nearlyLowest returns the candidates whose costs count as equal to the lowest, the one with the lowest cost first.
func nearlyLowest(r *fleet.Request, candidates []Candidate) []Candidate {
	best := lowestCost(candidates)
	limit := best.Cost + min(maxSpreadCost, spreadCost+time.Duration(spreadPart*float64(max(0, best.Cost))))
	if r.Unit.Model == "" {
		limit = best.Cost + plainSpreadCost
	}
	near := []Candidate{*best}
	for i := range candidates {
		c := &candidates[i]
		if c != best && c.Cost <= limit && c.PrefillTokens <= best.PrefillTokens+maxSpreadTokens &&
			c.NotAdmitted == best.NotAdmitted && c.Limited == best.Limited && c.AdapterNotLoaded == best.AdapterNotLoaded {
			near = append(near, *c)
		}
	}
	return near
}

// choices returns the endpoints that may get a request, with their costs.
func (s *Scheduler) choices(now time.Time, r *fleet.Request, runners []*fleet.Runner, excluded []string) []Candidate {
	usable := s.usable(now, r, runners, excluded)
	base := s.baseline(now, r, usable)
	candidates := make([]Candidate, 0, len(usable))
	for _, runner := range usable {
		candidates = append(candidates, s.candidate(now, r, runner, base))
	}
	return candidates
}

// lowestCost returns the first candidate with the lowest cost, or nil if there is none. Those to which admission control would
// send the request come first.
func lowestCost(candidates []Candidate) *Candidate {
	var best *Candidate
	for i := range candidates {
		c := &candidates[i]
		if best == nil || best.NotAdmitted && !c.NotAdmitted || best.NotAdmitted == c.NotAdmitted && c.Cost < best.Cost {
			best = c
		}
	}
	return best
}
