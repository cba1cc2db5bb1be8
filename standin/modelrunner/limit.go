package modelrunner

import (
	"slices"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
)

const headerLimit = "Server-Limit"

// SetLimit makes the runner name a limit of requests a second in its answers from now on, or none if it is empty.
func (r *Runner) SetLimit(perSecond string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.limit = perSecond
}

// Arrival is a request that reached a runner.
type Arrival struct {
	Attempt string
	At      time.Time
	// Incarnation is the time of the runner's start in Unix milliseconds.
	Incarnation int64
	// Rejected reports that the runner turned the request away because it rests.
	Rejected bool
}

// Arrivals returns the requests that arrived, also those that the runner did not run, in order. Reports and orders do not
// count.
func (r *Runner) Arrivals() []Arrival {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.arrivals)
}

// recordArrival records the arrival of a request and names the limit in its answer.
func (r *Runner) recordArrival(c *app.RequestContext) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.arrivals = append(r.arrivals, Arrival{
		Attempt: string(c.GetHeader(headerAttempt)), At: time.Now(), Incarnation: r.startedAtMS,
	})
	if r.limit != "" {
		c.Header(headerLimit, r.limit)
	}
}
