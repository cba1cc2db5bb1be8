package gateway

import (
	"context"
	"encoding/json"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/zinniaroute/zinniaroute/eventlog"
	"github.com/zinniaroute/zinniaroute/platform"
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
	g.crashes.stored[name] = true
	var crashes []quarantine.Crash
	if err := json.Unmarshal(item.Value, &crashes); err != nil {
		g.log.Emit(eventlog.QuarantineUnreadable, name, item.Revision, err)
		return
	}
	g.mergeCrashes(now, "store", crashes)
}

// storeQuarantines writes the quarantines that the store lacks.
func (g *Gateway) storeQuarantines(ctx context.Context) error {
	return group.Every(ctx, quarantineStoreInterval, func(time.Time) {
		now := clock.Now()
		g.mu.Lock()
		g.expireCrashes(now)
		pending := g.missingQuarantines(now)
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

// missingQuarantines returns the quarantines that this VM should write to the store. The caller must hold the lock.
func (g *Gateway) missingQuarantines(now time.Time) []storedQuarantine {
	var missing []storedQuarantine
	missingSince := make(map[string]time.Time)
	for _, q := range g.quarantines(now) {
		if g.crashes.stored[q.name] {
			continue
		}
		since, known := g.crashes.missingSince[q.name]
		if !known {
			since = now
		}
		missingSince[q.name] = since
		if _, observed := g.crashes.observed[q.name]; observed || now.Sub(since) >= quarantineStoreDelay {
			missing = append(missing, q)
		}
	}
	g.crashes.missingSince = missingSince
	return missing
}

// storeQuarantine writes a quarantine to the store, unless it has it.
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
		Conditions: []platform.Condition{{Key: key}},
		Writes:     []platform.Write{{Key: key, Value: value, Lease: lease}},
	})
	return err
}
