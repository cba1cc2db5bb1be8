package ownership

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Claim is the store's record of a runner's owner.
type Claim struct {
	VM string
	// Incarnation identifies the owner's process.
	Incarnation string
	// Settled reports that no earlier owner can send orders any more.
	Settled bool
	// Revision is the store's revision of the claim's last write. It serves as the fencing number.
	Revision uint64
}

// Bounds are the durations that keep the orders of two owners of one runner apart.
type Bounds struct {
	// Validity is how long a VM may send orders after its last sync with the store, counted from the request.
	Validity time.Duration
	// Pause is the least time between the last order of one owner and the first order of the next.
	Pause time.Duration
	// Settle is how long a VM waits after its first sync before it claims runners, and how long a member must be
	// removed before others claim its runners.
	Settle time.Duration
}

// Desk tracks, for one VM, the members and the owners of all runners as of its last sync with the store.
type Desk struct {
	self        string
	incarnation string
	bounds      Bounds

	members map[string]bool
	// gone is when this VM first found that a member was removed.
	gone   map[string]time.Time
	claims map[string]Claim
	// waits is the earliest time of this VM's first order to a runner that another VM owned before.
	waits map[string]time.Time
	// since is the time of the first sync.
	since time.Time
	// heard is when this VM sent the last request that the store answered with all changes.
	heard time.Time
}

// New returns a desk without members or claims for a VM's process.
func New(self, incarnation string, bounds Bounds) *Desk {
	return &Desk{
		self: self, incarnation: incarnation, bounds: bounds,
		members: make(map[string]bool),
		gone:    make(map[string]time.Time),
		claims:  make(map[string]Claim),
		waits:   make(map[string]time.Time),
	}
}

// Heard records that all the store's content as of a request sent at asked has been applied.
func (d *Desk) Heard(asked time.Time) {
	if d.since.IsZero() {
		d.since = asked
	}
	if asked.After(d.heard) {
		d.heard = asked
	}
}

// Valid reports whether this VM may send orders: it is a member, and its last sync is younger than Validity.
func (d *Desk) Valid(now time.Time) bool {
	return d.members[d.self] && now.Sub(d.heard) < d.bounds.Validity
}

// Hears reports whether the last sync is younger than half of Validity. Otherwise the VM must not renew its key: if its
// requests reach the store but no answers return, it would stay the owner of runners that it can't order.
func (d *Desk) Hears(now time.Time) bool { return now.Sub(d.heard) < d.bounds.Validity/2 }

// Registered reports whether the store holds this VM's key.
func (d *Desk) Registered() bool { return d.members[d.self] }

// Joined records that the store holds a member's key.
func (d *Desk) Joined(vm string) {
	d.members[vm] = true
	delete(d.gone, vm)
}

// Left records that a member's key was removed.
func (d *Desk) Left(now time.Time, vm string) {
	if !d.members[vm] {
		return
	}
	delete(d.members, vm)
	d.gone[vm] = now
}

// Members returns the VMs whose keys the store holds, sorted by name.
func (d *Desk) Members() []string {
	members := make([]string, 0, len(d.members))
	for vm := range d.members {
		members = append(members, vm)
	}
	slices.Sort(members)
	return members
}

// Claimed records a runner's claim unless a later revision of it is known.
func (d *Desk) Claimed(runner string, claim Claim) {
	if d.claims[runner].Revision <= claim.Revision {
		d.claims[runner] = claim
	}
}

// Released records that a runner's owner key was removed.
func (d *Desk) Released(runner string) {
	delete(d.claims, runner)
	delete(d.waits, runner)
}

// Runners returns the runners that have an owner key, sorted by ID.
func (d *Desk) Runners() []string {
	runners := make([]string, 0, len(d.claims))
	for runner := range d.claims {
		runners = append(runners, runner)
	}
	slices.Sort(runners)
	return runners
}

