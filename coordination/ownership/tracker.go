package ownership

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/zinniaroute/zinniaroute/state/fleet"
)

// Claim is the store's record of a runner's owner.
type Claim struct {
	VM string
	// Incarnation identifies the owner's process.
	Incarnation string
	// Settled reports that no earlier owner can send orders any more.
	Settled bool
	// Revision is the store's revision of the claim's last write. It serves as the fencing number, which
	// therefore does not fall when the store returns from an older copy.
	Revision fleet.Revision
}

// knownClaim is a claim as this VM knows it.
type knownClaim struct {
	Claim
	// orderAt is the earliest time of this VM's first order by the claim. It is zero if no earlier owner can send orders.
	orderAt time.Time
	// releasing reports that this VM has asked the store to remove the claim. It may have been removed since.
	releasing bool
}

// Bounds are the durations that keep the orders of two owners of one runner apart.
type Bounds struct {
	// Validity is how long a VM may send orders after its last sync with the store, counted from the request.
	Validity time.Duration
	// OwnerChangePause is the least time between the last order of one owner and the first order of the next.
	OwnerChangePause time.Duration
	// ClaimDelay is how long a VM waits after its first sync before it claims runners, and how long a member must be
	// removed before others claim its runners.
	ClaimDelay time.Duration
}

// Tracker holds, for one VM, the members and the owners of all runners as of its last sync with the store.
type Tracker struct {
	self        string
	incarnation string
	bounds      Bounds

	members map[string]bool
	// removedAt is when this VM first found that a former member, or an owner in a claim, is no member.
	removedAt map[string]time.Time
	claims    map[string]knownClaim
	// firstSyncAt is the time of the first sync.
	firstSyncAt time.Time
	// syncedAt is when this VM sent the last request that the store answered with all changes.
	syncedAt time.Time
	// revision is the store's revision up to which this VM knows all changes.
	revision fleet.Revision
	// eraBeganAt is when this VM learned that the store has returned from an older copy. The copy lacks claims that other
	// VMs may still act on.
	eraBeganAt time.Time
	// confirmed holds the runners whose claim this VM held until then.
	confirmed map[string]bool
}

// New returns a tracker without members or claims for a VM's process.
func New(self, incarnation string, bounds Bounds) *Tracker {
	return &Tracker{
		self: self, incarnation: incarnation, bounds: bounds,
		members:   make(map[string]bool),
		removedAt: make(map[string]time.Time),
		claims:    make(map[string]knownClaim),
	}
}

// RecordSync records that all the store's content up to a revision, as of a request sent at requestedAt, has been applied.
func (t *Tracker) RecordSync(requestedAt time.Time, revision fleet.Revision) {
	t.revision = max(t.revision, revision)
	if t.firstSyncAt.IsZero() {
		t.firstSyncAt = requestedAt
	}
	if requestedAt.After(t.syncedAt) {
		t.syncedAt = requestedAt
	}
}

// BeginEra records that the store has returned from an older copy, without what was written since. What the store held
// before is listed anew. This VM keeps its authority over a runner only if a sync within ClaimDelay showed it, since
// no other VM can then have claimed the runner; every other claim waits as if another owner were still active.
func (t *Tracker) BeginEra(now time.Time) {
	t.confirmed = make(map[string]bool)
	for runner := range t.claims {
		if _, held := t.Authority(now, runner); held && now.Sub(t.syncedAt) < t.bounds.ClaimDelay {
			t.confirmed[runner] = true
		}
	}
	t.eraBeganAt = now
	clear(t.claims)
	clear(t.members)
	clear(t.removedAt)
}

// DoubtClaims records that the store returned from an older copy before this process began to follow it, and too
// recently for all VMs to have learned it.
func (t *Tracker) DoubtClaims(now time.Time) { t.eraBeganAt, t.confirmed = now, nil }

// EraSettled reports whether no VM acts on claims any more that the store lost when its era began.
func (t *Tracker) EraSettled(now time.Time) bool { return !t.returning(now) }

// returning reports whether another VM may still act on a claim that the store has lost.
func (t *Tracker) returning(now time.Time) bool {
	return !t.eraBeganAt.IsZero() && now.Sub(t.eraBeganAt) < t.orderDelay()
}

