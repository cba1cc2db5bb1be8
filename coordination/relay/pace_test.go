package relay

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/zinniaroute/zinniaroute/state/fleet"
)

func TestPaceKeepsToItsShareOfTheLink(t *testing.T) {
	const megabits, size = 8, 60_000
	now := time.Unix(1_000_000, 0)
	pace := NewPace(megabits)
	sent := 0
	for range 1000 {
		now = now.Add(10 * time.Millisecond)
		if pace.Take(now, size) {
			sent += size
		}
	}
	allowed := int(pacedLinkShare * megabits * bytesPerMegabit * 10)
	assert.Check(t, sent <= allowed+size && sent >= allowed-size, "%d bytes in 10 s, %d allowed", sent, allowed)
	assert.Check(t, NewPace(0).Take(now, 1<<30), "the speed of the link is not known")
}

func TestLargeValueIsHeldBack(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	large := Item{Key: "routes", Value: make([]byte, minPackedBytes), Revision: 7}
	items := []Item{{Key: "a", Revision: 5}, large, {Key: "b", Revision: 9, Deleted: true}}
	tests := []struct {
		name     string
		view     View
		taken    int
		heldBack bool
		revision fleet.Revision
		items    int
	}{
		{"the pace allows it", View{Revision: 9, Items: items}, 0, false, 9, 3},
		{"the pace does not", View{Revision: 9, Items: items}, 1 << 20, true, 6, 2},
		{"nothing large", View{Revision: 9, Items: items[:1]}, 1 << 20, false, 9, 1},
		{"whole content", View{Revision: 9, Items: items, Full: true}, 1 << 20, false, 9, 3},
	}
	for _, test := range tests {
		pace := NewPace(8)
		pace.Take(now, test.taken)
		view := test.view
		view.HoldBack(now, pace)
		assert.Equal(t, view.HeldBack, test.heldBack, test.name)
		assert.Equal(t, view.Revision, test.revision, test.name)
		assert.Equal(t, len(view.Items), test.items, test.name)
		assert.Check(t, !pace.Take(now, 1) || test.taken == 0, test.name)
	}
}
