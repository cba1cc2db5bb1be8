package fleet

import (
	"slices"
	"strings"
	"time"
)

// Directory is the list of runners as of the last sync with the store, with the newest known holdings of each.
type Directory struct {
	runners map[string]*Runner
	// missingUntil holds the runners that a listing after an outage lacked, with the time until which they stay listed.
	missingUntil map[string]time.Time
	// departures holds the runners that leave, by their entries or by their answers to any VM.
	departures *Departures
	// doubts holds the runners that have told this VM that they leave.
	doubts map[string]doubt
}

// doubt says whether it is known which incarnation of a runner told this VM that it leaves: the runner may have started
// again since its entry was read.
type doubt struct {
	open bool
	// settledAt is the time of the call that settled the doubt. Requests sent before reached no later incarnation.
	settledAt time.Time
}

// NewDirectory returns an empty directory.
func NewDirectory() *Directory {
	return &Directory{
		runners: make(map[string]*Runner), missingUntil: make(map[string]time.Time), departures: NewDepartures(), doubts: make(map[string]doubt),
	}
}

// Change is the effect of an entry on the directory. Its values appear in logs.
type Change string

// The effects of an entry.
const (
	ChangeNone      Change = ""
	ChangeAdded     Change = "appeared"
	ChangeRestarted Change = "restarted"
	ChangeDraining  Change = "leaving"
	ChangeRemoved   Change = "gone"
)

// maxEntryAge bounds the age of an entry's holdings on arrival: the store's delay plus one heartbeat of the runner.
const maxEntryAge = 1500 * time.Millisecond

// Put applies an entry that arrived now and returns its effect. Entries with an earlier revision or incarnation have
// none. Holdings that are newer than the entry's stay.
func (d *Directory) Put(now time.Time, runner Runner) Change {
	delete(d.missingUntil, runner.ID)
	runner.LastSeen, runner.HoldingsAt = now, now.Add(-maxEntryAge)
	if runner.Draining {
		d.departures.Record(now, Departure{runner.ID, runner.Incarnation})
	}
	// A store that returned from an older copy may have lost that the runner drains, and some runners only say so in their
	// answers.
	runner.Draining = d.leaves(&runner)
	old := d.runners[runner.ID]
	if old == nil {
		d.runners[runner.ID] = &runner
		return ChangeAdded
	}
	if old.Revision > runner.Revision || old.Incarnation > runner.Incarnation {
		return ChangeNone
	}
	change := ChangeNone
	switch {
	case old.Incarnation != runner.Incarnation:
		change = ChangeRestarted
	case runner.Draining && !old.Draining:
		change = ChangeDraining
	}
	if change != ChangeRestarted && old.HoldingsAt.After(runner.HoldingsAt) {
		runner.Holdings, runner.HoldingsAt = old.Holdings, old.HoldingsAt
	}
	d.runners[runner.ID] = &runner
	return change
}

// leaves reports whether a runner is known or suspected to leave in the incarnation of its entry.
func (d *Directory) leaves(runner *Runner) bool {
	return d.departures.Includes(runner.ID, runner.Incarnation) || d.doubts[runner.ID].open
}

// RecordDeparture applies the departure of a runner that another VM or the runner's report tells. It returns ChangeDraining
// if that is new of a listed runner.
func (d *Directory) RecordDeparture(now time.Time, left Departure) Change {
	d.departures.Record(now, left)
	return d.updateDraining(left.Runner)
}

// RecordLeavingAnswer applies an answer to a request sent at a time to a runner, which says that it leaves. The incarnation is
// that of the runner's entry. Until SettleDeparture, later incarnations count as leaving too. It reports whether the runner's
// report should be read.
func (d *Directory) RecordLeavingAnswer(now time.Time, left Departure, sentAt time.Time) (Change, bool) {
	known := d.doubts[left.Runner]
	doubtful := !known.open && sentAt.After(known.settledAt)
	if doubtful {
		d.doubts[left.Runner] = doubt{open: true}
	}
	return d.RecordDeparture(now, left), doubtful
}

// Doubtful reports whether it is not known yet which incarnation of a runner told this VM that it leaves.
func (d *Directory) Doubtful(id string) bool { return d.doubts[id].open }

