package placement

import (
	"cmp"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/zinniaroute/zinniaroute/state/catalog"
	"github.com/zinniaroute/zinniaroute/state/ledger"
)

const (
	// leastGain is the smallest gain of a move, as a share of an accelerator's slots. It prevents moves for negligible
	// demand when the move price is zero.
	leastGain = 0.02
	// retireGrace is the time for which a unit removed from the catalog stays loaded to finish its last requests.
	retireGrace = 10 * time.Second
	// retireLimit bounds the time for which a removed unit stays loaded while its replacement is not ready.
	retireLimit = 2 * time.Minute
)

// RunnerView describes a runner of the failure domain and the items on it.
type RunnerView struct {
	Name         string
	Accelerators int
	MemoryMiB    int
	Items        []ledger.Item
	// Usable reports whether the runner may receive new items.
	Usable bool
}

// Load is the demand for a unit or adapter, as a mean number of requests in flight.
type Load struct {
	Name string
	Busy float64
	// Steady is the part of Busy that outlasts bursts. It is zero if unknown.
	Steady float64
}

// Copies is the number of ready replicas of a unit outside the failure domain.
type Copies struct {
	Name  string
	Count int
}

// Input holds the catalog, the observed state and the budgets that a plan depends on.
type Input struct {
	Index      *catalog.Index
	Assignment *Assignment
	Domain     string
	Runners    []RunnerView
	Loads      []Load
	Elsewhere  []Copies
	// LoadBudget is the number of loads of base weights that may start now.
	LoadBudget int
	// AdapterBudget is the number of adapter loads that may start now.
	AdapterBudget int
}

// Shortage reports a unit for which no runner has room.
type Shortage struct {
	Unit   string `json:"unit"`
	Reason string `json:"reason"`
	// Waiting reports whether a runner that is not usable yet may have room.
	Waiting bool `json:"waiting,omitempty"`
}

// Move is a load that the plan starts, with its reason.
type Move struct {
	Runner string `json:"runner"`
	Item   string `json:"item"`
	Reason string `json:"reason"`
}

// RunnerPlan lists the items that one runner should hold.
type RunnerPlan struct {
	Runner string        `json:"runner"`
	Wants  []ledger.Want `json:"wants"`
}

// Plan lists the items that the runners of a failure domain should hold, the loads that it starts or defers, and the
// units for which it finds no room.
type Plan struct {
	Runners   []RunnerPlan `json:"runners"`
	Moves     []Move       `json:"moves,omitempty"`
	Deferred  []Move       `json:"deferred,omitempty"`
	Shortages []Shortage   `json:"shortages,omitempty"`
}

// Planner makes the plans of one failure domain. It keeps the times at which units left the catalog.
type Planner struct {
	retired map[string]time.Time
}

// NewPlanner returns a planner that keeps no removed units.
func NewPlanner() *Planner { return &Planner{retired: make(map[string]time.Time)} }

// Plan returns the items that the runners should hold. It keeps current replicas, and then adds mandatory replicas,
// pinned replicas and minimums, replicas for demand, and adapters.
func (p *Planner) Plan(now time.Time, in Input) Plan {
	d := newDraft(now, in)
	p.keepCurrent(now, d)
	d.balance()
	d.placeMustHolds()
	d.placePinsAndMinimums()
	d.placeReplicas()
	d.placeAdapters()
	return d.finish()
}

// keepCurrent adds the replicas that runners hold to the draft. Units that are no longer in the catalog stay for a
// limited time.
func (p *Planner) keepCurrent(now time.Time, d *draft) {
	for _, r := range d.runners {
		for _, item := range r.view.Items {
			if item.Kind == ledger.ItemAdapter || item.State == ledger.Unloading || item.State == ledger.Lingering {
				continue
			}
			unit, listed := d.units[item.Name]
			if listed && d.in.Index.Allows(item.Name, d.in.Index.Runner(r.view.Name)) {
				delete(p.retired, item.Name)
				d.keep(r, unit, item)
				continue
			}
			if _, known := p.retired[item.Name]; !known {
				p.retired[item.Name] = now
			}
			if p.stays(now, d, item.Name) {
				d.keep(r, retiredUnit(item), item)
			}
		}
	}
}

// stays reports whether a unit removed from the catalog stays loaded, either for its last requests or because the new
// version of its model is not ready on any runner.
func (p *Planner) stays(now time.Time, d *draft, unit string) bool {
	age := now.Sub(p.retired[unit])
	return age < retireGrace || age < retireLimit && d.standsIn(unit)
}