// Owner returns the name of the VM that owns a runner, or "".
func (d *Desk) Owner(runner string) string { return d.claims[runner].VM }

// Claim returns the store's record of a runner's owner, or the zero Claim.
func (d *Desk) Claim(runner string) Claim { return d.claims[runner] }

// Authority returns the fencing number that this VM's orders to a runner carry now, or false if it may not order it.
func (d *Desk) Authority(now time.Time, runner string) (uint64, bool) {
	claim, ok := d.claims[runner]
	if !ok || claim.VM != d.self || claim.Incarnation != d.incarnation || !d.Valid(now) || now.Before(d.waits[runner]) {
		return 0, false
	}
	return claim.Revision, true
}

// Wanted is a runner that this VM should claim.
type Wanted struct {
	Runner string
	// Revision is the revision of the claim to replace, or zero if there is none.
	Revision uint64
	// Absent is the former owner, which must not be a member again when the claim is written, or "".
	Absent string
	// Wait is how long this VM must wait after the claim before it sends its first order.
	Wait time.Duration
}

// Wants returns the runners that this VM should claim now.
func (d *Desk) Wants(now time.Time, runners []string) []Wanted {
	if d.since.IsZero() || now.Sub(d.since) < d.bounds.Settle || !d.Valid(now) {
		return nil
	}
	var wanted []Wanted
	for _, runner := range runners {
		if w, ok := d.want(now, runner); ok {
			wanted = append(wanted, w)
		}
	}
	return wanted
}

func (d *Desk) want(now time.Time, runner string) (Wanted, bool) {
	claim, claimed := d.claims[runner]
	switch {
	case !claimed:
		return Wanted{Runner: runner}, d.preferred(runner) == d.self
	case claim.VM == d.self:
		return d.wantOwn(now, runner, claim)
	case d.members[claim.VM]:
		return Wanted{}, false
	}
	missing, noted := d.gone[claim.VM]
	if !noted {
		d.gone[claim.VM] = now
		return Wanted{}, false
	}
	if now.Sub(missing) < d.bounds.Settle || d.preferred(runner) != d.self {
		return Wanted{}, false
	}
	// The former owner may have synced with the store until just before the claim is written: its key may have been
	// written and removed again unseen by this VM, and the store can remove the key without the owner's knowledge.
	return Wanted{Runner: runner, Revision: claim.Revision, Absent: claim.VM, Wait: d.takeOver()}, true
}

// takeOver is how long the former owner may still send orders after a claim, plus the pause after its last one.
func (d *Desk) takeOver() time.Duration { return d.bounds.Validity + d.bounds.Pause }

// wantOwn renews a claim that an earlier process of this VM wrote, and settles a claim whose wait is over. A new process
// starts the whole wait again, because it can't know how much of it the earlier process has waited.
func (d *Desk) wantOwn(now time.Time, runner string, claim Claim) (Wanted, bool) {
	w := Wanted{Runner: runner, Revision: claim.Revision}
	if claim.Incarnation == d.incarnation {
		return w, !claim.Settled && !now.Before(d.waits[runner])
	}
	if !claim.Settled {
		w.Wait = d.takeOver()
	}
	return w, true
}

// Won records that the store accepted this VM's claim.
func (d *Desk) Won(now time.Time, w Wanted, revision uint64) {
	d.claims[w.Runner] = Claim{VM: d.self, Incarnation: d.incarnation, Settled: w.Wait == 0, Revision: revision}
	d.waits[w.Runner] = now.Add(w.Wait)
}

// preferred returns the member that rendezvous hashing assigns to a runner. All VMs with the same members agree on it.
func (d *Desk) preferred(runner string) string {
	best, bestWeight := "", uint64(0)
	for vm := range d.members {
		weight := xxhash.Sum64String(vm + "\x00" + runner)
		if best == "" || weight > bestWeight || weight == bestWeight && vm < best {
			best, bestWeight = vm, weight
		}
	}
	return best
}
