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
	victims      []*replicaDraft
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
		found, ok := d.findSite(r, unit, unmet)
		if ok && (best.runner == nil || found.betterThan(best)) {
			best = found
		}
	}
	if best.runner == nil || best.gain <= d.minGain() {
		return false
	}
	d.placeAt(best, unit, reason)
	return true
}

// betterThan reports whether a site has a higher gain, then fewer victims, then more free memory than another.
func (s site) betterThan(other site) bool {
	if s.gain != other.gain {
		return s.gain > other.gain
	}
	if len(s.victims) != len(other.victims) {
		return len(s.victims) < len(other.victims)
	}
	return s.runner.totalFreeMiB() > other.runner.totalFreeMiB()
}

func (d *draft) placePinned(r *runnerDraft, unit catalog.Unit, reason string) {
	if !d.eligible(r, unit) {
		return
	}
	if found, ok := d.findSite(r, unit, math.Inf(1)); ok {
		d.placeAt(found, unit, reason)
		return
	}
	d.addShortage(unit.Name, "no room on runner "+r.view.Name+", to which it is pinned")
}

// findSite finds a site for a unit on a runner. It looks first for room for the unit with its adapters, then for the
// unit alone, and then for replicas to evict.
func (d *draft) findSite(r *runnerDraft, unit catalog.Unit, unmet float64) (site, bool) {
	withAdapters := unit.FootprintMiB() + d.adapterMiB(unit.Name)
	for _, needed := range []int{withAdapters, unit.FootprintMiB()} {
		if chosen := r.leastLoaded(r.freeMiB, unit.Accelerators, needed); chosen != nil {
			found := site{runner: r, accelerators: chosen}
			found.gain = min(unmet, r.spareCapacity(chosen))
			if math.IsInf(unmet, 1) {
				found.gain = mandatoryGain + r.spareCapacity(chosen)
			}
			return found, true
		}
	}
	return d.findSiteByEviction(r, unit, unmet)
}

// mandatoryGain is the gain of a mandatory replica. It exceeds any gain from demand.
const mandatoryGain = 1e6

func (d *draft) findSiteByEviction(r *runnerDraft, unit catalog.Unit, unmet float64) (site, bool) {
	free := slices.Clone(r.freeMiB)
	found := site{runner: r}
	lost := 0.0
	mandatory := math.IsInf(unmet, 1)
	for _, victim := range d.victims(r, mandatory) {
		lost += d.lostDemand(victim)
		found.victims = append(found.victims, victim)
		for _, accelerator := range victim.accelerators {
			free[accelerator] += victim.unit.FootprintMiB()
		}
		found.accelerators = r.leastLoaded(free, unit.Accelerators, unit.FootprintMiB())
		if found.accelerators == nil {
			continue
		}
		found.gain = min(unmet, r.spareCapacity(found.accelerators)+lost) - lost
		if mandatory {
			found.gain = mandatoryGain - lost
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
		if order := cmp.Compare(r.inFlight[a], r.inFlight[b]); order != 0 {
			return order
		}
		return cmp.Compare(freeMiB[a], freeMiB[b])
	})
	chosen := candidates[:count]
	slices.Sort(chosen)
	return chosen
}

// spareCapacity returns the demand that the accelerators can serve besides their present demand.
func (r *runnerDraft) spareCapacity(accelerators []int) float64 {
	highest := 0.0
	for _, accelerator := range accelerators {
		highest = max(highest, r.inFlight[accelerator])
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
	if !r.view.Usable || r.replica(unit.Name) != nil {
		return false
	}
	runner := d.in.Index.Runner(r.view.Name)
	return runner != nil && d.in.Index.Allows(unit.Name, runner)
}

func (r *runnerDraft) totalFreeMiB() int {
	total := 0
	for _, free := range r.freeMiB {
		total += free
	}
	return total
}

func (d *draft) placeAt(chosen site, unit catalog.Unit, reason string) {
	for _, victim := range chosen.victims {
		for _, accelerator := range victim.accelerators {
			chosen.runner.freeMiB[accelerator] += victim.unit.FootprintMiB()
		}
		d.removeReplica(victim)
	}
	for _, accelerator := range chosen.accelerators {
		chosen.runner.freeMiB[accelerator] -= unit.FootprintMiB()
	}
	move := Move{Runner: chosen.runner.view.Name, Item: unit.Name, Reason: reason}
	c := &replicaDraft{runner: chosen.runner, unit: unit, accelerators: chosen.accelerators, changedAt: d.now, added: true}
	if d.in.LoadBudget > 0 {
		d.in.LoadBudget--
		d.plan.Moves = append(d.plan.Moves, move)
	} else {
		c.deferred = true
		d.plan.Deferred = append(d.plan.Deferred, move)
	}
	d.addReplica(c)
}

// victims returns the replicas on a runner that may be evicted, ordered by the demand lost with them.
func (d *draft) victims(r *runnerDraft, mandatory bool) []*replicaDraft {
	var victims []*replicaDraft
	for _, replica := range r.replicas {
		if !replica.added && d.evictable(replica, mandatory) {
			victims = append(victims, replica)
		}
	}
	slices.SortStableFunc(victims, func(a, b *replicaDraft) int { return cmp.Compare(d.lostDemand(a), d.lostDemand(b)) })
	return victims
}

// evictable reports whether a replica may be evicted. The last serving replica in all domains stays, and so does the
// last one in a failure domain that must hold the unit.
func (d *draft) evictable(replica *replicaDraft, mandatory bool) bool {
	local := d.servingReplicas(replica.unit.Name)
	if replica.serving {
		local--
	}
	if local+d.remoteReplicas[replica.unit.Name] < 1 {
		return false
	}
	if local < 1 && d.in.Assignment.Requires(d.in.Domain, replica.unit.Name) {
		return false
	}
	return mandatory || d.now.Sub(replica.changedAt) >= d.in.Index.Deployment.MinimumStay.Duration
}

func (d *draft) servingReplicas(unit string) int {
	count := 0
	for _, c := range d.replicas[unit] {
		if c.serving {
			count++
		}
	}
	return count
}