func (d *draft) standsIn(unit string) bool {
	current, listed := d.in.Index.Unit(unit)
	return listed && d.others[current.Name] == 0 && !d.servedHere(current.Name)
}

func (d *draft) servedHere(unit string) bool {
	for _, r := range d.runners {
		for _, item := range r.view.Items {
			if item.Name == unit && item.State == ledger.Resident && item.Serving {
				return true
			}
		}
	}
	return false
}

func retiredUnit(item ledger.Item) catalog.Unit {
	return catalog.Unit{
		Name:         item.Name,
		Weights:      item.Weights,
		MemoryMiB:    item.MemoryMiB,
		Accelerators: len(item.Accelerators),
	}
}

// draft is an unfinished plan.
type draft struct {
	now     time.Time
	in      Input
	units   map[string]catalog.Unit
	busy    map[string]float64
	others  map[string]int
	runners []*runnerDraft
	// holders are the replicas of each unit that the draft keeps or adds.
	holders map[string][]*baseDraft
	plan    Plan
}

// runnerDraft is the unfinished plan of one runner, with the free MiB and the demand on each accelerator.
type runnerDraft struct {
	view     RunnerView
	free     []int
	load     []float64
	bases    []*baseDraft
	adapters []ledger.Want
}

// baseDraft is a replica of a unit that a runner holds or will load.
type baseDraft struct {
	runner       *runnerDraft
	unit         catalog.Unit
	accelerators []int
	since        time.Time
	serving      bool
	fresh        bool
	deferred     bool
	// share is the part of the unit's demand that the replica serves, in requests in flight.
	share float64
}

func newDraft(now time.Time, in Input) *draft {
	d := &draft{
		now:     now,
		in:      in,
		units:   make(map[string]catalog.Unit),
		busy:    make(map[string]float64, len(in.Loads)),
		others:  make(map[string]int, len(in.Elsewhere)),
		holders: make(map[string][]*baseDraft),
	}
	for _, unit := range in.Index.Units() {
		d.units[unit.Name] = unit
	}
	for _, load := range in.Loads {
		d.busy[load.Name] += load.Busy
	}
	for _, copies := range in.Elsewhere {
		d.others[copies.Name] = copies.Count
	}
	for _, view := range in.Runners {
		d.runners = append(d.runners, newRunnerDraft(view))
	}
	slices.SortFunc(d.runners, func(a, b *runnerDraft) int { return strings.Compare(a.view.Name, b.view.Name) })
	return d
}

func newRunnerDraft(view RunnerView) *runnerDraft {
	r := &runnerDraft{
		view: view,
		free: slices.Repeat([]int{view.MemoryMiB}, view.Accelerators),
		load: make([]float64, view.Accelerators),
	}
	for _, item := range view.Items {
		for _, accelerator := range item.Accelerators {
			r.free[accelerator] -= item.MemoryMiB
		}
	}
	return r
}

func (d *draft) keep(r *runnerDraft, unit catalog.Unit, item ledger.Item) {
	d.hold(&baseDraft{
		runner:       r,
		unit:         unit,
		accelerators: item.Accelerators,
		since:        item.Since,
		serving:      item.State == ledger.Resident && item.Serving,
	})
}

// hold adds a replica to the draft.
func (d *draft) hold(c *baseDraft) {
	c.runner.bases = append(c.runner.bases, c)
	d.holders[c.unit.Name] = append(d.holders[c.unit.Name], c)
}

// drop removes a replica from the draft.
func (d *draft) drop(c *baseDraft) {
	same := func(other *baseDraft) bool { return other == c }
	c.runner.bases = slices.DeleteFunc(c.runner.bases, same)
	d.holders[c.unit.Name] = slices.DeleteFunc(slices.Clone(d.holders[c.unit.Name]), same)
}

func (r *runnerDraft) base(unit string) *baseDraft {
	for _, base := range r.bases {
		if base.unit.Name == unit {
			return base
		}
	}
	return nil
}

func (d *draft) sortedUnits() []catalog.Unit {
	units := make([]catalog.Unit, 0, len(d.units))
	for _, unit := range d.units {
		units = append(units, unit)
	}
	slices.SortFunc(units, func(a, b catalog.Unit) int {
		if order := cmp.Compare(b.FootprintMiB()*b.Accelerators, a.FootprintMiB()*a.Accelerators); order != 0 {
			return order
		}
		return strings.Compare(a.Name, b.Name)
	})
	return units
}

