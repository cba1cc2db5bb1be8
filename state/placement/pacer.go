package placement

import (
	"time"

	"github.com/zinniaroute/zinniaroute/state/catalog"
)

// Pacer is a token bucket that limits a failure domain's loads of base weights to its share of the weight store's rate.
type Pacer struct {
	tokens float64
	at     time.Time
}

// NewPacer returns a pacer that permits one load immediately.
func NewPacer() *Pacer { return &Pacer{tokens: 1} }

// Budget refills the bucket and returns the number of loads that may start now. underWay is the number of loads in
// progress in the failure domain.
func (p *Pacer) Budget(now time.Time, deployment catalog.Deployment, domains, underWay int) int {
	share := max(1, deployment.ConcurrentLoads/domains)
	if !p.at.IsZero() {
		p.tokens += now.Sub(p.at).Seconds() * deployment.LoadsPerSecond / float64(domains)
	}
	p.at = now
	p.tokens = min(p.tokens, float64(share))
	return max(0, min(int(p.tokens), share-underWay))
}

// Began deducts the loads that have started from the budget.
func (p *Pacer) Began(loads int) { p.tokens -= float64(loads) }
