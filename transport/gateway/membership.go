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

// The prefixes of the system's own keys in the store.
const (
	membersPrefix = "vms/"
	ownersPrefix  = "owners/"
)

const (
	// leaseTime is the life of a VM's key: longer than a restart or a short outage, so that neither moves ownership.
	leaseTime = 8 * time.Second
	// orderValidity is the time for which a VM orders runners on the store's last word.
	orderValidity = 8 * time.Second
	// settleTime is the time in which the VMs of a new deployment register, and a VM that lost its key does so again.
	settleTime = 1500 * time.Millisecond
	// renewInterval leaves three tries within a lease.
	renewInterval = 2 * time.Second
	claimInterval = 250 * time.Millisecond
)

// memberValue is the value of a VM's key.
type memberValue struct {
	Address netip.AddrPort `json:"address"`
	Domain  string         `json:"domain"`
}

// ownerValue is the value of a runner's owner key.
type ownerValue struct {
	VM          string `json:"vm"`
	Incarnation string `json:"incarnation"`
	// Settled tells that no earlier owner can give orders any more.
	Settled bool `json:"settled"`
}

// register keeps the VM's key in the store.
func (g *Gateway) register(ctx context.Context) error {
	var lease uint64
	return group.Every(ctx, renewInterval/4, func(time.Time) {
		now := clock.Now()
		g.mu.Lock()
		registered, hears := g.owners.Registered(), g.owners.IsSynced(now)
		g.mu.Unlock()
		if lease != 0 && registered {
			if hears && now.Sub(g.renewed) >= renewInterval {
				lease = g.renew(ctx, now, lease)
			}
			return
		}
		if now.Sub(g.renewed) < renewInterval/2 {
			// The key was written a moment ago, and the watch has not told yet.
			return
		}
		id, err := g.writeMember(ctx)
		if err != nil {
			g.log.Emit(eventlog.RegistrationFailed, err)
			return
		}
		lease, g.renewed = id, now
	})
}

// renew keeps the lease of the VM's key and returns it, or zero when it has ended. A renewal that fails otherwise is
// tried again at the next look, and the loss of the store is told by the reading of it.
func (g *Gateway) renew(ctx context.Context, now time.Time, lease uint64) uint64 {
	err := g.store.RenewLease(ctx, lease)
	switch {
	case err == nil:
		g.renewed = now
	case errors.Is(err, platform.ErrNoLease):
		return 0
	}
	return lease
}

func (g *Gateway) writeMember(ctx context.Context) (uint64, error) {
	lease, _, err := g.store.GrantLease(ctx, leaseTime)
	if err != nil {
		return 0, err
	}
	value, err := json.Marshal(memberValue{Address: g.settings.PeerAddress(), Domain: g.settings.Domain})
	if err != nil {
		return 0, errors.Wrap(err, "encode member")
	}
	_, err = g.store.Commit(ctx, platform.Transaction{
		Writes: []platform.Write{{Key: membersPrefix + g.settings.Name, Value: value, Lease: lease}},
	})
	return lease, err
}

// noteMember takes in a VM's key; the lock must be held.
func (g *Gateway) noteMember(now time.Time, item platform.Item) {
	name := strings.TrimPrefix(item.Key, membersPrefix)
	if item.Deleted {
		g.owners.RemoveMember(now, name)
		g.log.Emit(eventlog.MemberChanged, name, "gone", item.Revision)
		return
	}
	var value memberValue
	if err := json.Unmarshal(item.Value, &value); err != nil {
		g.log.Emit(eventlog.MemberChanged, name, "unreadable: "+err.Error(), item.Revision)
		return
	}
	g.owners.AddMember(name)
	if g.peers.set(name, value.Address) {
		g.log.Emit(eventlog.MemberChanged, name, "joined", item.Revision)
	}
}

// noteOwner takes in a runner's owner key; the lock must be held.
func (g *Gateway) noteOwner(item platform.Item) {
	runner := strings.TrimPrefix(item.Key, ownersPrefix)
	if item.Deleted {
		g.owners.RemoveClaim(runner)
		return
	}
	var value ownerValue
	if err := json.Unmarshal(item.Value, &value); err != nil {
		g.log.Emit(eventlog.OwnerChanged, runner, "unreadable: "+err.Error(), item.Revision, 0)
		return
	}
	g.owners.SetClaim(runner, ownership.Claim{
		VM: value.VM, Incarnation: value.Incarnation, Settled: value.Settled, Revision: item.Revision,
	})
}

