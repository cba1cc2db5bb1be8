package catalog

import "strings"

// MaxRouteDepth is the largest number of chained routes before a target. It bounds a lookup in a set with a cycle.
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

// Resolve returns the target of a public name. The pick, in [0, 1), selects among weighted targets.
func (x *Index) Resolve(name string, pick float64) (Target, bool) {
	for range MaxRouteDepth {
		route, ok := x.routes[name]
		if !ok {
			return x.servable(name)
		}
		if route.Service != "" {
			return Target{Service: route.Service}, true
		}
		name, pick = route.choose(pick)
	}
	return Target{}, false
}

func (x *Index) servable(name string) (Target, bool) {
	if adapter, ok := x.adapters[name]; ok {
		unit, found := x.Unit(adapter.Base)
		return Target{Unit: unit, Adapter: name}, found
	}
	unit, ok := x.Unit(name)
	return Target{Unit: unit}, ok
}

// Siblings returns the model's own weights and all its versions for the name of a model, and nil for any other name.
func (x *Index) Siblings(name string) []Target {
	model, ok := x.models[name]
	if !ok {
		return nil
	}
	siblings := []Target{{Unit: baseUnit(model)}}
	for i := range x.Set.Versions {
		if x.Set.Versions[i].Model == name {
			unit, _ := x.versionUnit(&x.Set.Versions[i])
			siblings = append(siblings, Target{Unit: unit})
		}
	}
	return siblings
}

// choose returns the target that a pick in [0, 1) selects and the position of the pick within the target's weight, also
// in [0, 1).
func (r *Route) choose(pick float64) (name string, rest float64) {
	total := 0
	for _, target := range r.Targets {
		total += max(1, target.Weight)
	}
	at := pick * float64(total)
	for _, target := range r.Targets {
		weight := float64(max(1, target.Weight))
		if at < weight {
			return target.Name, at / weight
		}
		at -= weight
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
	return methodIdempotent(method)
}

func (r *CallRule) matches(method, path string) bool {
	if r.Method != "" && !strings.EqualFold(r.Method, method) {
		return false
	}
	return strings.HasPrefix(path, r.PathPrefix)
}

// methodIdempotent reports whether RFC 9110, section 9.2.2, defines a method as idempotent.
func methodIdempotent(method string) bool {
	switch strings.ToUpper(method) {
	case "GET", "HEAD", "OPTIONS", "TRACE", "PUT", "DELETE":
		return true
	default:
		return false
	}
}
