package gathering

import (
	"reflect"
	"time"

	"github.com/zinniaroute/zinniaroute/state/allocation"
	"github.com/zinniaroute/zinniaroute/state/dispatch"
	"github.com/zinniaroute/zinniaroute/state/fleet"
)

// life is the time after which a VM's word no longer counts; VMs report several times a second.
const life = 2 * time.Second

// Word is what a VM told, with times in the clock of the gathering VM.
type Word struct {
	Shares map[string]dispatch.EndpointLoad
	Demand map[string]allocation.Demand
	// Uses is when the VM last asked for an adapter on a runner.
	Uses  map[Place]time.Time
	Owned map[string]Owned
}

// Place is an adapter or a model on a runner.
type Place struct {
	Runner string
	Unit   fleet.Unit
}

// Owned is what the owner of a runner knows of it.
type Owned struct {
	Incarnation int64
	Holdings    fleet.Holdings
	AsOf        time.Time
	Moving      bool
	// Target is the model that the runner is about to hold.
	Target string
}

type entry struct {
	word Word
	at   time.Time
}

// Table keeps the latest word of each VM.
type Table struct {
	words map[string]entry
	// changes is the number of changes of runners so far, and changed the last one of each runner.
	changes uint64
	changed map[string]uint64
	latest  map[string]Owned
	// sums are the shares of all VMs as of summed.
	sums   map[string]dispatch.EndpointLoad
	summed time.Time
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{
		words: make(map[string]entry), changed: make(map[string]uint64), latest: make(map[string]Owned),
	}
}

// Put takes in a VM's word.
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

// OwnedSince returns the runners that have changed after a number of changes, and the number of changes so far.
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

// sumTime is the time for which the sums of shares are used again.
const sumTime = 100 * time.Millisecond

// Shares returns the sums of what all VMs but one have sent to each endpoint.
func (t *Table) Shares(now time.Time, except string) map[string]dispatch.EndpointLoad {
	if t.sums == nil || now.Sub(t.summed) >= sumTime {
		t.sums, t.summed = make(map[string]dispatch.EndpointLoad), now
		t.live(now, func(_ string, word *Word) {
			for runner, share := range word.Shares {
				sum := t.sums[runner]
				sum.Add(share)
				t.sums[runner] = sum
			}
		})
	}
	others := make(map[string]dispatch.EndpointLoad, len(t.sums))
	own := t.words[except].word.Shares
	for runner, sum := range t.sums {
		sum.Subtract(own[runner])
		if sum != (dispatch.EndpointLoad{}) {
			others[runner] = sum
		}
	}
	return others
}

// Demand returns the sum of all VMs' demand for the models of a service.
func (t *Table) Demand(now time.Time, service string) allocation.Demand {
	sum := make(allocation.Demand)
	t.live(now, func(_ string, word *Word) {
		for model, rate := range word.Demand[service] {
			sum[model] += rate
		}
	})
	return sum
}

// Owned returns what the owners know of each runner, the latest word where VMs differ.
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

// Uses returns when adapters were last asked for on runners, by any VM but one.
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
