package gateway

import (
	"context"
	"reflect"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/zinniaroute/zinniaroute/coordination/pacing"
	"github.com/zinniaroute/zinniaroute/coordination/relay"
	"github.com/zinniaroute/zinniaroute/eventlog"
	"github.com/zinniaroute/zinniaroute/platform"
	"github.com/zinniaroute/zinniaroute/state/fleet"
	"github.com/zinniaroute/zinniaroute/transport/clock"
	"github.com/zinniaroute/zinniaroute/transport/group"
)

const (
	// watchWait is the longest wait for a change. The known content of the store is at most twice the sum of watchWait and
	// watchPause old. It is more recent where several runners write every second.
	watchWait = 500 * time.Millisecond
	// watchPause is the pause between two watch calls, so that one call returns several changes.
	watchPause = 500 * time.Millisecond
	// storeRetry is the pause after a failed call to the store.
	storeRetry = 200 * time.Millisecond
	// restCheck is the interval at which a VM that does not read the store checks whether it must.
	restCheck = 100 * time.Millisecond
	// failuresUntilLost is the number of consecutive failures after which the VM stops forwarding the store's content, so
	// that the other VMs read the store themselves. A single refusal is transient.
	failuresUntilLost = 2
	// relayFresh is the longest time since the last forwarded view for which a VM does not read the store itself. Views
	// arrive every exchangeInterval.
	relayFresh = time.Second
	// returnGrace is the time within which runners write their entries again after the entries expired during an outage
	// of the store.
	returnGrace = 2500 * time.Millisecond
)

// follow keeps the configuration and the directory in line with the store. It reads the store only while the
// aggregating VM forwards no views.
func (g *Gateway) follow(ctx context.Context) error {
	failures := 0
	for ctx.Err() == nil {
		if g.resting(clock.Now()) {
			group.Sleep(ctx, restCheck)
			continue
		}
		err := g.readStore(ctx, &failures)
		if ctx.Err() != nil || err == nil {
			continue
		}
		if !errors.Is(err, platform.ErrHistoryLost) {
			failures++
			g.noteStoreLost(err, failures)
		}
		group.Sleep(ctx, storeRetry)
	}
	return nil
}

// noteStoreLost logs the first of several consecutive failures, and stops the forwarding to other VMs after
// failuresUntilLost of them.
func (g *Gateway) noteStoreLost(err error, failures int) {
	if failures == 1 {
		g.log.Emit(eventlog.StoreLost, err)
	}
	if failures >= failuresUntilLost {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.relay.Suspend()
	}
}

