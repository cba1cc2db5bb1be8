package entry

import (
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/zinniaroute/zinniaroute/state/residency"
)

// demandMemory is the weight of the previous value in the exponentially weighted moving averages. They are updated once
// per reportInterval.
const demandMemory = 0.9

// demand measures the request rate and the requests in flight of each model, version and adapter.
type demand struct {
	mu    sync.Mutex
	units map[string]*unitMeter
	at    time.Time
}

type unitMeter struct {
	arrived  int
	refused  int
	inFlight int
	busyTime time.Duration
	changed  time.Time
	smooth   residency.UnitDemand
}

func newDemand(now time.Time) *demand {
	return &demand{units: make(map[string]*unitMeter), at: now}
}

func (d *demand) meter(now time.Time, name string) *unitMeter {
	m := d.units[name]
	if m == nil {
		m = &unitMeter{changed: now, smooth: residency.UnitDemand{Name: name}}
		d.units[name] = m
	}
	return m
}

func (m *unitMeter) advance(now time.Time) {
	m.busyTime += now.Sub(m.changed) * time.Duration(m.inFlight)
	m.changed = now
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

// end counts the end of a request. refused means that it was rejected for lack of capacity.
func (d *demand) end(now time.Time, refused bool, names ...string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, name := range names {
		m := d.meter(now, name)
		m.advance(now)
		m.inFlight--
		if refused {
			m.refused++
		}
	}
}

// collect updates the averages with the requests since the last call and returns them, sorted by name. It removes idle
// units whose request rate has decayed.
func (d *demand) collect(now time.Time) []residency.UnitDemand {
	d.mu.Lock()
	defer d.mu.Unlock()
	span := now.Sub(d.at).Seconds()
	d.at = now
	if span <= 0 {
		return nil
	}
	var units []residency.UnitDemand
	for name, m := range d.units {
		m.advance(now)
		m.smooth.RequestsPerSecond = fade(m.smooth.RequestsPerSecond, float64(m.arrived)/span)
		m.smooth.RejectedPerSecond = fade(m.smooth.RejectedPerSecond, float64(m.refused)/span)
		m.smooth.InFlight = fade(m.smooth.InFlight, m.busyTime.Seconds()/span)
		m.arrived, m.refused, m.busyTime = 0, 0, 0
		if m.inFlight == 0 && m.smooth.RequestsPerSecond < 0.001 {
			delete(d.units, name)
			continue
		}
		units = append(units, m.smooth)
	}
	slices.SortFunc(units, func(a, b residency.UnitDemand) int { return strings.Compare(a.Name, b.Name) })
	return units
}

func fade(before, measured float64) float64 {
	return before*demandMemory + measured*(1-demandMemory)
}
