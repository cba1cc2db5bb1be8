package allocation

import (
	"math"
	"time"

	"github.com/zinniaroute/zinniaroute/state/fleet"
)

const (
	// demandHalfLife is the time after which half of the past work is forgotten: demand moves within some seconds.
	demandHalfLife = 2 * time.Second
	// readRate is the number of prompt tokens that a runner reads in a second; source: the users' sheets.
	readRate = 38_000
	// ownShare is the part of shared prompt tokens that is read in spite of caches.
	ownShare = 0.3
	// tokenWork is a runner's time for one token of one request of a usual batch; source: a step of 5 ms for about 16
	// requests.
	tokenWork = 5 * time.Millisecond / 16
)

// Work estimates a runner's time for a request.
func Work(r *fleet.Request) time.Duration {
	shared := r.SharedTokens()
	unread := float64(r.PromptTokens-shared) + ownShare*float64(shared)
	return time.Duration(unread/readRate*float64(time.Second)) + time.Duration(r.OutputTokens)*tokenWork
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
	factor := math.Exp2(-float64(passed) / float64(demandHalfLife))
	for model := range m.work {
		if m.work[model] *= factor; m.work[model] < 1e-6 {
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
		rates[model] = work * math.Ln2 / demandHalfLife.Seconds()
	}
	return rates
}
