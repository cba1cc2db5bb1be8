package placement

import (
	"cmp"
	"math"
	"slices"

	"github.com/zinniaroute/zinniaroute/state/catalog"
)

// site is a set of accelerators for a new replica, with the replicas to evict for it.
type site struct {
	runner       *runnerDraft
	accelerators []int
	victims      []*baseDraft
	// gain is the demand, in requests in flight, that the new replica serves, minus the demand lost with the victims.
	gain float64
}

// place adds a replica of a unit where it serves the most of the unmet demand. It reports whether a site has enough
// gain. An infinite unmet demand marks a mandatory replica.
func (d *draft) place(unit catalog.Unit, unmet float64, reason string) bool {
	best := site{}
	for _, r := range d.runners {
		if !d.eligible(r, unit) {
			continue
		}
		found, ok := d.siteOn(r, unit, unmet)
		if ok && (best.runner == nil || found.better(best)) {
			best = found
		}
	}
	if best.runner == nil || best.gain <= d.price() {
		return false
	}
	d.add(best, unit, reason)
	return true
}

// better reports whether a site has a higher gain, then fewer victims, then more free memory than another.
func (s site) better(other site) bool {
	if s.gain != other.gain {
		return s.gain > other.gain
	}
	if len(s.victims) != len(other.victims) {
		return len(s.victims) < len(other.victims)
	}
	return s.runner.totalFree() > other.runner.totalFree()
}

func (d *draft) placeOn(r *runnerDraft, unit catalog.Unit, reason string) {
	if !d.eligible(r, unit) {
		return
	}
	if found, ok := d.siteOn(r, unit, math.Inf(1)); ok {
		d.add(found, unit, reason)
		return
	}
	d.short(unit.Name, "no room on runner "+r.view.Name+", to which it is pinned")
}

// siteOn finds a site for a unit on a runner. It looks first for room for the unit with its adapters, then for the unit
// alone, and then for replicas to evict.
func (d *draft) siteOn(r *runnerDraft, unit catalog.Unit, unmet float64) (site, bool) {
	withAdapters := unit.FootprintMiB() + d.adapterMiB(unit.Name)
	for _, needed := range []int{withAdapters, unit.FootprintMiB()} {
		if chosen := r.leastLoaded(r.free, unit.Accelerators, needed); chosen != nil {
			found := site{runner: r, accelerators: chosen}
			found.gain = min(unmet, r.spareOn(chosen))
			if math.IsInf(unmet, 1) {
				found.gain = mustGain + r.spareOn(chosen)
			}
			return found, true
		}
	}
	return d.siteByEviction(r, unit, unmet)
}

// mustGain is the gain of a mandatory replica. It exceeds any gain from demand.
const mustGain = 1e6

func (d *draft) siteByEviction(r *runnerDraft, unit catalog.Unit, unmet float64) (site, bool) {
	free := slices.Clone(r.free)
	found := site{runner: r}
	lost := 0.0
	must := math.IsInf(unmet, 1)
	for _, victim := range d.victims(r, must) {
		lost += d.loss(victim)
		found.victims = append(found.victims, victim)
		for _, accelerator := range victim.accelerators {
			free[accelerator] += victim.unit.FootprintMiB()
		}
		found.accelerators = r.leastLoaded(free, unit.Accelerators, unit.FootprintMiB())
		if found.accelerators == nil {
			continue
		}
		found.gain = min(unmet, r.spareOn(found.accelerators)+lost) - lost
		if must {
			found.gain = mustGain - lost
		}
		return found, true
	}
	return site{}, false
}

// leastLoaded returns the accelerators with the least demand among those with neededMiB free, or nil if there are fewer
// than count.
func (r *runnerDraft) leastLoaded(freeMiB []int, count, neededMiB int) []int {
	var candidates []int
	for i, free := range freeMiB {
		if free >= neededMiB {
			candidates = append(candidates, i)
		}
	}
	if len(candidates) < count {
		return nil
	}
	slices.SortStableFunc(candidates, func(a, b int) int {
		if order := cmp.Compare(r.load[a], r.load[b]); order != 0 {
			return order
		}
		return cmp.Compare(freeMiB[a], freeMiB[b])
	})
	chosen := candidates[:count]
	slices.Sort(chosen)
	return chosen
}

// spareOn returns the demand that the accelerators can serve besides their present demand.
func (r *runnerDraft) spareOn(accelerators []int) float64 {
	highest := 0.0
	for _, accelerator := range accelerators {
		highest = max(highest, r.load[accelerator])
	}
	return max(0, slotsPerAccelerator-highest) * float64(len(accelerators))
}

func (d *draft) adapterMiB(unit string) int {
	total := 0
	for i := range d.in.Index.Set.Adapters {
		adapter := &d.in.Index.Set.Adapters[i]
		if base, ok := d.in.Index.Unit(adapter.Base); ok && base.Name == unit {
			total += adapter.MemoryMiB
		}
	}
	return total
}

func (d *draft) eligible(r *runnerDraft, unit catalog.Unit) bool {
	if !r.view.Usable || r.base(unit.Name) != nil {
		return false
	}
	runner := d.in.Index.Runner(r.view.Name)
	return runner != nil && d.in.Index.Allows(unit.Name, runner)
}

func (r *runnerDraft) totalFree() int {
	total := 0
	for _, free := range r.free {
		total += free
	}
	return total
}

func (d *draft) add(at site, unit catalog.Unit, reason string) {
	for _, victim := range at.victims {
		for _, accelerator := range victim.accelerators {
			at.runner.free[accelerator] += victim.unit.FootprintMiB()
		}
		d.drop(victim)
	}
	for _, accelerator := range at.accelerators {
		at.runner.free[accelerator] -= unit.FootprintMiB()
	}
	move := Move{Runner: at.runner.view.Name, Item: unit.Name, Reason: reason}
	c := &baseDraft{runner: at.runner, unit: unit, accelerators: at.accelerators, since: d.now, fresh: true}
	if d.in.LoadBudget > 0 {
		d.in.LoadBudget--
		d.plan.Moves = append(d.plan.Moves, move)
	} else {
		c.deferred = true
		d.plan.Deferred = append(d.plan.Deferred, move)
	}
	d.hold(c)
}

// victims returns the replicas on a runner that may be evicted, ordered by the demand lost with them.
func (d *draft) victims(r *runnerDraft, must bool) []*baseDraft {
	var victims []*baseDraft
	for _, base := range r.bases {
		if !base.fresh && d.mayDrop(base, must) {
			victims = append(victims, base)
		}
	}
	slices.SortStableFunc(victims, func(a, b *baseDraft) int { return cmp.Compare(d.loss(a), d.loss(b)) })
	return victims
}

// mayDrop reports whether a replica may be evicted. The last serving replica in all domains stays, and so does the last
// one in a failure domain that must hold the unit.
func (d *draft) mayDrop(base *baseDraft, must bool) bool {
	here := d.servingCopies(base.unit.Name)
	if base.serving {
		here--
	}
	if here+d.others[base.unit.Name] < 1 {
		return false
	}
	if here < 1 && d.in.Assignment.Holds(d.in.Domain, base.unit.Name) {
		return false
	}
	return must || d.now.Sub(base.since) >= d.in.Index.Deployment.MinimumStay.Duration
}

func (d *draft) servingCopies(unit string) int {
	count := 0
	for _, c := range d.holders[unit] {
		if c.serving {
			count++
		}
	}
	return count
}
