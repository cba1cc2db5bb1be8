package gateway

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/zinniaroute/zinniaroute/coordination/relay"
	"github.com/zinniaroute/zinniaroute/platform"
	"github.com/zinniaroute/zinniaroute/state/fleet"
	"github.com/zinniaroute/zinniaroute/transport/group"
)

// While a VM reads the store, another one may forward what has changed since.
func TestListingBringsBackARunnerThatAForwardedViewRemoved(t *testing.T) {
	entry, err := json.Marshal(map[string]any{
		"service": "plain", "address": "10.0.0.9:8000", "zone": "a", "version": 1, "slots": 6, "state": "ready", "sequence": 0,
	})
	assert.NilError(t, err)
	item := func(id string, revision uint64) platform.Item {
		return platform.Item{Key: platform.RunnersPrefix + id, Value: entry, Revision: fleet.NewRevision(0, revision)}
	}
	removed := relay.Item{Key: platform.RunnersPrefix + "old", Revision: fleet.NewRevision(0, 12), Deleted: true}
	added := relay.Item{Key: platform.RunnersPrefix + "new", Value: entry, Revision: fleet.NewRevision(0, 13)}
	tests := []struct {
		name  string
		apply func(g *Gateway, now time.Time)
	}{
		{"listing", func(g *Gateway, now time.Time) {
			assert.NilError(t, g.applyStoreListing(now, now, []platform.Item{item("old", 5)}, fleet.NewRevision(0, 11)))
		}},
		{"events of a watch", func(g *Gateway, now time.Time) {
			g.applyEvents(now, now, []platform.Item{item("old", 11)}, fleet.NewRevision(0, 11))
		}},
		{"whole content from another VM", func(g *Gateway, now time.Time) {
			g.applyView(now, now, &relay.View{
				Revision: fleet.NewRevision(0, 11), Full: true,
				Items: []relay.Item{{Key: platform.RunnersPrefix + "old", Value: entry, Revision: fleet.NewRevision(0, 5)}},
			}, 0)
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			now := time.Unix(1_000_000, 0)
			v := &simulatedVM{name: "vm-2"}
			v.start(now)
			g := v.gateway
			assert.NilError(t, g.applyStoreListing(now, now, []platform.Item{item("old", 5)}, fleet.NewRevision(0, 10)))
			g.applyView(now, now, &relay.View{Revision: fleet.NewRevision(0, 13), Items: []relay.Item{removed, added}}, 0)
			test.apply(g, now)
			assert.Assert(t, g.directory.Get("old") == nil)
			assert.Assert(t, g.directory.Get("new") != nil)
			view, ok := g.storeLog.Since(now, fleet.NewRevision(0, 10), time.Second)
			assert.Assert(t, ok)
			assert.Equal(t, len(view.Items), 2)
		})
	}
}

// An entry that expired during an outage of the store returns as it was. The other VMs must get it again.
func TestEntryThatReturnsAfterAnOutageIsNotForwarded(t *testing.T) {
	entry := platform.Item{
		Key: platform.RunnersPrefix + "r1", Revision: fleet.NewRevision(0, 5),
		Value: []byte(`{"service": "plain", "address": "10.0.0.9:8000", "zone": "a", "version": 1, "slots": 6, "state": "ready", "sequence": 0}`),
	}
	now := time.Unix(1_000_000, 0)
	v := &simulatedVM{name: "vm-1"}
	v.start(now)
	g := v.gateway
	assert.NilError(t, g.applyStoreListing(now, now, []platform.Item{entry}, entry.Revision))
	now = now.Add(5 * time.Second)
	listed := fleet.NewRevision(0, 6)
	assert.NilError(t, g.applyStoreListing(now, now, nil, listed))
	now = now.Add(time.Second)
	entry.Revision = fleet.NewRevision(0, 7)
	g.applyEvents(now, now, []platform.Item{entry}, entry.Revision)
	assert.Assert(t, g.directory.Get("r1") != nil)
	for _, known := range []fleet.Revision{0, listed} {
		view, ok := g.storeLog.Since(now, known, time.Second)
		assert.Assert(t, ok)
		assert.Equal(t, len(view.Items), 1, "to a VM that knows %v", known)
	}
}

