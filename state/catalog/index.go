package catalog

import (
	"slices"
	"strings"
)

// Index finds the objects of a set by name. It also holds the set's first deployment.
type Index struct {
	Set        *Set
	Deployment Deployment
	models     map[string]*Model
	versions   map[string]*Version
	adapters   map[string]*Adapter
	routes     map[string]*Route
	services   map[string]*Service
	runners    map[string]*Runner
	placements map[string]*Placement
}

// NewIndex returns the index of a set. Of two objects of one kind with the same name it keeps the first.
func NewIndex(set *Set) *Index {
	index := &Index{
		Set:        set,
		models:     indexByName(set.Models, func(m *Model) string { return m.Name }),
		versions:   indexByName(set.Versions, func(v *Version) string { return v.Name }),
		adapters:   indexByName(set.Adapters, func(a *Adapter) string { return a.Name }),
		routes:     indexByName(set.Routes, func(r *Route) string { return r.Name }),
		services:   indexByName(set.Services, func(s *Service) string { return s.Name }),
		runners:    indexByName(set.Runners, func(r *Runner) string { return r.Name }),
		placements: indexByName(set.Placements, func(p *Placement) string { return p.Target }),
	}
	if len(set.Deployment) > 0 {
		index.Deployment = set.Deployment[0]
	}
	return index
}

func indexByName[T any](items []T, name func(*T) string) map[string]*T {
	found := make(map[string]*T, len(items))
	for i := range items {
		key := name(&items[i])
		if _, ok := found[key]; !ok {
			found[key] = &items[i]
		}
	}
	return found
}

// Runner returns the runner with a name, or nil.
func (x *Index) Runner(name string) *Runner { return x.runners[name] }

// Service returns the plain service with a name, or nil.
func (x *Index) Service(name string) *Service { return x.services[name] }

// Adapter returns the adapter with a name, or nil.
func (x *Index) Adapter(name string) *Adapter { return x.adapters[name] }

// Placement returns the placement whose target is a unit, or nil.
func (x *Index) Placement(unit string) *Placement { return x.placements[unit] }

// Unit is a set of base weights that an engine loads: a model or a version.
type Unit struct {
	Name         string
	Model        string
	Weights      string
	MemoryMiB    int
	ReserveMiB   int
	Accelerators int
}

// FootprintMiB returns the memory that one replica occupies on each of its accelerators: weights and KV cache reserve.
func (u Unit) FootprintMiB() int { return u.MemoryMiB + u.ReserveMiB }

// Unit returns the unit that the name of a model or version serves. A model's name may serve one of its versions.
func (x *Index) Unit(name string) (Unit, bool) {
	if model, ok := x.models[name]; ok {
		return x.modelUnit(model), true
	}
	version, ok := x.versions[name]
	if !ok {
		return Unit{}, false
	}
	return x.versionUnit(version)
}

func (x *Index) modelUnit(model *Model) Unit {
	if version, ok := x.versions[model.Version]; ok && version.Model == model.Name {
		unit, _ := x.versionUnit(version)
		return unit
	}
	return baseUnit(model)
}

func (x *Index) versionUnit(version *Version) (Unit, bool) {
	model, ok := x.models[version.Model]
	if !ok {
		return Unit{}, false
	}
	unit := baseUnit(model)
	unit.Name = version.Name
	unit.Weights = version.Name
	if version.Weights != "" {
		unit.Weights = version.Weights
	}
	if version.MemoryMiB > 0 {
		unit.MemoryMiB = version.MemoryMiB
	}
	return unit, true
}

func baseUnit(model *Model) Unit {
	return Unit{
		Name:         model.Name,
		Model:        model.Name,
		Weights:      model.Name,
		MemoryMiB:    model.MemoryMiB,
		ReserveMiB:   model.ReserveMiB,
		Accelerators: max(1, model.Accelerators),
	}
}

// Units returns the units that the names of models and versions serve, sorted by name.
func (x *Index) Units() []Unit {
	served := make(map[string]Unit)
	add := func(name string) {
		if unit, ok := x.Unit(name); ok {
			served[unit.Name] = unit
		}
	}
	for i := range x.Set.Models {
		add(x.Set.Models[i].Name)
	}
	for i := range x.Set.Versions {
		add(x.Set.Versions[i].Name)
	}
	units := make([]Unit, 0, len(served))
	for _, unit := range served {
		units = append(units, unit)
	}
	slices.SortFunc(units, func(a, b Unit) int { return strings.Compare(a.Name, b.Name) })
	return units
}

func sortedUnique(names []string) []string {
	slices.Sort(names)
	return slices.Compact(names)
}
