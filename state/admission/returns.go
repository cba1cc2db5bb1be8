package admission

import (
	"math"
	"slices"
	"time"
)

const (
	// honoredPart is the part of the time that a caller has left up to which it honors Retry-After. Beyond it the caller gives
	// up.
	honoredPart = 3
	// jitterPart is the part of the time between two places by which a caller may be told a later time.
	jitterPart = 8
	// maxPlaceInterval bounds the time between two places of an endpoint group that hardly serves anything.
	maxPlaceInterval = 10 * time.Second
	// unknownRateSpread is the multiple of RetryAfter within which callers are spread if the rate of places is not known.
	unknownRateSpread = 2
	// maxReturning is the number of callers of a group, maxAllReturning that of all groups, and maxReturnGroups the number of
	// groups whose times are remembered. A caller takes some 100 bytes.
	maxReturning    = 1024
	maxAllReturning = 8192
	maxReturnGroups = 256
	// sameDeadline is the difference up to which the deadlines of two requests with the same content count as equal, and
	// minRepeatTime the time after a refusal from which such a request counts as its repetition. Requests of other callers
	// with the same content and time limit arrive as far apart as their deadlines are.
	sameDeadline  = 5 * time.Millisecond
	minRepeatTime = 10 * time.Millisecond
	// goldenRatio is the fractional part of the golden ratio. Its multiples modulo 1 stay evenly spread for any count.
	goldenRatio = 0.6180339887498949
)

// ReturnGroup is the endpoints for whose places refused callers return.
type ReturnGroup struct{ Service, Model string }

// Refusal is a request that is refused now.
type Refusal struct {
	Group ReturnGroup
	// Priority is the rank of the request; 0 is the most urgent.
	Priority int
	// Fingerprint is a hash of the content, or zero if it is unknown, and Deadline when the caller needs the response.
	Fingerprint uint64
	Deadline    time.Time
	// RetryAfter is the time after which the first place is expected.
	RetryAfter time.Duration
	// PlacesPerSecond is the rate at which places for callers of this VM are expected from then on, or zero if it is unknown.
	PlacesPerSecond float64
}

// Return says when a refused caller may come back.
type Return struct {
	RetryAfter time.Duration
	// NoPlace means that no place is expected within the time for which the caller waits.
	NoPlace bool
}

// Returns schedules the return of refused callers. It addresses callers that are refused together: a burst, the callers of a
// partitioned failure domain, and clients that retry immediately. With random times within half of RetryAfter they came back
// together and were refused again. Each VM schedules its own callers with its part of the rate; VMs do not coordinate.
type Returns struct {
	groups map[ReturnGroup]*returnGroup
}

// NewReturns returns a schedule without callers.
func NewReturns() *Returns { return &Returns{groups: make(map[ReturnGroup]*returnGroup)} }

// returnGroup is the schedule of one group.
type returnGroup struct {
	// returning holds the callers that were told a time, ordered by it.
	returning []returning
	// spread counts the callers that were spread without a place.
	spread int
	// forgetAt is when the group has nothing to remember any more.
	forgetAt time.Time
}

// returning is a caller that was told a time.
type returning struct {
	at, toldAt, deadline time.Time
	priority             int
	fingerprint          uint64
	// noPlace means that the time is not that of a place.
	noPlace bool
}

// Refuse returns when the caller of a refused request may come back: when the next place is expected that no caller of the same
// or a more urgent priority was given. A caller that repeats a request before its time is told the same time again, so that
// it neither gets an earlier place nor uses up those of others. The time is at most the part of the caller's remaining
// time that callers honor, but at least that of other rejections. Callers for which no place is expected until then are spread
// evenly over the time before. The draw is a uniform random number from [0, 1).
func (s *Returns) Refuse(now time.Time, r Refusal, draw float64) Return {
	earliest := now.Add(max(minRetryAfter, r.RetryAfter))
	latest := r.latest(now)
	g := s.group(now, r.Group)
	interval := maxPlaceInterval
	if r.PlacesPerSecond > 0 {
		interval = time.Duration(min(float64(maxPlaceInterval), float64(time.Second)/r.PlacesPerSecond))
	}
	g.forget(now.Add(-interval))
	if e := g.repeated(now, r); e != nil {
		return e.toldAgain(now, latest)
	}
	g.forgetAt = later(g.forgetAt, latest.Add(interval))
	told := returning{toldAt: now, deadline: r.Deadline, priority: r.Priority, fingerprint: r.Fingerprint}
	told.at = g.nextPlace(earliest, interval, r.Priority, draw)
	switch {
	case r.PlacesPerSecond <= 0:
		until := earlier(latest, now.Add(unknownRateSpread*earliest.Sub(now)))
		told.at, told.noPlace = g.spreadTime(now, earliest, until, draw), true
	case told.at.After(latest):
		told.at, told.noPlace = g.spreadTime(now, earliest, latest, draw), true
	}
	if len(g.returning) < maxReturning && s.remembered(now) < maxAllReturning {
		g.add(told)
	}
	if told.noPlace {
		return Return{RetryAfter: told.at.Sub(now), NoPlace: r.PlacesPerSecond > 0 || earliest.After(latest)}
	}
	jitter := time.Duration(draw * float64(interval) / jitterPart)
	return Return{RetryAfter: earlier(told.at.Add(jitter), latest).Sub(now)}
}

