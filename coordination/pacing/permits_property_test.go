package pacing

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/zinniaroute/zinniaroute/standin/seeded"
)

var _ = seeded.SetFlags()

// TestLoadsStayWithinRateLimit checks the rate limit while all VMs load as fast as their permits allow, with outdated
// views of the store and with orders that arrive up to LoadStartTimeout late.
func TestLoadsStayWithinRateLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const step = 100 * time.Millisecond
		window := time.Duration(rapid.IntRange(2, 8).Draw(t, "window")) * time.Second
		rate, overage := rapid.Float64Range(0.2, 4).Draw(t, "rate"), rapid.Float64Range(1, 1.5).Draw(t, "overage")
		count := PermitCount(rate, window, overage)
		views := make([]*Permits, rapid.IntRange(1, 5).Draw(t, "VMs"))
		for i := range views {
			views[i] = NewPermits()
		}
		ends := make(map[string]time.Time)
		var begun []time.Time
		now := time.Unix(1_000_000, 0)
		for tick := range 200 {
			now = now.Add(step)
			for key, end := range ends {
				if !now.Before(end) {
					delete(ends, key)
				}
			}
			vm := rapid.IntRange(0, len(views)-1).Draw(t, fmt.Sprint("VM", tick))
			if rapid.Bool().Draw(t, fmt.Sprint("synced", tick)) {
				applyStore(views[vm], ends)
			}
			key, ok := views[vm].Free("chat", count, rapid.IntRange(0, count-1).Draw(t, fmt.Sprint("start", tick)))
			if _, taken := ends[key]; !ok || taken {
				continue
			}
			ends[key] = now.Add(PermitLifetime(window))
			late := time.Duration(rapid.IntRange(0, int(LoadStartTimeout/step)).Draw(t, fmt.Sprint("late", tick))) * step
			begun = append(begun, now.Add(late))
		}
		for _, from := range begun {
			within := 0
			for _, at := range begun {
				if !at.Before(from) && at.Before(from.Add(window)) {
					within++
				}
			}
			assert.Assert(t, float64(within) <= rate*window.Seconds()*overage+3, "%d loads in %v at %f", within, window, rate)
		}
	})
}

func applyStore(p *Permits, ends map[string]time.Time) {
	listed := make(map[string]bool)
	for key := range ends {
		listed[key] = true
		p.SetTaken(key, true)
	}
	p.ApplyListing(listed)
}

func TestEveryPermitCanBeTaken(t *testing.T) {
	p := NewPermits()
	for i := range 5 {
		key, ok := p.Free("chat", 5, 3)
		assert.Assert(t, ok, "%d", i)
		p.SetTaken(key, true)
	}
	_, ok := p.Free("chat", 5, 0)
	assert.Check(t, !ok)
	p.SetTaken("loads/chat/2", false)
	key, ok := p.Free("chat", 5, 0)
	assert.Check(t, ok)
	assert.Equal(t, key, "loads/chat/2")
}
