package caller

// Request headers.
const (
	// HeaderPriority is "high" for interactive questions, "normal", or "low" for drafts.
	HeaderPriority = "Zinnia-Priority"
	// HeaderDeadline is the longest time to the first token that is useful to the caller, such as "800ms". For a plain
	// service it is the longest time of the whole call.
	HeaderDeadline = "Zinnia-Deadline"
	// HeaderIdempotencyKey identifies a non-idempotent request, so that it runs at most once however often it is retried.
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderCaller identifies the caller for fair sharing; without it the peer address identifies the caller.
	HeaderCaller = "Zinnia-Caller"
)

// Response headers.
const (
	HeaderRequestID = "Zinnia-Request-Id"
	HeaderOutcome   = "Zinnia-Outcome"
	HeaderRunner    = "Zinnia-Runner"
	// HeaderReplayed marks a recorded response to an earlier request with the same idempotency key.
	HeaderReplayed   = "Zinnia-Replayed"
	HeaderRetryAfter = "Retry-After"
)

// Outcome states whether a request has run and whether its response is complete.
type Outcome string

// Outcomes of a request.
const (
	// Complete requests have a complete response.
	Complete Outcome = "complete"
	// NotRun requests have definitely not run on an endpoint.
	NotRun Outcome = "notRun"
	// Unknown requests may have run.
	Unknown Outcome = "unknown"
	// Partial requests have run, but part of the response is missing.
	Partial Outcome = "partial"
)

// ServicesPath is the prefix of the path of a call to a plain service; the name of the route follows it.
const ServicesPath = "/services/"
