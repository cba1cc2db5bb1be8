package httpserve

import (
	"context"
	"sync/atomic"

	"github.com/cloudwego/hertz/pkg/app"
)

// countedKey is the key of a request's context that says that the request counts as in flight.
const countedKey = "httpserve.counted"

// requestCounter counts the requests in flight: from the time when a request has been read until its response is written to
// the connection, or the connection has failed. It implements the tracer of the HTTP library, which alone learns of the end.
type requestCounter struct{ count atomic.Int64 }

// Start does nothing: the library calls it before a request arrives.
func (r *requestCounter) Start(ctx context.Context, _ *app.RequestContext) context.Context {
	return ctx
}

// begin counts a request that has been read.
func (r *requestCounter) begin(_ context.Context, c *app.RequestContext) {
	r.count.Add(1)
	c.Set(countedKey, true)
}

// Finish ends a request that was counted.
func (r *requestCounter) Finish(_ context.Context, c *app.RequestContext) {
	if c.GetBool(countedKey) {
		c.Set(countedKey, false)
		r.count.Add(-1)
	}
}

// InFlight returns the number of requests whose responses are not written yet.
func (s *Server) InFlight() int64 { return s.requests.count.Load() }
