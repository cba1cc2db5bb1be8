package engine

import "github.com/zinniaroute/zinniaroute/state/ledger"

// Paths of the model repository extension of the Open Inference Protocol and of the load report, and the header that
// identifies an incarnation of the engine.
const (
	IndexPath         = "/v2/repository/index"
	ModelsPath        = "/v2/repository/models/"
	LoadSuffix        = "/load"
	UnloadSuffix      = "/unload"
	ReportPath        = "/load"
	HealthPath        = "/v2/health/ready"
	IncarnationHeader = "Engine-Incarnation"
)

// OrderRequest is the body of a load or unload order.
type OrderRequest struct {
	Parameters OrderParameters `json:"parameters"`
}

// OrderParameters are the parameters of an order.
type OrderParameters struct {
	// Fence is the fencing number. Engines that support fencing refuse a number below the highest that they have seen.
	Fence uint64 `json:"fence"`
	// Order identifies the order, so that a retried order takes effect once.
	Order     string          `json:"order"`
	Kind      ledger.ItemKind `json:"kind,omitempty"`
	Base      string          `json:"base,omitempty"`
	Weights   string          `json:"weights,omitempty"`
	MemoryMiB int             `json:"memoryMiB,omitempty"`
	// Accelerators holds the accelerator numbers, joined by commas, since the extension allows only scalar parameters.
	Accelerators string `json:"accelerators,omitempty"`
}

// ErrorResponse is the response body of a refused order.
type ErrorResponse struct {
	Error string `json:"error"`
}

// HTTP statuses of a refused order, which has no effect.
const (
	StatusStaleFence = 409
	StatusNoMemory   = 507
	StatusNotFound   = 404
	StatusBadOrder   = 400
)

// Report is an engine's own view of its load. It lags behind the actual load.
type Report struct {
	Incarnation string `json:"incarnation"`
	Running     int    `json:"running"`
	Waiting     int    `json:"waiting"`
	// TokensPerSecond is the generation rate over the last seconds, in tokens per second.
	TokensPerSecond float64 `json:"tokensPerSecond"`
	// PrefillPerSecond is the prefill rate in prompt tokens per second.
	PrefillPerSecond float64 `json:"prefillPerSecond"`
	Leaving          bool    `json:"leaving,omitempty"`
}