// SettleDeparture applies the report of a runner that has told this VM that it leaves, in answer to a call sent at a time.
func (d *Directory) SettleDeparture(now time.Time, report Departure, leaving bool, sentAt time.Time) {
	if leaving {
		d.departures.Record(now, report)
	}
	d.doubts[report.Runner] = doubt{settledAt: sentAt}
	d.updateDraining(report.Runner)
}

// updateDraining sets whether a listed runner drains, and returns ChangeDraining if it does and did not before.
func (d *Directory) updateDraining(id string) Change {
	runner := d.runners[id]
	if runner == nil || runner.Draining == d.leaves(runner) {
		return ChangeNone
	}
	// Requests hold the former value.
	updated := *runner
	updated.Draining = !runner.Draining
	d.runners[id] = &updated
	if !updated.Draining {
		return ChangeNone
	}
	return ChangeDraining
}

// Departures returns the departures that other VMs need to be told, in order of the runners.
func (d *Directory) Departures(now time.Time) []Departure {
	d.departures.Forget(now, func(runner string) bool { return d.runners[runner] != nil })
	for runner := range d.doubts {
		if !d.departures.Includes(runner, 0) {
			delete(d.doubts, runner)
		}
	}
	return d.departures.All()
}

// Remove removes a runner whose entry was deleted, and returns ChangeNone for an unknown runner.
func (d *Directory) Remove(id string) Change {
	delete(d.missingUntil, id)
	if d.runners[id] == nil {
		return ChangeNone
	}
	delete(d.runners, id)
	return ChangeRemoved
}

// SetMissing keeps a runner whose entry was removed until a time at the latest, since the entry may have expired during an
// outage of the store.
func (d *Directory) SetMissing(id string, until time.Time) {
	if _, missing := d.missingUntil[id]; !missing && d.runners[id] != nil {
		d.missingUntil[id] = until
	}
}

// ApplyListing applies the identifiers of a complete listing and returns the runners that it removed. A positive grace
// keeps missing runners for that time, since their entries may have expired during an outage of the store.
func (d *Directory) ApplyListing(now time.Time, present map[string]bool, grace time.Duration) []string {
	var removed []string
	for _, id := range d.ids() {
		if present[id] {
			delete(d.missingUntil, id)
			continue
		}
		if grace > 0 {
			d.SetMissing(id, now.Add(grace))
			continue
		}
		d.Remove(id)
		removed = append(removed, id)
	}
	return removed
}

// LimitAbsence lets no missing runner stay listed beyond a time.
func (d *Directory) LimitAbsence(until time.Time) {
	for id, previous := range d.missingUntil {
		if until.Before(previous) {
			d.missingUntil[id] = until
		}
	}
}

// Expire removes the missing runners whose grace time has passed and returns their identifiers in order.
func (d *Directory) Expire(now time.Time) []string {
	var removed []string
	for id, until := range d.missingUntil {
		if now.Before(until) {
			continue
		}
		d.Remove(id)
		removed = append(removed, id)
	}
	slices.Sort(removed)
	return removed
}

// MergeHoldings sets the holdings that a runner's owner reports as of a time, and reports whether they were newer than
// the known ones. It ignores holdings of another incarnation.
func (d *Directory) MergeHoldings(id string, incarnation int64, holdings Holdings, asOf time.Time) bool {
	runner := d.runners[id]
	if runner == nil || runner.Incarnation != incarnation || !asOf.After(runner.HoldingsAt) {
		return false
	}
	runner.Holdings, runner.HoldingsAt = holdings, asOf
	return true
}

// RemoveUnit removes a unit from a runner's holdings, after the runner rejected a request because it lacks the unit.
func (d *Directory) RemoveUnit(now time.Time, id string, unit Unit) {
	runner := d.runners[id]
	if runner == nil || unit.Model == "" {
		return
	}
	runner.Holdings, runner.HoldingsAt = runner.Holdings.Without(unit), now
}

// Get returns the runner with an identifier, or nil.
func (d *Directory) Get(id string) *Runner { return d.runners[id] }

// OfService returns the runners of a service in order of their identifiers.
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

// All returns every runner in order of the identifiers.
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
