package placement

import (
	"math"
	"slices"
	"strings"
	"time"
)

const (
	// riseTimeConstant and fallTimeConstant are the time constants of the exponential smoothing for rising and for
	// falling demand.
	riseTimeConstant = 30 * time.Second
	fallTimeConstant = 4 * time.Minute
	// steadyRiseTimeConstant and steadyFallTimeConstant are the time constants for the steady part of demand. It rises
	// slowly, so that a burst of a few minutes hardly raises it, and it falls within two minutes after demand ends.
	steadyRiseTimeConstant = 10 * time.Minute
	steadyFallTimeConstant = time.Minute
	// minForecast is the demand, in requests in flight, below which the forecast drops a unit.
	minForecast = 0.001
)

// Forecast smooths the demand of each unit and adapter. It follows a rise within a minute and a fall within several.
type Forecast struct {
	updatedAt      time.Time
	inFlight       map[string]float64
	steadyInFlight map[string]float64
}

// NewForecast returns a forecast without any demand.
func NewForecast() *Forecast {
	return &Forecast{inFlight: make(map[string]float64), steadyInFlight: make(map[string]float64)}
}

// Update records the demand measured at now and returns the smoothed demand, sorted by name.
func (f *Forecast) Update(now time.Time, demands []UnitDemand) []UnitDemand {
	span := now.Sub(f.updatedAt)
	if f.updatedAt.IsZero() {
		span = riseTimeConstant
	}
	f.updatedAt = now
	present := make(map[string]float64, len(demands))
	for _, demand := range demands {
		present[demand.Name] += demand.InFlight
	}
	for name := range f.inFlight {
		if _, ok := present[name]; !ok {
			present[name] = 0
		}
	}
	forecast := make([]UnitDemand, 0, len(present))
	for name, measured := range present {
		f.inFlight[name] = smooth(f.inFlight[name], measured, span, riseTimeConstant, fallTimeConstant)
		f.updateSteady(name, measured, span)
		if f.inFlight[name] < minForecast {
			delete(f.inFlight, name)
			delete(f.steadyInFlight, name)
			continue
		}
		forecast = append(forecast, UnitDemand{
			Name: name, InFlight: f.inFlight[name], SteadyInFlight: min(f.steadyInFlight[name], f.inFlight[name]),
		})
	}
	slices.SortFunc(forecast, func(a, b UnitDemand) int { return strings.Compare(a.Name, b.Name) })
	return forecast
}

// updateSteady updates the steady part of a unit's demand. The first measurement of a unit counts as steady.
func (f *Forecast) updateSteady(name string, measured float64, span time.Duration) {
	before, known := f.steadyInFlight[name]
	if !known {
		before = measured
	}
	f.steadyInFlight[name] = smooth(before, measured, span, steadyRiseTimeConstant, steadyFallTimeConstant)
}

// smooth returns the exponential smoothing of a value, with one time constant for rising and one for falling.
func smooth(before, measured float64, span, rise, fall time.Duration) float64 {
	constant := rise
	if measured < before {
		constant = fall
	}
	weight := 1 - math.Exp(-span.Seconds()/constant.Seconds())
	return before + (measured-before)*weight
}
