package fleet

import (
	"slices"
	"strings"
	"time"
)

// Directory is the list of runners as the platform's store last told it.
type Directory struct {
	runners map[string]*Runner
	// missing are runners whose entries were gone at a listing right after an outage, with the time of that listing.
	missing map[string]time.Time
}

// NewDirectory returns an empty directory.
func NewDirectory() *Directory {
	return &Directory{runners: make(map[string]*Runner), missing: make(map[string]time.Time)}
}

// Change tells what an entry changed.
type Change string

// The changes that an entry brings.
const (
	Same     Change = ""
	Appeared Change = "appeared"
	Restart  Change = "restarted"
	Leaves   Change = "leaving"
	Gone     Change = "gone"
)

// entryLag is how old an entry's word on holdings may be when it arrives: the platform's lag and one heartbeat.
const entryLag = 1500 * time.Millisecond

// Put takes in an entry that arrived now and tells what it changed.
func (d *Directory) Put(now time.Time, runner Runner) Change {
	delete(d.missing, runner.ID)
	runner.Seen, runner.AsOf = now, now.Add(-entryLag)
	old := d.runners[runner.ID]
	if old == nil {
		d.runners[runner.ID] = &runner
		return Appeared
	}
	if old.Revision > runner.Revision || old.Incarnation > runner.Incarnation {
		return Same
	}
	change := Same
	switch {
	case old.Incarnation != runner.Incarnation:
		change = Restart
	case runner.Leaving && !old.Leaving:
		change = Leaves
	}
	if change != Restart && old.AsOf.After(runner.AsOf) {
		runner.Holdings, runner.AsOf = old.Holdings, old.AsOf
	}
	d.runners[runner.ID] = &runner
	return change
}

// Remove drops a runner whose entry was deleted.
func (d *Directory) Remove(id string) Change {
	delete(d.missing, id)
	if d.runners[id] == nil {
		return Same
	}
	delete(d.runners, id)
	return Gone
}

// Listed takes in the identifiers of a complete listing and returns the runners that are gone by it; those that an
// outage may have expired are kept for a grace time.
func (d *Directory) Listed(now time.Time, present map[string]bool, grace time.Duration) []string {
	var gone []string
	for _, id := range d.ids() {
		if present[id] {
			delete(d.missing, id)
			continue
		}
		if grace > 0 {
			if _, noted := d.missing[id]; !noted {
				d.missing[id] = now.Add(grace)
			}
			continue
		}
		d.Remove(id)
		gone = append(gone, id)
	}
	return gone
}

// Expire drops the runners whose grace time has passed and returns their identifiers.
func (d *Directory) Expire(now time.Time) []string {
	var gone []string
	for id, until := range d.missing {
		if now.Before(until) {
			continue
		}
		d.Remove(id)
		gone = append(gone, id)
	}
	slices.Sort(gone)
	return gone
}

// Learn takes in what a runner's orderer knows it to have held at a time, and reports whether that was news.
func (d *Directory) Learn(id string, incarnation int64, holdings Holdings, asOf time.Time) bool {
	runner := d.runners[id]
	if runner == nil || runner.Incarnation != incarnation || !asOf.After(runner.AsOf) {
		return false
	}
	runner.Holdings, runner.AsOf = holdings, asOf
	return true
}

// Disown notes that a runner was found not to hold a unit.
func (d *Directory) Disown(now time.Time, id string, unit Unit) {
	runner := d.runners[id]
	if runner == nil || unit.Model == "" {
		return
	}
	runner.Holdings, runner.AsOf = runner.Holdings.Without(unit), now
}

// Get returns the runner of an identifier, or nil.
func (d *Directory) Get(id string) *Runner { return d.runners[id] }

// OfService returns the runners of a service sorted by identifier.
func (d *Directory) OfService(service string) []*Runner {
	var runners []*Runner
	for _, runner := range d.runners {
		if runner.Service == service {
			runners = append(runners, runner)
		}
	}
	slices.SortFunc(runners, func(a, b *Runner) int { return strings.Compare(a.ID, b.ID) })
	return runners
}

// All returns every runner sorted by identifier.
func (d *Directory) All() []*Runner {
	runners := make([]*Runner, 0, len(d.runners))
	for _, id := range d.ids() {
		runners = append(runners, d.runners[id])
	}
	return runners
}

func (d *Directory) ids() []string {
	ids := make([]string, 0, len(d.runners))
	for id := range d.runners {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}
