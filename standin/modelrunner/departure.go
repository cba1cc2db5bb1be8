package modelrunner

import (
	"net/http"
	"slices"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
)

const (
	headerLeaving    = "Server-Leaving"
	headerRetryAfter = "Retry-After"
	headerNotRun     = "X-Zinniaroute-Not-Executed"
)

// SetLeaving makes the runner say in all its answers from now on that it leaves, once for each value.
func (r *Runner) SetLeaving(values ...string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.leaving = slices.Clone(values)
}

// Rest describes how a runner turns requests away for some time.
type Rest struct {
	// Until is when the runner takes requests again.
	Until time.Time
	// RetryAfter holds the values of the header of that name.
	RetryAfter []string
}

// SetRest makes the runner turn requests away with status 503, without having run them.
func (r *Runner) SetRest(rest Rest) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rest = rest
}

// announceLeaving adds the headers of a runner that leaves to an answer.
func (r *Runner) announceLeaving(c *app.RequestContext) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, value := range r.leaving {
		c.Response.Header.Add(headerLeaving, value)
	}
}

// rejectResting answers a request with status 503 while the runner rests, and reports whether it did.
func (r *Runner) rejectResting(c *app.RequestContext) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !time.Now().Before(r.rest.Until) {
		return false
	}
	for _, value := range r.rest.RetryAfter {
		c.Response.Header.Add(headerRetryAfter, value)
	}
	c.Header(headerNotRun, "1")
	c.Header(headerAttempt, string(c.GetHeader(headerAttempt)))
	c.SetStatusCode(http.StatusServiceUnavailable)
	if count := len(r.arrivals); count > 0 {
		r.arrivals[count-1].Rejected = true
	}
	return true
}
