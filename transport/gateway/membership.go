package gateway

import (
	"context"
	"encoding/json"
	"net/netip"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/zinniaroute/zinniaroute/coordination/ownership"
	"github.com/zinniaroute/zinniaroute/coordination/pacing"
	"github.com/zinniaroute/zinniaroute/eventlog"
	"github.com/zinniaroute/zinniaroute/platform"
	"github.com/zinniaroute/zinniaroute/state/fleet"
	"github.com/zinniaroute/zinniaroute/transport/clock"
	"github.com/zinniaroute/zinniaroute/transport/group"
)

// The key prefixes in the store of members and of the owners of runners.
const (
	membersPrefix = "vms/"
	ownersPrefix  = "owners/"
)

const (
	// memberLeaseTTL is the time to live of a VM's key. It exceeds a restart or a short outage, so that neither changes
	// owners.
	memberLeaseTTL = 8 * time.Second
	// orderValidity is how long a VM may send orders after its last sync with the store.
	orderValidity = 8 * time.Second
	// settleDelay is the time within which the VMs of a new deployment register, and a VM that lost its key registers
	// again.
	settleDelay = 1500 * time.Millisecond
	// renewInterval leaves three attempts within a lease.
	renewInterval = 2 * time.Second
	claimInterval = 250 * time.Millisecond
)

// memberValue is the value of a VM's key.
type memberValue struct {
	Address netip.AddrPort `json:"address"`
	Domain  string         `json:"domain"`
	// LinkMbps is the speed of the VM's link in megabits per second, or zero if it is not known.
	LinkMbps float64 `json:"linkMbps,omitempty"`
	// Forward is the address at which the VM takes forwarded requests. VMs of earlier versions have none.
	Forward netip.AddrPort `json:"forward,omitzero"`
}

// ownerValue is the value of a runner's owner key.
type ownerValue struct {
	VM          string `json:"vm"`
	Incarnation string `json:"incarnation"`
	// Settled reports that no earlier owner can send orders any more.
	Settled bool `json:"settled"`
}

// keepRegistered writes the VM's key to the store, renews its lease, and writes it again after a loss.
func (g *Gateway) keepRegistered(ctx context.Context) error {
	var lease platform.Lease
	return group.Every(ctx, renewInterval/4, func(time.Time) {
		now := clock.Now()
		g.mu.Lock()
		registered, synced := g.owners.Registered(), g.owners.IsSynced(now)
		g.mu.Unlock()
		if lease.ID != 0 && registered {
			if synced && now.Sub(g.lastRenewedAt) >= renewInterval {
				lease = g.renewLease(ctx, now, lease)
			}
			return
		}
		if now.Sub(g.lastRenewedAt) < renewInterval/2 {
			// The key was written a moment ago, and the watch has not returned it yet.
			return
		}
		id, err := g.writeMember(ctx)
		if err != nil {
			g.log.Emit(eventlog.RegistrationFailed, err)
			return
		}
		lease, g.lastRenewedAt = id, now
	})
}

// renewLease renews the lease of the VM's key and returns it, or none if it has ended. After any other failure the next
// tick retries; the failure is not logged here, since listAndWatch detects and logs the loss of the store.
func (g *Gateway) renewLease(ctx context.Context, now time.Time, lease platform.Lease) platform.Lease {
	err := g.store.RenewLease(ctx, lease)
	switch {
	case err == nil:
		g.lastRenewedAt = now
	case errors.Is(err, platform.ErrNoLease):
		return platform.Lease{}
	}
	return lease
}

func (g *Gateway) writeMember(ctx context.Context) (platform.Lease, error) {
	lease, _, err := g.store.GrantLease(ctx, memberLeaseTTL)
	if err != nil {
		return platform.Lease{}, err
	}
	value, err := json.Marshal(memberValue{
		Address: g.settings.PeerAddress(), Domain: g.settings.Domain, LinkMbps: g.settings.LinkMbps,
		Forward: g.settings.ForwardAddress(),
	})
	if err != nil {
		return platform.Lease{}, errors.Wrap(err, "encode member")
	}
	_, err = g.store.Commit(ctx, platform.Transaction{
		Era:    lease.Era,
		Writes: []platform.Write{{Key: membersPrefix + g.settings.Name, Value: value, Lease: lease}},
	})
	return lease, err
}

