package operator

import (
	"net/netip"
	"time"

	"github.com/zinniaroute/zinniaroute/coordination/membership"
	"github.com/zinniaroute/zinniaroute/coordination/publication"
	"github.com/zinniaroute/zinniaroute/state/catalog"
	"github.com/zinniaroute/zinniaroute/state/ledger"
	"github.com/zinniaroute/zinniaroute/state/placement"
	"github.com/zinniaroute/zinniaroute/state/residency"
)

// Paths and parameters of the operators' calls.
const (
	ChangesPath = "/v1/changes"
	CatalogPath = "/v1/catalog"
	StatusPath  = "/v1/status"
	ExplainPath = "/v1/explain"
	DrainPath   = "/v1/drain"
	StatePath   = "/state"
	HealthPath  = "/health"
	MetricsPath = "/debug/vars"
	ParamName   = "name"
)

// Catalog is the active catalog of the VM that answers.
type Catalog struct {
	Revision uint64               `json:"revision"`
	Objects  []catalog.Object     `json:"objects"`
	History  []publication.Change `json:"history"`
}

// MemberStatus is the state of a VM according to the VM that answers.
type MemberStatus struct {
	Name             string           `json:"name"`
	Domain           string           `json:"domain"`
	Address          netip.AddrPort   `json:"address"`
	State            membership.State `json:"state"`
	Revision         uint64           `json:"revision"`
	EntryRevision    uint64           `json:"entryRevision"`
	Term             uint64           `json:"term,omitempty"`
	SinceLastContact time.Duration    `json:"heardAgoNs"`
}

// RunnerStatus is the state of a runner according to the VM that answers.
type RunnerStatus struct {
	residency.RunnerState
	Domain string        `json:"domain"`
	Age    time.Duration `json:"ageNs"`
}

// UnitStatus lists the runners on which a model, version or adapter is ready.
type UnitStatus struct {
	Name    string   `json:"name"`
	Runners []string `json:"runners,omitempty"`
	// Reason states why the unit is ready on no runner, or why it needs more replicas.
	Reason string `json:"reason,omitempty"`
}

// Status is the state of the whole system according to the VM that answers.
type Status struct {
	VM       string         `json:"vm"`
	Domain   string         `json:"domain"`
	Revision uint64         `json:"revision"`
	Members  []MemberStatus `json:"members"`
	Runners  []RunnerStatus `json:"runners"`
	Units    []UnitStatus   `json:"units"`
	// KeyValue is the error that makes the key-value service unusable, or empty.
	KeyValue string `json:"keyValue,omitempty"`
}

// Explanation states where requests for a name are sent and why its weights are placed as they are.
type Explanation struct {
	Name             string               `json:"name"`
	Known            bool                 `json:"known"`
	Unit             string               `json:"unit,omitempty"`
	Adapter          string               `json:"adapter,omitempty"`
	Service          string               `json:"service,omitempty"`
	MustHold         []string             `json:"mustHold,omitempty"`
	ReadyRunners     []RunnerStatus       `json:"ready,omitempty"`
	PlannedMoves     []placement.Move     `json:"moves,omitempty"`
	DeferredMoves    []placement.Move     `json:"deferred,omitempty"`
	Shortages        []placement.Shortage `json:"short,omitempty"`
	Ledgers          []ledger.Snapshot    `json:"ledgers,omitempty"`
	RequestsInFlight float64              `json:"busy"`
}
