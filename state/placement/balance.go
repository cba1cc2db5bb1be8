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
		clear(r.load)
		for _, base := range r.bases {
			base.share = 0
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
	for name, busy := range d.busy {
		if busy > 0 && len(d.holders[name]) > 0 {
			units = append(units, name)
		}
	}
	slices.SortFunc(units, func(a, b string) int {
		if order := cmp.Compare(len(d.holders[a]), len(d.holders[b])); order != 0 {
			return order
		}
		return cmp.Compare(a, b)
	})
	return units
}

// level returns the demand on the busiest accelerator of a replica.
func (c *baseDraft) level() float64 {
	highest := 0.0
	for _, accelerator := range c.accelerators {
		highest = max(highest, c.runner.load[accelerator])
	}
	return highest
}

// setShare sets the demand that a replica serves and updates its accelerators.
func (c *baseDraft) setShare(share float64) {
	change := (share - c.share) / float64(len(c.accelerators))
	for _, accelerator := range c.accelerators {
		c.runner.load[accelerator] += change
	}
	c.share = share
}

// spread distributes a unit's demand so that it fills the replicas up to a common level.
func (d *draft) spread(unit string) {
	copies := slices.Clone(d.holders[unit])
	for _, c := range copies {
		c.setShare(0)
	}
	slices.SortStableFunc(copies, func(a, b *baseDraft) int { return cmp.Compare(a.level(), b.level()) })
	level := commonLevel(copies, d.busy[unit])
	left := d.busy[unit]
	for _, c := range copies {
		share := min(left, max(0, level-c.level())*float64(len(c.accelerators)))
		c.setShare(share)
		left -= share
	}
}

// commonLevel returns the level to which a demand fills replicas, which are sorted by level.
func commonLevel(copies []*baseDraft, demand float64) float64 {
	width, filled, level := 0.0, 0.0, 0.0
	for i, c := range copies {
		width += float64(len(c.accelerators))
		filled += c.level() * float64(len(c.accelerators))
		level = (demand + filled) / width
		if i+1 == len(copies) || level <= copies[i+1].level() {
			break
		}
	}
	return level
}

// unmet returns the part of a unit's demand that its replicas cannot serve within the latency targets.
func (d *draft) unmet(unit string) float64 {
	if len(d.holders[unit]) == 0 {
		return d.busy[unit]
	}
	unmet := 0.0
	for _, c := range d.holders[unit] {
		if level := c.level(); level > slotsPerAccelerator {
			unmet += c.share * (1 - slotsPerAccelerator/level)
		}
	}
	return unmet
}

// spare returns the demand that a replica's accelerators can serve besides their present demand.
func (c *baseDraft) spare() float64 {
	return max(0, slotsPerAccelerator-c.level()) * float64(len(c.accelerators))
}

// loss returns the demand that the other replicas of a unit cannot serve within the latency targets if this one is
// evicted.
func (d *draft) loss(c *baseDraft) float64 {
	absorbed := 0.0
	for _, other := range d.holders[c.unit.Name] {
		if other != c {
			absorbed += other.spare()
		}
	}
	served := c.share
	if level := c.level(); level > slotsPerAccelerator {
		served *= slotsPerAccelerator / level
	}
	return max(0, served-absorbed)
}
