package entry

import (
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/zinniaroute/zinniaroute/state/residency"
)

// demandRetention is the weight of the previous value in the exponentially weighted moving averages. They are updated
// once per reportInterval.
const demandRetention = 0.9

// demand measures the request rate and the requests in flight of each model, version and adapter.
type demand struct {
	mu          sync.Mutex
	units       map[string]*unitMeter
	collectedAt time.Time
}

type unitMeter struct {
	arrived      int
	rejected     int
	inFlight     int
	inFlightTime time.Duration
	updatedAt    time.Time
	average      residency.UnitDemand
}

func newDemand(now time.Time) *demand {
	return &demand{units: make(map[string]*unitMeter), collectedAt: now}
}

func (d *demand) meter(now time.Time, name string) *unitMeter {
	m := d.units[name]
	if m == nil {
		m = &unitMeter{updatedAt: now, average: residency.UnitDemand{Name: name}}
		d.units[name] = m
	}
	return m
}

func (m *unitMeter) advance(now time.Time) {
	m.inFlightTime += now.Sub(m.updatedAt) * time.Duration(m.inFlight)
	m.updatedAt = now
}

// begin counts a request as in flight for each name.
func (d *demand) begin(now time.Time, names ...string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, name := range names {
		m := d.meter(now, name)
		m.advance(now)
		m.arrived++
		m.inFlight++
	}
}

// end counts the end of a request. rejected means that it was rejected for lack of capacity.
func (d *demand) end(now time.Time, rejected bool, names ...string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, name := range names {
		m := d.meter(now, name)
		m.advance(now)
		m.inFlight--
		if rejected {
			m.rejected++
		}
	}
}

// collect updates the averages with the requests since the last call and returns them, sorted by name. It removes idle
// units whose request rate has decayed.
func (d *demand) collect(now time.Time) []residency.UnitDemand {
	d.mu.Lock()
	defer d.mu.Unlock()
	span := now.Sub(d.collectedAt).Seconds()
	d.collectedAt = now
	if span <= 0 {
		return nil
	}
	var units []residency.UnitDemand
	for name, m := range d.units {
		m.advance(now)
		m.average.RequestsPerSecond = movingAverage(m.average.RequestsPerSecond, float64(m.arrived)/span)
		m.average.RejectedPerSecond = movingAverage(m.average.RejectedPerSecond, float64(m.rejected)/span)
		m.average.InFlight = movingAverage(m.average.InFlight, m.inFlightTime.Seconds()/span)
		m.arrived, m.rejected, m.inFlightTime = 0, 0, 0
		if m.inFlight == 0 && m.average.RequestsPerSecond < 0.001 {
			delete(d.units, name)
			continue
		}
		units = append(units, m.average)
	}
	slices.SortFunc(units, func(a, b residency.UnitDemand) int { return strings.Compare(a.Name, b.Name) })
	return units
}

func movingAverage(previous, measured float64) float64 {
	return previous*demandRetention + measured*(1-demandRetention)
}
