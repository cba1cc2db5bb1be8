package quarantine

import (
	"net/netip"
	"slices"
	"time"
)

const (
	// progressTime is the time after the first byte of an answer from which a crash no longer counts as early.
	progressTime = 2 * time.Second
	// partCrashTime is the time after the first byte of an answer within which a part of the prompt crashes the endpoint.
	partCrashTime = 500 * time.Millisecond
	// maxRestartTime bounds the time from the end of an endpoint to its next start.
	maxRestartTime = 10 * time.Second
	// unansweredTTL is how long a run that ended without an answer is kept. It covers maxRestartTime and the time until
	// this VM learns of the next start.
	unansweredTTL = 30 * time.Second
	// abandonedTime is the time after the first byte of an answer within which a run that is given up does not count as in
	// progress when its endpoint starts again: the endpoint answered a moment before, and was told to stop.
	abandonedTime = 500 * time.Millisecond
)

// Origin tells operators where a request came from.
type Origin struct {
	Request string
	Caller  netip.Addr
	Target  string
	// ModelFingerprint is the fingerprint by which the build before counts the crash, or zero.
	ModelFingerprint Fingerprint
	// Parts are the parts of the prompt that other requests may share, in order.
	Parts []uint64
}

// Run is one attempt of a request on an endpoint.
type Run struct {
	Origin      Origin
	fingerprint Fingerprint
	endpoint    string
	incarnation int64
	sentAt      time.Time
	// progressed means that the request had made progress on an earlier endpoint, so it can run.
	progressed bool
	// answeredAt is when the first byte of the answer arrived, and endedAt is when the result was known or this VM gave the
	// run up. Both are zero before.
	answeredAt time.Time
	endedAt    time.Time
}

// SentAt returns the time at which the request was sent.
func (r *Run) SentAt() time.Time { return r.sentAt }

// AnsweredAt returns the time of the first byte of the answer, or zero.
func (r *Run) AnsweredAt() time.Time { return r.answeredAt }

// RecordFirstByte records that the answer began to arrive.
func (r *Run) RecordFirstByte(now time.Time) { r.answeredAt = now }

// Crash returns the record of the endpoint's end during the run.
func (r *Run) Crash(endedAt time.Time) Crash {
	crash := Crash{
		Fingerprint: r.fingerprint, Endpoint: r.endpoint, Incarnation: r.incarnation, SentAt: r.sentAt, EndedAt: endedAt,
		Early: !r.Progressed(endedAt),
	}
	if !r.progressed && (r.answeredAt.IsZero() || endedAt.Sub(r.answeredAt) < partCrashTime) {
		crash.Parts = r.Origin.Parts
	}
	return crash
}

// Progressed reports whether the request has made progress by a time, here or before.
func (r *Run) Progressed(now time.Time) bool {
	return r.progressed || !r.answeredAt.IsZero() && now.Sub(r.answeredAt) >= progressTime
}

// Runs holds the runs whose endpoint may still turn out to have ended under them: those in progress, and those that were
// given up without an answer. It is not safe for concurrent use.
type Runs struct {
	byEndpoint map[string][]*Run
}

// NewRuns returns an empty set of runs.
func NewRuns() *Runs { return &Runs{byEndpoint: make(map[string][]*Run)} }

// Begin records that a request is sent to an incarnation of an endpoint. Earlier is the run that it continues, or nil.
func (r *Runs) Begin(now time.Time, f Fingerprint, endpoint string, incarnation int64, earlier *Run) *Run {
	run := &Run{fingerprint: f, endpoint: endpoint, incarnation: incarnation, sentAt: now}
	run.progressed = earlier != nil && earlier.Progressed(earlier.endedAt)
	r.byEndpoint[endpoint] = append(r.byEndpoint[endpoint], run)
	return run
}

// End removes a run whose result is known.
func (r *Runs) End(now time.Time, run *Run) {
	run.endedAt = now
	r.keep(run.endpoint, func(other *Run) bool { return other != run })
}

// GiveUp records that the VM stopped waiting for the answer, for example because the path to the endpoint may be lost.
func (r *Runs) GiveUp(now time.Time, run *Run) { run.endedAt = now }

// Abandon records that the VM stopped waiting for the answer because the caller left or ran out of time. The endpoint may
// have ended without a sign, unless the answer has just begun.
func (r *Runs) Abandon(now time.Time, run *Run) {
	if !run.answeredAt.IsZero() && now.Sub(run.answeredAt) < abandonedTime {
		r.End(now, run)
		return
	}
	r.GiveUp(now, run)
}

// EndedRun is a run during which the endpoint ended, and the record of that.
type EndedRun struct {
	Origin Origin
	Crash  Crash
}

// EndpointStarted records that an endpoint has started again, or that another one has taken its address. It removes the
// runs of the earlier incarnation and returns those that may have been in progress when it ended.
func (r *Runs) EndpointStarted(now time.Time, endpoint string, startedAt time.Time) []EndedRun {
	var ended []EndedRun
	r.keep(endpoint, func(run *Run) bool {
		if !run.sentAt.Before(startedAt) {
			return true
		}
		if run.endedAt.IsZero() || startedAt.Sub(run.endedAt) < maxRestartTime {
			endedAt := now
			if startedAt.Before(endedAt) {
				endedAt = startedAt
			}
			ended = append(ended, EndedRun{Origin: run.Origin, Crash: run.Crash(endedAt)})
		}
		return false
	})
	return ended
}

// Expire removes the runs that were given up too long ago to be tied to a restart.
func (r *Runs) Expire(now time.Time) {
	for endpoint := range r.byEndpoint {
		r.keep(endpoint, func(run *Run) bool { return run.endedAt.IsZero() || now.Sub(run.endedAt) < unansweredTTL })
	}
}

func (r *Runs) keep(endpoint string, keep func(*Run) bool) {
	kept := slices.DeleteFunc(r.byEndpoint[endpoint], func(run *Run) bool { return !keep(run) })
	if len(kept) == 0 {
		delete(r.byEndpoint, endpoint)
		return
	}
	r.byEndpoint[endpoint] = kept
}

// Take removes a run that was given up, because its result is known now. It reports false if another one has taken it.
func (r *Runs) Take(now time.Time, run *Run) bool {
	if !slices.Contains(r.byEndpoint[run.endpoint], run) {
		return false
	}
	r.End(now, run)
	return true
}
