package entry

import (
	"strconv"
	"time"

	"github.com/cloudwego/hertz/pkg/app"

	"github.com/zinniaroute/zinniaroute/protocol/caller"
	"github.com/zinniaroute/zinniaroute/protocol/openai"
)

// The HTTP statuses that an entry sends or handles.
const (
	statusOK               = 200
	statusNoContent        = 204
	statusNotModified      = 304
	statusBadRequest       = 400
	statusNotFound         = 404
	statusMethodNotAllowed = 405
	statusRequestTimeout   = 408
	statusConflict         = 409
	statusTooLarge         = 413
	statusUnprocessable    = 422
	statusTooMany          = 429
	statusServerError      = 500
	statusBadGateway       = 502
	statusUnavailable      = 503
	statusGatewayTimeout   = 504
)

// The error codes that an entry adds to those of the OpenAI API.
const (
	codeNotReady    = "model_not_ready"
	codeTimeout     = "deadline_exceeded"
	codeBroken      = "answer_broken"
	codeNoEndpoint  = "no_endpoint"
	codeBadHeader   = "bad_header"
	codeLost        = "answer_lost"
	codeStopping    = "stopping"
	codeSlowBody    = "body_too_slow"
	codeNoRoute     = "unknown_route"
	codeClaim       = "idempotency"
	codeQuarantined = "quarantined"
)

// failure is an error answer to a request.
type failure struct {
	status     int
	kind       string
	code       string
	message    string
	param      string
	outcome    caller.Outcome
	retryAfter time.Duration
	// lost reports whether the connection to the endpoint broke, or its stream was truncated, after the request was
	// sent.
	lost bool
}

func badRequest(code, param, message string) *failure {
	return &failure{
		status:  statusBadRequest,
		kind:    openai.TypeInvalidRequest,
		code:    code,
		param:   param,
		message: message,
		outcome: caller.NotRun,
	}
}

func overloaded(code, message string, retryAfter time.Duration) *failure {
	return &failure{
		status:     statusUnavailable,
		kind:       openai.TypeOverloaded,
		code:       code,
		message:    message,
		outcome:    caller.NotRun,
		retryAfter: retryAfter,
	}
}

func (f *failure) body(requestID string) openai.Failure {
	return openai.Failure{Error: openai.Error{
		Message:      f.message,
		Type:         f.kind,
		Param:        f.param,
		Code:         f.code,
		RequestID:    requestID,
		Outcome:      string(f.outcome),
		RetryAfterMs: f.retryAfter.Milliseconds(),
	}}
}

// answer writes the failure as the whole answer.
func (f *failure) answer(c *app.RequestContext, requestID string) {
	c.Header(caller.HeaderOutcome, string(f.outcome))
	if f.retryAfter > 0 {
		seconds := (f.retryAfter + time.Second - 1) / time.Second
		c.Header(caller.HeaderRetryAfter, strconv.Itoa(int(seconds)))
	}
	c.JSON(f.status, f.body(requestID))
}
