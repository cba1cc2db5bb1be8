package dispatch

import (
	"cmp"
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/zinniaroute/zinniaroute/state/fleet"
)

const (
	// noPlaceReason is the reason why an endpoint that would have to turn a request away gets none.
	noPlaceReason = "it is brittle, and has no place for a request of this VM"
	// minBrittlePause is the shortest time without requests to a brittle endpoint that has turned one of this VM away, and
	// maxBrittlePause the longest. maxSharedPause is the longest after it has turned one of another VM away.
	minBrittlePause = 500 * time.Millisecond
	maxBrittlePause = 10 * time.Second
	maxSharedPause  = 2 * time.Second
	// usedTurnsAway is the part of the requests that an endpoint may turn away of which VMs that come back make use.
	usedTurnsAway = 0.8
	// probedTurnsAway is the part of the requests that an endpoint may turn away that is left to checks of the path. With
	// usedTurnsAway it makes up the whole.
	probedTurnsAway = 1 - usedTurnsAway
	// usedPlaces is the part of the places that requests take on average. What arrives at random needs the others.
	usedPlaces = 0.6
	// unknownOccupancy is the time for which a request is taken to use a place until one was served.
	unknownOccupancy = 200 * time.Millisecond
	// maxBrittlePenalty bounds the random part of the cost.
	maxBrittlePenalty = 100 * time.Millisecond
	// turnedAwayTTL is the age up to which other VMs need to know that an endpoint turned a request away.
	turnedAwayTTL = time.Second
	// maxReportDelay is the time by which the age that another VM reports may be wrong. What seems later by less
	// comes from this VM.
	maxReportDelay = 200 * time.Millisecond
)

// Brittle is what is known of an endpoint that falls over if it turns too many requests away for want of room.
type Brittle struct {
	// PerSecond is the number of requests that it may turn away within a second, over all VMs. Zero means that it is not
	// brittle.
	PerSecond float64 `json:"perSecond,omitempty"`
	// TurnedAwayAt is when it last turned a request away, at any VM.
	TurnedAwayAt time.Time `json:"turnedAwayAt,omitzero"`
	// PausedUntil is when this VM may send requests again, after it was turned away or because it uses up its share. Returning reports that no answer has begun since then, so that the
	// endpoint gets one request of this VM at a time.
	PausedUntil time.Time `json:"pausedUntil,omitzero"`
	Returning   bool      `json:"returning,omitempty"`
	// ProbeAt is when this VM may next check the path at the endpoint.
	ProbeAt time.Time `json:"probeAt,omitzero"`
	// Phase is this VM's place, from 0 to 1, among those that send in turn.
	Phase float64 `json:"phase,omitempty"`
}

// SetMembers sets the number of VMs that share the places of brittle endpoints.
func (s *Scheduler) SetMembers(members int) { s.members = max(1, members) }

// RecordBrittle records how many requests an endpoint may turn away within a second, over all VMs. Infinite means that it is
// not brittle. The fraction, from 0 to 1, is this VM's place among those that begin to share its places.
func (s *Scheduler) RecordBrittle(now time.Time, runner string, perSecond, fraction float64) {
	b := &s.endpoint(runner).brittle
	switch {
	case math.IsInf(perSecond, 1):
		*b = Brittle{}
	case b.PerSecond == 0:
		b.PerSecond, b.Phase = max(1, perSecond), fraction
		b.PausedUntil = now.Add(s.spread(b.PerSecond, fraction, maxSharedPause))
		b.ProbeAt = now.Add(time.Duration(fraction * float64(s.probeInterval(b.PerSecond))))
	default:
		b.PerSecond = max(1, perSecond)
	}
}

// spread returns the time after which this VM sends to an endpoint, so that the endpoint stays up if it has to turn away one
// request of each VM. It is at most the fraction of the bound.
func (s *Scheduler) spread(perSecond, fraction float64, bound time.Duration) time.Duration {
	all := time.Duration(float64(s.members) / (usedTurnsAway * perSecond) * float64(time.Second))
	return time.Duration(fraction * float64(min(bound, all)))
}

// probeInterval returns the time between two checks of the path by a VM at an endpoint, which stays up if all VMs check and it turns
// each check away.
func (s *Scheduler) probeInterval(perSecond float64) time.Duration {
	return time.Duration(float64(s.members) / (probedTurnsAway * perSecond) * float64(time.Second))
}

// IsBrittle reports whether an endpoint falls over if it turns too many requests away.
func (s *Scheduler) IsBrittle(runner string) bool {
	l := s.endpoints[runner]
	return l != nil && l.brittle.PerSecond > 0
}

