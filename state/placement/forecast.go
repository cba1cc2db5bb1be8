package placement

import (
	"math"
	"slices"
	"strings"
	"time"
)

const (
	// riseTime and fallTime are the time constants with which a forecast follows growing and fading demand.
	riseTime = 30 * time.Second
	fallTime = 4 * time.Minute
	// steadyRiseTime and steadyFallTime make the steady part of demand follow the lows: a burst of minutes passes
	// below it, and demand that has gone leaves it within two minutes.
	steadyRiseTime = 10 * time.Minute
	steadyFallTime = time.Minute
	// leastForecast is the demand below which a unit is forgotten.
	leastForecast = 0.001
)

// Forecast follows the demand of each unit and adapter: up within a minute, down within several.
type Forecast struct {
	at     time.Time
	busy   map[string]float64
	steady map[string]float64
}

// NewForecast returns a forecast that knows no demand.
func NewForecast() *Forecast {
	return &Forecast{busy: make(map[string]float64), steady: make(map[string]float64)}
}

// Update takes in the present demand and returns the forecast, sorted by name.
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

// followSteady moves the steady part of a demand; a demand that is new counts as steady until more is known.
func (f *Forecast) followSteady(name string, measured float64, span time.Duration) {
	before, known := f.steady[name]
	if !known {
		before = measured
	}
	f.steady[name] = follow(before, measured, span, steadyRiseTime, steadyFallTime)
}

func follow(before, measured float64, span, rise, fall time.Duration) float64 {
	constant := rise
	if measured < before {
		constant = fall
	}
	weight := 1 - math.Exp(-span.Seconds()/constant.Seconds())
	return before + (measured-before)*weight
}
