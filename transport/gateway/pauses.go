package gateway

import (
	"slices"
	"time"
)

// pausesPerSample is the number of times between events of which the median is a sample of the runner's speed. Fewer than half
// of them are longer because the runner reads a prompt meanwhile.
const pausesPerSample = 8

// pauses measures the times between the events that a stream's caller gets.
type pauses struct {
	// lastAt is when events were last sent to the caller, and longest the longest time between two such moments.
	lastAt  time.Time
	longest time.Duration
	// recent holds the latest times for one event of the present runner, up to pausesPerSample.
	recent []time.Duration
	// restarted means that the time to the next events is not one between two events of the same runner.
	restarted bool
}

// restart records that a runner begins or goes on with the stream.
func (p *pauses) restart() { p.recent, p.restarted = p.recent[:0], true }

// record records that events are sent to the caller now. Each time that there are enough, it returns the median of the times
// for one event.
func (p *pauses) record(now time.Time, events int) (time.Duration, bool) {
	if !p.lastAt.IsZero() {
		pause := now.Sub(p.lastAt)
		p.longest = max(p.longest, pause)
		if !p.restarted {
			p.recent = append(p.recent, pause/time.Duration(max(1, events)))
		}
	}
	p.lastAt, p.restarted = now, false
	if len(p.recent) < pausesPerSample {
		return 0, false
	}
	slices.Sort(p.recent)
	median := p.recent[pausesPerSample/2]
	p.recent = p.recent[:0]
	return median, true
}

// longestPause returns the longest time between two events that the caller of a stream got, or zero if there were none.
func (x *exchange) longestPause() time.Duration {
	if x.relay == nil {
		return 0
	}
	return x.relay.pauses.longest
}