// TakeProbe reports whether this VM may check the path at an endpoint now, and records the check. A check takes a place like a
// request, and counts as one that is turned away if there is none.
func (s *Scheduler) TakeProbe(now time.Time, runner string) bool {
	if !s.IsBrittle(runner) {
		return true
	}
	b := &s.endpoints[runner].brittle
	if now.Before(b.ProbeAt) {
		return false
	}
	b.ProbeAt = now.Add(s.probeInterval(b.PerSecond))
	return true
}

// RecordTurnedAway records that a brittle endpoint had no room for a request of this VM. The VMs come back one after another,
// so slowly that the endpoint stays up if it has to turn away each. The fraction, from 0 to 1, is this VM's place among them.
func (s *Scheduler) RecordTurnedAway(now time.Time, runner string, fraction float64) {
	b := &s.endpoint(runner).brittle
	if b.PerSecond == 0 {
		return
	}
	b.TurnedAwayAt, b.Returning = now, true
	b.PausedUntil = later(b.PausedUntil, now.Add(minBrittlePause+s.spread(b.PerSecond, fraction, maxBrittlePause)))
}

// RecordTurnedAwayElsewhere records that a brittle endpoint had no room for a request of another VM at a time.
func (s *Scheduler) RecordTurnedAwayElsewhere(now time.Time, runner string, at time.Time, fraction float64) {
	b := &s.endpoint(runner).brittle
	if b.PerSecond == 0 || at.Sub(b.TurnedAwayAt) < maxReportDelay || now.Sub(at) >= turnedAwayTTL {
		return
	}
	b.TurnedAwayAt = at
	b.PausedUntil = later(b.PausedUntil, now.Add(s.spread(b.PerSecond, fraction, maxSharedPause)))
}

// TurnedAwayAt returns when a brittle endpoint last turned a request away, or zero if other VMs need not know.
func (s *Scheduler) TurnedAwayAt(now time.Time, runner string) time.Time {
	l := s.endpoints[runner]
	if l == nil || now.Sub(l.brittle.TurnedAwayAt) >= turnedAwayTTL {
		return time.Time{}
	}
	return l.brittle.TurnedAwayAt
}

// Full reports whether a request finds no endpoint because those that could take it are brittle and have no place for it.
func (s *Scheduler) Full(now time.Time, r *fleet.Request, runners []*fleet.Runner, excluded []string) bool {
	for _, runner := range runners {
		if s.Obstacle(now, r, runner, excluded).Reason == noPlaceReason {
			return true
		}
	}
	return false
}

// hasPlace reports whether this VM may send a request to an endpoint without risk that it is turned away: not to one that is
// brittle and paused, or whose places, or this VM's share of them, are in use.
func (s *Scheduler) hasPlace(now time.Time, runner *fleet.Runner) bool {
	l := s.endpoint(runner.ID)
	if l.brittle.PerSecond == 0 {
		return true
	}
	places := max(1, runner.Slots)
	share := (places + s.members - 1) / s.members
	if l.brittle.Returning {
		share = 1
	}
	return !now.Before(l.brittle.PausedUntil) && l.running < share && l.running+l.others.Running < places &&
		now.Before(s.turnEnd(now, l, places))
}

// turnEnd returns the end of this VM's present turn at a brittle endpoint, or zero if it is the turn of others. If there are
// more VMs than places, a turn comes up as often as the VM's part of the places allows, and lasts as long as a request. Turns
// that are not used lapse, so that a burst at all VMs does not reach the endpoint at once.
func (s *Scheduler) turnEnd(now time.Time, l *endpointState, places int) time.Time {
	length := cmp.Or(l.occupancy, unknownOccupancy)
	interval := time.Duration(float64(length) * float64(s.members) / (usedPlaces * float64(places)))
	if s.members <= places || interval <= length {
		return now.Add(length)
	}
	phase := time.Duration(l.brittle.Phase * float64(interval))
	if since := time.Duration((now.UnixNano() + int64(phase)) % int64(interval)); since < length {
		return now.Add(length - since)
	}
	return time.Time{}
}

// useTurn records that this VM sends a request to an endpoint, which uses up its turn if that is brittle.
func (s *Scheduler) useTurn(now time.Time, runner *fleet.Runner) {
	l, places := s.endpoint(runner.ID), max(1, runner.Slots)
	if l.brittle.PerSecond > 0 && s.members > places {
		l.brittle.PausedUntil = later(l.brittle.PausedUntil, s.turnEnd(now, l, places))
	}
}

// brittlePenalty returns a part of the cost of a brittle endpoint that differs between requests, so that VMs with the same
// knowledge do not all choose the same endpoint.
func (l *endpointState) brittlePenalty(r *fleet.Request, runner string) time.Duration {
	if l.brittle.PerSecond == 0 {
		return 0
	}
	hash := hashPair(xxhash.Sum64String(r.ID), xxhash.Sum64String(runner))
	return time.Duration(hash % uint64(maxBrittlePenalty))
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
