package catalog

import (
	"cmp"
	"slices"
)

// checkCapacity reports units and adapters that fit on no allowed runner. If there are no findings at all, it reports
// units that cannot be resident together with the others.
func (c *checker) checkCapacity() {
	units := c.index.Units()
	placeable := make([]Unit, 0, len(units))
	for _, unit := range units {
		if unit.FootprintMiB() <= 0 || unit.Accelerators < 1 {
			continue
		}
		if c.checkUnitFits(unit) {
			placeable = append(placeable, unit)
		}
	}
	for i := range c.set.Adapters {
		c.checkAdapterFits(&c.set.Adapters[i])
	}
	if len(c.findings) == 0 {
		c.checkPacking(placeable)
	}
}

func (c *checker) checkUnitFits(unit Unit) bool {
	allowed := 0
	for i := range c.set.Runners {
		runner := &c.set.Runners[i]
		if !c.index.Allows(unit.Name, runner) {
			continue
		}
		allowed++
		if runner.Accelerators >= unit.Accelerators && runner.MemoryMiB >= unit.FootprintMiB() {
			return true
		}
	}
	key := c.unitKey(unit)
	if allowed == 0 {
		c.report(key, "", "its placement allows no model runner")
		return false
	}
	c.report(key, "memoryMiB", "needs %d MiB on each of %d accelerators, and none of the %d allowed runners has that",
		unit.FootprintMiB(), unit.Accelerators, allowed)
	return false
}

func (c *checker) unitKey(unit Unit) Key {
	if _, ok := c.index.models[unit.Name]; ok {
		return Key{KindModel, unit.Name}
	}
	return Key{KindVersion, unit.Name}
}

func (c *checker) checkAdapterFits(adapter *Adapter) {
	unit, ok := c.index.Unit(adapter.Base)
	if !ok {
		return
	}
	needed := unit.FootprintMiB() + adapter.MemoryMiB
	for i := range c.set.Runners {
		runner := &c.set.Runners[i]
		if c.index.Allows(unit.Name, runner) && runner.MemoryMiB >= needed {
			return
		}
	}
	c.report(Key{KindAdapter, adapter.Name}, "memoryMiB",
		"needs %d MiB together with its base %q, more than any allowed runner's accelerator has", needed, unit.Name)
}

// Allows reports whether a unit may be placed on a runner. Runners of plain services never hold units.
func (x *Index) Allows(unit string, runner *Runner) bool {
	if runner.Service != "" {
		return false
	}
	placement := x.Placement(unit)
	if placement == nil {
		return true
	}
	if len(placement.Domains) > 0 && !slices.Contains(placement.Domains, runner.Domain) {
		return false
	}
	return true
}

// checkPacking places one replica of each unit, largest first, and reports the units without room.
func (c *checker) checkPacking(units []Unit) {
	free := make(map[string][]int)
	for i := range c.set.Runners {
		runner := &c.set.Runners[i]
		free[runner.Name] = slices.Repeat([]int{runner.MemoryMiB}, runner.Accelerators)
	}
	slices.SortStableFunc(units, func(a, b Unit) int {
		return cmp.Compare(b.FootprintMiB()*b.Accelerators, a.FootprintMiB()*a.Accelerators)
	})
	for _, unit := range units {
		if !c.pack(unit, free) {
			c.report(c.unitKey(unit), "", "cannot be resident together with the other models: too little accelerator memory")
		}
	}
}

func (c *checker) pack(unit Unit, free map[string][]int) bool {
	for i := range c.set.Runners {
		runner := &c.set.Runners[i]
		if !c.index.Allows(unit.Name, runner) {
			continue
		}
		chosen := FitAccelerators(free[runner.Name], unit.Accelerators, unit.FootprintMiB())
		if chosen == nil {
			continue
		}
		for _, accelerator := range chosen {
			free[runner.Name][accelerator] -= unit.FootprintMiB()
		}
		return true
	}
	return false
}

// FitAccelerators returns the indices of the fullest accelerators that have neededMiB free, in ascending order. It
// returns nil if fewer than count of them have that.
func FitAccelerators(freeMiB []int, count, neededMiB int) []int {
	candidates := make([]int, 0, len(freeMiB))
	for i, free := range freeMiB {
		if free >= neededMiB {
			candidates = append(candidates, i)
		}
	}
	if len(candidates) < count {
		return nil
	}
	slices.SortStableFunc(candidates, func(a, b int) int { return cmp.Compare(freeMiB[a], freeMiB[b]) })
	chosen := candidates[:count]
	slices.Sort(chosen)
	return chosen
}
