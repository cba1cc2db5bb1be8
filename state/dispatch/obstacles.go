package dispatch

import (
	"slices"
	"time"

	"github.com/zinniaroute/zinniaroute/state/fleet"
)

// Obstacle is a reason why an endpoint may not take a request, or takes it only as the last choice. It is the zero value if there
// is none.
type Obstacle struct {
	Reason string `json:"reason"`
	// Until is when it ends, or zero if that is not known.
	Until time.Time `json:"until,omitzero"`
	// LastChoice means that the endpoint may take the request if no other can.
	LastChoice bool `json:"lastChoice,omitempty"`
}

// trial is a request for which an endpoint is considered.
type trial struct {
	scheduler *Scheduler
	now       time.Time
	request   *fleet.Request
	runner    *fleet.Runner
	excluded  []string
	endpoint  *endpointState
}

// obstacles lists all reasons in the order in which they are considered: those for which an endpoint cannot take a request come
// before those that make it a last choice.
var obstacles = []struct {
	reason     string
	lastChoice bool
	// stands reports whether the reason applies, and until when, or zero if that is not known.
	stands func(t *trial) (until time.Time, stands bool)
}{
	{"it is draining", false, func(t *trial) (time.Time, bool) { return time.Time{}, t.runner.Draining }},
	{"it was already tried", false, func(t *trial) (time.Time, bool) {
		return time.Time{}, slices.Contains(t.excluded, t.runner.ID)
	}},
	{"it has asked for a rest", false, func(t *trial) (time.Time, bool) { return t.until(t.endpoint.restUntil) }},
	{"it does not hold the model", false, func(t *trial) (time.Time, bool) {
		unit := t.request.Unit
		return time.Time{}, unit.Model != "" && !t.runner.Holdings.Has(fleet.Unit{Model: unit.Model})
	}},
	{noPlaceReason, false, func(t *trial) (time.Time, bool) {
		paused, _ := t.until(t.endpoint.brittle.PausedUntil)
		return paused, !t.scheduler.hasPlace(t.now, t.runner)
	}},
	{"the adapter is not loaded, and the runner is loading or unloading weights", false, func(t *trial) (time.Time, bool) {
		return time.Time{}, t.needsAdapter() && t.runner.Holdings.Busy
	}},
	{"its owner failed to load an adapter a moment ago", false, func(t *trial) (time.Time, bool) {
		until, stands := t.until(t.endpoint.adapterBackoffUntil)
		return until, stands && t.needsAdapter()
	}},
	{"it is unresponsive", true, func(t *trial) (time.Time, bool) {
		until, _ := t.until(t.endpoint.backoffUntil)
		return until, t.endpoint.unresponsive(t.now)
	}},
	{"its connections failed, here or at several VMs, and no answer has begun since", true, func(t *trial) (time.Time, bool) {
		return t.endpoint.failureEnd(), t.endpoint.seemsCrashed(t.now, t.runner)
	}},
	{"it returns from a rest and has a request", true, func(t *trial) (time.Time, bool) {
		return time.Time{}, t.endpoint.returning && len(t.endpoint.awaitingFirstByte) > 0
	}},
	{"it declined for lack of capacity a moment ago", true, func(t *trial) (time.Time, bool) {
		return t.until(t.endpoint.atCapacityUntil)
	}},
	{"its failure domain is unreachable", true, func(t *trial) (time.Time, bool) {
		return t.scheduler.outages[t.runner.Domain].until, t.scheduler.isPartitioned(t.now, t.runner.Domain)
	}},
}

// until returns the end of a time, and whether it is still to come. An end that has passed is zero.
func (t *trial) until(end time.Time) (time.Time, bool) {
	if !t.now.Before(end) {
		return time.Time{}, false
	}
	return end, true
}

// needsAdapter reports whether the request needs an adapter that is not loaded on the endpoint.
func (t *trial) needsAdapter() bool {
	return t.request.Unit.Adapter != "" && !t.runner.Holdings.Has(t.request.Unit)
}

// Obstacle returns the first reason in the table that applies to a request and an endpoint.
func (s *Scheduler) Obstacle(now time.Time, r *fleet.Request, runner *fleet.Runner, excluded []string) Obstacle {
	t := trial{now: now, scheduler: s, request: r, runner: runner, excluded: excluded, endpoint: s.endpoint(runner.ID)}
	for i := range obstacles {
		o := &obstacles[i]
		if until, stands := o.stands(&t); stands {
			return Obstacle{Reason: o.reason, Until: until, LastChoice: o.lastChoice}
		}
	}
	return Obstacle{}
}

// NextChange returns the obstacle that ends first among those that keep a request from all endpoints, or the zero value if no end
// is known. It says when a caller that is refused may come back.
func (s *Scheduler) NextChange(now time.Time, r *fleet.Request, runners []*fleet.Runner, excluded []string) Obstacle {
	var first Obstacle
	for _, runner := range runners {
		o := s.Obstacle(now, r, runner, excluded)
		if !o.Until.IsZero() && (first.Until.IsZero() || o.Until.Before(first.Until)) {
			first = o
		}
	}
	return first
}
