package dispatch

import (
	"cmp"
	"time"

	"github.com/zinniaroute/zinniaroute/state/fleet"
)

// usablePrefill is the fraction of a runner's time that prefill may take. Admission control sends no large prompts above it.
const usablePrefill = 0.9

// minPrefillPart is the least part of a runner's time that counts as left for requests of a priority, so that the rate of places
// for a priority that the more urgent ones use up is small and not zero.
const minPrefillPart = 0.05

// PlacesPerSecond returns the rate at which all endpoints together serve requests like this one, for all VMs, or zero if none
// can. It depends on the places and the time for which a request takes one, and for models on the prefill that more urgent
// requests leave. Limit returns the requests a second that an endpoint takes by its own word. If no endpoint holds the model, the
// result is the rate of one that would.
func (s *Scheduler) PlacesPerSecond(
	now time.Time, r *fleet.Request, runners []*fleet.Runner, limit func(runner string) float64,
) float64 {
	total, most, held := 0.0, 0.0, false
	for _, runner := range runners {
		if runner.Draining {
			continue
		}
		rate := min(s.placesPerSecond(now, r, runner), limit(runner.ID))
		most = max(most, rate)
		if r.Unit.Model == "" || runner.Holdings.Has(fleet.Unit{Model: r.Unit.Model}) {
			total, held = total+rate, true
		}
	}
	if !held {
		return most
	}
	return total
}

// placesPerSecond returns the rate at which an endpoint serves requests like this one. It changes no state.
func (s *Scheduler) placesPerSecond(now time.Time, r *fleet.Request, runner *fleet.Runner) float64 {
	l := s.endpoints[runner.ID]
	if l == nil {
		l = &endpointState{}
	}
	slots := float64(max(1, cmp.Or(l.plain.Slots, runner.Slots)))
	if r.Unit.Model == "" {
		return slots / l.serviceTime(now, s.usualService(runner.Service)).Seconds()
	}
	rate := slots / cmp.Or(l.occupancy, unknownOccupancy).Seconds()
	own := float64(prefillTime(r.PromptTokens)) * s.Slowdown(r.Unit.Model) * s.capacity.Speed(now, runner.ID).Prefill
	if own <= 0 {
		return rate
	}
	left := usablePrefill
	if level := priorityLevel(r.Priority); level > 0 {
		left = max(minPrefillPart, left-l.utilization(now, level-1))
	}
	return min(rate, left*float64(time.Second)/own)
}
