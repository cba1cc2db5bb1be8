package routes

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// Kind tells what of a request may be repeated.
type Kind string

// The kinds of routes.
const (
	// Safe requests may run more than once.
	Safe Kind = "safe"
	// Unsafe requests run at most once.
	Unsafe Kind = "unsafe"
	// Stream requests are answered with events.
	Stream Kind = "stream"
)

// Share is a service's part of a route's requests.
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
	// Timeout is the longest time that a request may stay unanswered or a stream may last.
	Timeout time.Duration
	// Target is the time to the first byte of the answer within which it has its full value.
	Target time.Duration
	// Rank orders the kinds of requests; zero goes first.
	Rank int
	// MaxRuns is the largest number of endpoints that may run one request.
	MaxRuns int
	// Resumable streams may be continued on another endpoint.
	Resumable bool
}

// Repeatable reports whether a request may be sent again after it may have run.
func (r *Route) Repeatable() bool { return r.Kind == Safe || r.Kind == Stream && r.Resumable }

// Model is a model that a service's runners can load.
type Model struct {
	Name string
	// MemoryMB is the memory of the weights in megabytes.
	MemoryMB float64
	// LoadTime is that of a load from the weight store, WarmTime from host memory and DiskTime from disk.
	LoadTime time.Duration
	WarmTime time.Duration
	DiskTime time.Duration
	Adapters int
	// AdapterMB is the memory of one adapter in megabytes.
	AdapterMB float64
}

// Engine describes the model runners of a service.
type Engine struct {
	Slots  int
	Models []Model
	// MemoryMB is the memory of a runner for weights and adapters in megabytes.
	MemoryMB     float64
	AdapterSlots int
	// LoadsPerSecond bounds the loads from the weight store over all runners.
	LoadsPerSecond float64
	HostMB         float64
	DiskMB         float64
}

// Model returns the model of a name, or nil.
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
	// MaxConnections bounds the connections of all callers to one endpoint.
	MaxConnections int
	// Engine is nil for plain services.
	Engine *Engine
}

// Limits bound what callers may send.
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

// NewTable returns a table of routes and services.
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

// Match returns the route with the longest prefix of the path on a host, or nil.
func (t *Table) Match(host, path string) *Route {
	for _, route := range t.byHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, route.Prefix) {
			return route
		}
	}
	return nil
}

// Size returns the number of routes.
func (t *Table) Size() int {
	size := 0
	for _, hosted := range t.byHost {
		size += len(hosted)
	}
	return size
}

// Pick returns the service for a request by a number drawn evenly from [0, 1).
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
