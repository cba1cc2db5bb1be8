package placement

import (
	"cmp"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/zinniaroute/zinniaroute/state/catalog"
)

// domainsPerUnit is the number of failure domains that must hold each unit if memory allows. With two, a unit stays
// available when one domain fails.
const domainsPerUnit = 2

// Assignment maps each unit to the failure domains that must hold it.
type Assignment struct {
	domains map[string][]string
}

// Domains returns the failure domains that must hold a unit, or nil for an unknown unit.
func (a *Assignment) Domains(unit string) []string { return a.domains[unit] }

// Requires reports whether a failure domain must hold a unit.
func (a *Assignment) Requires(domain, unit string) bool {
	return slices.Contains(a.domains[unit], domain)
}

// Assign computes the assignment from the catalog alone, so that all VMs with the same catalog get the same assignment.
func Assign(index *catalog.Index) *Assignment {
	a := &assigner{
		index:      index,
		freeMiB:    make(map[string][]int),
		assignment: &Assignment{domains: make(map[string][]string)},
	}
	for i := range index.Set.Runners {
		runner := &index.Set.Runners[i]
		a.freeMiB[runner.Name] = slices.Repeat([]int{runner.MemoryMiB}, runner.Accelerators)
	}
	units := index.Units()
	slices.SortStableFunc(units, func(x, y catalog.Unit) int {
		return cmp.Compare(y.FootprintMiB()*y.Accelerators, x.FootprintMiB()*x.Accelerators)
	})
	for range domainsPerUnit {
		for _, unit := range units {
			a.assign(unit)
		}
	}
	return a.assignment
}

type assigner struct {
	index      *catalog.Index
	freeMiB    map[string][]int
	assignment *Assignment
}

// assign adds one failure domain to a unit: the first with room in the unit's ranking.
func (a *assigner) assign(unit catalog.Unit) {
	for _, domain := range rankDomains(unit.Name, a.index.Deployment.Domains) {
		if a.assignment.Requires(domain, unit.Name) {
			continue
		}
		if a.pack(unit, domain) {
			a.assignment.domains[unit.Name] = append(a.assignment.domains[unit.Name], domain)
			return
		}
	}
}

func (a *assigner) pack(unit catalog.Unit, domain string) bool {
	for i := range a.index.Set.Runners {
		runner := &a.index.Set.Runners[i]
		if runner.Domain != domain || !a.index.Allows(unit.Name, runner) {
			continue
		}
		free := a.freeMiB[runner.Name]
		chosen := catalog.FitAccelerators(free, unit.Accelerators, unit.FootprintMiB())
		if chosen == nil {
			continue
		}
		for _, accelerator := range chosen {
			free[accelerator] -= unit.FootprintMiB()
		}
		return true
	}
	return false
}

// rankDomains orders failure domains for a unit by rendezvous hashing, so that units spread evenly over the domains.
func rankDomains(unit string, domains []string) []string {
	ranked := slices.Clone(domains)
	weight := func(domain string) uint64 { return xxhash.Sum64String(unit + "\x00" + domain) }
	slices.SortFunc(ranked, func(x, y string) int {
		if order := cmp.Compare(weight(y), weight(x)); order != 0 {
			return order
		}
		return strings.Compare(x, y)
	})
	return ranked
}
