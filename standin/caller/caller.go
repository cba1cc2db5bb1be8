package caller

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"net/http"
	"net/netip"
)

// Paths, store keys and headers of the platform that tests use.
const (
	// ReadyPath is the path at which the platform checks whether a VM accepts callers.
	ReadyPath = "/zinniaroute/ready"
	// ConfigurationKey is the store key of the configuration, and RunnerKeys the key prefix of the runners' entries.
	ConfigurationKey = "op/config"
	RunnerKeys       = "servers/"

	// AttemptHeader is the request header with the ID of the attempt, and SealHeader the response header with the signature
	// of a runner.
	AttemptHeader = "X-Zinniaroute-Attempt-Id"
	SealHeader    = "X-Zinniaroute-Response-Seal"
	// KeyHeader is the request header with the key of a caller, and WorkspaceHeader the one by which runners get the workspace.
	KeyHeader       = "Authorization"
	WorkspaceHeader = "X-Zinniaroute-Tenant"
	// NotRunHeader is the response header with which a runner states that it has not executed a request.
	NotRunHeader = "X-Zinniaroute-Not-Executed"
	// ListPath is the path of the store's call that lists items.
	ListPath = "/zinniaroute/kv-range"

	headerLimit = "Server-Limit"
	// headerLeaving is set in the answers of a runner that leaves.
	headerLeaving = "Server-Leaving"
)

// Request describes a request of a caller.
type Request struct {
	Attempt string
	Host    string
	Path    string
	// Get selects the method GET instead of POST.
	Get bool
	// Model is the model, or the model and an adapter separated by a slash. It is empty for plain services.
	Model string
	// Prompt lists the parts of the prompt of a request to a model as ID:TOKENS pairs. An empty one stands for two parts.
	Prompt string
	Body   []byte
	// Resumes is the attempt that brought the first event of a stream that broke off, and ResumeAfter the ID of the last
	// event of it. Both are empty for a new request.
	Resumes     string
	ResumeAfter string
	// Key is the key of the caller's workspace, or "" for a request without one.
	Key string
}

// NewRequest returns the HTTP request to a VM. Requests to a model get fixed token counts.
func NewRequest(ctx context.Context, vm netip.AddrPort, r Request) (*http.Request, error) {
	method := http.MethodPost
	if r.Get {
		method = http.MethodGet
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+vm.String()+r.Path, bytes.NewReader(r.Body))
	if err != nil {
		return nil, err
	}
	request.Host = r.Host
	request.Header.Set(AttemptHeader, r.Attempt)
	request.Header.Set("X-Zinniaroute-Deadline-Ms", "8000")
	if r.Model != "" {
		request.Header.Set("X-Zinniaroute-Model", r.Model)
		request.Header.Set("X-Zinniaroute-Token-Count", "100,50")
		request.Header.Set("X-Zinniaroute-Prompt-Prefix", cmp.Or(r.Prompt, "a1:50,b2:50"))
	}
	if r.Key != "" {
		request.Header.Set(KeyHeader, "Bearer "+r.Key)
	}
	if r.ResumeAfter != "" {
		request.Header.Set("Last-Event-Id", r.ResumeAfter)
	}
	if r.Resumes != "" {
		request.Header.Set("Resumes", r.Resumes)
	}
	return request, nil
}

// ResponseSeal returns the signature of the runner that sent the response, or "" if there is none.
func ResponseSeal(response *http.Response) string { return response.Header.Get(SealHeader) }

// Leaving reports whether the runner said in its response that it leaves.
func Leaving(response *http.Response) bool { return response.Header.Get(headerLeaving) != "" }

// Limit returns the limit of requests a second that the runner named in its response, or "" if it named none.
func Limit(response *http.Response) string { return response.Header.Get(headerLimit) }

// Route is a route of a configuration in the JSON form of the platform. Times are in milliseconds.
type Route struct {
	Name            string `json:"name"`
	Host            string `json:"host"`
	Prefix          string `json:"prefix"`
	Kind            string `json:"kind"`
	TimeoutMS       int    `json:"timeout_ms"`
	TargetLatencyMS int    `json:"target_latency_ms"`
	Priority        int    `json:"priority"`
	Service         string `json:"service"`
	MaxAttempts     int    `json:"max_attempts"`
	Resumable       bool   `json:"resumable"`
	GapTargetMS     int    `json:"gap_aim_ms"`
	// Public means that callers need no key.
	Public bool `json:"public,omitempty"`
}

// Workspace is a workspace of a configuration. Priority is nil for one without a priority.
type Workspace struct {
	Name     string   `json:"name"`
	Keys     []string `json:"api_keys"`
	Priority *int     `json:"priority,omitempty"`
}

// Model is a model of a configuration. LoadS, WarmS and DiskS are the seconds that a load takes from the weight store,
// from host memory and from disk.
type Model struct {
	Name      string  `json:"name"`
	MemoryMB  float64 `json:"weights_mb"`
	LoadS     float64 `json:"load_s"`
	WarmS     float64 `json:"warm_s"`
	DiskS     float64 `json:"disk_s"`
	Adapters  int     `json:"adapters"`
	AdapterMB float64 `json:"adapter_mb"`
}

// Engine describes the model runners of a service.
type Engine struct {
	Slots            int     `json:"slots"`
	KVCapacityTokens int     `json:"kv_capacity"`
	Models           []Model `json:"models"`
	MemoryMB         float64 `json:"weights_mb"`
	AdapterSlots     int     `json:"adapter_slots"`
	LoadsPerS        float64 `json:"loads_per_s"`
}

// Service is a service of a configuration. Engine is nil for plain services.
type Service struct {
	Name           string  `json:"name"`
	HealthPath     string  `json:"health_path"`
	MaxConnections int     `json:"max_connections"`
	Engine         *Engine `json:"engine,omitempty"`
}

// Configuration returns the value that an operator writes to ConfigurationKey. Without workspaces callers need no keys.
func Configuration(version int, routes []Route, services []Service, workspaces ...Workspace) ([]byte, error) {
	configuration := map[string]any{
		"version": version, "routes": routes, "services": services,
		"limits": map[string]any{
			"max_header_bytes": 16384, "max_body_bytes": 4 << 20, "header_timeout_ms": 3000, "idle_timeout_ms": 15000,
		},
	}
	if len(workspaces) > 0 {
		configuration["tenants"] = workspaces
	}
	return json.Marshal(configuration)
}
