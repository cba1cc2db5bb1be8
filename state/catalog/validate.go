package catalog

import (
	"fmt"
	"regexp"
	"slices"

	"github.com/zinniaroute/zinniaroute/document"
)

const (
	maxNameBytes = 128
	// MaxAccelerators is the largest permitted number of accelerators of one runner.
	MaxAccelerators = 1024
)

// digestPattern matches a SHA-256 digest.
var digestPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)

var namePattern = regexp.MustCompile(`^[a-zA-Z0-9][a-zA-Z0-9._:-]*$`)

// Validate checks a whole set and returns every finding with its position in the file.
func Validate(set *Set, locator *Locator) document.Findings {
	c := &checker{set: set, index: NewIndex(set), locator: locator}
	c.checkNames()
	c.checkDeployment()
	c.checkModels()
	c.checkVersions()
	c.checkAdapters()
	c.checkPlacements()
	c.checkServices()
	c.checkRoutes()
	c.checkRunners()
	c.checkWorkspaces()
	c.checkCapacity()
	return c.findings
}

type checker struct {
	set      *Set
	index    *Index
	locator  *Locator
	findings document.Findings
}

func (c *checker) report(key Key, field, format string, args ...any) {
	message := fmt.Sprintf(format, args...)
	if field != "" {
		message = field + ": " + message
	}
	c.findings = append(c.findings, document.Finding{
		Position: c.locator.Position(key, field),
		Object:   key.String(),
		Message:  message,
	})
}

func (c *checker) checkNames() {
	seen := make(map[string]Key)
	occurrences := make(map[Key]int)
	for _, e := range c.set.entries() {
		c.checkName(e.key)
		nth := occurrences[e.key]
		occurrences[e.key]++
		qualified := namespaceOf(e.key.Kind) + "/" + e.key.Name
		if first, ok := seen[qualified]; ok {
			c.findings = append(c.findings, document.Finding{
				Position: c.locator.nthPosition(e.key, nth, "name"),
				Object:   e.key.String(),
				Message:  "name: duplicate of " + first.String(),
			})
			continue
		}
		seen[qualified] = e.key
	}
}

// namespaceOf returns the namespace of a kind. The kinds whose names callers use share one, so that each public name is
// unambiguous.
func namespaceOf(kind Kind) string {
	switch kind {
	case KindModel, KindAdapter, KindVersion, KindRoute:
		return "public"
	default:
		return string(kind)
	}
}

func (c *checker) checkName(key Key) {
	if key.Name == "" {
		c.report(key, "name", "missing")
		return
	}
	if len(key.Name) > maxNameBytes {
		c.report(key, "name", "longer than %d bytes", maxNameBytes)
	}
	if !namePattern.MatchString(key.Name) {
		c.report(key, "name", "may hold only letters, digits, '.', '_', ':' and '-', and starts with a letter or digit")
	}
}

func (c *checker) checkDeployment() {
	if len(c.set.Deployment) == 0 {
		c.report(Key{Kind: KindDeployment}, "", "missing: the catalog needs one deployment")
		return
	}
	for _, extra := range c.set.Deployment[1:] {
		c.report(Key{KindDeployment, extra.Name}, "", "only one deployment is allowed")
	}
	d := c.set.Deployment[0]
	key := Key{KindDeployment, d.Name}
	if len(d.Domains) == 0 {
		c.report(key, "domains", "at least one failure domain is needed")
	}
	c.checkUnique(key, "domains", d.Domains)
	c.checkNotNegative(key, "movePrice", d.MovePrice)
	c.checkPositive(key, "loadsPerSecond", d.LoadsPerSecond)
	c.checkPositive(key, "concurrentLoads", float64(d.ConcurrentLoads))
	c.checkPositive(key, "concurrentAdapters", float64(d.ConcurrentAdapters))
	c.checkNotNegative(key, "minimumStay", d.MinimumStay.Seconds())
}

func (c *checker) checkUnique(key Key, field string, names []string) {
	for i, name := range names {
		if slices.Contains(names[:i], name) {
			c.report(key, fmt.Sprintf("%s[%d]", field, i), "%q is listed twice", name)
		}
	}
}

func (c *checker) checkPositive(key Key, field string, value float64) {
	if value <= 0 {
		c.report(key, field, "must be greater than zero")
	}
}

func (c *checker) checkNotNegative(key Key, field string, value float64) {
	if value < 0 {
		c.report(key, field, "must not be negative")
	}
}