// inDoubt reports whether another VM may still act on a lost claim on this runner.
func (t *Tracker) inDoubt(now time.Time, runner string) bool {
	return t.returning(now) && !t.confirmed[runner]
}

// Valid reports whether this VM may send orders: it is a member, and its last sync is younger than Validity.
func (t *Tracker) Valid(now time.Time) bool {
	return t.members[t.self] && now.Sub(t.syncedAt) < t.bounds.Validity
}

// IsSynced reports whether the last sync is younger than half of Validity. Otherwise the VM must not renew its key: if
// its requests reach the store but no answers return, it would stay the owner of runners that it can't order.
func (t *Tracker) IsSynced(now time.Time) bool { return now.Sub(t.syncedAt) < t.bounds.Validity/2 }

// Registered reports whether the store holds this VM's key.
func (t *Tracker) Registered() bool { return t.members[t.self] }

// AddMember records that the store holds a member's key.
func (t *Tracker) AddMember(vm string) {
	t.members[vm] = true
	delete(t.removedAt, vm)
}

// RemoveMember records that a member's key was removed.
func (t *Tracker) RemoveMember(now time.Time, vm string) {
	if !t.members[vm] {
		return
	}
	delete(t.members, vm)
	t.removedAt[vm] = now
}

// Members returns the VMs whose keys the store holds, sorted by name.
func (t *Tracker) Members() []string {
	members := make([]string, 0, len(t.members))
	for vm := range t.members {
		members = append(members, vm)
	}
	slices.Sort(members)
	return members
}

// SetClaim records a runner's claim, which this VM has learned of now, by whatever way, unless that revision or a later one
// is known, and reports whether it did. The order delay of an own claim that is not settled begins now: the store has made the
// claim before, but not necessarily when this VM asked for it.
func (t *Tracker) SetClaim(now time.Time, runner string, claim Claim) bool {
	if claim.Revision <= t.claims[runner].Revision {
		return false
	}
	known := knownClaim{Claim: claim}
	if t.isOwn(claim) && !claim.Settled && !t.confirmed[runner] {
		known.orderAt = now.Add(t.orderDelay())
	}
	if claim.VM != t.self {
		delete(t.confirmed, runner)
	}
	t.claims[runner] = known
	return true
}

// RecordAnswer records a claim that the store's answer to this VM has confirmed, and reports whether it did. An answer that
// is read after later content is ignored: the content shows the claim, or what has followed it. So is one of a later era, in
// which another VM may still act on what the store has lost.
func (t *Tracker) RecordAnswer(now time.Time, runner string, claim Claim) bool {
	if claim.Revision <= t.revision || claim.Revision.Era() != t.revision.Era() {
		return false
	}
	return t.SetClaim(now, runner, claim)
}

// isOwn reports whether this process has made a claim.
func (t *Tracker) isOwn(claim Claim) bool {
	return claim.VM == t.self && claim.Incarnation == t.incarnation
}

// RemoveClaim records that a runner has no owner key at a revision, unless a later claim is known.
func (t *Tracker) RemoveClaim(runner string, revision fleet.Revision) {
	if t.claims[runner].Revision <= revision {
		delete(t.claims, runner)
	}
}

// BeginRelease records that this VM is about to ask the store to remove its claim on a runner. The claim allows no orders any
// more, whatever the answer: another VM may claim the runner without a wait as soon as the store has removed the claim.
func (t *Tracker) BeginRelease(runner string) {
	claim, claimed := t.claims[runner]
	if claimed {
		claim.releasing = true
		t.claims[runner] = claim
	}
}

// Releasing reports whether this VM has asked the store to remove its claim on a runner, and the claim is the last that it
// knows.
func (t *Tracker) Releasing(runner string) bool { return t.claims[runner].releasing }

// Runners returns the runners that have an owner key, sorted by ID.
func (t *Tracker) Runners() []string {
	runners := make([]string, 0, len(t.claims))
	for runner := range t.claims {
		runners = append(runners, runner)
	}
	slices.Sort(runners)
	return runners
}

// Owner returns the name of the VM that owns a runner, or "".
func (t *Tracker) Owner(runner string) string { return t.claims[runner].VM }

