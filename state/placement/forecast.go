package placement

import (
	"math"
	"slices"
	"strings"
	"time"
)

const (
	// riseTime and fallTime are the time constants of the exponential smoothing for rising and falling demand.
	riseTime = 30 * time.Second
	fallTime = 4 * time.Minute
	// steadyRiseTime and steadyFallTime are the time constants for the steady part of demand. It rises slowly, so that
	// a burst of a few minutes hardly raises it, and it falls within two minutes after demand ends.
	steadyRiseTime = 10 * time.Minute
	steadyFallTime = time.Minute
	// leastForecast is the demand, in requests in flight, below which the forecast drops a unit.
	leastForecast = 0.001
)

// Forecast smooths the demand of each unit and adapter. It follows a rise within a minute and a fall within several.
type Forecast struct {
	at     time.Time
	busy   map[string]float64
	steady map[string]float64
}

// NewForecast returns a forecast without any demand.
func NewForecast() *Forecast {
	return &Forecast{busy: make(map[string]float64), steady: make(map[string]float64)}
}

// Update records the demand measured at now and returns the smoothed demand, sorted by name.
func (f *Forecast) Update(now time.Time, loads []Load) []Load {
	span := now.Sub(f.at)
	if f.at.IsZero() {
		span = riseTime
	}
	f.at = now
	present := make(map[string]float64, len(loads))
	for _, load := range loads {
		present[load.Name] += load.Busy
	}
	for name := range f.busy {
		if _, ok := present[name]; !ok {
			present[name] = 0
		}
	}
	forecast := make([]Load, 0, len(present))
	for name, measured := range present {
		f.busy[name] = follow(f.busy[name], measured, span, riseTime, fallTime)
		f.followSteady(name, measured, span)
		if f.busy[name] < leastForecast {
			delete(f.busy, name)
			delete(f.steady, name)
			continue
		}
		forecast = append(forecast, Load{
			Name: name, Busy: f.busy[name], Steady: min(f.steady[name], f.busy[name]),
		})
	}
	slices.SortFunc(forecast, func(a, b Load) int { return strings.Compare(a.Name, b.Name) })
	return forecast
}

// followSteady updates the steady part of a unit's demand. The first measurement of a unit counts as steady.
func (f *Forecast) followSteady(name string, measured float64, span time.Duration) {
	before, known := f.steady[name]
	if !known {
		before = measured
	}
	f.steady[name] = follow(before, measured, span, steadyRiseTime, steadyFallTime)
}

// follow returns the exponential smoothing of a value, with one time constant for rising and one for falling.
func follow(before, measured float64, span, rise, fall time.Duration) float64 {
	constant := rise
	if measured < before {
		constant = fall
	}
	weight := 1 - math.Exp(-span.Seconds()/constant.Seconds())
	return before + (measured-before)*weight
}
