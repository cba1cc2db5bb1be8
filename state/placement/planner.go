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
	// leastGain keeps copies from being added for next to nothing when moves are free.
	leastGain = 0.02
	// retireGrace is the time for which a unit that left the catalog is kept for its last requests.
	retireGrace = 10 * time.Second
	// retireLimit is the longest time for which it is kept while a unit of the catalog is not served yet.
	retireLimit = 2 * time.Minute
)

// RunnerView is what the planner knows of a runner of its failure domain.
type RunnerView struct {
	Name         string
	Accelerators int
	MemoryMiB    int
	Items        []ledger.Item
	// Usable tells that the runner may be given new items.
	Usable bool
}

// Load is the mean number of requests in flight for a unit or adapter.
type Load struct {
	Name string
	Busy float64
	// Steady is the part of Busy that has lasted; zero where it is not known.
	Steady float64
}

// Copies is the number of ready copies of a unit outside the failure domain.
type Copies struct {
	Name  string
	Count int
}

// Input is what a plan is made from.
type Input struct {
	Index      *catalog.Index
	Assignment *Assignment
	Domain     string
	Runners    []RunnerView
	Loads      []Load
	Elsewhere  []Copies
	// LoadBudget is the number of base loads that may begin now.
	LoadBudget int
	// AdapterBudget is the number of adapter loads that may begin now.
	AdapterBudget int
}

// Shortage tells of a unit that found no room.
type Shortage struct {
	Unit   string `json:"unit"`
	Reason string `json:"reason"`
	// Waiting tells that some runner is not under orders yet and may have room.
	Waiting bool `json:"waiting,omitempty"`
}

// Move is a load that the plan begins, with its reason.
type Move struct {
	Runner string `json:"runner"`
	Item   string `json:"item"`
	Reason string `json:"reason"`
}

// RunnerPlan is what one runner should hold.
type RunnerPlan struct {
	Runner string               `json:"runner"`
	Wants  []ledger.DesiredItem `json:"wants"`
}

// Plan is what the runners of a failure domain should hold.
type Plan struct {
	Runners   []RunnerPlan `json:"runners"`
	Moves     []Move       `json:"moves,omitempty"`
	Deferred  []Move       `json:"deferred,omitempty"`
	Shortages []Shortage   `json:"shortages,omitempty"`
}

// Planner makes plans one after another.
type Planner struct {
	retired map[string]time.Time
}

// NewPlanner returns a planner.
func NewPlanner() *Planner { return &Planner{retired: make(map[string]time.Time)} }

// Plan decides what the runners should hold now.
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

// keepCurrent wants every item that is held and still in the catalog, and for a while those that are not.
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

// stays reports whether a unit that left the catalog is kept for its last requests, or because it serves a model
// whose new version is not ready anywhere yet.
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

// draft is a plan in the making.
type draft struct {
	now     time.Time
	in      Input
	units   map[string]catalog.Unit
	busy    map[string]float64
	others  map[string]int
	runners []*runnerDraft
	// holders are the copies of each unit that the draft keeps or adds.
	holders map[string][]*baseDraft
	plan    Plan
}

// runnerDraft is one runner of a draft.
type runnerDraft struct {
	view     RunnerView
	free     []int
	load     []float64
	bases    []*baseDraft
	adapters []ledger.DesiredItem
}

// baseDraft is a unit that a runner holds or shall hold.
type baseDraft struct {
	runner       *runnerDraft
	unit         catalog.Unit
	accelerators []int
	since        time.Time
	serving      bool
	fresh        bool
	deferred     bool
	// share is the demand that the copy takes.
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
		since:        item.StateChangedAt,
		serving:      item.State == ledger.Resident && item.Serving,
	})
}

// hold adds a copy to the draft.
func (d *draft) hold(c *baseDraft) {
	c.runner.bases = append(c.runner.bases, c)
	d.holders[c.unit.Name] = append(d.holders[c.unit.Name], c)
}

// drop takes a copy out of the draft.
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

// placeReplicas adds copies for steady demand before copies for bursts: while loads are few, those for demand that
// lasts serve longer.
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

// placeForDemand adds copies where demand is not met, the most unmet first, while each promises more than a move costs.
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

// price returns the demand that a move must serve to be worth it.
func (d *draft) price() float64 {
	return max(leastGain, d.in.Index.Deployment.MovePrice) * slotsPerAccelerator
}

// mostUnmet returns the unit with the most unmet demand that may have another copy here.
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

func (r *runnerDraft) wants() []ledger.DesiredItem {
	wants := make([]ledger.DesiredItem, 0, len(r.bases)+len(r.adapters))
	for _, base := range r.bases {
		if base.deferred {
			continue
		}
		wants = append(wants, ledger.DesiredItem{
			Name:                  base.unit.Name,
			Kind:                  ledger.ItemBase,
			Weights:               base.unit.Weights,
			MemoryMiB:             base.unit.FootprintMiB(),
			Accelerators:          base.unit.Accelerators,
			PreferredAccelerators: base.accelerators,
		})
	}
	return append(wants, r.adapters...)
}
