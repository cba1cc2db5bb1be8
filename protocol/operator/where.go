package operator

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// WherePath is the path of a gateway's route that shows where a request would go.
const WherePath = "/v1/where"

// PromptPart is a segment of a prompt, as callers name it.
type PromptPart struct {
	ID     string `json:"id"`
	Tokens int    `json:"tokens"`
}

// WhereQuery describes a request that is not sent. It has no key: the workspace is given by its name.
type WhereQuery struct {
	Host    string       `json:"host"`
	Path    string       `json:"path"`
	Model   string       `json:"model,omitempty"`
	Adapter string       `json:"adapter,omitempty"`
	Prompt  []PromptPart `json:"prompt,omitempty"`
	// OutputTokens is the number of tokens of the answer that the caller names.
	OutputTokens int    `json:"outputTokens,omitempty"`
	Workspace    string `json:"workspace,omitempty"`
	// Priority replaces the rank that follows from the workspace and the route.
	Priority *int `json:"priority,omitempty"`
	// Service is one of the services among which the route divides its requests, or "" for the first of them.
	Service string `json:"service,omitempty"`
	// TimeoutMs is the time for which the caller waits, or zero for that of the route.
	TimeoutMs int64 `json:"timeoutMs,omitempty"`
}

// FieldError is something wrong with a field of a description.
type FieldError struct{ Field, Problem string }

// Error returns the field and what is wrong with it.
func (e *FieldError) Error() string { return e.Field + ": " + e.Problem }

// maxTimeout bounds the time for which a caller is said to wait.
const maxTimeout = 24 * time.Hour

// DecodeWhereQuery decodes and checks a description in JSON. The error names the field that is invalid.
func DecodeWhereQuery(data []byte) (WhereQuery, error) {
	var q WhereQuery
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&q); err != nil {
		return WhereQuery{}, decodeError(err)
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return WhereQuery{}, &FieldError{"description", "something follows the object"}
	}
	return q, q.Validate()
}

// decodeError names the field at which decoding failed. The JSON library has no type for the error about an unknown field.
func decodeError(err error) error {
	var wrongType *json.UnmarshalTypeError
	if errors.As(err, &wrongType) && wrongType.Field != "" {
		return &FieldError{wrongType.Field, "must be a " + wrongType.Type.String() + ", not a " + wrongType.Value}
	}
	if field, ok := strings.CutPrefix(err.Error(), "json: unknown field "); ok {
		return &FieldError{strings.Trim(field, `"`), "unknown field"}
	}
	return &FieldError{"description", err.Error()}
}

// Validate returns an error that names the first invalid field, or nil. Only a gateway can tell whether it knows the workspace.
func (q *WhereQuery) Validate() error {
	switch {
	case q.Host == "":
		return &FieldError{"host", "missing"}
	case q.Path == "":
		return &FieldError{"path", "missing"}
	case !strings.HasPrefix(q.Path, "/"):
		return &FieldError{"path", "must begin with /"}
	case strings.Contains(q.Model, "/"):
		return &FieldError{"model", "must not contain /; the adapter has a field of its own"}
	case q.Adapter != "" && q.Model == "":
		return &FieldError{"adapter", "needs a model"}
	case q.OutputTokens < 0:
		return &FieldError{"outputTokens", "must not be negative"}
	case q.Priority != nil && *q.Priority < 0:
		return &FieldError{"priority", "must not be negative"}
	case q.TimeoutMs < 0 || q.TimeoutMs > maxTimeout.Milliseconds():
		return &FieldError{"timeoutMs", "must be from 0 to a day"}
	}
	for i, part := range q.Prompt {
		switch field := fmt.Sprintf("prompt[%d]", i); {
		case part.ID == "":
			return &FieldError{field + ".id", "missing"}
		case strings.ContainsAny(part.ID, ":, "):
			return &FieldError{field + ".id", "must not contain a colon, comma or space"}
		case part.Tokens < 0:
			return &FieldError{field + ".tokens", "must not be negative"}
		}
	}
	return nil
}

