package catalog

import "strings"

// MaxRouteDepth is the largest number of names in a chain of routes, including the target. It bounds a lookup in a set
// with a cycle.
const MaxRouteDepth = 8

// Target is what a public name resolves to.
type Target struct {
	// Unit is the unit that serves the request. Its name is empty for a plain service.
	Unit Unit
	// Adapter names the adapter to apply. It is empty for a request without one.
	Adapter string
	// Service names the plain service. It is empty for a model.
	Service string
}

// EngineName returns the name of the target on an engine: the adapter's name, or else the unit's.
func (t Target) EngineName() string {
	if t.Adapter != "" {
		return t.Adapter
	}
	return t.Unit.Name
}

// Resolve returns the target of a public name. The fraction, in [0, 1), selects among weighted targets.
func (x *Index) Resolve(name string, fraction float64) (Target, bool) {
	for range MaxRouteDepth {
		route, ok := x.routes[name]
		if !ok {
			return x.resolveDirect(name)
		}
		if route.Service != "" {
			return Target{Service: route.Service}, true
		}
		name, fraction = route.choose(fraction)
	}
	return Target{}, false
}

func (x *Index) resolveDirect(name string) (Target, bool) {
	if adapter, ok := x.adapters[name]; ok {
		unit, found := x.Unit(adapter.Base)
		return Target{Unit: unit, Adapter: name}, found
	}
	unit, ok := x.Unit(name)
	return Target{Unit: unit}, ok
}

// WeightSets returns the model's own weights and all its versions for the name of a model, and nil for any other name.
func (x *Index) WeightSets(name string) []Target {
	model, ok := x.models[name]
	if !ok {
		return nil
	}
	sets := []Target{{Unit: baseUnit(model)}}
	for i := range x.Set.Versions {
		if x.Set.Versions[i].Model == name {
			unit, _ := x.versionUnit(&x.Set.Versions[i])
			sets = append(sets, Target{Unit: unit})
		}
	}
	return sets
}

// choose returns the target that a fraction in [0, 1) selects. The remainder is the position of the fraction within
// that target's weight, also in [0, 1).
func (r *Route) choose(fraction float64) (name string, remainder float64) {
	total := 0
	for _, target := range r.Targets {
		total += max(1, target.Weight)
	}
	position := fraction * float64(total)
	for _, target := range r.Targets {
		weight := float64(max(1, target.Weight))
		if position < weight {
			return target.Name, position / weight
		}
		position -= weight
	}
	return "", 0
}

// PublicNames returns every name that callers may use as a model name, sorted.
func (x *Index) PublicNames() []string {
	names := make([]string, 0, len(x.models)+len(x.adapters)+len(x.versions)+len(x.routes))
	for i := range x.Set.Models {
		names = append(names, x.Set.Models[i].Name)
	}
	for i := range x.Set.Versions {
		names = append(names, x.Set.Versions[i].Name)
	}
	for i := range x.Set.Adapters {
		names = append(names, x.Set.Adapters[i].Name)
	}
	for i := range x.Set.Routes {
		if x.Set.Routes[i].Service == "" {
			names = append(names, x.Set.Routes[i].Name)
		}
	}
	return sortedUnique(names)
}

// Idempotent reports whether a call may be retried. The first matching rule decides, or else the HTTP method.
func (s *Service) Idempotent(method, path string) bool {
	for _, rule := range s.Rules {
		if rule.matches(method, path) {
			return rule.Idempotent
		}
	}
	return isIdempotentMethod(method)
}

func (r *CallRule) matches(method, path string) bool {
	if r.Method != "" && !strings.EqualFold(r.Method, method) {
		return false
	}
	return strings.HasPrefix(path, r.PathPrefix)
}

// isIdempotentMethod reports whether RFC 9110, section 9.2.2, defines a method as idempotent.
func isIdempotentMethod(method string) bool {
	switch strings.ToUpper(method) {
	case "GET", "HEAD", "OPTIONS", "TRACE", "PUT", "DELETE":
		return true
	default:
		return false
	}
}
