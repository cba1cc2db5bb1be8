package placement

import (
	"time"

	"github.com/zinniaroute/zinniaroute/state/catalog"
)

// LoadLimiter is a token bucket that limits a failure domain's loads of base weights to its share of the weight store's
// rate.
type LoadLimiter struct {
	tokens     float64
	refilledAt time.Time
}

// NewLoadLimiter returns a limiter that permits one load immediately.
func NewLoadLimiter() *LoadLimiter { return &LoadLimiter{tokens: 1} }

// Budget refills the bucket and returns the number of loads that may start now. inProgress is the number of loads in
// progress in the failure domain.
func (p *LoadLimiter) Budget(now time.Time, deployment catalog.Deployment, domains, inProgress int) int {
	share := max(1, deployment.ConcurrentLoads/domains)
	if !p.refilledAt.IsZero() {
		p.tokens += now.Sub(p.refilledAt).Seconds() * deployment.LoadsPerSecond / float64(domains)
	}
	p.refilledAt = now
	p.tokens = min(p.tokens, float64(share))
	return max(0, min(int(p.tokens), share-inProgress))
}

// RecordStarted deducts the loads that have started from the budget.
func (p *LoadLimiter) RecordStarted(loads int) { p.tokens -= float64(loads) }
