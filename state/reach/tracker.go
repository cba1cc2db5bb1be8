package reach

import (
	"math/rand/v2"
	"time"
)

const (
	// doubtInterval is the shortest time between two checks while the path exists. Each one asks some endpoints, which costs
	// them little.
	doubtInterval = 500 * time.Millisecond
	// lostInterval is the time between two checks while the path is lost.
	lostInterval = 250 * time.Millisecond
	// maxChecked is the number of endpoints that one check asks. One that answers shows that the path exists, and a few that
	// have crashed at once must not seem to be a lost path.
	maxChecked = 3
)

// Tracker decides whether this VM has lost its path to the endpoints. A failure at an endpoint raises a doubt, which a check
// of some endpoints settles: the path is lost if none answers. It is not safe for concurrent use.
type Tracker struct {
	lost bool
	// lostSince is when the check began that found the path lost.
	lostSince time.Time
	// doubted reports a failure since the latest check began.
	doubted   bool
	checking  bool
	checkedAt time.Time
}

// RecordFailure records that a connection to an endpoint failed, or that no answer has begun for some time.
func (t *Tracker) RecordFailure() { t.doubted = true }

// Lost reports whether the path to the endpoints is lost.
func (t *Tracker) Lost() bool { return t.lost }

// LostSince returns since when the path is lost, or zero if it exists.
func (t *Tracker) LostSince() time.Time { return t.lostSince }

// Checking reports whether a check is under way.
func (t *Tracker) Checking() bool { return t.checking }

// CheckDue reports whether a check must begin now.
func (t *Tracker) CheckDue(now time.Time) bool {
	switch age := now.Sub(t.checkedAt); {
	case t.checking:
		return false
	case t.lost:
		return age >= lostInterval
	default:
		return t.doubted && age >= doubtInterval
	}
}

// BeginCheck records that a check begins.
func (t *Tracker) BeginCheck(now time.Time) { t.checking, t.checkedAt, t.doubted = true, now, false }

// EndCheck records the result of a check, and reports whether the path is now lost or back. A check that asked no endpoint
// changes nothing.
func (t *Tracker) EndCheck(asked, answered int) bool {
	t.checking = false
	before := t.lost
	if asked > 0 {
		t.lost = answered == 0
	}
	switch {
	case !t.lost:
		t.lostSince = time.Time{}
	case !before:
		t.lostSince = t.checkedAt
	}
	return t.lost != before
}

// Endpoint is an endpoint that a check may ask.
type Endpoint struct{ ID, Domain string }

// Sample returns the identifiers of the endpoints that a check asks: some at random, one of each failure domain first.
func Sample(endpoints []Endpoint, random *rand.Rand) []string {
	var first, rest []string
	seen := make(map[string]bool)
	for _, i := range random.Perm(len(endpoints)) {
		if e := endpoints[i]; seen[e.Domain] {
			rest = append(rest, e.ID)
		} else {
			first, seen[e.Domain] = append(first, e.ID), true
		}
	}
	all := append(first, rest...)
	return all[:min(maxChecked, len(all))]
}
