package gateway

import (
	"context"
	"encoding/json"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/zinniaroute/zinniaroute/eventlog"
	"github.com/zinniaroute/zinniaroute/platform"
	"github.com/zinniaroute/zinniaroute/state/fleet"
	"github.com/zinniaroute/zinniaroute/state/quarantine"
	"github.com/zinniaroute/zinniaroute/transport/clock"
	"github.com/zinniaroute/zinniaroute/transport/group"
)

const (
	// quarantinePrefix is the prefix of the keys of quarantined requests in the store. They outlast the processes, and
	// reach VMs that are cut off from the aggregator.
	quarantinePrefix = "quarantine/"
	// quarantineStoreInterval is the interval at which quarantines that the store lacks are written.
	quarantineStoreInterval = 250 * time.Millisecond
	// quarantineStoreDelay is the time that a VM leaves to those that observed a crash of the request themselves.
	quarantineStoreDelay = time.Second
	// minQuarantineTTL is the remaining time from which a quarantine is not worth a write. The store grants no lease
	// below one second.
	minQuarantineTTL = 2 * time.Second
)

// applyQuarantine applies a change of a quarantine's key. The caller must hold the lock.
func (g *Gateway) applyQuarantine(now time.Time, item platform.Item) {
	name := strings.TrimPrefix(item.Key, quarantinePrefix)
	if item.Deleted {
		delete(g.crashes.stored, name)
		return
	}
	key := storedKey{revision: item.Revision}
	defer func() { g.crashes.stored[name] = key }()
	var crashes []quarantine.Crash
	if err := json.Unmarshal(item.Value, &crashes); err != nil {
		g.log.Emit(eventlog.QuarantineUnreadable, name, item.Revision, err)
		return
	}
	key.crashes, key.lifted = crashes, isLifted(now, crashes)
	g.mergeCrashes(now, "store", crashes)
}

// storedKey is the key of a quarantine in the store, as this VM last read it.
type storedKey struct {
	revision fleet.Revision
	crashes  []quarantine.Crash
	// lifted reports that the crashes quarantine nothing, as some of them are cleared.
	lifted bool
}

// isLifted reports whether crashes quarantine nothing, as some of them are cleared.
func isLifted(now time.Time, crashes []quarantine.Crash) bool {
	if !slices.ContainsFunc(crashes, func(c quarantine.Crash) bool { return c.Cleared }) {
		return false
	}
	alone := quarantine.NewTracker()
	quarantined, _ := alone.Merge(now, crashes)
	return len(quarantined) == 0
}

// storeQuarantines writes the quarantines that the store lacks, and those that were cleared since they were written.
func (g *Gateway) storeQuarantines(ctx context.Context) error {
	return group.Every(ctx, quarantineStoreInterval, func(time.Time) {
		now := clock.Now()
		g.mu.Lock()
		g.expireCrashes(now)
		pending := g.pendingQuarantines(now)
		g.mu.Unlock()
		for _, q := range pending {
			if err := g.storeQuarantine(ctx, q); err != nil && !errors.Is(err, platform.ErrConflict) {
				g.log.Emit(eventlog.QuarantineNotStored, q.name, err)
				return
			}
		}
	})
}

// storedQuarantine is the quarantine of a request or of a part of prompts as the store holds it: the crashes that led to
// it, for the time that it lasts.
type storedQuarantine struct {
	name    string
	crashes []quarantine.Crash
	ttl     time.Duration
	// replaces is the revision of the value that the store has, or zero if it has none.
	replaces fleet.Revision
}

