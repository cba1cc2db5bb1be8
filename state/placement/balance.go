package placement

import (
	"cmp"
	"slices"
)

const (
	// slotsPerAccelerator is the number of concurrent requests that an accelerator serves within the latency targets.
	slotsPerAccelerator = 16
	// balancePasses is the number of times that each unit's demand is redistributed over its replicas.
	balancePasses = 3
)

// balance distributes each unit's demand over its replicas so that the load of the accelerators is as even as possible.
func (d *draft) balance() {
	for _, r := range d.runners {
		clear(r.inFlight)
		for _, replica := range r.replicas {
			replica.share = 0
		}
	}
	units := d.demandedUnits()
	for range balancePasses {
		for _, unit := range units {
			d.spread(unit)
		}
	}
}

// demandedUnits returns the units with both demand and replicas, ordered by the number of replicas.
func (d *draft) demandedUnits() []string {
	var units []string
	for name, demand := range d.inFlight {
		if demand > 0 && len(d.replicas[name]) > 0 {
			units = append(units, name)
		}
	}
	slices.SortFunc(units, func(a, b string) int {
		if order := cmp.Compare(len(d.replicas[a]), len(d.replicas[b])); order != 0 {
			return order
		}
		return cmp.Compare(a, b)
	})
	return units
}

// level returns the demand on the busiest accelerator of a replica.
func (c *replicaDraft) level() float64 {
	highest := 0.0
	for _, accelerator := range c.accelerators {
		highest = max(highest, c.runner.inFlight[accelerator])
	}
	return highest
}

// setShare sets the demand that a replica serves and updates its accelerators.
func (c *replicaDraft) setShare(share float64) {
	change := (share - c.share) / float64(len(c.accelerators))
	for _, accelerator := range c.accelerators {
		c.runner.inFlight[accelerator] += change
	}
	c.share = share
}

// spread distributes a unit's demand so that it fills the replicas up to a common level.
func (d *draft) spread(unit string) {
	replicas := slices.Clone(d.replicas[unit])
	for _, c := range replicas {
		c.setShare(0)
	}
	slices.SortStableFunc(replicas, func(a, b *replicaDraft) int { return cmp.Compare(a.level(), b.level()) })
	level := commonLevel(replicas, d.inFlight[unit])
	left := d.inFlight[unit]
	for _, c := range replicas {
		share := min(left, max(0, level-c.level())*float64(len(c.accelerators)))
		c.setShare(share)
		left -= share
	}
}

// commonLevel returns the level to which a demand fills replicas, which are sorted by level.
func commonLevel(replicas []*replicaDraft, demand float64) float64 {
	width, filled, level := 0.0, 0.0, 0.0
	for i, c := range replicas {
		width += float64(len(c.accelerators))
		filled += c.level() * float64(len(c.accelerators))
		level = (demand + filled) / width
		if i+1 == len(replicas) || level <= replicas[i+1].level() {
			break
		}
	}
	return level
}

// unmetDemand returns the part of a unit's demand that its replicas cannot serve within the latency targets.
func (d *draft) unmetDemand(unit string) float64 {
	if len(d.replicas[unit]) == 0 {
		return d.inFlight[unit]
	}
	unmet := 0.0
	for _, c := range d.replicas[unit] {
		if level := c.level(); level > slotsPerAccelerator {
			unmet += c.share * (1 - slotsPerAccelerator/level)
		}
	}
	return unmet
}

// spareCapacity returns the demand that a replica's accelerators can serve besides their present demand.
func (c *replicaDraft) spareCapacity() float64 {
	return max(0, slotsPerAccelerator-c.level()) * float64(len(c.accelerators))
}

// lostDemand returns the demand that the other replicas of a unit cannot serve within the latency targets if this one
// is evicted.
func (d *draft) lostDemand(c *replicaDraft) float64 {
	absorbed := 0.0
	for _, other := range d.replicas[c.unit.Name] {
		if other != c {
			absorbed += other.spareCapacity()
		}
	}
	served := c.share
	if level := c.level(); level > slotsPerAccelerator {
		served *= slotsPerAccelerator / level
	}
	return max(0, served-absorbed)
}