// applyMember applies a change of a VM's key. The caller must hold the lock.
func (g *Gateway) applyMember(now time.Time, item platform.Item) {
	name := strings.TrimPrefix(item.Key, membersPrefix)
	if item.Deleted {
		g.removeMember(now, name)
		g.log.Emit(eventlog.MemberChanged, name, "gone", item.Revision)
		return
	}
	var value memberValue
	if err := json.Unmarshal(item.Value, &value); err != nil {
		g.log.Emit(eventlog.MemberChanged, name, "unreadable: "+err.Error(), item.Revision)
		return
	}
	g.addMember(name, value)
	if g.peers.setAddress(name, value.Address) {
		g.log.Emit(eventlog.MemberChanged, name, "joined", item.Revision)
	}
}

// applyOwner applies a change of a runner's owner key. The caller must hold the lock.
func (g *Gateway) applyOwner(now time.Time, source contentSource, item platform.Item) {
	runner := strings.TrimPrefix(item.Key, ownersPrefix)
	if item.Deleted {
		g.owners.RemoveClaim(runner, item.Revision)
		return
	}
	var value ownerValue
	if err := json.Unmarshal(item.Value, &value); err != nil {
		g.log.Emit(eventlog.OwnerChanged, runner, "unreadable: "+err.Error(), item.Revision, 0, source)
		return
	}
	isNew := g.owners.SetClaim(now, runner, ownership.Claim{
		VM: value.VM, Incarnation: value.Incarnation, Settled: value.Settled, Revision: item.Revision,
	})
	if isNew && value.VM == g.settings.Name && value.Incarnation == g.incarnation {
		g.recordOwnClaim(now, runner, "claim found", source)
	}
}

// claimRunners claims the runners that this VM should own, and starts sending orders to each that it owns.
func (g *Gateway) claimRunners(ctx context.Context) error {
	return group.Every(ctx, claimInterval, func(time.Time) {
		now := clock.Now()
		g.mu.Lock()
		runners := g.engineRunners()
		claims := g.owners.PendingClaims(now, runners)
		era := g.knownRevision.Era()
		g.mu.Unlock()
		for _, w := range claims {
			g.claimRunner(ctx, era, w)
		}
		g.recordVersions(ctx)
		g.releaseOrphans(ctx, clock.Now())
		g.markEraSettled(ctx)
		g.mu.Lock()
		defer g.mu.Unlock()
		for _, id := range runners {
			if g.owners.Owner(id) == g.settings.Name {
				g.startOrders(id)
			}
		}
		g.updateBudgetMembers(now)
		g.forgetStreams(now)
	})
}

// engineRunners returns the runners of services with engines. The caller must hold the lock.
func (g *Gateway) engineRunners() []string {
	table := g.table.Load()
	if table == nil {
		return nil
	}
	var ids []string
	for _, runner := range g.directory.All() {
		if service := table.Services[runner.Service]; service != nil && service.Engine != nil {
			ids = append(ids, runner.ID)
		}
	}
	return ids
}

