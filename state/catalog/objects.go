package catalog

import (
	"encoding/json"
	"net/netip"

	"github.com/zinniaroute/zinniaroute/document"
)

// Kind is the type of a named object.
type Kind string

// The kinds of named objects.
const (
	KindModel      Kind = "model"
	KindAdapter    Kind = "adapter"
	KindVersion    Kind = "version"
	KindPlacement  Kind = "placement"
	KindRoute      Kind = "route"
	KindService    Kind = "service"
	KindRunner     Kind = "runner"
	KindDeployment Kind = "deployment"
	KindWorkspace  Kind = "workspace"
)

// Kinds returns every kind in the order in which a set is printed.
func Kinds() []Kind {
	return []Kind{
		KindModel, KindAdapter, KindVersion, KindPlacement,
		KindRoute, KindService, KindRunner, KindWorkspace, KindDeployment,
	}
}

// Key identifies an object in the catalog by kind and name.
type Key struct {
	Kind Kind   `json:"kind"`
	Name string `json:"name"`
}

// String returns the key as kind/name.
func (k Key) String() string { return string(k.Kind) + "/" + k.Name }

// Model is a language model that engines can load.
type Model struct {
	Name string `json:"name"`
	// MemoryMiB is the memory of the weights on each accelerator.
	MemoryMiB int `json:"memoryMiB"`
	// ReserveMiB is the memory reserved for the KV cache on each accelerator.
	ReserveMiB int `json:"reserveMiB,omitempty"`
	// Accelerators is the number of accelerators that one replica spans; zero means one.
	Accelerators  int `json:"accelerators,omitempty"`
	ContextTokens int `json:"contextTokens,omitempty"`
	// Version names the version that the model's name serves. Empty means the model's own weights.
	Version string  `json:"version,omitempty"`
	Targets Targets `json:"targets,omitzero"`
}

// Targets are the latency targets of a model: the time to the first token and the time between tokens.
type Targets struct {
	FirstToken    document.Duration `json:"firstToken,omitzero"`
	BetweenTokens document.Duration `json:"betweenTokens,omitzero"`
}

// Adapter is a set of weights applied on top of a base model.
type Adapter struct {
	Name string `json:"name"`
	// Base names the model or version that the adapter was trained for.
	Base string `json:"base"`
	// MemoryMiB is the memory of the adapter on each accelerator that holds its base.
	MemoryMiB int `json:"memoryMiB"`
}

// Version is one set of weights of a model.
type Version struct {
	Name  string `json:"name"`
	Model string `json:"model"`
	// Weights identifies the weights in the weight store. Empty means the version's name.
	Weights string `json:"weights,omitempty"`
	// MemoryMiB overrides the model's MemoryMiB if it is not zero.
	MemoryMiB int `json:"memoryMiB,omitempty"`
}

// Placement constrains the number of replicas of a model or version, their failure domains and their runners.
type Placement struct {
	Name string `json:"name"`
	// Target names the model or version.
	Target      string   `json:"target"`
	MinReplicas int      `json:"minReplicas,omitempty"`
	MaxReplicas int      `json:"maxReplicas,omitempty"`
	Domains     []string `json:"domains,omitempty"`
	Pins        []string `json:"pins,omitempty"`
}

// Route maps a public name to weighted targets or to a plain service.
type Route struct {
	Name    string        `json:"name"`
	Targets []RouteTarget `json:"targets,omitempty"`
	Service string        `json:"service,omitempty"`
}

// RouteTarget is one target of a route. A weight of zero counts as one.
type RouteTarget struct {
	Name   string `json:"name"`
	Weight int    `json:"weight,omitempty"`
}

// Service is a plain HTTP service with rules for its calls.
type Service struct {
	Name  string     `json:"name"`
	Rules []CallRule `json:"rules,omitempty"`
}

// CallRule states whether calls that match a method and a path prefix are idempotent and thus may be retried.
type CallRule struct {
	// Method is an HTTP method. Empty matches every method.
	Method     string `json:"method,omitempty"`
	PathPrefix string `json:"pathPrefix"`
	Idempotent bool   `json:"idempotent"`
}

// Runner is an endpoint: a model engine, or one replica of a plain service.
type Runner struct {
	Name    string         `json:"name"`
	Address netip.AddrPort `json:"address"`
	Domain  string         `json:"domain"`
	// Service names the plain service that the runner serves. Empty means a model engine.
	Service string `json:"service,omitempty"`
	// Accelerators is the number of accelerators of a model engine.
	Accelerators int `json:"accelerators,omitempty"`
	// MemoryMiB is the memory of each accelerator.
	MemoryMiB int `json:"memoryMiB,omitempty"`
	// Fenced reports whether the engine rejects an order with a lower fence than the highest that it has seen.
	Fenced bool `json:"fenced,omitempty"`
}

// Workspace is a group of callers that share keys, a priority and an allowance. Callers need keys if the catalog has any workspace.
type Workspace struct {
	Name string `json:"name"`
	// Keys holds the SHA-256 digest of each key in lower-case hexadecimal digits.
	Keys []string `json:"keys,omitempty"`
	// Priority precedes the priority of a request; 0 is the most urgent. Nil means the most urgent of the catalog.
	Priority *int `json:"priority,omitempty"`
	// RatePerSecond is the number of requests a second that all entries together admit; zero means no limit. Burst is the
	// number that they admit at once.
	RatePerSecond float64 `json:"ratePerSecond,omitempty"`
	Burst         float64 `json:"burst,omitempty"`
}

// Deployment holds the settings of the whole system.
type Deployment struct {
	Name    string   `json:"name"`
	Domains []string `json:"domains"`
	// MovePrice is the smallest gain in attainment that justifies one load, as a share of an accelerator's capacity.
	MovePrice float64 `json:"movePrice"`
	// LoadsPerSecond is the rate of loads that the weight store permits to all runners together.
	LoadsPerSecond float64 `json:"loadsPerSecond"`
	// ConcurrentLoads is the number of concurrent loads that the weight store serves at full speed.
	ConcurrentLoads int `json:"concurrentLoads"`
	// ConcurrentAdapters is the number of concurrent adapter loads that run at full speed.
	ConcurrentAdapters int `json:"concurrentAdapters"`
	// MinimumStay is the time for which a replica stays resident before it may be evicted for another unit's demand.
	MinimumStay document.Duration `json:"minimumStay,omitzero"`
}

// Set is a whole catalog, or the part of it in one file.
type Set struct {
	Deployment []Deployment `json:"deployment,omitempty"`
	Models     []Model      `json:"models,omitempty"`
	Versions   []Version    `json:"versions,omitempty"`
	Adapters   []Adapter    `json:"adapters,omitempty"`
	Placements []Placement  `json:"placements,omitempty"`
	Routes     []Route      `json:"routes,omitempty"`
	Services   []Service    `json:"services,omitempty"`
	Runners    []Runner     `json:"runners,omitempty"`
	Workspaces []Workspace  `json:"workspaces,omitempty"`
}

// Object is a named object as it is published: its key, revision and JSON encoding.
type Object struct {
	Key
	// Revision is the catalog revision in which the object last changed.
	Revision uint64          `json:"revision"`
	Spec     json.RawMessage `json:"spec"`
}
