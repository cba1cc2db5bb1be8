package dispatch

import (
	"math"
	"time"

	"github.com/zinniaroute/zinniaroute/state/capacity"
	"github.com/zinniaroute/zinniaroute/state/decay"
	"github.com/zinniaroute/zinniaroute/state/fleet"
)

const (
	// minPrefillSampleTokens is the smallest prefill whose time is a sample of a runner's speed, and fullPrefillSampleTokens the
	// smallest one that counts fully. The network's part of a shorter one is large.
	minPrefillSampleTokens  = 400
	fullPrefillSampleTokens = 1500
	// stepTimePerRequest is the time by which each running answer lengthens a decode step.
	stepTimePerRequest = 100 * time.Microsecond
	// tokensPerEvent is the number of decode steps between two events of a stream.
	tokensPerEvent = 5
	// busyTime is the time that a runner's machine is expected to stay busy with other work, which it is for 0.6 s at a
	// time.
	busyTime = 300 * time.Millisecond
)

// Capacity returns the estimator of the endpoints' speeds, which measures them whether or not predictions use them.
func (s *Scheduler) Capacity() *capacity.Estimator { return s.capacity }

// IgnoreSpeeds makes all further choices take the endpoints for alike, for comparisons.
func (s *Scheduler) IgnoreSpeeds() { s.ignoreSpeeds = true }

// Speed returns the speed of an endpoint on which choices and placement rest.
func (s *Scheduler) Speed(now time.Time, runner string) capacity.Speed {
	if s.ignoreSpeeds {
		return capacity.Speed{Estimate: capacity.Alike(), Busy: 1}
	}
	return s.capacity.Speed(now, runner)
}

// delayed returns the time of work on a machine that is busy for some time, given the time of the work without that.
func delayed(work time.Duration, busy float64) time.Duration {
	done := time.Duration(float64(busyTime) / busy)
	if busy <= 1 || work < done {
		return time.Duration(float64(work) * busy)
	}
	return busyTime + work - done
}

// unexplainedRatio returns the part of the endpoint's latency ratio that a prediction uses. This VM alone has few samples of a
// runner, and the ratio repeats what the runner's speed says already, so it counts the less the more is known of the speed.
func (l *endpointState) unexplainedRatio(now time.Time, r *fleet.Request, speed capacity.Speed) float64 {
	weight := speed.PrefillWeight
	if r.Unit.Model == "" {
		weight = speed.PlainWeight
	}
	log := decay.After(l.logLatencyRatio, now.Sub(l.logLatencyRatioAt), latencyRatioHalfLife)
	return math.Exp(log * (1 - capacity.Confidence(weight)))
}

// recordPrefillTime adds a sample of a runner's time for prefill, from a request whose answer begins now and that did not
// queue. The time of one that did says nothing about the speed.
func (s *Scheduler) recordPrefillTime(now time.Time, t *InFlight) {
	if t.model == "" || !t.unqueued || t.prefillTokens < minPrefillSampleTokens {
		return
	}
	expected := fleet.DecodeStepTime + prefillTime(t.scaledTokens) + time.Duration(t.running)*runningRequestDelay
	weight := min(1, float64(t.prefillTokens)/fullPrefillSampleTokens)
	s.capacity.Record(now, capacity.Peer{Runner: t.Runner, Incarnation: t.incarnation}, capacity.Prefill, now.Sub(t.sentAt), expected, weight)
}

// recordServiceTime adds a sample of the service time of a plain runner that had places left. Such runners get slower when
// nearly full.
func (s *Scheduler) recordServiceTime(now time.Time, t *InFlight) {
	if t.model != "" || 2*t.running >= max(1, t.slots) {
		return
	}
	s.capacity.Record(
		now, capacity.Peer{Runner: t.Runner, Incarnation: t.incarnation}, capacity.Plain, now.Sub(t.sentAt), plainServiceTime, 1,
	)
}

// RecordEventTime adds a sample of the time between two events of an answer that is running.
func (s *Scheduler) RecordEventTime(now time.Time, t *InFlight, measured time.Duration) {
	l := s.endpoint(t.Runner)
	step := fleet.DecodeStepTime + time.Duration(l.running+l.others.Running)*stepTimePerRequest
	s.capacity.Record(
		now, capacity.Peer{Runner: t.Runner, Incarnation: t.incarnation}, capacity.Decode, measured, tokensPerEvent*step, 1,
	)
}

// PlainLimit returns the number of requests in flight, of all VMs, beyond which a plain runner serves each one later and hardly
// more of them, or the number of its places as long as that is not known.
func (s *Scheduler) PlainLimit(now time.Time, runner *fleet.Runner) int {
	return s.capacity.Limit(now, runner.ID, runner.Slots)
}

// ServiceTime returns the time that a plain runner with places left takes for a request, as far as VMs have measured it.
func (s *Scheduler) ServiceTime(now time.Time, runner string) time.Duration {
	speed := s.Speed(now, runner)
	return delayed(time.Duration(float64(plainServiceTime)*speed.Plain*speed.PlainLevel), speed.Busy)
}