// Early reports whether a request repeats one before the time that its caller was told, although callers of no lesser priority
// return before that time. Such a request must be refused with the result: if it took what room there is, those who repeat at
// once would be served instead of those who wait. The refusal needs neither RetryAfter nor the rate.
func (s *Returns) Early(now time.Time, r Refusal) (Return, bool) {
	g := s.groups[r.Group]
	if g == nil {
		return Return{}, false
	}
	e := g.repeated(now, r)
	if e == nil || !slices.ContainsFunc(g.returning, func(o returning) bool {
		return o.priority <= e.priority && !o.at.Before(now) && o.at.Before(e.at)
	}) {
		return Return{}, false
	}
	return e.toldAgain(now, r.latest(now)), true
}

// latest returns the latest time that the caller honors, but at least the minimum of rejections.
func (r Refusal) latest(now time.Time) time.Time {
	return now.Add(max(minRetryAfter, r.Deadline.Sub(now)/honoredPart))
}

func (e *returning) toldAgain(now, latest time.Time) Return {
	return Return{RetryAfter: min(max(minRetryAfter, e.at.Sub(now)), latest.Sub(now)), NoPlace: e.noPlace}
}

// remembered returns the number of callers whose times are remembered, without those whose time is past.
func (s *Returns) remembered(now time.Time) int {
	count := 0
	for _, g := range s.groups {
		g.forget(now.Add(-maxPlaceInterval))
		count += len(g.returning)
	}
	return count
}

// Preview returns what Refuse would, and changes nothing.
func (s *Returns) Preview(now time.Time, r Refusal, draw float64) Return {
	view := NewReturns()
	if g := s.groups[r.Group]; g != nil {
		view.groups[r.Group] = &returnGroup{returning: slices.Clone(g.returning), spread: g.spread, forgetAt: g.forgetAt}
	}
	return view.Refuse(now, r, draw)
}

// group returns the schedule of a group, and forgets groups with nothing to remember when there are many.
func (s *Returns) group(now time.Time, key ReturnGroup) *returnGroup {
	g := s.groups[key]
	if g != nil {
		return g
	}
	if len(s.groups) >= maxReturnGroups {
		for other, old := range s.groups {
			if old.forgetAt.Before(now) {
				delete(s.groups, other)
			}
		}
	}
	g = &returnGroup{}
	if len(s.groups) < maxReturnGroups {
		s.groups[key] = g
	}
	return g
}

// forget removes the callers whose places were before a time.
func (g *returnGroup) forget(before time.Time) {
	i, _ := slices.BinarySearchFunc(g.returning, before, func(e returning, t time.Time) int { return e.at.Compare(t) })
	g.returning = slices.Delete(g.returning, 0, i)
}

func (g *returnGroup) add(e returning) {
	i, _ := slices.BinarySearchFunc(g.returning, e.at, func(o returning, t time.Time) int { return o.at.Compare(t) })
	g.returning = slices.Insert(g.returning, i, e)
}

// repeated returns the caller that repeats its request before its time, or nil. The request has the same content and deadline.
func (g *returnGroup) repeated(now time.Time, r Refusal) *returning {
	i := slices.IndexFunc(g.returning, func(e returning) bool {
		return r.Fingerprint != 0 && e.fingerprint == r.Fingerprint && now.Before(e.at) && now.Sub(e.toldAt) >= minRepeatTime &&
			e.deadline.Sub(r.Deadline).Abs() <= sameDeadline
	})
	if i < 0 {
		return nil
	}
	return &g.returning[i]
}

// nextPlace returns the time of the first free place for a priority. Places come at an interval, and a caller takes the first
// one after its time that is free. Less urgent callers take none, since their return is later than that of more urgent ones
// that are refused after them. The first place of a VM is at a random time within the interval, as the VMs would otherwise give
// theirs at the same time.
func (g *returnGroup) nextPlace(earliest time.Time, interval time.Duration, priority int, draw float64) time.Time {
	var freeAt time.Time
	for _, e := range g.returning {
		if e.noPlace || e.priority > priority {
			continue
		}
		if !e.at.Before(later(freeAt, earliest).Add(interval)) {
			break
		}
		freeAt = later(freeAt, e.at).Add(interval)
	}
	if freeAt.IsZero() {
		return earliest.Add(time.Duration(draw * float64(interval)))
	}
	return later(freeAt, earliest)
}

// spreadTime returns the time of a caller without a place. The times of consecutive callers are evenly spread between that of the
// first place, or half of the time for which the caller waits if that is earlier, and the end of that time.
func (g *returnGroup) spreadTime(now, earliest, latest time.Time, draw float64) time.Time {
	from := earlier(earliest, now.Add(max(minRetryAfter, latest.Sub(now)/2)))
	if g.spread == 0 {
		g.spread = int(draw * maxReturning)
	}
	g.spread++
	_, part := math.Modf(float64(g.spread) * goldenRatio)
	return from.Add(time.Duration(part * float64(latest.Sub(from))))
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