// Claim returns the store's record of a runner's owner, or the zero Claim.
func (t *Tracker) Claim(runner string) Claim { return t.claims[runner].Claim }

// Authority returns the fencing number that this VM's orders to a runner carry now, or false if it may not order it.
func (t *Tracker) Authority(now time.Time, runner string) (uint64, bool) {
	claim, ok := t.claims[runner]
	if !ok || !t.isOwn(claim.Claim) || claim.releasing || !t.Valid(now) || now.Before(claim.orderAt) || t.inDoubt(now, runner) {
		return 0, false
	}
	return uint64(claim.Revision), true
}

// Wait returns the time until this VM's claim on a runner allows its first order, or zero if that time has come.
func (t *Tracker) Wait(now time.Time, runner string) time.Duration {
	return max(0, t.claims[runner].orderAt.Sub(now))
}

// PendingClaim is a runner that this VM should claim.
type PendingClaim struct {
	Runner string
	// Revision is the revision of the claim to replace, or zero if there is none.
	Revision fleet.Revision
	// FormerOwner is the former owner, which must not be a member again when the claim is written, or "".
	FormerOwner string
	// Settled reports that this VM may send orders as soon as it learns of the claim. Otherwise it waits for the order delay.
	Settled bool
}

// PendingClaims returns the runners that this VM should claim now.
func (t *Tracker) PendingClaims(now time.Time, runners []string) []PendingClaim {
	if t.firstSyncAt.IsZero() || now.Sub(t.firstSyncAt) < t.bounds.ClaimDelay || !t.Valid(now) {
		return nil
	}
	var pending []PendingClaim
	for _, runner := range runners {
		if p, ok := t.pendingClaim(now, runner); ok {
			pending = append(pending, p)
		}
	}
	return pending
}

func (t *Tracker) pendingClaim(now time.Time, runner string) (PendingClaim, bool) {
	claim, claimed := t.claims[runner]
	switch {
	case !claimed:
		pending := PendingClaim{Runner: runner, Settled: !t.inDoubt(now, runner)}
		return pending, t.preferred(runner) == t.self || t.returning(now) && t.confirmed[runner]
	case claim.VM == t.self:
		return t.ownPendingClaim(now, runner, claim)
	case t.members[claim.VM]:
		return PendingClaim{}, false
	}
	removedAt, known := t.removedAt[claim.VM]
	if !known {
		t.removedAt[claim.VM] = now
		return PendingClaim{}, false
	}
	if now.Sub(removedAt) < t.bounds.ClaimDelay || t.preferred(runner) != t.self {
		return PendingClaim{}, false
	}
	// The former owner may have synced with the store until just before the claim is written: its key may have been
	// written and removed again unseen by this VM, and the store can remove the key without the owner's knowledge.
	return PendingClaim{Runner: runner, Revision: claim.Revision, FormerOwner: claim.VM}, true
}

// orderDelay is the time from when this VM learns of its claim until its first order, if the claim is not settled: how long the
// former owner may still send orders after the claim, plus the pause after its last order.
func (t *Tracker) orderDelay() time.Duration { return t.bounds.Validity + t.bounds.OwnerChangePause }

// ownPendingClaim renews a claim that an earlier process of this VM wrote or that is being released, and settles a claim whose
// order delay is over. A new process starts the whole delay again, because it can't know how much of it the earlier process has
// waited.
func (t *Tracker) ownPendingClaim(now time.Time, runner string, claim knownClaim) (PendingClaim, bool) {
	pending := PendingClaim{Runner: runner, Revision: claim.Revision}
	if t.isOwn(claim.Claim) {
		pending.Settled = true
		return pending, (!claim.Settled || claim.releasing) && !now.Before(claim.orderAt)
	}
	pending.Settled = claim.Settled && !t.inDoubt(now, runner)
	return pending, true
}

// preferred returns the member that rendezvous hashing assigns to a runner. All VMs with the same members agree on it.
func (t *Tracker) preferred(runner string) string {
	best, bestWeight := "", uint64(0)
	for vm := range t.members {
		weight := xxhash.Sum64String(vm + "\x00" + runner)
		if best == "" || weight > bestWeight || weight == bestWeight && vm < best {
			best, bestWeight = vm, weight
		}
	}
	return best
}
