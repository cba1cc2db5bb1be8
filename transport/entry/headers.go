package entry

import (
	"time"

	"github.com/cloudwego/hertz/pkg/app"

	"github.com/zinniaroute/zinniaroute/protocol/caller"
)

const maxIdempotencyKeyBytes = 256

// requestHeaders holds the options that the caller sets in headers.
type requestHeaders struct {
	priority    int
	hasPriority bool
	// deadline is the time in which a model must begin to answer, or a plain service must end its answer. Zero means that
	// there is none.
	deadline       time.Duration
	idempotencyKey string
	caller         string
}

func readHeaders(c *app.RequestContext) (requestHeaders, *failure) {
	var headers requestHeaders
	if text := string(c.GetHeader(caller.HeaderPriority)); text != "" {
		priority, ok := enginePriority(text)
		if !ok {
			return headers, badHeader(caller.HeaderPriority, "must be high, normal or low")
		}
		headers.priority, headers.hasPriority = priority, true
	}
	if text := string(c.GetHeader(caller.HeaderDeadline)); text != "" {
		deadline, err := time.ParseDuration(text)
		if err != nil || deadline <= 0 {
			return headers, badHeader(caller.HeaderDeadline, "must be a time span greater than zero, such as 800ms")
		}
		headers.deadline = deadline
	}
	headers.idempotencyKey = string(c.GetHeader(caller.HeaderIdempotencyKey))
	if len(headers.idempotencyKey) > maxIdempotencyKeyBytes {
		return headers, badHeader(caller.HeaderIdempotencyKey, "longer than 256 bytes")
	}
	headers.caller = string(c.GetHeader(caller.HeaderCaller))
	return headers, nil
}

// enginePriority returns the engine's number for a priority; 0 is the most urgent.
func enginePriority(text string) (int, bool) {
	switch text {
	case "high":
		return 0, true
	case "normal":
		return 1, true
	case "low":
		return 2, true
	default:
		return 0, false
	}
}

func badHeader(name, message string) *failure {
	return badRequest(codeBadHeader, name, name+": "+message)
}
