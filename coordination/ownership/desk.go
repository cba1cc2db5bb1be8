package ownership

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Claim is the owner of a runner as the store has it.
type Claim struct {
	VM string
	// Incarnation identifies the owner's process.
	Incarnation string
	// Settled tells that no earlier owner can give orders any more.
	Settled bool
	// Revision is that of the claim's write, and serves as the fencing number.
	Revision uint64
}

// Bounds are the times that keep two owners of a runner apart.
type Bounds struct {
	// Validity is the time for which a VM may give orders after it last asked the store, and was told, who owns what.
	Validity time.Duration
	// Pause must pass between the orders of two owners.
	Pause time.Duration
	// Settle is the time for which the members must be known before runners are claimed, and for which a member must
	// be missing before its runners are.
	Settle time.Duration
}

// Desk is what one VM knows of the owners of runners.
type Desk struct {
	self        string
	incarnation string
	bounds      Bounds

	members map[string]bool
	// gone is when a member was first found missing.
	gone   map[string]time.Time
	claims map[string]Claim
	// waits are when this VM may give its first order to a runner that another VM owned.
	waits map[string]time.Time
	// since is when the store's word was first complete.
	since time.Time
	// heard is when the store was last asked for all changes, and told them.
	heard time.Time
}

// New returns the desk of a VM's process.
func New(self, incarnation string, bounds Bounds) *Desk {
	return &Desk{
		self: self, incarnation: incarnation, bounds: bounds,
		members: make(map[string]bool),
		gone:    make(map[string]time.Time),
		claims:  make(map[string]Claim),
		waits:   make(map[string]time.Time),
	}
}

// Heard notes that everything the store held when it was asked is known.
func (d *Desk) Heard(asked time.Time) {
	if d.since.IsZero() {
		d.since = asked
	}
	if asked.After(d.heard) {
		d.heard = asked
	}
}

// Valid reports whether this VM may give orders: it is a member, and knows the store's word of late enough.
func (d *Desk) Valid(now time.Time) bool {
	return d.members[d.self] && now.Sub(d.heard) < d.bounds.Validity
}

// Hears reports whether this VM still hears the store, so that it should stay a member: one whose calls arrive while no
// answers come back could not order its runners, and nobody else would.
func (d *Desk) Hears(now time.Time) bool { return now.Sub(d.heard) < d.bounds.Validity/2 }

// Registered reports whether the store holds this VM's key.
func (d *Desk) Registered() bool { return d.members[d.self] }

// Joined notes a member's key.
func (d *Desk) Joined(vm string) {
	d.members[vm] = true
	delete(d.gone, vm)
}

// Left notes that a member's key is gone.
func (d *Desk) Left(now time.Time, vm string) {
	if !d.members[vm] {
		return
	}
	delete(d.members, vm)
	d.gone[vm] = now
}

// Members returns the VMs that are alive, sorted.
func (d *Desk) Members() []string {
	members := make([]string, 0, len(d.members))
	for vm := range d.members {
		members = append(members, vm)
	}
	slices.Sort(members)
	return members
}

// Claimed notes a runner's owner.
func (d *Desk) Claimed(runner string, claim Claim) {
	if d.claims[runner].Revision <= claim.Revision {
		d.claims[runner] = claim
	}
}

// Released notes that a runner has no owner's key any more.
func (d *Desk) Released(runner string) {
	delete(d.claims, runner)
	delete(d.waits, runner)
}

// Runners returns the runners that have an owner's key, sorted.
func (d *Desk) Runners() []string {
	runners := make([]string, 0, len(d.claims))
	for runner := range d.claims {
		runners = append(runners, runner)
	}
	slices.Sort(runners)
	return runners
}

// Owner returns the VM that owns a runner, or "".
func (d *Desk) Owner(runner string) string { return d.claims[runner].VM }

// Claim returns a runner's owner as the store has it.
func (d *Desk) Claim(runner string) Claim { return d.claims[runner] }

// Authority returns the fencing number with which this VM may order a runner now, or false when it may not.
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
	// Revision is that of the claim to replace, zero when there is none.
	Revision uint64
	// Absent is the member that must not be back when the claim is written, or "".
	Absent string
	// Wait is the time from the claim until the first order.
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
	// The former owner may have heard the store until just before the claim is written: its key may have come and gone
	// unseen, and can be taken away without its knowledge.
	return Wanted{Runner: runner, Revision: claim.Revision, Absent: claim.VM, Wait: d.takeOver()}, true
}

// takeOver is the time from a claim until the former owner can have given its last order, and the pause after it.
func (d *Desk) takeOver() time.Duration { return d.bounds.Validity + d.bounds.Pause }

// wantOwn renews a claim that an earlier process of this VM wrote, and settles one whose wait is over. A process does not
// know how much of the wait an earlier one has spent.
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

// Won notes that this VM's claim was written.
func (d *Desk) Won(now time.Time, w Wanted, revision uint64) {
	d.claims[w.Runner] = Claim{VM: d.self, Incarnation: d.incarnation, Settled: w.Wait == 0, Revision: revision}
	d.waits[w.Runner] = now.Add(w.Wait)
}

// preferred returns the member that should own a runner, by rendezvous hashing.
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
