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
	statusUnauthorized     = 401
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
	codeNotReady     = "model_not_ready"
	codeTimeout      = "deadline_exceeded"
	codeAnswerBroken = "answer_broken"
	codeNoEndpoint   = "no_endpoint"
	codeBadHeader    = "bad_header"
	codeAnswerLost   = "answer_lost"
	codeStopping     = "stopping"
	codeBodyTooSlow  = "body_too_slow"
	codeUnknownRoute = "unknown_route"
	codeIdempotency  = "idempotency"
	codeQuarantined  = "quarantined"
)

// failure is an error answer to a request.
type failure struct {
	status     int
	errorType  string
	code       string
	message    string
	param      string
	outcome    caller.Outcome
	retryAfter time.Duration
	// connectionLost reports whether the connection to the endpoint broke, or its stream was truncated, after the
	// request was sent.
	connectionLost bool
}

func badRequest(code, param, message string) *failure {
	return &failure{
		status:    statusBadRequest,
		errorType: openai.TypeInvalidRequest,
		code:      code,
		param:     param,
		message:   message,
		outcome:   caller.NotRun,
	}
}

func unavailable(code, message string, retryAfter time.Duration) *failure {
	return &failure{
		status:     statusUnavailable,
		errorType:  openai.TypeOverloaded,
		code:       code,
		message:    message,
		outcome:    caller.NotRun,
		retryAfter: retryAfter,
	}
}

func (f *failure) body(requestID string) openai.ErrorResponse {
	return openai.ErrorResponse{Error: openai.Error{
		Message:      f.message,
		Type:         f.errorType,
		Param:        f.param,
		Code:         f.code,
		RequestID:    requestID,
		Outcome:      string(f.outcome),
		RetryAfterMs: f.retryAfter.Milliseconds(),
	}}
}

// write writes the failure as the whole answer.
func (f *failure) write(c *app.RequestContext, requestID string) {
	c.Header(caller.HeaderOutcome, string(f.outcome))
	if f.retryAfter > 0 {
		seconds := (f.retryAfter + time.Second - 1) / time.Second
		c.Header(caller.HeaderRetryAfter, strconv.Itoa(int(seconds)))
	}
	if f.status == statusUnauthorized {
		c.Header("WWW-Authenticate", "Bearer")
	}
	c.JSON(f.status, f.body(requestID))
}