func (g *Gateway) claimRunner(ctx context.Context, era uint64, w ownership.PendingClaim) {
	value, err := json.Marshal(ownerValue{VM: g.settings.Name, Incarnation: g.incarnation, Settled: w.Settled})
	if err != nil {
		g.log.Emit(eventlog.OwnerChanged, w.Runner, err.Error(), 0, 0, "")
		return
	}
	key := ownersPrefix + w.Runner
	conditions := []platform.Condition{{Key: key, Revision: w.Revision}}
	if w.FormerOwner != "" {
		conditions = append(conditions, platform.Condition{Key: membersPrefix + w.FormerOwner})
	}
	revision, err := g.store.Commit(ctx, platform.Transaction{
		Era:        era,
		Conditions: conditions,
		Writes:     []platform.Write{{Key: key, Value: value}},
	})
	if err != nil {
		// After a lost answer the watch shows whether the claim was written.
		g.log.Emit(eventlog.OwnerChanged, w.Runner, "not claimed: "+err.Error(), w.Revision, 0, fromAnswer)
		if errors.Is(err, platform.ErrUnknown) {
			ownClaims.Add("unanswered", 1)
		}
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	now := clock.Now()
	isNew := g.owners.RecordAnswer(now, w.Runner, ownership.Claim{
		VM: g.settings.Name, Incarnation: g.incarnation, Settled: w.Settled, Revision: revision,
	})
	if isNew {
		g.recordOwnClaim(now, w.Runner, "claimed from "+w.FormerOwner, fromAnswer)
	}
}

// recordOwnClaim logs and counts a claim of this process from which orders follow. The caller must hold the lock.
func (g *Gateway) recordOwnClaim(now time.Time, runner, change string, source contentSource) {
	ownClaims.Add(string(source), 1)
	g.log.Emit(
		eventlog.OwnerChanged, runner, change, g.owners.Claim(runner).Revision, g.owners.Wait(now, runner).Milliseconds(), source,
	)
}

// updateBudgetMembers sets the number of VMs that share the retry budgets and the places of brittle runners. The caller must hold the lock.
func (g *Gateway) updateBudgetMembers(now time.Time) {
	g.scheduler.SetMembers(g.members())
	for _, budget := range g.retryBudgets {
		budget.SetMembers(now, g.members())
	}
}

// orphanGrace is how long the owner key of a runner without an entry is kept. It exceeds outages of the store.
const orphanGrace = time.Minute

// releaseOrphans removes the owner keys of this VM's runners that have had no entry for orphanGrace. It repeats the call until
// the store's content shows the removal, as an answer may be lost.
func (g *Gateway) releaseOrphans(ctx context.Context, now time.Time) {
	orphans := make(map[string]fleet.Revision)
	g.mu.Lock()
	for _, runner := range g.owners.Runners() {
		_, hasAuthority := g.authority(now, runner)
		isListed := g.directory.Get(runner) != nil
		switch since, isOrphan := g.orphanedSince[runner]; {
		case !isListed && g.owners.Releasing(runner):
			orphans[runner] = g.owners.Claim(runner).Revision
		case isListed || !hasAuthority:
			delete(g.orphanedSince, runner)
		case !isOrphan:
			g.orphanedSince[runner] = now
		case now.Sub(since) >= orphanGrace:
			g.owners.BeginRelease(runner)
			orphans[runner] = g.owners.Claim(runner).Revision
		}
	}
	g.mu.Unlock()
	for runner, claimed := range orphans {
		g.releaseRunner(ctx, runner, claimed)
	}
}

// releaseRunner removes the owner key of a runner if its last write is still the one at a revision.
func (g *Gateway) releaseRunner(ctx context.Context, runner string, claimed fleet.Revision) {
	_, err := g.store.Commit(ctx, platform.Transaction{
		Era:        claimed.Era(),
		Conditions: []platform.Condition{{Key: ownersPrefix + runner, Revision: claimed}},
		Removals:   []string{ownersPrefix + runner},
	})
	if err != nil && !errors.Is(err, platform.ErrConflict) {
		g.log.Emit(eventlog.OwnerChanged, runner, "not released: "+err.Error(), claimed, 0, fromAnswer)
	}
}

// takeLoadPermit takes a permit for a load from the weight store, whose rate of loads is limited, and reports whether
// it got one. A permit is a key that outlives the window in which the load counts.
func (g *Gateway) takeLoadPermit(ctx context.Context, service string, perSecond float64) bool {
	window := g.bounds().LoadWindow.Duration
	permits := pacing.PermitCount(perSecond, window, g.bounds().LoadOverage)
	g.mu.Lock()
	key, free := g.loadPermits.Free(service, permits, g.random.IntN(max(1, permits)))
	free = free && !clock.Now().Before(g.loadsBlockedUntil)
	era := g.knownRevision.Era()
	g.mu.Unlock()
	if !free {
		return false
	}
	lease, _, err := g.store.GrantLease(ctx, pacing.PermitLifetime(window))
	if err == nil {
		_, err = g.store.Commit(ctx, platform.Transaction{
			Era:        era,
			Conditions: []platform.Condition{{Key: key}},
			Writes:     []platform.Write{{Key: key, Value: []byte(g.settings.Name), Lease: lease}},
		})
	}
	if err != nil {
		g.log.Emit(eventlog.LoadPermitUnavailable, service, permits, err)
	}
	return err == nil
}

// engineOf returns the engine of a runner with the name of its service, or nil. The caller must hold the lock.
func (g *Gateway) engineOf(runner *fleet.Runner) *serviceEngine {
	table := g.table.Load()
	if table == nil || runner == nil {
		return nil
	}
	service := table.Services[runner.Service]
	if service == nil || service.Engine == nil {
		return nil
	}
	return &serviceEngine{service: service.Name, engine: service.Engine}
}