func (d *draft) copies(unit string) int { return len(d.holders[unit]) }

func (d *draft) placeMustHolds() {
	for _, unit := range d.sortedUnits() {
		if !d.in.Assignment.Holds(d.in.Domain, unit.Name) || d.copies(unit.Name) > 0 {
			continue
		}
		if !d.place(unit, math.Inf(1), "must be held in this failure domain") {
			d.short(unit.Name, "no runner of the failure domain has room")
		}
	}
}

func (d *draft) short(unit, reason string) {
	waiting := slices.ContainsFunc(d.runners, func(r *runnerDraft) bool { return !r.view.Usable })
	d.plan.Shortages = append(d.plan.Shortages, Shortage{Unit: unit, Reason: reason, Waiting: waiting})
}

func (d *draft) placePinsAndMinimums() {
	for i := range d.in.Index.Set.Placements {
		placement := &d.in.Index.Set.Placements[i]
		unit, ok := d.in.Index.Unit(placement.Target)
		if !ok {
			continue
		}
		for _, r := range d.runners {
			if slices.Contains(placement.Pins, r.view.Name) && r.base(unit.Name) == nil {
				d.placeOn(r, unit, "pinned to this runner")
			}
		}
		if !d.in.Assignment.Holds(d.in.Domain, unit.Name) {
			continue
		}
		for d.copies(unit.Name)+d.others[unit.Name] < placement.MinReplicas {
			if !d.place(unit, math.Inf(1), "fewer replicas than its placement asks for") {
				d.short(unit.Name, "no room for its minimum of replicas")
				break
			}
		}
	}
}

// placeReplicas adds replicas for steady demand before replicas for bursts. Loads are scarce, and a replica for steady
// demand is useful for longer.
func (d *draft) placeReplicas() {
	busy := d.busy
	d.busy = make(map[string]float64, len(busy))
	for _, load := range d.in.Loads {
		d.busy[load.Name] += load.Steady
	}
	d.placeForDemand()
	d.busy = busy
	d.placeForDemand()
}

// placeForDemand adds replicas for unmet demand, largest first, as long as each gain exceeds the price of a move.
func (d *draft) placeForDemand() {
	d.balance()
	exhausted := make(map[string]bool)
	for {
		unit, unmet := d.mostUnmet(exhausted)
		if unit == "" || unmet <= d.price() {
			return
		}
		if !d.place(d.units[unit], unmet, "demand") {
			exhausted[unit] = true
			continue
		}
		d.balance()
	}
}

// price returns the smallest gain that justifies a move, in requests in flight.
func (d *draft) price() float64 {
	return max(leastGain, d.in.Index.Deployment.MovePrice) * slotsPerAccelerator
}

// mostUnmet returns the unit with the most unmet demand among the units that may get another replica in this failure
// domain.
func (d *draft) mostUnmet(exhausted map[string]bool) (name string, most float64) {
	for unit := range d.busy {
		if _, listed := d.units[unit]; !listed || exhausted[unit] || !d.mayGrow(unit) {
			continue
		}
		if len(d.holders[unit]) == 0 && d.others[unit] > 0 {
			continue
		}
		unmet := d.unmet(unit)
		if unmet > most || unmet == most && unmet > 0 && unit < name {
			name, most = unit, unmet
		}
	}
	return name, most
}

func (d *draft) mayGrow(unit string) bool {
	placement := d.in.Index.Placement(unit)
	if placement == nil || placement.MaxReplicas == 0 {
		return true
	}
	return d.copies(unit)+d.others[unit] < placement.MaxReplicas
}

func (d *draft) finish() Plan {
	for _, r := range d.runners {
		d.plan.Runners = append(d.plan.Runners, RunnerPlan{Runner: r.view.Name, Wants: r.wants()})
	}
	return d.plan
}

func (r *runnerDraft) wants() []ledger.Want {
	wants := make([]ledger.Want, 0, len(r.bases)+len(r.adapters))
	for _, base := range r.bases {
		if base.deferred {
			continue
		}
		wants = append(wants, ledger.Want{
			Name:         base.unit.Name,
			Kind:         ledger.ItemBase,
			Weights:      base.unit.Weights,
			MemoryMiB:    base.unit.FootprintMiB(),
			Accelerators: base.unit.Accelerators,
			At:           base.accelerators,
		})
	}
	return append(wants, r.adapters...)
}