func (c *checker) checkModels() {
	for i := range c.set.Models {
		m := &c.set.Models[i]
		key := Key{KindModel, m.Name}
		c.checkPositive(key, "memoryMiB", float64(m.MemoryMiB))
		c.checkNotNegative(key, "reserveMiB", float64(m.ReserveMiB))
		c.checkNotNegative(key, "accelerators", float64(m.Accelerators))
		c.checkNotNegative(key, "contextTokens", float64(m.ContextTokens))
		c.checkNotNegative(key, "targets.firstToken", m.Targets.FirstToken.Seconds())
		c.checkNotNegative(key, "targets.betweenTokens", m.Targets.BetweenTokens.Seconds())
		c.checkModelVersion(key, m)
	}
}

func (c *checker) checkModelVersion(key Key, m *Model) {
	if m.Version == "" {
		return
	}
	version, ok := c.index.versions[m.Version]
	if !ok {
		c.report(key, "version", "unknown version %q", m.Version)
		return
	}
	if version.Model != m.Name {
		c.report(key, "version", "version %q belongs to model %q", m.Version, version.Model)
	}
}

func (c *checker) checkVersions() {
	for i := range c.set.Versions {
		v := &c.set.Versions[i]
		key := Key{KindVersion, v.Name}
		if c.index.models[v.Model] == nil {
			c.report(key, "model", "unknown model %q", v.Model)
		}
		c.checkNotNegative(key, "memoryMiB", float64(v.MemoryMiB))
	}
}

func (c *checker) checkAdapters() {
	for i := range c.set.Adapters {
		a := &c.set.Adapters[i]
		key := Key{KindAdapter, a.Name}
		c.checkPositive(key, "memoryMiB", float64(a.MemoryMiB))
		if c.index.adapters[a.Base] != nil {
			c.report(key, "base", "%q is an adapter; the base must be a model or a version", a.Base)
			continue
		}
		if _, ok := c.index.Unit(a.Base); !ok {
			c.report(key, "base", "unknown model or version %q", a.Base)
		}
	}
}

func (c *checker) checkPlacements() {
	targets := make(map[string]string)
	for i := range c.set.Placements {
		p := &c.set.Placements[i]
		key := Key{KindPlacement, p.Name}
		if _, ok := c.index.Unit(p.Target); !ok {
			c.report(key, "target", "unknown model or version %q", p.Target)
		}
		if other, ok := targets[p.Target]; ok {
			c.report(key, "target", "%q already has placement %q", p.Target, other)
		}
		targets[p.Target] = p.Name
		c.checkReplicas(key, p)
		c.checkDomains(key, p.Domains)
		c.checkPins(key, p)
	}
}

func (c *checker) checkReplicas(key Key, p *Placement) {
	c.checkNotNegative(key, "minReplicas", float64(p.MinReplicas))
	c.checkNotNegative(key, "maxReplicas", float64(p.MaxReplicas))
	if p.MaxReplicas > 0 && p.MinReplicas > p.MaxReplicas {
		c.report(key, "minReplicas", "%d is above maxReplicas %d", p.MinReplicas, p.MaxReplicas)
	}
}

func (c *checker) checkDomains(key Key, domains []string) {
	c.checkUnique(key, "domains", domains)
	for i, domain := range domains {
		if !slices.Contains(c.index.Deployment.Domains, domain) {
			c.report(key, fmt.Sprintf("domains[%d]", i), "unknown failure domain %q", domain)
		}
	}
}

func (c *checker) checkPins(key Key, p *Placement) {
	c.checkUnique(key, "pins", p.Pins)
	for i, pin := range p.Pins {
		field := fmt.Sprintf("pins[%d]", i)
		runner := c.index.runners[pin]
		if runner == nil {
			c.report(key, field, "unknown runner %q", pin)
			continue
		}
		if runner.Service != "" {
			c.report(key, field, "runner %q serves the plain service %q", pin, runner.Service)
			continue
		}
		if len(p.Domains) > 0 && !slices.Contains(p.Domains, runner.Domain) {
			c.report(key, field, "runner %q is in failure domain %q, outside the placement's domains", pin, runner.Domain)
		}
	}
}

