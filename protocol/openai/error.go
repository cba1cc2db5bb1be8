package openai

import "net/http"

// Error types of the API.
const (
	TypeInvalidRequest = "invalid_request_error"
	TypeNotFound       = "not_found_error"
	TypeOverloaded     = "overloaded_error"
	TypeServer         = "server_error"
	TypeTimeout        = "timeout_error"
	// TypeRequests is the type of the error of a caller that sends too many requests.
	TypeRequests = "requests"
)

// ErrorResponse is the response body of a failed request, or the last event of an aborted stream.
type ErrorResponse struct {
	Error Error `json:"error"`
}

// Error describes why a request failed.
type Error struct {
	Message string `json:"message"`
	Type    string `json:"type"`
	Param   string `json:"param,omitempty"`
	Code    string `json:"code,omitempty"`
	// RequestID, Outcome and RetryAfterMs are extensions of the API. RetryAfterMs is in milliseconds.
	RequestID    string `json:"requestId,omitempty"`
	Outcome      string `json:"outcome,omitempty"`
	RetryAfterMs int64  `json:"retryAfterMs,omitempty"`
}

// Declines reports whether an engine that answers a request with this error and a status has not run it, and another engine may.
func (e Error) Declines(status int) bool {
	switch status {
	case http.StatusNotFound:
		return e.Code == CodeModelNotFound
	case http.StatusTooManyRequests:
		return e.Code == CodeOverloaded
	case http.StatusServiceUnavailable:
		return e.Code == CodeOverloaded || e.Code == CodeLeaving
	default:
		return false
	}
}

// Rejects reports whether an engine that answers a request with this error and a status has not run it, because the request is
// invalid.
func (e Error) Rejects(status int) bool {
	switch status {
	case http.StatusBadRequest, http.StatusUnauthorized, http.StatusForbidden, http.StatusNotFound, http.StatusRequestEntityTooLarge,
		http.StatusUnprocessableEntity:
		return e.Message != ""
	default:
		return false
	}
}

// Error codes of the API.
const (
	CodeModelNotFound = "model_not_found"
	CodeBadJSON       = "invalid_json"
	CodeTooLarge      = "body_too_large"
	CodeOverloaded    = "overloaded"
	CodeLeaving       = "leaving"
	CodeInvalidKey    = "invalid_api_key"
	CodeRateLimit     = "rate_limit_exceeded"
)
