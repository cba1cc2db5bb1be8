package limits

import (
	"math"
	"strconv"
	"time"
)

// Unlimited is the limit of a runner that names none.
var Unlimited = math.Inf(1)

// Named is what a runner's answers say about its limit.
type Named struct {
	// PerSecond is the number of requests a second that the runner takes from all VMs together, or Unlimited.
	PerSecond float64
	// At is when the latest answer with this limit arrived.
	At time.Time
}

// Registry holds the limits that runners have named, by runner.
type Registry struct{ named map[string]Named }

// NewRegistry returns a registry without limits.
func NewRegistry() *Registry { return &Registry{named: make(map[string]Named)} }

// Record records the limit in an answer that arrived now to a request sent at a time, and reports whether the known limit
// changed. Answers may overtake each other: one to a request that was sent before the known limit arrived only lowers it.
func (r *Registry) Record(now time.Time, runner string, perSecond float64, sentAt time.Time) bool {
	known, ok := r.named[runner]
	switch {
	case !ok && perSecond == Unlimited:
		return false
	case ok && sentAt.Before(known.At) && perSecond > known.PerSecond:
		return false
	}
	r.named[runner] = Named{PerSecond: perSecond, At: now}
	return !ok || known.PerSecond != perSecond
}

// PerSecond returns the limit of a runner in requests a second, or Unlimited.
func (r *Registry) PerSecond(runner string) float64 {
	if known, ok := r.named[runner]; ok {
		return known.PerSecond
	}
	return Unlimited
}

// Text formats a limit for logs and dumps, as requests a second or "none".
func Text(perSecond float64) string {
	if perSecond == Unlimited {
		return "none"
	}
	return strconv.FormatFloat(perSecond, 'g', -1, 64)
}