func (c *checker) checkServices() {
	for i := range c.set.Services {
		s := &c.set.Services[i]
		for j, rule := range s.Rules {
			if rule.PathPrefix == "" || rule.PathPrefix[0] != '/' {
				field := fmt.Sprintf("rules[%d].pathPrefix", j)
				c.report(Key{KindService, s.Name}, field, "must start with '/'")
			}
		}
	}
}

func (c *checker) checkRoutes() {
	for i := range c.set.Routes {
		r := &c.set.Routes[i]
		key := Key{KindRoute, r.Name}
		if (r.Service == "") == (len(r.Targets) == 0) {
			c.report(key, "", "needs either targets or a service")
		}
		if r.Service != "" && c.index.services[r.Service] == nil {
			c.report(key, "service", "unknown service %q", r.Service)
		}
		c.checkRouteTargets(key, r)
		if c.isCyclicRoute(r) {
			c.report(key, "targets", "the route leads back to itself")
		}
	}
}

func (c *checker) checkRouteTargets(key Key, r *Route) {
	for j, target := range r.Targets {
		field := fmt.Sprintf("targets[%d].name", j)
		c.checkNotNegative(key, fmt.Sprintf("targets[%d].weight", j), float64(target.Weight))
		if next := c.index.routes[target.Name]; next != nil {
			if next.Service != "" {
				c.report(key, field, "route %q leads to a plain service", target.Name)
			}
			continue
		}
		if _, ok := c.index.resolveDirect(target.Name); !ok {
			c.report(key, field, "unknown model, version, adapter or route %q", target.Name)
		}
	}
}

func (c *checker) isCyclicRoute(start *Route) bool {
	visited := make(map[string]bool)
	pending := []*Route{start}
	for len(pending) > 0 {
		route := pending[0]
		pending = pending[1:]
		for _, target := range route.Targets {
			if target.Name == start.Name {
				return true
			}
			next := c.index.routes[target.Name]
			if next != nil && !visited[target.Name] {
				visited[target.Name] = true
				pending = append(pending, next)
			}
		}
	}
	return false
}

func (c *checker) checkRunners() {
	addresses := make(map[string]string)
	for i := range c.set.Runners {
		r := &c.set.Runners[i]
		key := Key{KindRunner, r.Name}
		c.checkRunnerAddress(key, r, addresses)
		if !slices.Contains(c.index.Deployment.Domains, r.Domain) {
			c.report(key, "domain", "unknown failure domain %q", r.Domain)
		}
		if r.Service != "" {
			c.checkServiceRunner(key, r)
			continue
		}
		c.checkPositive(key, "accelerators", float64(r.Accelerators))
		if r.Accelerators > MaxAccelerators {
			c.report(key, "accelerators", "more than %d", MaxAccelerators)
		}
		c.checkPositive(key, "memoryMiB", float64(r.MemoryMiB))
	}
}

func (c *checker) checkRunnerAddress(key Key, r *Runner, addresses map[string]string) {
	if !r.Address.IsValid() {
		c.report(key, "address", "missing or not an IP address with a port")
		return
	}
	text := r.Address.String()
	if other, ok := addresses[text]; ok {
		c.report(key, "address", "%s is the address of runner %q too", text, other)
	}
	addresses[text] = r.Name
}

func (c *checker) checkServiceRunner(key Key, r *Runner) {
	if c.index.services[r.Service] == nil {
		c.report(key, "service", "unknown service %q", r.Service)
	}
	if r.Accelerators != 0 || r.MemoryMiB != 0 || r.Fenced {
		c.report(key, "", "a plain service's runner has no accelerators, memory or fencing")
	}
}

func (c *checker) checkWorkspaces() {
	holders := make(map[string]string)
	for i := range c.set.Workspaces {
		w := &c.set.Workspaces[i]
		key := Key{KindWorkspace, w.Name}
		c.checkNotNegative(key, "ratePerSecond", w.RatePerSecond)
		c.checkNotNegative(key, "burst", w.Burst)
		if w.Priority != nil {
			c.checkNotNegative(key, "priority", float64(*w.Priority))
		}
		for j, digest := range w.Keys {
			field := fmt.Sprintf("keys[%d]", j)
			// The message does not repeat the text, which may be a key.
			if !digestPattern.MatchString(digest) {
				c.report(key, field, "must be a SHA-256 digest of 64 lower-case hexadecimal digits, not the key")
				continue
			}
			if holder, ok := holders[digest]; ok {
				c.report(key, field, "is a key of workspace %q too", holder)
				continue
			}
			holders[digest] = w.Name
		}
	}
}
