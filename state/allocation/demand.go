package allocation

import (
	"time"

	"github.com/zinniaroute/zinniaroute/state/decay"
	"github.com/zinniaroute/zinniaroute/state/fleet"
)

const (
	// demandHalfLife is the time after which half of the past work is forgotten: demand moves within some seconds.
	demandHalfLife = 2 * time.Second
	// leastWork is the work in seconds below which a model is forgotten.
	leastWork = 1e-6
	// ownShare is the part of shared prompt tokens that is read in spite of caches.
	ownShare = 0.3
	// tokenWork is a runner's time for one token of one request of a usual batch of about 16 requests.
	tokenWork = fleet.StepTime / 16
)

// Work estimates a runner's time for a request.
func Work(r *fleet.Request) time.Duration {
	shared := r.SharedTokens()
	unread := float64(r.PromptTokens-shared) + ownShare*float64(shared)
	return time.Duration(unread/fleet.ReadRate*float64(time.Second)) + time.Duration(r.OutputTokens)*tokenWork
}

// Meter measures the demand for models as work a second.
type Meter struct {
	work map[string]float64
	at   time.Time
}

// NewMeter returns a meter that has measured nothing.
func NewMeter(now time.Time) *Meter { return &Meter{work: make(map[string]float64), at: now} }

// Add counts a request for a model.
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

// Rates returns the demand for each model, in runners.
func (m *Meter) Rates(now time.Time) Demand {
	m.decay(now)
	rates := make(Demand, len(m.work))
	for model, work := range m.work {
		rates[model] = decay.Rate(work, demandHalfLife)
	}
	return rates
}
