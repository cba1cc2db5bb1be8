package allocation

import (
	"time"

	"github.com/zinniaroute/zinniaroute/state/decay"
	"github.com/zinniaroute/zinniaroute/state/fleet"
)

const (
	// demandHalfLife is the half-life of measured work. Demand shifts within a few seconds, so a longer one would lag.
	demandHalfLife = 2 * time.Second
	// minWork is the decayed work, in seconds, below which a model leaves the meter.
	minWork = 1e-6
	// sharedPrefillFraction is the fraction of shared prompt tokens that need prefill in spite of the runners' prefix
	// caches.
	sharedPrefillFraction = 0.3
	// timePerOutputToken is a runner's time for one output token of one request: a decode step serves a typical batch
	// of about 16 requests.
	timePerOutputToken = fleet.DecodeStepTime / 16
)

// Work estimates the time that a request takes from a runner, for prefill and for its share of the decode steps.
func Work(r *fleet.Request) time.Duration {
	shared := r.SharedTokens()
	prefillTokens := float64(r.PromptTokens-shared) + sharedPrefillFraction*float64(shared)
	return time.Duration(prefillTokens/fleet.PrefillRate*float64(time.Second)) +
		time.Duration(r.OutputTokens)*timePerOutputToken
}

// Meter measures the demand for each model as a decaying sum of work.
type Meter struct {
	work      map[string]float64
	updatedAt time.Time
}

// NewMeter returns a meter without any work.
func NewMeter(now time.Time) *Meter { return &Meter{work: make(map[string]float64), updatedAt: now} }

// Add records the work of one request for a model.
func (m *Meter) Add(now time.Time, model string, work time.Duration) {
	m.decay(now)
	m.work[model] += work.Seconds()
}

func (m *Meter) decay(now time.Time) {
	elapsed := now.Sub(m.updatedAt)
	if elapsed <= 0 {
		return
	}
	for model, work := range m.work {
		if m.work[model] = decay.After(work, elapsed, demandHalfLife); m.work[model] < minWork {
			delete(m.work, model)
		}
	}
	m.updatedAt = now
}

// Rates returns the demand for each model, in runners: seconds of work a second.
func (m *Meter) Rates(now time.Time) Demand {
	m.decay(now)
	rates := make(Demand, len(m.work))
	for model, work := range m.work {
		rates[model] = decay.Rate(work, demandHalfLife)
	}
	return rates
}