// Outcomes of WhereAnswer.
const (
	OutcomeSent    = "sent"
	OutcomeWaits   = "waits"
	OutcomeRefused = "refused"
)

// WhereAnswer says where a request would go now. Nothing is reserved for it.
type WhereAnswer struct {
	VM                   string `json:"vm"`
	ConfigurationVersion uint64 `json:"configuration"`
	Route                string `json:"route,omitempty"`
	Service              string `json:"service,omitempty"`
	// Services are those among which the route divides its requests.
	Services []string `json:"services,omitempty"`
	// Priority is the rank of the request; 0 is the most urgent.
	Priority int `json:"priority"`
	// Outcome is what would happen now, Reason the reason unless it is sent, and Status that of the refusal.
	Outcome      string  `json:"outcome"`
	Reason       string  `json:"reason,omitempty"`
	Status       int     `json:"status,omitempty"`
	RetryAfterMs float64 `json:"retryAfterMs,omitempty"`
	// Endpoint is the one with the lowest cost. Requests are sent at random to one of the Contenders among the candidates.
	Endpoint string `json:"endpoint,omitempty"`
	// Prepare is what must be obtained first: an adapter or a permit.
	Prepare   []string        `json:"prepare,omitempty"`
	Queue     WhereQueue      `json:"queue"`
	Allowance *WhereAllowance `json:"allowance,omitempty"`
	// PathLost means that the VM has no path to the endpoints and forwards requests to another one.
	PathLost   bool             `json:"pathLost,omitempty"`
	Candidates []WhereCandidate `json:"candidates,omitempty"`
}

// WhereQueue is the queue of the VM, with the number of requests that would come before the described one.
type WhereQueue struct {
	Waiting int `json:"waiting"`
	Ahead   int `json:"ahead"`
}

// WhereAllowance says whether the allowance of the workspace admits the request.
type WhereAllowance struct {
	Cost     float64 `json:"cost"`
	Admitted bool    `json:"admitted"`
	// Chance is the part of such requests that would be admitted. It is between 0 and 1 if the VM's share decides.
	Chance       float64 `json:"chance"`
	Rule         string  `json:"rule"`
	RetryAfterMs float64 `json:"retryAfterMs,omitempty"`
}

// WhereCandidate is an endpoint with its cost and what speaks against it.
type WhereCandidate struct {
	Endpoint  string `json:"endpoint"`
	Domain    string `json:"domain"`
	Contender bool   `json:"contender"`
	// CostMs is WaitMs with all penalties.
	CostMs               float64 `json:"costMs"`
	WaitMs               float64 `json:"waitMs"`
	RoomWaitMs           float64 `json:"roomWaitMs"`
	PermitWaitMs         float64 `json:"permitWaitMs"`
	FailurePenaltyMs     float64 `json:"failurePenaltyMs"`
	CrossDomainPenaltyMs float64 `json:"crossDomainPenaltyMs"`
	PausePenaltyMs       float64 `json:"pausePenaltyMs"`
	PrefillUtilization   float64 `json:"prefillUtilization"`
	BacklogTokens        int     `json:"backlogTokens"`
	PrefillTokens        int     `json:"prefillTokens"`
	AdapterNotLoaded     bool    `json:"adapterNotLoaded,omitempty"`
	// NotAdmitted means that admission control would not send the request there now.
	NotAdmitted bool `json:"notAdmitted,omitempty"`
	// Reason is why the endpoint cannot take the request or, with LastChoice, takes it only if no other can. ReasonForMs is the
	// time until its end, or zero if that is not known.
	Reason      string  `json:"reason,omitempty"`
	LastChoice  bool    `json:"lastChoice,omitempty"`
	ReasonForMs float64 `json:"reasonForMs,omitempty"`
}
