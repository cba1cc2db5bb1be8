package routes

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/zinniaroute/zinniaroute/state/workspaces"
)

// Kind says whether requests of a route may run more than once, and whether their answers are event streams.
type Kind string

// The kinds of routes.
const (
	// Safe requests may run more than once.
	Safe Kind = "safe"
	// Unsafe requests run at most once.
	Unsafe Kind = "unsafe"
	// Stream requests are answered with a stream of events.
	Stream Kind = "stream"
)

// WeightedService is a service with its weight in the traffic split of a route.
type WeightedService struct {
	Service string
	Weight  int
}

// Route sends the requests of one host under one path prefix to services.
type Route struct {
	Name         string
	Host         string
	Prefix       string
	Kind         Kind
	TrafficSplit []WeightedService
	// Timeout is the maximum time until a request is answered, or until a stream ends.
	Timeout time.Duration
	// TargetLatency is the time from arrival to the first byte within which the answer has its full value to the caller.
	TargetLatency time.Duration
	// Priority orders requests across routes; 0 is the most urgent.
	Priority int
	// MaxRuns is the maximum number of endpoints that may run one request.
	MaxRuns int
	// MaxPause is the longest pause between two events of a stream with which its answer has its full value, or zero if the
	// route sets none.
	MaxPause time.Duration
	// Resumable means that another endpoint can continue a truncated stream.
	Resumable bool
	// Public means that callers need no key, also if the configuration has workspaces.
	Public bool
}

// Retryable reports whether a request may be retried after an attempt that may have run.
func (r *Route) Retryable() bool { return r.Kind == Safe || r.Kind == Stream && r.Resumable }

// Model describes a model that the runners of a service can load.
type Model struct {
	Name string
	// MemoryMB is the size of the weights in megabytes.
	MemoryMB float64
	// LoadTime is the time of a load from the weight store.
	LoadTime time.Duration
	// HostLoadTime is the time of a load from host memory.
	HostLoadTime time.Duration
	// DiskLoadTime is the time of a load from disk.
	DiskLoadTime time.Duration
	AdapterCount int
	// AdapterMB is the size of one adapter in megabytes.
	AdapterMB float64
}

// Engine describes the model runners of a service.
type Engine struct {
	Slots  int
	Models []Model
	// MemoryMB is the memory of a runner for weights and adapters, in megabytes.
	MemoryMB     float64
	AdapterSlots int
	// LoadsPerSecond is the rate limit of loads from the weight store, over all runners.
	LoadsPerSecond float64
	HostMemoryMB   float64
	DiskMB         float64
}

// Model returns the model with the given name, or nil.
func (e *Engine) Model(name string) *Model {
	for i := range e.Models {
		if e.Models[i].Name == name {
			return &e.Models[i]
		}
	}
	return nil
}

// Service is a group of endpoints that answer the same requests.
type Service struct {
	Name       string
	HealthPath string
	// MaxConnections is the maximum number of connections to one endpoint, over all callers.
	MaxConnections int
	// Engine is nil for plain services.
	Engine *Engine
}

// Limits holds the limits on requests and connections of callers.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Table is one version of the configuration.
type Table struct {
	Version  uint64
	Services map[string]*Service
	Limits   Limits
	// Workspaces is nil if the configuration lists no workspaces, so that callers need no keys.
	Workspaces *workspaces.Table
	byHost     map[string][]*Route
}

// NewTable returns a table of routes and services. Host names are matched without regard to case.
func NewTable(version uint64, routes []*Route, services map[string]*Service, limits Limits) *Table {
	t := &Table{Version: version, Services: services, Limits: limits, byHost: make(map[string][]*Route)}
	for _, route := range routes {
		host := strings.ToLower(route.Host)
		t.byHost[host] = append(t.byHost[host], route)
	}
	for _, hostRoutes := range t.byHost {
		slices.SortStableFunc(hostRoutes, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	return t
}

// Match returns the route of the host with the longest prefix of the path, or nil.
func (t *Table) Match(host, path string) *Route {
	for _, route := range t.byHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, route.Prefix) {
			return route
		}
	}
	return nil
}

// Each calls a function for each route.
func (t *Table) Each(use func(route *Route)) {
	for _, hostRoutes := range t.byHost {
		for _, route := range hostRoutes {
			use(route)
		}
	}
}

// Size returns the number of routes, over all hosts.
func (t *Table) Size() int {
	size := 0
	for _, hostRoutes := range t.byHost {
		size += len(hostRoutes)
	}
	return size
}

// Pick returns the service for a request according to the weights. Draw is a uniform random number from [0, 1).
func (r *Route) Pick(draw float64) string {
	total := 0
	for _, s := range r.TrafficSplit {
		total += s.Weight
	}
	remaining := draw * float64(total)
	last := ""
	for _, s := range r.TrafficSplit {
		if s.Weight <= 0 {
			continue
		}
		last = s.Service
		if remaining -= float64(s.Weight); remaining < 0 {
			break
		}
	}
	return last
}
