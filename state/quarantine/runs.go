package quarantine

import (
	"slices"
	"time"
)

// progressTime is the time after the first byte of an answer from which a crash no longer counts as early.
const progressTime = 2 * time.Second

// Run is one attempt of a request on an endpoint.
type Run struct {
	fingerprint Fingerprint
	endpoint    string
	incarnation int64
	sentAt      time.Time
	// answeredAt is when the first byte of the answer arrived, or zero before.
	answeredAt time.Time
}

// RecordFirstByte records that the answer began to arrive.
func (r *Run) RecordFirstByte(now time.Time) { r.answeredAt = now }

// Crash returns the record of the endpoint's end during the run.
func (r *Run) Crash(endedAt time.Time) Crash {
	return Crash{
		Fingerprint: r.fingerprint, Endpoint: r.endpoint, Incarnation: r.incarnation, SentAt: r.sentAt, EndedAt: endedAt,
		Early: r.answeredAt.IsZero() || endedAt.Sub(r.answeredAt) < progressTime,
	}
}

// Runs holds the runs in progress. It is not safe for concurrent use.
type Runs struct {
	byEndpoint map[string][]*Run
}

// NewRuns returns an empty set of runs.
func NewRuns() *Runs { return &Runs{byEndpoint: make(map[string][]*Run)} }

// Begin records that a request is sent to an incarnation of an endpoint.
func (r *Runs) Begin(now time.Time, f Fingerprint, endpoint string, incarnation int64) *Run {
	run := &Run{fingerprint: f, endpoint: endpoint, incarnation: incarnation, sentAt: now}
	r.byEndpoint[endpoint] = append(r.byEndpoint[endpoint], run)
	return run
}

// End removes a run whose result is known.
func (r *Runs) End(run *Run) {
	r.keep(run.endpoint, func(other *Run) bool { return other != run })
}

func (r *Runs) keep(endpoint string, keep func(*Run) bool) {
	kept := slices.DeleteFunc(r.byEndpoint[endpoint], func(run *Run) bool { return !keep(run) })
	if len(kept) == 0 {
		delete(r.byEndpoint, endpoint)
		return
	}
	r.byEndpoint[endpoint] = kept
}