// resting reports whether another VM forwards the store's content, so that this VM need not read the store.
func (g *Gateway) resting(now time.Time) bool {
	if g.hub(now) == g.settings.Name {
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return now.Sub(g.relayed) < relayFresh
}

// readStore lists the store and watches it until a call fails or another VM forwards its content.
func (g *Gateway) readStore(ctx context.Context, failures *int) error {
	revision, err := g.list(ctx, *failures > 0)
	if err != nil {
		return err
	}
	if *failures > 0 {
		g.log.Emit(eventlog.StoreBack, revision)
		*failures = 0
	}
	return g.watch(ctx, revision)
}

// list applies the store's whole content and returns the revision after which a watch continues.
func (g *Gateway) list(ctx context.Context, afterOutage bool) (uint64, error) {
	asked := clock.Now()
	items, revision, err := g.store.List(ctx, "")
	if err != nil {
		return 0, err
	}
	now := clock.Now()
	grace := time.Duration(0)
	if afterOutage {
		grace = returnGrace
	}
	g.mu.Lock()
	g.graceUntil = now.Add(grace)
	g.mu.Unlock()
	present := make(map[string]bool, len(items))
	for _, item := range items {
		g.apply(now, item)
		present[item.Key] = true
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.listed(now, present, grace)
	g.relay.ApplyListing(present, revision)
	g.hear(asked, revision)
	g.announce()
	return revision, nil
}

// listed removes what a complete listing lacks. The caller must hold the lock.
func (g *Gateway) listed(now time.Time, present map[string]bool, grace time.Duration) {
	runners := make(map[string]bool)
	for key := range present {
		if id, ok := strings.CutPrefix(key, platform.RunnersPrefix); ok {
			runners[id] = true
		}
	}
	g.dropped(g.directory.ApplyListing(now, runners, grace))
	g.forgetAbsent(now, present)
}

// hear records that this VM has applied the store's content up to a revision, as of a request sent at a time. The
// caller must hold the lock.
func (g *Gateway) hear(asked time.Time, revision uint64) {
	g.relay.RecordSync(asked, revision)
	g.know(asked, revision)
}

// know records that this VM knows the store's content up to a revision, as of a request that this VM or the forwarding
// one sent. The caller must hold the lock.
func (g *Gateway) know(asked time.Time, revision uint64) {
	g.known = max(g.known, revision)
	if asked.After(g.heard) {
		g.heard = asked
	}
	g.owners.RecordSync(asked)
}

// watch applies changes until a call fails or another VM forwards them.
func (g *Gateway) watch(ctx context.Context, revision uint64) error {
	for !g.resting(clock.Now()) {
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
		g.hear(asked, revision)
		g.dropped(g.directory.Expire(now))
		if len(events) > 0 {
			g.announce()
		}
		g.mu.Unlock()
		if !group.Sleep(ctx, watchPause) {
			return ctx.Err()
		}
	}
	return nil
}

// takeView applies a view that another VM forwarded.
func (g *Gateway) takeView(now time.Time, v *relay.View, grace time.Duration) {
	present := make(map[string]bool, len(v.Items))
	for _, item := range v.Items {
		present[item.Key] = true
		g.apply(now, platform.Item{Key: item.Key, Value: item.Value, Revision: item.Revision, Deleted: item.Deleted})
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if v.Full {
		g.listed(now, present, grace)
	}
	g.dropped(g.directory.Expire(now))
	g.relayed = now
	g.know(now.Add(-v.Age), v.Revision)
	if len(v.Items) > 0 {
		g.announce()
	}
}

// forgetAbsent removes members, owners and load permits whose keys a complete listing lacks. The caller must hold the
// lock.
func (g *Gateway) forgetAbsent(now time.Time, listed map[string]bool) {
	for _, member := range g.owners.Members() {
		if !listed[membersPrefix+member] {
			g.owners.RemoveMember(now, member)
		}
	}
	for _, runner := range g.owners.Runners() {
		if !listed[ownersPrefix+runner] {
			g.owners.RemoveClaim(runner)
		}
	}
	g.loadPlaces.ApplyListing(listed)
}

// dropped removes the scheduler's state of runners that the directory removed. The caller must hold the lock.
func (g *Gateway) dropped(ids []string) {
	for _, id := range ids {
		g.desk.Remove(id)
		g.log.Emit(eventlog.RunnerListed, id, string(fleet.ChangeRemoved), "", 0)
	}
}

// apply applies an item of a listing or an event of a watch, and copies it to the log from which views are forwarded.
func (g *Gateway) apply(now time.Time, item platform.Item) {
	news := true
	switch {
	case item.Key == platform.ConfigurationKey && !item.Deleted:
		g.configure(item)
	case strings.HasPrefix(item.Key, platform.RunnersPrefix):
		news = g.note(now, item)
	default:
		g.noteOwn(now, item)
	}
	handed := relay.Item{Key: item.Key, Value: item.Value, Revision: item.Revision, Deleted: item.Deleted}
	g.mu.Lock()
	defer g.mu.Unlock()
	if news {
		g.relay.Put(handed)
		return
	}
	g.relay.UpdateValue(handed)
}

// noteOwn applies a change of a member key, an owner key or a load permit.
func (g *Gateway) noteOwn(now time.Time, item platform.Item) {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case strings.HasPrefix(item.Key, membersPrefix):
		g.noteMember(now, item)
	case strings.HasPrefix(item.Key, ownersPrefix):
		g.noteOwner(item)
	case strings.HasPrefix(item.Key, pacing.Prefix):
		g.loadPlaces.SetTaken(item.Key, !item.Deleted)
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

// note applies a change of a runner's entry, and reports whether more than the entry's revision changed. A runner that
// only shows that it is alive writes the same entry again.
func (g *Gateway) note(now time.Time, item platform.Item) bool {
	id := strings.TrimPrefix(item.Key, platform.RunnersPrefix)
	g.mu.Lock()
	defer g.mu.Unlock()
	if item.Deleted {
		delete(g.entries, id)
		if change := g.directory.Remove(id); change != fleet.ChangeNone {
			g.desk.Remove(id)
			g.log.Emit(eventlog.RunnerListed, id, string(change), "", item.Revision)
		}
		return true
	}
	runner, err := platform.DecodeRunner(item.Key, item.Value, item.Revision)
	if err != nil {
		g.log.Emit(eventlog.RunnerUnreadable, id, item.Revision, err)
		return true
	}
	if change := g.directory.Put(now, runner); change != fleet.ChangeNone {
		g.log.Emit(eventlog.RunnerListed, id, string(change), runner.Service, item.Revision)
	}
	runner.Revision = 0
	before, known := g.entries[id]
	g.entries[id] = runner
	return !known || !reflect.DeepEqual(before, runner)
}
