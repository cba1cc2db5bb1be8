package gateway

import (
	"context"
	"reflect"
	"slices"
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
	// watchTimeout is the longest wait for a change. The known content of the store is at most twice the sum of
	// watchTimeout and watchInterval old. It is more recent where several runners write every second.
	watchTimeout = 500 * time.Millisecond
	// watchInterval is the pause between two watch calls, so that one call returns several changes.
	watchInterval = 500 * time.Millisecond
	// storeRetryInterval is the pause after a failed call to the store.
	storeRetryInterval = 200 * time.Millisecond
	// storeReadCheckInterval is the interval at which a VM that does not read the store checks whether it must.
	storeReadCheckInterval = 100 * time.Millisecond
	// failuresBeforeSuspend is the number of consecutive failures after which the VM stops forwarding the store's content,
	// so that the other VMs read the store themselves. A single refusal is transient.
	failuresBeforeSuspend = 2
	// forwardedViewTimeout is the longest time since the last forwarded view for which a VM does not read the store
	// itself. Views arrive every aggregationInterval, or later by reportDelay.
	forwardedViewTimeout = time.Second
	// maxEntryBytes bounds the values other than the configuration that this VM keeps and forwards.
	maxEntryBytes = 256 << 10
	// maxItemsAtOnce bounds the items that are applied under the lock at once: 32 entries of runners take about 1 ms.
	maxItemsAtOnce = 32
)

// contentSource is the way by which a VM has learned of a part of the store's content.
type contentSource string

// The ways by which a VM learns of the store's content: the answer to its own write, the store itself, and another VM.
const (
	fromAnswer  contentSource = "answer"
	fromListing contentSource = "listing"
	fromWatch   contentSource = "watch"
	fromView    contentSource = "view"
)

// followStore keeps the configuration and the directory in line with the store. It reads the store only while the
// aggregator forwards no views.
func (g *Gateway) followStore(ctx context.Context) error {
	var r storeReader
	for ctx.Err() == nil {
		if g.hasRecentView(clock.Now()) {
			group.Sleep(ctx, storeReadCheckInterval)
			continue
		}
		err := g.readStore(ctx, &r)
		if ctx.Err() != nil || err == nil {
			continue
		}
		r.mustList = errors.Is(err, platform.ErrHistoryLost)
		if !r.mustList {
			r.failures++
			g.recordStoreFailure(r.calledAt, err, r.failures)
		}
		group.Sleep(ctx, storeRetryInterval)
	}
	return nil
}

// storeReader is the state of the reading of the store.
type storeReader struct {
	// failures counts the failed calls since the last answer.
	failures int
	// mustList means that the store no longer has the changes after the known revision.
	mustList bool
	// calledAt is when the last call was sent.
	calledAt time.Time
}

