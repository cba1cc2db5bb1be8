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
	// minGainShare is the smallest gain of a move, as a share of an accelerator's slots. It prevents moves for negligible
	// demand when the move price is zero.
	minGainShare = 0.02
	// removalGrace is the time for which a unit removed from the catalog stays loaded to finish its last requests.
	removalGrace = 10 * time.Second
	// maxRemovalGrace bounds the time for which a removed unit stays loaded while its replacement is not ready.
	maxRemovalGrace = 2 * time.Minute
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

// UnitDemand is the demand for a unit or adapter, as a mean number of requests in flight.
type UnitDemand struct {
	Name     string
	InFlight float64
	// SteadyInFlight is the part of InFlight that outlasts bursts. It is zero if unknown.
	SteadyInFlight float64
}

// ReplicaCount is the number of ready replicas of a unit outside the failure domain.
type ReplicaCount struct {
	Name  string
	Count int
}

// Input holds the catalog, the observed state and the budgets that a plan depends on.
type Input struct {
	Index          *catalog.Index
	Assignment     *Assignment
	Domain         string
	Runners        []RunnerView
	Demands        []UnitDemand
	RemoteReplicas []ReplicaCount
	// LoadBudget is the number of loads of base weights that may start now.
	LoadBudget int
	// AdapterBudget is the number of adapter loads that may start now.
	AdapterBudget int
}

// Shortage reports a unit for which no runner has room.
type Shortage struct {
	Unit   string `json:"unit"`
	Reason string `json:"reason"`
	// Provisional reports whether a runner that is not usable yet may have room.
	Provisional bool `json:"waiting,omitempty"`
}

// Move is a load that the plan starts, with its reason.
type Move struct {
	Runner string `json:"runner"`
	Item   string `json:"item"`
	Reason string `json:"reason"`
}

// RunnerPlan lists the items that one runner should hold.
type RunnerPlan struct {
	Runner       string               `json:"runner"`
	DesiredItems []ledger.DesiredItem `json:"wants"`
}

// Plan lists the items that the runners of a failure domain should hold, the loads that it starts or defers, and the
// units for which it finds no room.
type Plan struct {
	Runners   []RunnerPlan `json:"runners"`
	Moves     []Move       `json:"moves,omitempty"`
	Deferred  []Move       `json:"deferred,omitempty"`
	Shortages []Shortage   `json:"shortages,omitempty"`
}

// Planner makes the plans of one failure domain. For each unit that is no longer in the catalog, or no longer allowed
// on a runner that holds it, the planner keeps the time at which it first saw that.
type Planner struct {
	removedAt map[string]time.Time
}

// NewPlanner returns a planner without any removed units.
func NewPlanner() *Planner { return &Planner{removedAt: make(map[string]time.Time)} }

// Plan returns the items that the runners should hold. It keeps current replicas, and then adds mandatory replicas,
// pinned replicas and minimums, replicas for demand, and adapters.
func (p *Planner) Plan(now time.Time, in Input) Plan {
	d := newDraft(now, in)
	p.keepCurrent(now, d)
	d.balance()
	d.placeMandatory()
	d.placePinsAndMinimums()
	d.placeReplicas()
	d.placeAdapters()
	return d.finish()
}

// keepCurrent adds the replicas that runners hold to the draft. A replica whose unit is no longer in the catalog, or no
// longer allowed on the runner, stays for a limited time.
func (p *Planner) keepCurrent(now time.Time, d *draft) {
	for _, r := range d.runners {
		for _, item := range r.view.Items {
			if item.Kind == ledger.ItemAdapter || item.State == ledger.Unloading || item.State == ledger.Lingering {
				continue
			}
			unit, listed := d.units[item.Name]
			if listed && d.in.Index.Allows(item.Name, d.in.Index.Runner(r.view.Name)) {
				delete(p.removedAt, item.Name)
				d.keep(r, unit, item)
				continue
			}
			if _, known := p.removedAt[item.Name]; !known {
				p.removedAt[item.Name] = now
			}
			if p.retains(now, d, item.Name) {
				d.keep(r, removedUnit(item), item)
			}
		}
	}
}

// retains reports whether a unit removed from the catalog stays loaded, either for its last requests or because the
// new version of its model is not ready on any runner.
func (p *Planner) retains(now time.Time, d *draft, unit string) bool {
	age := now.Sub(p.removedAt[unit])
	return age < removalGrace || age < maxRemovalGrace && d.lacksReadyReplacement(unit)
}

