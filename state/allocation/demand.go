package allocation

import (
	"time"

	"github.com/zinniaroute/zinniaroute/state/decay"
	"github.com/zinniaroute/zinniaroute/state/fleet"
)

const (
	// demandHalfLife is the half-life of measured work. Demand shifts within a few seconds, so a longer one would lag.
	demandHalfLife = 2 * time.Second
	// leastWork is the decayed work, in seconds, below which a model leaves the meter.
	leastWork = 1e-6
	// ownShare is the fraction of shared prompt tokens that need prefill in spite of the runners' prefix caches.
	ownShare = 0.3
	// tokenWork is a runner's time for one output token of one request: a decode step serves a typical batch of about
	// 16 requests.
	tokenWork = fleet.StepTime / 16
)

// Work estimates the time that a request takes from a runner, for prefill and for its share of the decode steps.
func Work(r *fleet.Request) time.Duration {
	shared := r.SharedTokens()
	unread := float64(r.PromptTokens-shared) + ownShare*float64(shared)
	return time.Duration(unread/fleet.ReadRate*float64(time.Second)) + time.Duration(r.OutputTokens)*tokenWork
}

// Meter measures the demand for each model as a decaying sum of work.
type Meter struct {
	work map[string]float64
	at   time.Time
}

// NewMeter returns a meter without any work.
func NewMeter(now time.Time) *Meter { return &Meter{work: make(map[string]float64), at: now} }

// Add records the work of one request for a model.
func (m *Meter) Add(now time.Time, model string, work time.Duration) {
	m.decay(now)
	m.work[model] += work.Seconds()
}

func (m *Meter) decay(now time.Time) {
	passed := now.Sub(m.at)
	if passed <= 0 {
		return
	}
	for model, work := range m.work {
		if m.work[model] = decay.After(work, passed, demandHalfLife); m.work[model] < leastWork {
			delete(m.work, model)
		}
	}
	m.at = now
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
