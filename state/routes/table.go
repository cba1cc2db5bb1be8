package routes

import (
	"cmp"
	"slices"
	"strings"
	"time"
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

// Share is a service with its weight in the traffic split of a route.
type Share struct {
	Service string
	Weight  int
}

// Route sends the requests of one host under one path prefix to services.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	Shares []Share
	// Timeout is the maximum time until a request is answered, or until a stream ends.
	Timeout time.Duration
	// Target is the time to first byte within which the answer has its full value to the caller.
	Target time.Duration
	// Rank is the priority of the route's requests; 0 is the most urgent.
	Rank int
	// MaxRuns is the maximum number of endpoints that may run one request.
	MaxRuns int
	// Resumable means that another endpoint can continue a truncated stream.
	Resumable bool
}

// Repeatable reports whether a request may be retried after an attempt that may have run.
func (r *Route) Repeatable() bool { return r.Kind == Safe || r.Kind == Stream && r.Resumable }

// Model describes a model that the runners of a service can load.
type Model struct {
	Name string
	// MemoryMB is the size of the weights in megabytes.
	MemoryMB float64
	// LoadTime is the time of a load from the weight store.
	LoadTime time.Duration
	// WarmTime is the time of a load from host memory.
	WarmTime time.Duration
	// DiskTime is the time of a load from disk.
	DiskTime time.Duration
	Adapters int
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
	HostMB         float64
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
	HeaderBytes int
	BodyBytes   int
	HeaderTime  time.Duration
	IdleTime    time.Duration
}

// Table is one version of the configuration.
type Table struct {
	Version  uint64
	Services map[string]*Service
	Limits   Limits
	byHost   map[string][]*Route
}

// NewTable returns a table of routes and services. Host names are matched without regard to case.
func NewTable(version uint64, all []*Route, services map[string]*Service, limits Limits) *Table {
	t := &Table{Version: version, Services: services, Limits: limits, byHost: make(map[string][]*Route)}
	for _, route := range all {
		host := strings.ToLower(route.Host)
		t.byHost[host] = append(t.byHost[host], route)
	}
	for _, hosted := range t.byHost {
		slices.SortStableFunc(hosted, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
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

// Size returns the number of routes, over all hosts.
func (t *Table) Size() int {
	size := 0
	for _, hosted := range t.byHost {
		size += len(hosted)
	}
	return size
}

// Pick returns the service for a request according to the weights. Draw is a uniform random number from [0, 1).
func (r *Route) Pick(draw float64) string {
	total := 0
	for _, share := range r.Shares {
		total += share.Weight
	}
	left := draw * float64(total)
	last := ""
	for _, share := range r.Shares {
		if share.Weight <= 0 {
			continue
		}
		last = share.Service
		if left -= float64(share.Weight); left < 0 {
			break
		}
	}
	return last
}
