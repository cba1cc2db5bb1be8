package dispatch

import (
	"time"

	"github.com/zinniaroute/zinniaroute/state/fleet"
)

const (
	// maxRest bounds the rest that an endpoint may ask for, so that one answer does not take it out of service for good.
	maxRest = 5 * time.Minute
	// maxRestSpread bounds the time after a rest over which VMs return to the endpoint, and restSpread is that time as a part
	// of the rest.
	maxRestSpread = time.Second
	restSpread    = 0.25
)

// RecordRest records that an endpoint turned a request away and wants no other from this VM for a time. A rest that was
// asked for before stays in force. The fraction, from 0 to 1, is this VM's place among those that return one after another.
func (s *Scheduler) RecordRest(now time.Time, runner string, rest time.Duration, fraction float64) {
	if rest <= 0 {
		return
	}
	rest = min(rest, maxRest)
	spread := fraction * min(maxRestSpread.Seconds(), restSpread*rest.Seconds())
	until := now.Add(rest + time.Duration(spread*float64(time.Second)))
	l := s.endpoint(runner)
	l.restAskedAt = now
	if until.After(l.restUntil) {
		l.restUntil, l.returning = until, true
	}
}

// RecordRestart records that an endpoint has started again, which ends the rest that it asked for before. A VM may learn of
// the start after the endpoint has asked for a rest since. If the clocks differ, a rest lasts until its end, or the endpoint
// gets a request more.
func (s *Scheduler) RecordRestart(runner string, startedAt time.Time) {
	l := s.endpoints[runner]
	if l == nil {
		return
	}
	l.plain = PlainLoad{}
	if startedAt.After(l.restAskedAt) {
		l.restUntil, l.returning = time.Time{}, false
	}
}

// Resting reports whether an endpoint has asked for a rest that is not over.
func (s *Scheduler) Resting(now time.Time, runner string) bool {
	l := s.endpoints[runner]
	return l != nil && now.Before(l.restUntil)
}

// Unavailable reports whether each of the endpoints drains or rests, so that a request need not wait for a model to be
// loaded. It returns the earliest end of a rest, or zero if there is none.
func (s *Scheduler) Unavailable(now time.Time, runners []*fleet.Runner) (time.Time, bool) {
	var earliest time.Time
	for _, runner := range runners {
		switch {
		case runner.Draining:
		case !s.Resting(now, runner.ID):
			return time.Time{}, false
		default:
			if until := s.endpoints[runner.ID].restUntil; earliest.IsZero() || until.Before(earliest) {
				earliest = until
			}
		}
	}
	return earliest, true
}

func (s *Scheduler) canTake(now time.Time, r *fleet.Request, runner *fleet.Runner, excluded []string) bool {
	o := s.Obstacle(now, r, runner, excluded)
	return o.Reason == "" || o.LastChoice
}

// Eligible reports whether an endpoint that was chosen a while ago can still take a request.
func (s *Scheduler) Eligible(now time.Time, r *fleet.Request, runner *fleet.Runner, excluded []string) bool {
	return runner != nil && s.canTake(now, r, runner, excluded)
}