// claim takes over the runners that this VM should own, and runs a duty for each that it owns.
func (g *Gateway) claim(ctx context.Context) error {
	return group.Every(ctx, claimInterval, func(time.Time) {
		now := clock.Now()
		g.mu.Lock()
		runners := g.engineRunners()
		wanted := g.owners.PendingClaims(now, runners)
		g.mu.Unlock()
		for _, w := range wanted {
			g.claimOne(ctx, w)
		}
		g.releaseOrphans(ctx)
		g.mu.Lock()
		defer g.mu.Unlock()
		for _, id := range runners {
			if g.owners.Owner(id) == g.settings.Name {
				g.startOrders(id)
			}
		}
		g.notifyMembers()
	})
}

// engineRunners returns the runners of services with engines; the lock must be held.
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

func (g *Gateway) claimOne(ctx context.Context, w ownership.PendingClaim) {
	value, err := json.Marshal(ownerValue{VM: g.settings.Name, Incarnation: g.incarnation, Settled: w.OrderDelay == 0})
	if err != nil {
		g.log.Emit(eventlog.OwnerChanged, w.Runner, err.Error(), 0, 0)
		return
	}
	key := ownersPrefix + w.Runner
	conditions := []platform.Condition{{Key: key, Revision: w.Revision}}
	if w.FormerOwner != "" {
		conditions = append(conditions, platform.Condition{Key: membersPrefix + w.FormerOwner})
	}
	revision, err := g.store.Commit(ctx, platform.Transaction{
		Conditions: conditions,
		Writes:     []platform.Write{{Key: key, Value: value}},
	})
	if err != nil {
		// After a lost answer the watch tells whether the claim was written, and the first order waits for it.
		g.log.Emit(eventlog.OwnerChanged, w.Runner, "not claimed: "+err.Error(), w.Revision, 0)
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.owners.RecordClaim(clock.Now(), w, revision)
	g.log.Emit(eventlog.OwnerChanged, w.Runner, "claimed from "+w.FormerOwner, revision, w.OrderDelay.Milliseconds())
}

// notifyMembers tells the budgets how many VMs share them; the lock must be held.
func (g *Gateway) notifyMembers() {
	for _, budget := range g.budgets {
		budget.SetMembers(g.members())
	}
}

// orphanTime is how long the owner key of a runner without an entry is kept: longer than any outage seen.
const orphanTime = time.Minute

// releaseOrphans removes the owner keys of this VM's runners that have been gone for long.
func (g *Gateway) releaseOrphans(ctx context.Context) {
	now := clock.Now()
	orphans := make(map[string]uint64)
	g.mu.Lock()
	for _, runner := range g.owners.Runners() {
		fence, mine := g.owners.Authority(now, runner)
		switch since, noted := g.orphans[runner]; {
		case g.directory.Get(runner) != nil || !mine:
			delete(g.orphans, runner)
		case !noted:
			g.orphans[runner] = now
		case now.Sub(since) >= orphanTime:
			orphans[runner] = fence
		}
	}
	g.mu.Unlock()
	for runner, fence := range orphans {
		g.release(ctx, runner, fence)
	}
}

// release removes the owner key of a runner.
func (g *Gateway) release(ctx context.Context, runner string, fence uint64) {
	_, err := g.store.Commit(ctx, platform.Transaction{
		Conditions: []platform.Condition{{Key: ownersPrefix + runner, Revision: fence}},
		Removals:   []string{ownersPrefix + runner},
	})
	if err != nil && !errors.Is(err, platform.ErrConflict) {
		g.log.Emit(eventlog.OwnerChanged, runner, "not released: "+err.Error(), fence, 0)
	}
}

// takeLoadPlace has one of the places among the loads from the weight store, which are keys that live for the window in
// which such loads are counted.
func (g *Gateway) takeLoadPlace(ctx context.Context, service string, perSecond float64) bool {
	window := g.bounds().LoadWindow.Duration
	places := pacing.PermitCount(perSecond, window, g.bounds().LoadOverage)
	g.mu.Lock()
	key, free := g.loadPlaces.Free(service, places, g.random.IntN(max(1, places)))
	g.mu.Unlock()
	if !free {
		return false
	}
	lease, _, err := g.store.GrantLease(ctx, pacing.PermitLifetime(window))
	if err == nil {
		_, err = g.store.Commit(ctx, platform.Transaction{
			Conditions: []platform.Condition{{Key: key}},
			Writes:     []platform.Write{{Key: key, Value: []byte(g.settings.Name), Lease: lease}},
		})
	}
	if err != nil {
		g.log.Emit(eventlog.LoadPlace, service, places, err)
	}
	return err == nil
}

// engineOf returns the engine of a runner with the name of its service, or nil; the lock must be held.
func (g *Gateway) engineOf(runner *fleet.Runner) *platformEngine {
	table := g.table.Load()
	if table == nil || runner == nil {
		return nil
	}
	service := table.Services[runner.Service]
	if service == nil || service.Engine == nil {
		return nil
	}
	return &platformEngine{service: service.Name, engine: service.Engine}
}
