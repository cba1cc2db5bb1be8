package fleet

import (
	"slices"
	"strings"
	"time"
)

// departureTTL is how long a departure is kept after its runner was last listed. It exceeds outages of the store, after
// which the entry of a runner that leaves may return.
const departureTTL = 10 * time.Minute

// Departure says that a runner leaves in one incarnation.
type Departure struct {
	Runner      string
	Incarnation int64
}

type departure struct {
	incarnation int64
	// lastListedAt is when the departure was recorded or its runner was last listed.
	lastListedAt time.Time
}

// Departures holds the latest incarnation in which each runner leaves. An incarnation that leaves never comes back.
type Departures struct{ latest map[string]departure }

// NewDepartures returns departures of no runner.
func NewDepartures() *Departures { return &Departures{latest: make(map[string]departure)} }

// Record records a departure. The order in which departures are recorded, and how often, makes no difference.
func (d *Departures) Record(now time.Time, left Departure) {
	known, ok := d.latest[left.Runner]
	if !ok || known.incarnation < left.Incarnation {
		d.latest[left.Runner] = departure{left.Incarnation, now}
	}
}

// Includes reports whether a runner leaves in an incarnation, or has left in a later one.
func (d *Departures) Includes(runner string, incarnation int64) bool {
	known, ok := d.latest[runner]
	return ok && known.incarnation >= incarnation
}

// All returns the departures in order of the runners.
func (d *Departures) All() []Departure {
	all := make([]Departure, 0, len(d.latest))
	for runner, known := range d.latest {
		all = append(all, Departure{runner, known.incarnation})
	}
	slices.SortFunc(all, func(a, b Departure) int { return strings.Compare(a.Runner, b.Runner) })
	return all
}

// Forget removes the departures of runners that have not been listed for departureTTL.
func (d *Departures) Forget(now time.Time, listed func(runner string) bool) {
	for runner, known := range d.latest {
		switch {
		case listed(runner):
			known.lastListedAt = now
			d.latest[runner] = known
		case now.Sub(known.lastListedAt) >= departureTTL:
			delete(d.latest, runner)
		}
	}
}