// quarantines returns all quarantines. The caller must hold the lock.
func (g *Gateway) quarantines(now time.Time) []storedQuarantine {
	var all []storedQuarantine
	for _, s := range g.crashes.tracker.All(now) {
		if !s.Quarantined() {
			continue
		}
		if !g.crashes.logged[s.Fingerprint] {
			g.logQuarantines("no completion since the crashes", s)
		}
		all = append(all, storedQuarantine{
			name: s.Fingerprint.String(), crashes: g.crashes.tracker.Crashes(now, s.Fingerprint),
			ttl: s.LastCrashAt.Add(quarantine.SuspicionTTL).Sub(now),
		})
	}
	for _, s := range g.crashes.parts.Quarantined() {
		all = append(all, storedQuarantine{
			name: partKey(s.Part), crashes: g.crashes.parts.Crashes(s.Part),
			ttl: s.LastCrashAt.Add(quarantine.SuspicionTTL).Sub(now),
		})
	}
	return all
}

// pendingQuarantines returns the quarantines that this VM should write to the store. The caller must hold the lock.
func (g *Gateway) pendingQuarantines(now time.Time) []storedQuarantine {
	return slices.Concat(g.missingQuarantines(now), g.clearedQuarantines(now))
}

// missingQuarantines returns the quarantines of which the store lacks the crashes. The caller must hold the lock.
func (g *Gateway) missingQuarantines(now time.Time) []storedQuarantine {
	var missing []storedQuarantine
	missingSince := make(map[string]time.Time)
	for _, q := range g.quarantines(now) {
		stored, isStored := g.crashes.stored[q.name]
		if isStored && !stored.lifted {
			continue
		}
		q.replaces = stored.revision
		if g.isDue(now, q.name, g.crashes.missingSince, missingSince) {
			missing = append(missing, q)
		}
	}
	g.crashes.missingSince = missingSince
	return missing
}

// clearedQuarantines returns the quarantines in the store whose requests were completed since. VMs that read them when they
// start know of no completion, and would refuse the requests until the crashes expire. The caller must hold the lock.
func (g *Gateway) clearedQuarantines(now time.Time) []storedQuarantine {
	var all []storedQuarantine
	outdatedSince := make(map[string]time.Time)
	for name, stored := range g.crashes.stored {
		crashes, changed := g.crashes.tracker.MarkCleared(stored.crashes)
		if !changed || g.crashes.tracker.RetryAfter(now, crashes[0].Fingerprint) > 0 {
			continue
		}
		last := slices.MaxFunc(crashes, func(a, b quarantine.Crash) int { return a.EndedAt.Compare(b.EndedAt) })
		if g.isDue(now, name, g.crashes.outdatedSince, outdatedSince) {
			all = append(all, storedQuarantine{
				name: name, crashes: crashes, ttl: last.EndedAt.Add(quarantine.SuspicionTTL).Sub(now), replaces: stored.revision,
			})
		}
	}
	g.crashes.outdatedSince = outdatedSince
	return all
}

// isDue reports whether this VM should write a key now: at once if it has observed a crash or a completion of the request itself,
// otherwise after quarantineStoreDelay. It copies the time since when the write is missing from earlier to next.
func (g *Gateway) isDue(now time.Time, name string, earlier, next map[string]time.Time) bool {
	since, known := earlier[name]
	if !known {
		since = now
	}
	next[name] = since
	_, observed := g.crashes.observed[name]
	return observed || now.Sub(since) >= quarantineStoreDelay
}

// storeQuarantine writes a quarantine to the store, unless its key has changed there.
func (g *Gateway) storeQuarantine(ctx context.Context, q storedQuarantine) error {
	ttl := min(q.ttl, quarantine.SuspicionTTL)
	if ttl < minQuarantineTTL {
		return nil
	}
	value, err := json.Marshal(q.crashes)
	if err != nil {
		return errors.Wrap(err, "encode crashes")
	}
	g.mu.Lock()
	era := g.knownRevision.Era()
	g.mu.Unlock()
	lease, _, err := g.store.GrantLease(ctx, ttl)
	if err != nil {
		return err
	}
	key := quarantinePrefix + q.name
	_, err = g.store.Commit(ctx, platform.Transaction{
		Era:        era,
		Conditions: []platform.Condition{{Key: key, Revision: q.replaces}},
		Writes:     []platform.Write{{Key: key, Value: value, Lease: lease}},
	})
	return err
}
