package dispatch

import (
	"slices"
	"time"

	"github.com/zinniaroute/zinniaroute/state/fleet"
)

// Weighed is an endpoint with its cost for a request, and with the reasons against it.
type Weighed struct {
	Choice
	// Cost is the predicted wait plus all penalties. The endpoint with the lowest cost wins.
	Cost time.Duration
	// Failures is the penalty for recent failures.
	Failures time.Duration
	// Away is the penalty for another failure domain.
	Away time.Duration
	// Unfit is the reason why the endpoint cannot take the request, or "".
	Unfit string
	// Doubt is the reason to use the endpoint only as the last choice, or "".
	Doubt string
}

// Weigh returns all endpoints with their costs for a request, the best one first.
func (d *Desk) Weigh(now time.Time, r *fleet.Request, runners []*fleet.Runner, excluded []string) []Weighed {
	scale := d.scale(now, r, d.usable(now, r, runners, excluded))
	all := make([]Weighed, 0, len(runners))
	for _, runner := range runners {
		w := d.weigh(now, r, runner, scale)
		w.Unfit, w.Doubt = d.unfit(now, r, runner, excluded), d.doubt(now, runner)
		all = append(all, w)
	}
	slices.SortStableFunc(all, func(a, b Weighed) int {
		if a.order() != b.order() {
			return a.order() - b.order()
		}
		return int(a.Cost - b.Cost)
	})
	return all
}

// order returns the sort key that precedes the cost: 0 for a normal endpoint, 1 for a last choice, 2 for an endpoint
// that cannot take the request.
func (w Weighed) order() int {
	switch {
	case w.Unfit != "":
		return 2
	case w.Doubt != "":
		return 1
	default:
		return 0
	}
}

// scale holds the values that all endpoints of one choice have in common.
type scale struct {
	// chains holds the hashes of the request's shared prefixes.
	chains []uint64
	// home is the ID of the runner on which all VMs expect these prefixes to be cached.
	home string
	// failures is the lowest failure rate among the usable endpoints. Only the excess over it is penalized.
	failures float64
}

func (d *Desk) scale(now time.Time, r *fleet.Request, usable []*fleet.Runner) scale {
	least := 1.0
	for _, runner := range usable {
		least = min(least, d.load(runner.ID).failureShare(now))
	}
	parts := chains(r)
	return scale{chains: parts, home: d.home(r, parts, usable), failures: least}
}

func (d *Desk) weigh(now time.Time, r *fleet.Request, runner *fleet.Runner, s scale) Weighed {
	l := d.load(runner.ID)
	unread := r.PromptTokens - r.SharedTokens()
	if runner.ID != s.home {
		unread = d.unread(now, r, s.chains, runner.ID)
	}
	w := Weighed{Choice: Choice{
		Runner: runner, Wait: d.wait(now, r, runner, l, unread), Backlog: l.backlog(), Unread: unread,
		Duty:   (l.reading(now) + l.others.Reading) / fleet.ReadRate,
		Absent: r.Unit.Adapter != "" && !runner.Holdings.Has(r.Unit),
	}}
	if w.Absent {
		w.Wait += adapterCost
	}
	if runner.Domain != d.domain {
		w.Away = crossDomain
	}
	w.Failures = time.Duration((l.failureShare(now) - s.failures) * float64(failureCost))
	w.Cost = w.Wait + w.Failures + w.Away
	return w
}

// usable returns the endpoints that can take a request and seem responsive. If there is none, it returns the endpoints
// that are a last choice.
func (d *Desk) usable(now time.Time, r *fleet.Request, runners []*fleet.Runner, excluded []string) []*fleet.Runner {
	var usable, doubtful []*fleet.Runner
	for _, runner := range runners {
		switch {
		case d.unfit(now, r, runner, excluded) != "":
		case d.doubt(now, runner) != "":
			doubtful = append(doubtful, runner)
		default:
			usable = append(usable, runner)
		}
	}
	if len(usable) == 0 {
		return doubtful
	}
	return usable
}

// unfit returns the reason why an endpoint cannot take a request, or "".
func (d *Desk) unfit(now time.Time, r *fleet.Request, runner *fleet.Runner, excluded []string) string {
	switch {
	case runner.Leaving:
		return "it is leaving"
	case slices.Contains(excluded, runner.ID):
		return "it was already tried"
	case r.Unit.Model != "" && !runner.Holdings.Has(fleet.Unit{Model: r.Unit.Model}):
		return "it does not hold the model"
	case r.Unit.Adapter == "" || runner.Holdings.Has(r.Unit):
		return ""
	case runner.Holdings.Busy:
		return "the adapter is not loaded, and the runner is loading or unloading weights"
	case now.Before(d.load(runner.ID).unorderedUntil):
		return "its owner failed to load the adapter a moment ago"
	default:
		return ""
	}
}

// doubt returns the reason to use an endpoint only as the last choice, or "".
func (d *Desk) doubt(now time.Time, runner *fleet.Runner) string {
	l := d.load(runner.ID)
	switch {
	case l.silent(now):
		return "it is unresponsive"
	case now.Before(l.fullUntil):
		return "it declined for lack of capacity a moment ago"
	case d.cutOff(now, runner.Domain):
		return "its failure domain is unreachable"
	default:
		return ""
	}
}
