package gathering

import (
	"reflect"
	"time"

	"github.com/zinniaroute/zinniaroute/state/allocation"
	"github.com/zinniaroute/zinniaroute/state/dispatch"
	"github.com/zinniaroute/zinniaroute/state/fleet"
)

// life is the age at which a VM's last report expires. VMs report several times a second, so it spans several reports.
const life = 2 * time.Second

// Word is one VM's report, with times in the clock of the aggregating VM.
type Word struct {
	// Shares are the load of the VM's requests on each endpoint, by runner.
	Shares map[string]dispatch.Share
	// Demand is the VM's demand for models, by service.
	Demand map[string]allocation.Demand
	// Uses is when the VM last requested a unit on a runner.
	Uses map[Place]time.Time
	// Owned are the runners that the VM owns.
	Owned map[string]Owned
}

// Place is a unit on a runner.
type Place struct {
	Runner string
	Unit   fleet.Unit
}

// Owned is the state of a runner as its owner reports it.
type Owned struct {
	Incarnation int64
	Holdings    fleet.Holdings
	AsOf        time.Time
	Moving      bool
	// Target is the model that the runner is about to load.
	Target string
}

type entry struct {
	word Word
	at   time.Time
}

// Table holds the latest report of each VM.
type Table struct {
	words map[string]entry
	// changes counts the changes of owned runners, and changed is the count at the last change of each runner.
	changes uint64
	changed map[string]uint64
	latest  map[string]Owned
	// sums are the sums of all VMs' shares, computed at summed.
	sums   map[string]dispatch.Share
	summed time.Time
}

// NewTable returns a table without reports.
func NewTable() *Table {
	return &Table{
		words: make(map[string]entry), changed: make(map[string]uint64), latest: make(map[string]Owned),
	}
}

// Put replaces a VM's report. For a runner that several VMs report, it keeps the state with the latest AsOf.
func (t *Table) Put(now time.Time, vm string, word Word) {
	t.words[vm] = entry{word: word, at: now}
	for runner, owned := range word.Owned {
		before, known := t.latest[runner]
		if known && before.AsOf.After(owned.AsOf) {
			continue
		}
		t.latest[runner] = owned
		if !known || !before.same(owned) {
			t.changes++
			t.changed[runner] = t.changes
		}
	}
}

func (o Owned) same(other Owned) bool {
	return o.Incarnation == other.Incarnation && o.Moving == other.Moving && reflect.DeepEqual(o.Holdings, other.Holdings)
}

// OwnedSince returns the runners that changed after the count of changes heard, and the present count. It also removes
// runners that no VM reports any more.
func (t *Table) OwnedSince(now time.Time, heard uint64) (map[string]Owned, uint64) {
	news := make(map[string]Owned)
	owned := t.Owned(now)
	for runner, change := range t.changed {
		word, ok := owned[runner]
		if !ok {
			delete(t.changed, runner)
			delete(t.latest, runner)
			continue
		}
		if change > heard {
			news[runner] = word
		}
	}
	return news, t.changes
}

func (t *Table) live(now time.Time, use func(vm string, word *Word)) {
	for vm, e := range t.words {
		if now.Sub(e.at) > life {
			delete(t.words, vm)
			continue
		}
		use(vm, &e.word)
	}
}

// sumTime is how long the sums of shares are reused before they are computed again.
const sumTime = 100 * time.Millisecond

// Shares returns, by runner, the sums of the shares of all VMs but one.
func (t *Table) Shares(now time.Time, except string) map[string]dispatch.Share {
	if t.sums == nil || now.Sub(t.summed) >= sumTime {
		t.sums, t.summed = make(map[string]dispatch.Share), now
		t.live(now, func(_ string, word *Word) {
			for runner, share := range word.Shares {
				sum := t.sums[runner]
				sum.Add(share)
				t.sums[runner] = sum
			}
		})
	}
	others := make(map[string]dispatch.Share, len(t.sums))
	own := t.words[except].word.Shares
	for runner, sum := range t.sums {
		sum.Subtract(own[runner])
		if sum != (dispatch.Share{}) {
			others[runner] = sum
		}
	}
	return others
}

// Demand returns the sum of all VMs' demand for each model of a service.
func (t *Table) Demand(now time.Time, service string) allocation.Demand {
	sum := make(allocation.Demand)
	t.live(now, func(_ string, word *Word) {
		for model, rate := range word.Demand[service] {
			sum[model] += rate
		}
	})
	return sum
}

// Owned returns the reported state of each runner. Where VMs report the same runner, the latest AsOf wins.
func (t *Table) Owned(now time.Time) map[string]Owned {
	all := make(map[string]Owned)
	t.live(now, func(_ string, word *Word) {
		for runner, owned := range word.Owned {
			if known, ok := all[runner]; !ok || owned.AsOf.After(known.AsOf) {
				all[runner] = owned
			}
		}
	})
	return all
}

// Uses returns when any VM but one last requested each unit, for the runners that owned selects.
func (t *Table) Uses(now time.Time, except string, owned func(runner string) bool) map[Place]time.Time {
	latest := make(map[Place]time.Time)
	t.live(now, func(vm string, word *Word) {
		if vm == except {
			return
		}
		for place, at := range word.Uses {
			if owned(place.Runner) && at.After(latest[place]) {
				latest[place] = at
			}
		}
	})
	return latest
}
