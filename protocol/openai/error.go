package openai

// Error types of the API.
const (
	TypeInvalidRequest = "invalid_request_error"
	TypeNotFound       = "not_found_error"
	TypeOverloaded     = "overloaded_error"
	TypeServer         = "server_error"
	TypeTimeout        = "timeout_error"
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

// Error codes of the API.
const (
	CodeModelNotFound = "model_not_found"
	CodeBadJSON       = "invalid_json"
	CodeTooLarge      = "body_too_large"
	CodeOverloaded    = "overloaded"
	CodeLeaving       = "leaving"
)
