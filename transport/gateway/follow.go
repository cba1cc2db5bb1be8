package gateway

import (
	"context"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/zinniaroute/zinniaroute/eventlog"
	"github.com/zinniaroute/zinniaroute/platform"
	"github.com/zinniaroute/zinniaroute/state/fleet"
	"github.com/zinniaroute/zinniaroute/transport/clock"
	"github.com/zinniaroute/zinniaroute/transport/group"
)

const (
	// watchWait is the longest wait for a change: runners write every second or so, so that more silence is suspect.
	watchWait = time.Second
	// watchPause lets changes gather between two calls.
	watchPause = 500 * time.Millisecond
	// storeRetry is the pause after a failed call to the store.
	storeRetry = 200 * time.Millisecond
	// returnGrace is the time in which entries that lapsed during an outage of the store come back.
	returnGrace = 2500 * time.Millisecond
)

// follow keeps the configuration and the directory as the store has them.
func (g *Gateway) follow(ctx context.Context) error {
	lost := false
	for ctx.Err() == nil {
		revision, err := g.list(ctx, lost)
		if err == nil {
			if lost {
				g.log.Emit(eventlog.StoreBack, revision)
			}
			err = g.watch(ctx, revision)
		}
		if ctx.Err() != nil {
			return nil
		}
		if !errors.Is(err, platform.ErrHistoryLost) {
			if !lost {
				g.log.Emit(eventlog.StoreLost, err)
			}
			lost = true
		}
		group.Sleep(ctx, storeRetry)
	}
	return nil
}

// list takes in everything that the store holds, and returns the revision from which a watch goes on.
func (g *Gateway) list(ctx context.Context, afterOutage bool) (uint64, error) {
	asked := clock.Now()
	items, revision, err := g.store.List(ctx, "")
	if err != nil {
		return 0, err
	}
	now := clock.Now()
	present := make(map[string]bool)
	listed := make(map[string]bool)
	for _, item := range items {
		g.apply(now, item)
		listed[item.Key] = true
		if id, ok := strings.CutPrefix(item.Key, platform.RunnersPrefix); ok {
			present[id] = true
		}
	}
	grace := time.Duration(0)
	if afterOutage {
		grace = returnGrace
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.dropped(g.directory.Listed(now, present, grace))
	g.forgetAbsent(now, listed)
	g.heard = asked
	g.owners.Heard(asked)
	g.announce()
	return revision, nil
}

// watch takes in changes until a call fails.
func (g *Gateway) watch(ctx context.Context, revision uint64) error {
	for {
		asked := clock.Now()
		events, next, err := g.store.Watch(ctx, "", revision, watchWait)
		if err != nil {
			return err
		}
		now := clock.Now()
		for _, event := range events {
			g.apply(now, event)
		}
		revision = max(revision, next)
		g.mu.Lock()
		g.heard = asked
		g.owners.Heard(asked)
		g.dropped(g.directory.Expire(now))
		if len(events) > 0 {
			g.announce()
		}
		g.mu.Unlock()
		if !group.Sleep(ctx, watchPause) {
			return ctx.Err()
		}
	}
}

// forgetAbsent forgets members, owners and load places whose keys a listing no longer has; the lock must be held.
func (g *Gateway) forgetAbsent(now time.Time, listed map[string]bool) {
	for _, member := range g.owners.Members() {
		if !listed[membersPrefix+member] {
			g.owners.Left(now, member)
		}
	}
	for _, runner := range g.owners.Runners() {
		if !listed[ownersPrefix+runner] {
			g.owners.Released(runner)
		}
	}
	for key := range g.loadPlaces {
		if !listed[key] {
			delete(g.loadPlaces, key)
		}
	}
}

// dropped forgets runners that are gone; the lock must be held.
func (g *Gateway) dropped(ids []string) {
	for _, id := range ids {
		g.desk.Drop(id)
		g.log.Emit(eventlog.RunnerListed, id, string(fleet.Gone), "", 0)
	}
}

// apply takes in one item or event of the store.
func (g *Gateway) apply(now time.Time, item platform.Item) {
	switch {
	case item.Key == platform.ConfigurationKey && !item.Deleted:
		g.configure(item)
	case strings.HasPrefix(item.Key, platform.RunnersPrefix):
		g.note(now, item)
	default:
		g.noteOwn(now, item)
	}
}

// noteOwn takes in one of the system's own keys.
func (g *Gateway) noteOwn(now time.Time, item platform.Item) {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case strings.HasPrefix(item.Key, membersPrefix):
		g.noteMember(now, item)
	case strings.HasPrefix(item.Key, ownersPrefix):
		g.noteOwner(item)
	case strings.HasPrefix(item.Key, loadsPrefix):
		g.noteLoadPlace(item)
	}
}

func (g *Gateway) configure(item platform.Item) {
	table, err := platform.DecodeConfiguration(item.Value)
	if err != nil {
		g.log.Emit(eventlog.ConfigurationUnreadable, item.Revision, err)
		return
	}
	old := g.table.Load()
	if old != nil && old.Version >= table.Version {
		return
	}
	g.table.Store(table)
	g.log.Emit(eventlog.ConfigurationInForce, table.Version, item.Revision, table.Size())
}

func (g *Gateway) note(now time.Time, item platform.Item) {
	id := strings.TrimPrefix(item.Key, platform.RunnersPrefix)
	g.mu.Lock()
	defer g.mu.Unlock()
	if item.Deleted {
		if change := g.directory.Remove(id); change != fleet.Same {
			g.desk.Drop(id)
			g.log.Emit(eventlog.RunnerListed, id, string(change), "", item.Revision)
		}
		return
	}
	runner, err := platform.DecodeRunner(item.Key, item.Value, item.Revision)
	if err != nil {
		g.log.Emit(eventlog.RunnerUnreadable, id, item.Revision, err)
		return
	}
	if change := g.directory.Put(now, runner); change != fleet.Same {
		g.log.Emit(eventlog.RunnerListed, id, string(change), runner.Service, item.Revision)
	}
}
