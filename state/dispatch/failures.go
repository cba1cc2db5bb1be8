package dispatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/zinniaroute/zinniaroute/state/fleet"
)

const (
	// failureTTL is the age up to which a failed connection counts. A runner that has crashed is back, as another incarnation, or
	// gone from the directory some seconds later. One whose connections failed for other reasons must get requests again.
	failureTTL = 3 * time.Second
	// minFailureVMs is the number of other VMs whose connections must have failed. One alone may have a fault of its own.
	minFailureVMs = 2
	// MaxFailures bounds the failures that VMs tell each other.
	MaxFailures = 64
)

// Failure says that connections to an endpoint were refused or reset, as those to one that has crashed are. It is no proof that
// a request did not run.
type Failure struct {
	Runner      string    `json:"runner"`
	Incarnation int64     `json:"incarnation"`
	At          time.Time `json:"at"`
	// VMs is the number of VMs whose connections failed.
	VMs int `json:"vms"`
}

// Latest returns the latest failures, at most MaxFailures.
func Latest(failures []Failure) []Failure {
	slices.SortFunc(failures, func(a, b Failure) int {
		return cmp.Or(b.At.Compare(a.At), cmp.Compare(a.Runner, b.Runner), cmp.Compare(a.Incarnation, b.Incarnation))
	})
	return failures[:min(len(failures), MaxFailures)]
}

// RecordConnectionFailure records that an endpoint refused or reset a connection of this VM.
func (s *Scheduler) RecordConnectionFailure(now time.Time, runner *fleet.Runner) {
	s.endpoint(runner.ID).failure = Failure{Runner: runner.ID, Incarnation: runner.Incarnation, At: now, VMs: 1}
}

// Failures returns the endpoints at which connections of this VM have failed of late, without an answer since.
func (s *Scheduler) Failures(now time.Time) []Failure {
	var failures []Failure
	for _, l := range s.endpoints {
		if l.failure.counts(now, l) {
			failures = append(failures, l.failure)
		}
	}
	return Latest(failures)
}

// SetOtherFailures replaces what the other VMs report of failed connections. It returns those of which enough VMs are sure and
// that this VM did not know.
func (s *Scheduler) SetOtherFailures(now time.Time, failures []Failure) []Failure {
	known := make(map[string]Failure)
	for id, l := range s.endpoints {
		if l.othersFailure.VMs > 0 {
			known[id] = l.othersFailure
			l.othersFailure = Failure{}
		}
	}
	var learned []Failure
	for _, f := range failures {
		l := s.endpoints[f.Runner]
		if l == nil || f.VMs < minFailureVMs || !f.counts(now, l) {
			continue
		}
		l.othersFailure = f
		if known[f.Runner].Incarnation != f.Incarnation && !l.failure.counts(now, l) {
			learned = append(learned, f)
		}
	}
	return learned
}

// counts reports whether a failure is recent and no answer to this VM has begun since.
func (f Failure) counts(now time.Time, l *endpointState) bool {
	return f.VMs > 0 && now.Sub(f.At) < failureTTL && l.lastFirstByteAt.Before(f.At)
}

// failureEnd returns when the failed connections count no more.
func (l *endpointState) failureEnd() time.Time {
	return later(l.failure.At, l.othersFailure.At).Add(failureTTL)
}

// seemsCrashed reports whether connections to the present incarnation of an endpoint have failed, at this VM or at several
// others.
func (l *endpointState) seemsCrashed(now time.Time, runner *fleet.Runner) bool {
	return l.failure.Incarnation == runner.Incarnation && l.failure.counts(now, l) ||
		l.othersFailure.Incarnation == runner.Incarnation && l.othersFailure.counts(now, l)
}
