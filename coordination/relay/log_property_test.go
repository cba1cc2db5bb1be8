package relay

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/zinniaroute/zinniaroute/standin/seeded"
)

var _ = seeded.Fix()

// copyOf is a VM's copy of the store's content: the revision of each key.
type copyOf struct {
	items map[string]uint64
	known uint64
}

func (c *copyOf) take(v View) {
	if v.Full {
		c.items = make(map[string]uint64)
	}
	for _, item := range v.Items {
		if item.Deleted {
			delete(c.items, item.Key)
			continue
		}
		c.items[item.Key] = item.Revision
	}
	c.known = v.Revision
}

// TestFollowersEndWithTheStoresContent checks that a VM that gets views from two others always ends with the store's
// content, though each of the two misses changes until its next listing.
func TestFollowersEndWithTheStoresContent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1_000_000, 0)
		truth := make(map[string]uint64)
		revision := uint64(10)
		hubs := []*Log{NewLog(), NewLog()}
		follower := &copyOf{items: make(map[string]uint64)}
		list := func(hub *Log) {
			present := make(map[string]bool)
			for key, at := range truth {
				hub.Put(Item{Key: key, Revision: at})
				present[key] = true
			}
			hub.Listed(present, revision)
			hub.Heard(now, revision)
		}
		missed := make([]bool, len(hubs))
		for i := range rapid.IntRange(5, 80).Draw(t, "steps") {
			now = now.Add(100 * time.Millisecond)
			key := fmt.Sprint("k", rapid.IntRange(0, 5).Draw(t, fmt.Sprint("key", i)))
			switch rapid.IntRange(0, 3).Draw(t, "event") {
			case 0, 1:
				change(t, hubs, missed, truth, key, &revision, now)
			default:
				hub := rapid.IntRange(0, 1).Draw(t, "hub")
				if missed[hub] || hubs[hub].floor == 0 {
					list(hubs[hub])
					missed[hub] = false
				}
				hubs[hub].Heard(now, revision)
				view, ok := hubs[hub].Since(now, follower.known, time.Second)
				assert.Assert(t, ok)
				follower.take(view)
				assert.DeepEqual(t, follower.items, truth)
			}
		}
	})
}

func change(
	t *rapid.T, hubs []*Log, missed []bool, truth map[string]uint64, key string, revision *uint64, now time.Time,
) {
	*revision++
	item := Item{Key: key, Revision: *revision, Deleted: rapid.Bool().Draw(t, "deleted")}
	if _, exists := truth[key]; item.Deleted && !exists {
		item.Deleted = false
	}
	if item.Deleted {
		delete(truth, key)
	} else {
		truth[key] = *revision
	}
	for i, hub := range hubs {
		if rapid.IntRange(0, 4).Draw(t, "miss") == 0 {
			missed[i] = true
		}
		if !missed[i] && hub.floor > 0 {
			hub.Put(item)
			hub.Heard(now, *revision)
		}
	}
}

func TestAViewThatIsTooOldIsNotHandedOn(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	l := NewLog()
	_, ok := l.Since(now, 0, time.Second)
	assert.Assert(t, !ok)
	l.Listed(nil, 5)
	l.Heard(now, 5)
	_, ok = l.Since(now.Add(2*time.Second), 0, time.Second)
	assert.Assert(t, !ok)
	view, ok := l.Since(now.Add(time.Second/2), 0, time.Second)
	assert.Assert(t, ok && view.Full)
	l.Lost()
	_, ok = l.Since(now.Add(time.Second/2), 0, time.Second)
	assert.Assert(t, !ok, "the others must read the store themselves")
	l.Heard(now.Add(time.Second), 6)
	_, ok = l.Since(now.Add(time.Second), 0, time.Second)
	assert.Assert(t, ok)
}
