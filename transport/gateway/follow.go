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
	// watchWait is the longest wait for a change. What the store says is then at most twice watchWait and watchPause old,
	// and less where several runners write every second.
	watchWait = 500 * time.Millisecond
	// watchPause lets changes gather between two calls.
	watchPause = 500 * time.Millisecond
	// storeRetry is the pause after a failed call to the store.
	storeRetry = 200 * time.Millisecond
	// restCheck is how often a VM that does not read the store looks whether it must.
	restCheck = 100 * time.Millisecond
	// failuresUntilLost is the number of failures in a row after which the others are told to read the store themselves;
	// a single refusal passes.
	failuresUntilLost = 2
	// relayFresh is the age up to which what another VM handed on is relied upon; exchanges are a quarter second apart.
	relayFresh = time.Second
	// returnGrace is the time in which entries that lapsed during an outage of the store come back.
	returnGrace = 2500 * time.Millisecond
)

// follow keeps the configuration and the directory as the store has them, unless the gathering VM hands them on.
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

// noteStoreLost has the other VMs read the store themselves after some failures in a row.
func (g *Gateway) noteStoreLost(err error, failures int) {
	if failures == 1 {
		g.log.Emit(eventlog.StoreUnreachable, err)
	}
	if failures >= failuresUntilLost {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.relay.Suspend()
	}
}

// resting reports whether another VM hands on what the store says, so that this one need not read it.
func (g *Gateway) resting(now time.Time) bool {
	if g.hub(now) == g.settings.Name {
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return now.Sub(g.relayed) < relayFresh
}

// readStore lists the store and watches it until a call fails or another VM hands it on.
func (g *Gateway) readStore(ctx context.Context, failures *int) error {
	revision, err := g.list(ctx, *failures > 0)
	if err != nil {
		return err
	}
	if *failures > 0 {
		g.log.Emit(eventlog.StoreReachable, revision)
		*failures = 0
	}
	return g.watch(ctx, revision)
}

// list takes in everything that the store holds, and returns the revision from which a watch goes on.
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

// listed forgets what a complete listing lacks; the lock must be held.
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

// hear notes that the store told this VM everything up to a revision, as asked at a time; the lock must be held.
func (g *Gateway) hear(asked time.Time, revision uint64) {
	g.relay.RecordSync(asked, revision)
	g.know(asked, revision)
}

// know notes that everything up to a revision is known, as this VM or another one asked for it; the lock must be held.
func (g *Gateway) know(asked time.Time, revision uint64) {
	g.known = max(g.known, revision)
	if asked.After(g.heard) {
		g.heard = asked
	}
	g.owners.RecordSync(asked)
}

// watch takes in changes until a call fails or another VM hands them on.
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

// takeView takes in what another VM hands on.
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

// forgetAbsent forgets members, owners and load places whose keys a listing no longer has; the lock must be held.
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

// dropped forgets runners that are gone; the lock must be held.
func (g *Gateway) dropped(ids []string) {
	for _, id := range ids {
		g.desk.Remove(id)
		g.log.Emit(eventlog.RunnerEntryChanged, id, string(fleet.ChangeRemoved), "", 0)
	}
}

// apply takes in one item or event of the store.
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

// noteOwn takes in one of the system's own keys.
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
	g.log.Emit(eventlog.ConfigurationApplied, table.Version, item.Revision, table.Size())
}

// note takes in a runner's entry and reports whether it says more than that the runner is alive.
func (g *Gateway) note(now time.Time, item platform.Item) bool {
	id := strings.TrimPrefix(item.Key, platform.RunnersPrefix)
	g.mu.Lock()
	defer g.mu.Unlock()
	if item.Deleted {
		delete(g.entries, id)
		if change := g.directory.Remove(id); change != fleet.ChangeNone {
			g.desk.Remove(id)
			g.log.Emit(eventlog.RunnerEntryChanged, id, string(change), "", item.Revision)
		}
		return true
	}
	runner, err := platform.DecodeRunner(item.Key, item.Value, item.Revision)
	if err != nil {
		g.log.Emit(eventlog.RunnerEntryUnreadable, id, item.Revision, err)
		return true
	}
	if change := g.directory.Put(now, runner); change != fleet.ChangeNone {
		g.log.Emit(eventlog.RunnerEntryChanged, id, string(change), runner.Service, item.Revision)
	}
	runner.Revision = 0
	before, known := g.entries[id]
	g.entries[id] = runner
	return !known || !reflect.DeepEqual(before, runner)
}
