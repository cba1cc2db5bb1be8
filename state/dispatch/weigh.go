package dispatch

import (
	"slices"
	"time"

	"github.com/zinniaroute/zinniaroute/state/fleet"
)

// Weighed is an endpoint with what speaks for and against it.
type Weighed struct {
	Choice
	// Cost is what the endpoints are compared by: the predicted wait with what follows, as time.
	Cost time.Duration
	// Failures is the part for recent failures, and Away that for another failure domain.
	Failures time.Duration
	Away     time.Duration
	// Unfit says why the endpoint cannot take the request, and Doubt why it is taken only when no other one can.
	Unfit string
	Doubt string
}

// Weigh returns all endpoints with their weights, the best one first.
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

// order sorts endpoints that can take a request before those in doubt and those that cannot.
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

// scale is what the endpoints of one choice are measured against.
type scale struct {
	// chains are those of the request's shared parts, and home is the runner on which they are expected.
	chains []uint64
	home   string
	// failures is the least share of recent failures among them.
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
		Duty:   (l.reading(now) + l.others.Reading) / fleet.PrefillRate,
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

// usable returns the endpoints that hold what is asked for and are thought to answer.
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

// unfit says why an endpoint cannot take a request, or "".
func (d *Desk) unfit(now time.Time, r *fleet.Request, runner *fleet.Runner, excluded []string) string {
	switch {
	case runner.Draining:
		return "it is leaving"
	case slices.Contains(excluded, runner.ID):
		return "it was tried"
	case r.Unit.Model != "" && !runner.Holdings.Has(fleet.Unit{Model: r.Unit.Model}):
		return "it does not hold the model"
	case r.Unit.Adapter == "" || runner.Holdings.Has(r.Unit):
		return ""
	case runner.Holdings.Busy:
		return "its weights are being moved, and the adapter is absent"
	case now.Before(d.load(runner.ID).unorderedUntil):
		return "its owner could not have the adapter loaded"
	default:
		return ""
	}
}

// doubt says why an endpoint is thought not to answer, or "".
func (d *Desk) doubt(now time.Time, runner *fleet.Runner) string {
	l := d.load(runner.ID)
	switch {
	case l.silent(now):
		return "it is silent"
	case now.Before(l.fullUntil):
		return "it had no room"
	case d.cutOff(now, runner.Domain):
		return "its failure domain is cut off"
	default:
		return ""
	}
}
