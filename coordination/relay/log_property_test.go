package relay

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/zinniaroute/zinniaroute/standin/seeded"
	"github.com/zinniaroute/zinniaroute/state/fleet"
)

var _ = seeded.SetFlags()

// contentCopy is a VM's copy of the store's content: the revision of each key.
type contentCopy struct {
	items map[string]fleet.Revision
	known fleet.Revision
}

func (c *contentCopy) apply(v View) {
	if v.Full {
		c.items = make(map[string]fleet.Revision)
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

// TestFollowerConvergesToStoreContent checks that a VM that gets views from two others always ends with the store's
// content, though each of the two misses changes until its next listing.
func TestFollowerConvergesToStoreContent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1_000_000, 0)
		stored := make(map[string]fleet.Revision)
		revision := fleet.Revision(10)
		logs := []*Log{NewLog(), NewLog()}
		follower := &contentCopy{items: make(map[string]fleet.Revision)}
		list := func(log *Log) {
			present := make(map[string]bool)
			for key, at := range stored {
				log.Put(Item{Key: key, Revision: at})
				present[key] = true
			}
			log.ApplyListing(present, revision)
			log.RecordSync(now, revision)
		}
		missed := make([]bool, len(logs))
		for i := range rapid.IntRange(5, 80).Draw(t, "steps") {
			now = now.Add(100 * time.Millisecond)
			key := fmt.Sprint("k", rapid.IntRange(0, 5).Draw(t, fmt.Sprint("key", i)))
			switch rapid.IntRange(0, 3).Draw(t, "event") {
			case 0, 1:
				change(t, logs, missed, stored, key, &revision, now)
			default:
				vm := rapid.IntRange(0, 1).Draw(t, "vm")
				if missed[vm] || logs[vm].floor == 0 {
					list(logs[vm])
					missed[vm] = false
				}
				logs[vm].RecordSync(now, revision)
				view, ok := logs[vm].Since(now, follower.known, time.Second)
				assert.Assert(t, ok)
				follower.apply(view)
				assert.DeepEqual(t, follower.items, stored)
			}
		}
	})
}

func change(
	t *rapid.T, logs []*Log, missed []bool, stored map[string]fleet.Revision, key string, revision *fleet.Revision, now time.Time,
) {
	*revision++
	item := Item{Key: key, Revision: *revision, Deleted: rapid.Bool().Draw(t, "deleted")}
	if _, exists := stored[key]; item.Deleted && !exists {
		item.Deleted = false
	}
	if item.Deleted {
		delete(stored, key)
	} else {
		stored[key] = *revision
	}
	for i, log := range logs {
		if rapid.IntRange(0, 4).Draw(t, "miss") == 0 {
			missed[i] = true
		}
		if !missed[i] && log.floor > 0 {
			log.Put(item)
			log.RecordSync(now, *revision)
		}
	}
}

func TestStaleViewIsNotForwarded(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	l := NewLog()
	_, ok := l.Since(now, 0, time.Second)
	assert.Assert(t, !ok)
	l.ApplyListing(nil, 5)
	l.RecordSync(now, 5)
	_, ok = l.Since(now.Add(2*time.Second), 0, time.Second)
	assert.Assert(t, !ok)
	view, ok := l.Since(now.Add(time.Second/2), 0, time.Second)
	assert.Assert(t, ok && view.Full)
	l.Suspend()
	_, ok = l.Since(now.Add(time.Second/2), 0, time.Second)
	assert.Assert(t, !ok, "the others must read the store themselves")
	l.RecordSync(now.Add(time.Second), 6)
	_, ok = l.Since(now.Add(time.Second), 0, time.Second)
	assert.Assert(t, ok)
}

func TestViewOfAnEarlierEraIsForwarded(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	l := NewLog()
	l.ApplyListing(nil, fleet.NewRevision(1, 500))
	l.RecordSync(now, fleet.NewRevision(1, 500))
	_, ok := l.Since(now, fleet.NewRevision(1, 499), time.Second)
	assert.Assert(t, ok)
	_, ok = l.Since(now, fleet.NewRevision(2, 3), time.Second)
	assert.Assert(t, !ok, "a VM that knows a later era must read the store itself")
}
