package gathering

import (
	"time"

	"github.com/zinniaroute/zinniaroute/state/allocation"
	"github.com/zinniaroute/zinniaroute/state/dispatch"
	"github.com/zinniaroute/zinniaroute/state/fleet"
)

// life is the time after which a VM's word no longer counts; VMs report several times a second.
const life = 2 * time.Second

// Word is what a VM told, with times in the clock of the gathering VM.
type Word struct {
	Shares map[string]dispatch.Share
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
}

type entry struct {
	word Word
	at   time.Time
}

// Table keeps the latest word of each VM.
type Table struct {
	words map[string]entry
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{words: make(map[string]entry)} }

// Put takes in a VM's word.
func (t *Table) Put(now time.Time, vm string, word Word) { t.words[vm] = entry{word: word, at: now} }

func (t *Table) live(now time.Time, use func(vm string, word *Word)) {
	for vm, e := range t.words {
		if now.Sub(e.at) > life {
			delete(t.words, vm)
			continue
		}
		use(vm, &e.word)
	}
}

// Members returns the number of VMs whose word counts.
func (t *Table) Members(now time.Time) int {
	t.live(now, func(string, *Word) {})
	return len(t.words)
}

// Shares returns the sums of what all VMs but one have sent to each endpoint.
func (t *Table) Shares(now time.Time, except string) map[string]dispatch.Share {
	sums := make(map[string]dispatch.Share)
	t.live(now, func(vm string, word *Word) {
		if vm == except {
			return
		}
		for runner, share := range word.Shares {
			sum := sums[runner]
			sum.Add(share)
			sums[runner] = sum
		}
	})
	return sums
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
