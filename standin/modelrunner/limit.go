package modelrunner

import (
	"net/netip"
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
	// Sender is the name of the VM that sent the request, or "" if it is not known.
	Sender string
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

// sender returns the name of the VM that sent a request, or "" if it is not known.
func (r *Runner) sender(c *app.RequestContext) string {
	address, err := netip.ParseAddrPort(c.RemoteAddr().String())
	if err != nil || r.options.Identify == nil {
		return ""
	}
	return r.options.Identify(address)
}

// recordArrival records the arrival of a request and names the limit in its answer.
func (r *Runner) recordArrival(c *app.RequestContext) {
	sender := r.sender(c)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.arrivals = append(r.arrivals, Arrival{
		Attempt: string(c.GetHeader(headerAttempt)), At: time.Now(), Incarnation: r.startedAtMS, Sender: sender,
	})
	if r.limit != "" {
		c.Header(headerLimit, r.limit)
	}
}
