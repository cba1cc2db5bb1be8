package limits

import (
	"math"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Unlimited is the limit of a runner that names none.
var Unlimited = math.Inf(1)

const (
	// droppedTTL is how long a VM tells others that a runner names no limit any more. VMs exchange several times a second.
	droppedTTL = 10 * time.Second
	// absentTTL is how long the limit of a runner without an entry in the store is kept. It exceeds outages of the store.
	absentTTL = time.Minute
	// maxReportDelay is the time by which the age of another VM's record may be wrong, as it was on its way.
	maxReportDelay = time.Second
)

// Named is what a runner's answers say about its limit.
type Named struct {
	Runner string
	// PerSecond is the number of requests a second that the runner takes from all VMs together, or Unlimited.
	PerSecond float64
	// At is when the latest answer with this limit arrived.
	At time.Time
}

// Registry holds the limits that runners have named, to this VM or to others. A limit outlives a restart of its runner,
// until an answer shows that it is over.
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
	r.named[runner] = Named{Runner: runner, PerSecond: perSecond, At: now}
	return !ok || known.PerSecond != perSecond
}

// Merge merges what another VM reports, and reports whether the known limit changed. A record that comes back from other
// VMs seems a little later than it is.
func (r *Registry) Merge(named Named) bool {
	known, ok := r.named[named.Runner]
	if ok && !named.At.After(known.At) {
		return false
	}
	if ok && named.PerSecond == known.PerSecond && named.At.Sub(known.At) < maxReportDelay {
		return false
	}
	before := r.PerSecond(named.Runner)
	r.named[named.Runner] = named
	return named.PerSecond != before
}

// Named returns what is known of a runner's limit, or Unlimited.
func (r *Registry) Named(runner string) Named {
	if known, ok := r.named[runner]; ok {
		return known
	}
	return Named{Runner: runner, PerSecond: Unlimited}
}

// PerSecond returns the limit of a runner in requests a second, or Unlimited.
func (r *Registry) PerSecond(runner string) float64 { return r.Named(runner).PerSecond }

// Current returns what other VMs need to be told, in order of the runners: limits, and recent ends of limits.
func (r *Registry) Current(now time.Time) []Named {
	var all []Named
	for _, known := range r.named {
		if known.PerSecond != Unlimited || now.Sub(known.At) < droppedTTL {
			all = append(all, known)
		}
	}
	slices.SortFunc(all, func(a, b Named) int { return strings.Compare(a.Runner, b.Runner) })
	return all
}

// Forget removes the limits of runners that do not exist any more.
func (r *Registry) Forget(now time.Time, exists func(runner string) bool) {
	for runner, known := range r.named {
		if !exists(runner) && now.Sub(known.At) >= absentTTL {
			delete(r.named, runner)
		}
	}
}

// Text formats a limit for logs and dumps, as requests a second or "none".
func Text(perSecond float64) string {
	if perSecond == Unlimited {
		return "none"
	}
	return strconv.FormatFloat(perSecond, 'g', -1, 64)
}