func TestOlderConfigurationReplacesANewerOneThatArrivesBesideIt(t *testing.T) {
	const pairs = 200_000
	v := &simulatedVM{name: "vm-1"}
	v.start(time.Unix(1_000_000, 0))
	g := v.gateway
	tasks, err := group.New(t.Context())
	assert.NilError(t, err)
	items := make(chan platform.Item)
	applied := make(chan struct{})
	for range 2 {
		tasks.Run("apply", func(context.Context) {
			for item := range items {
				g.applyConfiguration(item)
				applied <- struct{}{}
			}
		})
	}
	for i := range pairs {
		versions := []int{2*i + 1, 2*i + 2}
		for _, version := range versions {
			items <- platform.Item{Key: platform.ConfigurationKey, Value: fmt.Appendf(nil, `{"version": %d}`, version)}
		}
		<-applied
		<-applied
		assert.Equal(t, g.table.Load().Version, uint64(versions[1]))
	}
	close(items)
	assert.NilError(t, tasks.Stop())
}

// A runner starts again and asks for a rest before its entry says that it has started. The entry must not end that rest.
func TestEntryOfAnEarlierStartEndsARest(t *testing.T) {
	tests := []struct {
		name      string
		startedAt time.Duration
		want      bool
	}{
		{"started before it asked", -400 * time.Millisecond, true},
		{"started after it asked", 100 * time.Millisecond, false},
	}
	for _, test := range tests {
		now := time.Unix(1_000_000, 0)
		v := &simulatedVM{name: "vm-1"}
		v.start(now)
		g := v.gateway
		entry := func(startedAt time.Time, revision uint64) []platform.Item {
			return []platform.Item{{
				Key: platform.RunnersPrefix + "r1", Revision: fleet.NewRevision(0, revision),
				Value: fmt.Appendf(nil, `{"service": "plain", "address": "10.0.0.9:8000", "slots": 6, "state": "ready", "born": %d}`, startedAt.UnixMilli()),
			}}
		}
		assert.NilError(t, g.applyStoreListing(now, now, entry(now.Add(-time.Minute), 5), fleet.NewRevision(0, 5)))
		g.scheduler.RecordRest(now, "r1", 2*time.Second, 0)
		now = now.Add(200 * time.Millisecond)
		g.applyEvents(now, now, entry(now.Add(test.startedAt-200*time.Millisecond), 6), fleet.NewRevision(0, 6))
		assert.Equal(t, g.scheduler.Resting(now, "r1"), test.want, test.name)
	}
}

// The entry of a runner that rests disappears and comes back, as after lost heartbeats. Only a later start ends its rest.
func TestRestEndsWithTheEntryOfTheRunner(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	tests := []struct {
		name  string
		start time.Time
		want  bool
	}{
		{"the same start", now.Add(-time.Minute), true},
		{"a later start", now.Add(time.Second), false},
	}
	for _, test := range tests {
		g := startVM(now, "vm-0")
		revision := uint64(0)
		apply := func(after time.Duration, startedAt time.Time) {
			revision++
			item := platform.Item{Key: platform.RunnersPrefix + "r1", Revision: fleet.NewRevision(0, revision), Deleted: startedAt.IsZero()}
			if !item.Deleted {
				item.Value = fmt.Appendf(nil, `{"service":"s","address":"127.0.0.1:8000","zone":"a","version":"v1","state":"ready","born":%d}`, startedAt.UnixMilli())
			}
			g.applyItems(now.Add(after), fromListing, []platform.Item{item})
		}
		apply(0, now.Add(-time.Minute))
		g.mu.Lock()
		g.scheduler.RecordRest(now, "r1", 3*time.Second, 0)
		g.mu.Unlock()
		apply(time.Second, time.Time{})
		apply(2*time.Second, test.start)
		g.mu.Lock()
		assert.Check(t, g.directory.Get("r1") != nil, test.name)
		assert.Equal(t, g.scheduler.Resting(now.Add(2900*time.Millisecond), "r1"), test.want, test.name)
		g.mu.Unlock()
	}
}