// recordStoreFailure records that a call sent at a time has failed. It logs the first of several consecutive failures, and stops
// the forwarding to other VMs after failuresBeforeSuspend of them.
func (g *Gateway) recordStoreFailure(calledAt time.Time, err error, failures int) {
	if failures == 1 {
		g.log.Emit(eventlog.StoreUnreachable, err)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.entryGrace.RecordFailure(calledAt)
	if failures >= failuresBeforeSuspend {
		g.storeLog.Suspend()
	}
}

// hasRecentView reports whether another VM forwards the store's content, so that this VM need not read the store.
func (g *Gateway) hasRecentView(now time.Time) bool {
	if g.aggregator(now) == g.settings.Name {
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.heldBackSince.IsZero() && now.Sub(g.heldBackSince) >= heldBackTimeout {
		return false
	}
	return now.Sub(g.lastViewAt) < forwardedViewTimeout+g.reportDelay()
}

// readStore watches the store from the known revision until a call fails or another VM forwards its content. It lists the
// store first if this VM knows nothing of it, or if the store no longer has the changes after what it knows.
func (g *Gateway) readStore(ctx context.Context, r *storeReader) error {
	g.mu.Lock()
	revision := g.knownRevision
	g.mu.Unlock()
	if revision == 0 || r.mustList {
		var err error
		if revision, err = g.listStore(ctx, r); err != nil {
			return err
		}
		g.recordStoreAnswer(r, revision)
	}
	return g.watchStore(ctx, r, revision)
}

// recordStoreAnswer logs the first answer after failures.
func (g *Gateway) recordStoreAnswer(r *storeReader, revision fleet.Revision) {
	if r.failures > 0 {
		g.log.Emit(eventlog.StoreReachable, revision)
	}
	*r = storeReader{calledAt: r.calledAt}
}

// listStore applies the store's whole content and returns the revision after which a watch continues.
func (g *Gateway) listStore(ctx context.Context, r *storeReader) (fleet.Revision, error) {
	requestedAt := clock.Now()
	r.calledAt = requestedAt
	defer g.recordStoreCall(requestedAt)()
	items, revision, err := g.store.List(ctx, "")
	if err != nil {
		return 0, err
	}
	return revision, g.applyStoreListing(requestedAt, clock.Now(), items, revision)
}

// applyStoreListing applies the store's whole content at a revision, unless a forwarded view has brought this VM to that
// revision meanwhile.
func (g *Gateway) applyStoreListing(
	requestedAt, now time.Time,
	items []platform.Item,
	revision fleet.Revision,
) error {
	g.applying.Lock()
	defer g.applying.Unlock()
	g.mu.Lock()
	if revision.Era() < g.knownRevision.Era() {
		g.mu.Unlock()
		return platform.ErrHistoryLost
	}
	g.beginEra(now, revision)
	g.entryGrace.RecordAnswer(requestedAt)
	known := g.knownRevision
	g.mu.Unlock()
	if revision < known {
		return nil
	}
	present := make(map[string]bool, len(items))
	g.applyItems(now, fromListing, items)
	for _, item := range items {
		present[item.Key] = true
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.applyListing(now, present, revision)
	g.storeLog.ApplyListing(present, revision)
	g.recordSync(requestedAt, now, revision)
	g.notifyDirectoryChange()
	return nil
}

// applyListing removes what a complete listing at a revision lacks. The caller must hold the lock.
func (g *Gateway) applyListing(now time.Time, present map[string]bool, revision fleet.Revision) {
	runners := make(map[string]bool)
	for key := range present {
		if id, ok := strings.CutPrefix(key, platform.RunnersPrefix); ok {
			runners[id] = true
		}
	}
	g.forgetRunners(now, g.directory.ApplyListing(now, runners, g.entryGrace.Remaining(now)))
	g.removeUnlisted(now, present, revision)
}

// recordSync records that this VM has applied the store's content up to a revision, as of a request sent at a time. The
// caller must hold the lock.
func (g *Gateway) recordSync(requestedAt, now time.Time, revision fleet.Revision) {
	g.storeLog.RecordSync(requestedAt, revision)
	g.recordRevision(requestedAt, now, revision)
}

// recordRevision records that this VM knows the store's content up to a revision, as of a request that this VM or the
// aggregator sent. The caller must hold the lock.
func (g *Gateway) recordRevision(requestedAt, now time.Time, revision fleet.Revision) {
	g.checkSettledEra(now, revision)
	g.knownRevision = max(g.knownRevision, revision)
	if requestedAt.After(g.syncedAt) {
		g.syncedAt = requestedAt
	}
	g.owners.RecordSync(requestedAt, revision)
}

// recordStoreCall records that a call to read the store begins, and returns the function that records its end.
func (g *Gateway) recordStoreCall(now time.Time) (ended func()) {
	set := func(at time.Time) {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.storeCalledAt = at
	}
	set(now)
	return func() { set(time.Time{}) }
}

// watchStore applies changes until a call fails or another VM forwards them.
func (g *Gateway) watchStore(ctx context.Context, r *storeReader, revision fleet.Revision) error {
	for !g.hasRecentView(clock.Now()) {
		requestedAt := clock.Now()
		r.calledAt = requestedAt
		ended := g.recordStoreCall(requestedAt)
		events, next, err := g.store.Watch(ctx, "", revision, watchTimeout)
		ended()
		if err != nil {
			return err
		}
		revision = max(revision, next)
		g.recordStoreAnswer(r, revision)
		g.applyEvents(requestedAt, clock.Now(), events, revision)
		if !group.Sleep(ctx, watchInterval) {
			return ctx.Err()
		}
	}
	return nil
}

// applyEvents applies the events of a watch that brings this VM to a revision.
func (g *Gateway) applyEvents(requestedAt, now time.Time, events []platform.Item, revision fleet.Revision) {
	g.applying.Lock()
	defer g.applying.Unlock()
	g.mu.Lock()
	g.entryGrace.RecordAnswer(requestedAt)
	g.mu.Unlock()
	g.applyChanges(now, fromWatch, events)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.recordSync(requestedAt, now, revision)
	g.forgetRunners(now, g.directory.Expire(now))
	if len(events) > 0 {
		g.notifyDirectoryChange()
	}
}

// applyChanges applies the changes after the known revision. Older ones may have been followed by a removal.
func (g *Gateway) applyChanges(now time.Time, source contentSource, items []platform.Item) {
	g.mu.Lock()
	known := g.knownRevision
	g.mu.Unlock()
	changes := make([]platform.Item, 0, len(items))
	for _, item := range items {
		if item.Revision > known {
			changes = append(changes, item)
		}
	}
	g.applyItems(now, source, changes)
}

// applyView applies a view that another VM forwarded. It ignores one of an earlier era of the store than the known
// content, and whole content that is older than it. The view answers a call sent at askedAt: this VM may have been frozen
// since then.
func (g *Gateway) applyView(askedAt, now time.Time, v *relay.View, grace time.Duration) {
	items, err := unpack(v.Items)
	if err != nil {
		g.log.Emit(eventlog.ViewUnreadable, v.Revision, err)
		g.mu.Lock()
		g.lastViewAt = time.Time{}
		g.mu.Unlock()
		return
	}
	g.applying.Lock()
	defer g.applying.Unlock()
	g.mu.Lock()
	// A VM that knows nothing takes also what the store has lost since: others serve by it.
	ofEarlierEra := g.knownRevision != 0 && v.Revision.Era() < max(g.knownRevision.Era(), g.store.Era())
	outdated := ofEarlierEra || v.Full && v.Revision < g.knownRevision
	asOf := askedAt.Add(-v.Age)
	if !outdated {
		g.entryGrace.RecordView(now, asOf, grace)
		g.beginEra(now, v.Revision)
	}
	g.mu.Unlock()
	if outdated {
		return
	}
	present := make(map[string]bool, len(v.Items))
	changes := make([]platform.Item, 0, len(v.Items))
	for _, item := range items {
		present[item.Key] = true
		changes = append(changes, platform.Item{
			Key: item.Key, Value: item.Value, Revision: item.Revision, Deleted: item.Deleted,
		})
	}
	g.applyChanges(now, fromView, changes)
	g.mu.Lock()
	defer g.mu.Unlock()
	if v.Full {
		g.applyListing(now, present, v.Revision)
		g.storeLog.ApplyListing(present, v.Revision)
	}
	g.directory.LimitAbsence(now.Add(g.entryGrace.Remaining(now)))
	g.forgetRunners(now, g.directory.Expire(now))
	g.lastViewAt = now
	switch {
	case !v.HeldBack:
		g.heldBackSince = time.Time{}
	case g.heldBackSince.IsZero():
		g.heldBackSince = now
	}
	g.recordRevision(asOf, now, v.Revision)
	if len(v.Items) > 0 {
		g.notifyDirectoryChange()
	}
}

func unpack(packed []relay.Item) ([]relay.Item, error) {
	items := make([]relay.Item, 0, len(packed))
	for _, item := range packed {
		unpacked, err := item.Unpacked()
		if err != nil {
			return nil, err
		}
		items = append(items, unpacked)
	}
	return items, nil
}

// removeUnlisted removes members, owners, stored quarantines, recorded versions and load permits whose keys a complete listing
// at a revision lacks. The caller must hold the lock.
func (g *Gateway) removeUnlisted(now time.Time, listed map[string]bool, revision fleet.Revision) {
	for _, member := range g.owners.Members() {
		if !listed[membersPrefix+member] {
			g.removeMember(now, member)
		}
	}
	for _, runner := range g.owners.Runners() {
		if !listed[ownersPrefix+runner] {
			g.owners.RemoveClaim(runner, revision)
		}
	}
	for name := range g.crashes.stored {
		if !listed[quarantinePrefix+name] {
			delete(g.crashes.stored, name)
		}
	}
	g.versions.Retain(func(service, software string) bool { return listed[softwareKey(service, software)] })
	g.loadPermits.ApplyListing(listed)
}

// forgetRunners removes the scheduler's state of runners that the directory removed. The caller must hold the lock.
func (g *Gateway) forgetRunners(now time.Time, ids []string) {
	for _, id := range ids {
		g.scheduler.Remove(now, id)
		g.confirmations.Remove(id)
		g.log.Emit(eventlog.RunnerEntryChanged, id, string(fleet.ChangeRemoved), "", "", 0)
	}
}

// applyItems applies items of a listing or events of a watch. It takes the lock once for many of them, as reports and
// requests wait for it too.
func (g *Gateway) applyItems(now time.Time, source contentSource, items []platform.Item) {
	for part := range slices.Chunk(items, maxItemsAtOnce) {
		for _, item := range part {
			// Thousands of routes are decoded without the lock.
			if item.Key == platform.ConfigurationKey && !item.Deleted {
				g.applyConfiguration(item)
			}
		}
		g.applyPart(now, source, part)
	}
}

func (g *Gateway) applyPart(now time.Time, source contentSource, items []platform.Item) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, item := range items {
		g.applyItem(now, source, item)
	}
}

// applyItem applies an item other than a configuration, and copies any to the log from which views are forwarded. The
// caller must hold the lock.
func (g *Gateway) applyItem(now time.Time, source contentSource, item platform.Item) {
	relevant := true
	switch {
	case strings.HasPrefix(item.Key, streamsPrefix):
		// Only the VM at which a caller takes up the stream needs it, and reads it.
		return
	case len(item.Value) > maxEntryBytes && item.Key != platform.ConfigurationKey:
		ignoredEntries.Add(1)
		g.log.Emit(eventlog.EntryIgnored, item.Key, item.Revision, len(item.Value))
		return
	case strings.HasPrefix(item.Key, platform.RunnersPrefix):
		relevant = g.applyRunnerEntry(now, item)
	default:
		g.applyCoordinationItem(now, source, item)
	}
	forwarded := relay.Item{Key: item.Key, Value: item.Value, Revision: item.Revision, Deleted: item.Deleted}
	if relevant || !g.storeLog.UpdateValue(forwarded) {
		g.storeLog.Put(forwarded)
	}
}

// applyCoordinationItem applies a change of a member key, an owner key, a quarantine, the settled era or a load permit. The
// caller must hold the lock.
func (g *Gateway) applyCoordinationItem(now time.Time, source contentSource, item platform.Item) {
	switch {
	case strings.HasPrefix(item.Key, membersPrefix):
		g.applyMember(now, item)
	case strings.HasPrefix(item.Key, ownersPrefix):
		g.applyOwner(now, source, item)
	case strings.HasPrefix(item.Key, softwarePrefix):
		g.applySoftware(item)
	case item.Key == settledEraKey:
		g.applySettledEra(item)
	case strings.HasPrefix(item.Key, quarantinePrefix):
		g.applyQuarantine(now, item)
	case strings.HasPrefix(item.Key, pacing.Prefix):
		g.loadPermits.SetTaken(item.Key, !item.Deleted)
	}
}

func (g *Gateway) applyConfiguration(item platform.Item) {
	table, err := platform.DecodeConfiguration(item.Value)
	if err != nil {
		g.log.Emit(eventlog.ConfigurationUnreadable, item.Revision, err)
		return
	}
	for {
		old := g.table.Load()
		if old != nil && old.Version >= table.Version {
			return
		}
		if g.table.CompareAndSwap(old, table) {
			break
		}
	}
	g.log.Emit(eventlog.ConfigurationApplied, table.Version, item.Revision, table.Size())
	g.logWorkspaceProblems(table)
}

// applyRunnerEntry applies a change of a runner's entry, and reports whether more than the entry's revision changed. A
// runner that only shows that it is alive writes the same entry again. The caller must hold the lock.
func (g *Gateway) applyRunnerEntry(now time.Time, item platform.Item) bool {
	id := strings.TrimPrefix(item.Key, platform.RunnersPrefix)
	if item.Deleted {
		delete(g.runnerEntries, id)
		if grace := g.entryGrace.Remaining(now); grace > 0 {
			g.directory.SetMissing(id, now.Add(grace))
			return true
		}
		if change := g.directory.Remove(id); change != fleet.ChangeNone {
			g.scheduler.Remove(now, id)
			g.confirmations.Remove(id)
			g.log.Emit(eventlog.RunnerEntryChanged, id, string(change), "", "", item.Revision)
		}
		return true
	}
	runner, err := platform.DecodeRunner(item.Key, item.Value, item.Revision)
	if err != nil {
		ignoredEntries.Add(1)
		g.log.Emit(eventlog.RunnerEntryUnreadable, id, item.Revision, err)
		return true
	}
	g.recordRunnerStart(now, runner)
	change := g.directory.Put(now, runner)
	if change == fleet.ChangeRestarted || change == fleet.ChangeAdded {
		g.scheduler.RecordRestart(id, time.UnixMilli(runner.Incarnation))
	}
	if change != fleet.ChangeNone {
		g.log.Emit(eventlog.RunnerEntryChanged, id, string(change), runner.Service, runner.Software, item.Revision)
	}
	runner.Revision = 0
	previous, known := g.runnerEntries[id]
	g.runnerEntries[id] = runner
	return !known || !reflect.DeepEqual(previous, runner)
}