func (d *draft) lacksReadyReplacement(unit string) bool {
	current, listed := d.in.Index.Unit(unit)
	return listed && d.remoteReplicas[current.Name] == 0 && !d.servedLocally(current.Name)
}

func (d *draft) servedLocally(unit string) bool {
	for _, r := range d.runners {
		for _, item := range r.view.Items {
			if item.Name == unit && item.State == ledger.Resident && item.Serving {
				return true
			}
		}
	}
	return false
}

func removedUnit(item ledger.Item) catalog.Unit {
	return catalog.Unit{
		Name:         item.Name,
		Weights:      item.Weights,
		MemoryMiB:    item.MemoryMiB,
		Accelerators: len(item.Accelerators),
	}
}

// draft is an unfinished plan.
type draft struct {
	now            time.Time
	in             Input
	units          map[string]catalog.Unit
	inFlight       map[string]float64
	remoteReplicas map[string]int
	runners        []*runnerDraft
	// replicas are the replicas of each unit that the draft keeps or adds.
	replicas map[string][]*replicaDraft
	plan     Plan
}

// runnerDraft is the unfinished plan of one runner, with the free MiB and the demand on each accelerator.
type runnerDraft struct {
	view     RunnerView
	freeMiB  []int
	inFlight []float64
	replicas []*replicaDraft
	adapters []ledger.DesiredItem
}

// replicaDraft is a replica of a unit that a runner holds or will load.
type replicaDraft struct {
	runner       *runnerDraft
	unit         catalog.Unit
	accelerators []int
	changedAt    time.Time
	serving      bool
	added        bool
	deferred     bool
	// share is the part of the unit's demand that the replica serves, in requests in flight.
	share float64
}

func newDraft(now time.Time, in Input) *draft {
	d := &draft{
		now:            now,
		in:             in,
		units:          make(map[string]catalog.Unit),
		inFlight:       make(map[string]float64, len(in.Demands)),
		remoteReplicas: make(map[string]int, len(in.RemoteReplicas)),
		replicas:       make(map[string][]*replicaDraft),
	}
	for _, unit := range in.Index.Units() {
		d.units[unit.Name] = unit
	}
	for _, demand := range in.Demands {
		d.inFlight[demand.Name] += demand.InFlight
	}
	for _, remote := range in.RemoteReplicas {
		d.remoteReplicas[remote.Name] = remote.Count
	}
	for _, view := range in.Runners {
		d.runners = append(d.runners, newRunnerDraft(view))
	}
	slices.SortFunc(d.runners, func(a, b *runnerDraft) int { return strings.Compare(a.view.Name, b.view.Name) })
	return d
}

func newRunnerDraft(view RunnerView) *runnerDraft {
	r := &runnerDraft{
		view:     view,
		freeMiB:  slices.Repeat([]int{view.MemoryMiB}, view.Accelerators),
		inFlight: make([]float64, view.Accelerators),
	}
	for _, item := range view.Items {
		for _, accelerator := range item.Accelerators {
			r.freeMiB[accelerator] -= item.MemoryMiB
		}
	}
	return r
}

func (d *draft) keep(r *runnerDraft, unit catalog.Unit, item ledger.Item) {
	d.addReplica(&replicaDraft{
		runner:       r,
		unit:         unit,
		accelerators: item.Accelerators,
		changedAt:    item.StateChangedAt,
		serving:      item.State == ledger.Resident && item.Serving,
	})
}

// addReplica adds a replica to the draft.
func (d *draft) addReplica(c *replicaDraft) {
	c.runner.replicas = append(c.runner.replicas, c)
	d.replicas[c.unit.Name] = append(d.replicas[c.unit.Name], c)
}

// removeReplica removes a replica from the draft.
func (d *draft) removeReplica(c *replicaDraft) {
	same := func(other *replicaDraft) bool { return other == c }
	c.runner.replicas = slices.DeleteFunc(c.runner.replicas, same)
	d.replicas[c.unit.Name] = slices.DeleteFunc(slices.Clone(d.replicas[c.unit.Name]), same)
}

