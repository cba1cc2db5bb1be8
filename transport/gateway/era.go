package gateway

import (
	"context"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/zinniaroute/zinniaroute/coordination/pacing"
	"github.com/zinniaroute/zinniaroute/coordination/relay"
	"github.com/zinniaroute/zinniaroute/eventlog"
	"github.com/zinniaroute/zinniaroute/platform"
	"github.com/zinniaroute/zinniaroute/state/fleet"
	"github.com/zinniaroute/zinniaroute/state/origins"
	"github.com/zinniaroute/zinniaroute/transport/clock"
)

// settledEraKey is the key of the latest era of the store in which no VM acts any more on what the store has lost. A
// process that starts in a later era cannot know when that began. Eras may begin with zero; a store without the key is that of a
// new deployment.
const settledEraKey = "era"

// beginEra begins a new era if a revision belongs to a later one than the known content: the store has returned from an
// older copy. What this VM and the others write is then written again by its owner, as after the loss of a key. The
// caller must hold the lock.
func (g *Gateway) beginEra(now time.Time, revision fleet.Revision) {
	known := g.knownRevision
	if known == 0 || revision.Era() <= known.Era() {
		return
	}
	g.entryGrace.RecordReturn(now)
	g.store.RecordEra(revision.Era())
	g.owners.BeginEra(now)
	g.storeLog = relay.NewLog()
	// The new log takes an entry of the listing only if it differs from the known one.
	clear(g.runnerEntries)
	g.settledEra, g.settledEraRevision = 0, 0
	g.versions = origins.NewVersions()
	g.blockLoads(now)
	storeReturns.Add(1)
	g.log.Emit(eventlog.StoreReturned, known.String(), revision.String(), now.Sub(g.syncedAt).Milliseconds())
}

// blockLoads allows no loads from the weight store until none counts any more whose permit the store may have lost. The caller must
// hold the lock.
func (g *Gateway) blockLoads(now time.Time) {
	g.loadsBlockedUntil = now.Add(pacing.PermitLifetime(g.bounds().LoadWindow.Duration))
}

// authority returns the fencing number that this VM's orders to a runner carry now, or false if it may not order it. It
// may not between the first answer of a new era and its listing. The caller must hold the lock.
func (g *Gateway) authority(now time.Time, runner string) (uint64, bool) {
	if g.store.Era() > g.knownRevision.Era() {
		return 0, false
	}
	return g.owners.Authority(now, runner)
}

// applySettledEra applies a change of the settled era. The caller must hold the lock.
func (g *Gateway) applySettledEra(item platform.Item) {
	era, err := strconv.ParseUint(string(item.Value), 10, 64)
	if err != nil && !item.Deleted {
		g.log.Emit(eventlog.EraNotMarked, item.Revision.String(), err)
	}
	g.settledEra, g.settledEraRevision = era, item.Revision
	if item.Deleted {
		g.settledEra, g.settledEraRevision = 0, 0
	}
}

// checkSettledEra doubts all claims and load permits if a process begins to follow the store in an era that is not settled. The
// store may have returned at any time until now, also after this process asked for its content. The caller must hold the lock.
func (g *Gateway) checkSettledEra(now time.Time, revision fleet.Revision) {
	if g.knownRevision == 0 && g.settledEraRevision != 0 && g.settledEra < revision.Era() {
		g.owners.DoubtClaims(now)
		g.blockLoads(now)
	}
}

// markEraSettled writes the settled era to the store. Only the aggregator does, to save calls.
func (g *Gateway) markEraSettled(ctx context.Context) {
	now := clock.Now()
	if g.aggregator(now) != g.settings.Name {
		return
	}
	g.mu.Lock()
	era, revision := g.knownRevision.Era(), g.settledEraRevision
	due := (g.settledEraRevision == 0 || era != g.settledEra) && g.owners.Registered() && g.owners.EraSettled(now)
	g.mu.Unlock()
	if !due {
		return
	}
	_, err := g.store.Commit(ctx, platform.Transaction{
		Era:        era,
		Conditions: []platform.Condition{{Key: settledEraKey, Revision: revision}},
		Writes:     []platform.Write{{Key: settledEraKey, Value: strconv.AppendUint(nil, era, 10)}},
	})
	if err != nil && !errors.Is(err, platform.ErrConflict) {
		g.log.Emit(eventlog.EraNotMarked, g.store.Era(), err)
	}
}