func (r *runnerDraft) replica(unit string) *replicaDraft {
	for _, replica := range r.replicas {
		if replica.unit.Name == unit {
			return replica
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

func (d *draft) replicaCount(unit string) int { return len(d.replicas[unit]) }

func (d *draft) placeMandatory() {
	for _, unit := range d.sortedUnits() {
		if !d.in.Assignment.Requires(d.in.Domain, unit.Name) || d.replicaCount(unit.Name) > 0 {
			continue
		}
		if !d.place(unit, math.Inf(1), "must be held in this failure domain") {
			d.addShortage(unit.Name, "no runner of the failure domain has room")
		}
	}
}

func (d *draft) addShortage(unit, reason string) {
	provisional := slices.ContainsFunc(d.runners, func(r *runnerDraft) bool { return !r.view.Usable })
	d.plan.Shortages = append(d.plan.Shortages, Shortage{Unit: unit, Reason: reason, Provisional: provisional})
}

func (d *draft) placePinsAndMinimums() {
	for i := range d.in.Index.Set.Placements {
		placement := &d.in.Index.Set.Placements[i]
		unit, ok := d.in.Index.Unit(placement.Target)
		if !ok {
			continue
		}
		for _, r := range d.runners {
			if slices.Contains(placement.Pins, r.view.Name) && r.replica(unit.Name) == nil {
				d.placePinned(r, unit, "pinned to this runner")
			}
		}
		if !d.in.Assignment.Requires(d.in.Domain, unit.Name) {
			continue
		}
		for d.replicaCount(unit.Name)+d.remoteReplicas[unit.Name] < placement.MinReplicas {
			if !d.place(unit, math.Inf(1), "fewer replicas than its placement asks for") {
				d.addShortage(unit.Name, "no room for its minimum of replicas")
				break
			}
		}
	}
}

// placeReplicas adds replicas for steady demand before replicas for bursts. Loads are scarce, and a replica for steady
// demand is useful for longer.
func (d *draft) placeReplicas() {
	total := d.inFlight
	d.inFlight = make(map[string]float64, len(total))
	for _, demand := range d.in.Demands {
		d.inFlight[demand.Name] += demand.SteadyInFlight
	}
	d.placeForDemand()
	d.inFlight = total
	d.placeForDemand()
}

// placeForDemand adds replicas for unmet demand, largest first, as long as each gain exceeds the price of a move.
func (d *draft) placeForDemand() {
	d.balance()
	exhausted := make(map[string]bool)
	for {
		unit, unmet := d.mostUnmet(exhausted)
		if unit == "" || unmet <= d.minGain() {
			return
		}
		if !d.place(d.units[unit], unmet, "demand") {
			exhausted[unit] = true
			continue
		}
		d.balance()
	}
}

// minGain returns the smallest gain that justifies a move, in requests in flight.
func (d *draft) minGain() float64 {
	return max(minGainShare, d.in.Index.Deployment.MovePrice) * slotsPerAccelerator
}

// mostUnmet returns the unit with the most unmet demand among the units that may get another replica in this failure
// domain.
func (d *draft) mostUnmet(exhausted map[string]bool) (name string, most float64) {
	for unit := range d.inFlight {
		if _, listed := d.units[unit]; !listed || exhausted[unit] || !d.belowMaxReplicas(unit) {
			continue
		}
		if len(d.replicas[unit]) == 0 && d.remoteReplicas[unit] > 0 {
			continue
		}
		unmet := d.unmetDemand(unit)
		if unmet > most || unmet == most && unmet > 0 && unit < name {
			name, most = unit, unmet
		}
	}
	return name, most
}

func (d *draft) belowMaxReplicas(unit string) bool {
	placement := d.in.Index.Placement(unit)
	if placement == nil || placement.MaxReplicas == 0 {
		return true
	}
	return d.replicaCount(unit)+d.remoteReplicas[unit] < placement.MaxReplicas
}

func (d *draft) finish() Plan {
	for _, r := range d.runners {
		d.plan.Runners = append(d.plan.Runners, RunnerPlan{Runner: r.view.Name, DesiredItems: r.desiredItems()})
	}
	return d.plan
}

func (r *runnerDraft) desiredItems() []ledger.DesiredItem {
	items := make([]ledger.DesiredItem, 0, len(r.replicas)+len(r.adapters))
	for _, replica := range r.replicas {
		if replica.deferred {
			continue
		}
		items = append(items, ledger.DesiredItem{
			Name:                  replica.unit.Name,
			Kind:                  ledger.ItemBase,
			Weights:               replica.unit.Weights,
			MemoryMiB:             replica.unit.FootprintMiB(),
			Accelerators:          replica.unit.Accelerators,
			PreferredAccelerators: replica.accelerators,
		})
	}
	return append(items, r.adapters...)
}
