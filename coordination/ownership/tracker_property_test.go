package ownership

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/zinniaroute/zinniaroute/standin/seeded"
	"github.com/zinniaroute/zinniaroute/state/fleet"
)

var _ = seeded.SetFlags()

var bounds = Bounds{Validity: 8 * time.Second, OwnerChangePause: 3 * time.Second, ClaimDelay: 1500 * time.Millisecond}

// store models the part of the platform's store that holds members and owners.
type store struct {
	era      uint64
	revision uint64
	members  map[string]uint64
	claims   map[string]Claim
	// absent holds the runners that have no entry.
	absent map[string]bool
	// settledEra is the latest era that a VM has marked as settled.
	settledEra uint64
	// copies holds the earlier states of the store.
	copies []storeCopy
	// delayed holds the calls that have not reached the store yet.
	delayed []func()
}

type storeCopy struct {
	at time.Time
	store
}

// keepCopy copies the present state.
func (s *store) keepCopy(now time.Time) {
	s.copies = append(s.copies, storeCopy{now, store{
		revision: s.revision, members: maps.Clone(s.members), claims: maps.Clone(s.claims), settledEra: s.settledEra,
	}})
}

// returnFrom replaces the state by the copy from an earlier time. Its revisions are given out again.
func (s *store) returnFrom(at time.Time) {
	for len(s.copies) > 1 && s.copies[len(s.copies)-1].at.After(at) {
		s.copies = s.copies[:len(s.copies)-1]
	}
	last := s.copies[len(s.copies)-1]
	s.era++
	s.revision, s.settledEra = last.revision, last.settledEra
	s.members, s.claims = maps.Clone(last.members), make(map[string]Claim)
	for runner, claim := range last.claims {
		claim.Revision = fleet.NewRevision(s.era, claim.Revision.Number())
		s.claims[runner] = claim
	}
}

func (s *store) register(vm string) {
	s.revision++
	s.members[vm] = s.revision
}

// claim makes a claim if its conditions hold. A call does not name the era of its conditions.
func (s *store) claim(vm, incarnation string, w PendingClaim) (Claim, bool) {
	if s.claims[w.Runner].Revision.Number() != w.Revision.Number() {
		return Claim{}, false
	}
	if w.FormerOwner != "" && s.members[w.FormerOwner] != 0 {
		return Claim{}, false
	}
	s.revision++
	claim := Claim{VM: vm, Incarnation: incarnation, Settled: w.Settled, Revision: fleet.NewRevision(s.era, s.revision)}
	s.claims[w.Runner] = claim
	return claim, true
}

// release removes a claim if its last write is still the one at a revision.
func (s *store) release(runner string, claimed fleet.Revision) {
	if s.claims[runner].Revision.Number() == claimed.Number() {
		s.revision++
		delete(s.claims, runner)
	}
}

// runDelayed carries out the calls that were delayed. Their callers do not wait for the answers any more.
func (s *store) runDelayed() {
	for _, run := range s.delayed {
		run()
	}
	s.delayed = nil
}

// testVM is a VM and its current process.
type testVM struct {
	name         string
	starts       int
	tracker      *Tracker
	disconnected bool
	// era is the latest era of the store that the process has seen.
	era uint64
	// absentSince holds since when the process has known that runners have no entry.
	absentSince map[string]time.Time
	// pending are the listings that have not yet arrived at the VM, and answers the answers to its claims.
	pending, answers []func(now time.Time)
}

func (v *testVM) incarnation() string { return fmt.Sprint(v.name, "-", v.starts) }

func (v *testVM) start() {
	v.starts++
	v.tracker = New(v.name, v.incarnation(), bounds)
	v.pending, v.answers, v.era, v.absentSince = nil, nil, 0, make(map[string]time.Time)
}

// list requests the whole content of the store. The answer takes effect with the next deliver, in two parts: what there is, and
// what is missing.
func (v *testVM) list(s *store, requestedAt time.Time) {
	members := make([]string, 0, len(s.members))
	for vm := range s.members {
		members = append(members, vm)
	}
	slices.Sort(members)
	claims, absent := maps.Clone(s.claims), maps.Clone(s.absent)
	tracker, era, settledEra, revision := v.tracker, s.era, s.settledEra, fleet.NewRevision(s.era, s.revision)
	v.pending = append(v.pending, func(now time.Time) {
		if era < v.era {
			return
		}
		switch {
		case v.era == 0 && settledEra < era:
			tracker.DoubtClaims(now)
		case v.era > 0 && v.era < era:
			tracker.BeginEra(now)
		}
		v.era = era
		for runner, claim := range claims {
			tracker.SetClaim(now, runner, claim)
		}
		v.setAbsent(now, absent)
		for _, vm := range members {
			tracker.AddMember(vm)
		}
	}, func(time.Time) {
		if era < v.era {
			return
		}
		for _, vm := range tracker.Members() {
			if !slices.Contains(members, vm) {
				tracker.RemoveMember(requestedAt, vm)
			}
		}
		for _, runner := range tracker.Runners() {
			if _, listed := claims[runner]; !listed {
				tracker.RemoveClaim(runner, revision)
			}
		}
		tracker.RecordSync(requestedAt, revision)
	})
}

// deliver applies the first parts of the pending listings.
func (v *testVM) deliver(now time.Time, parts int) {
	for _, apply := range v.pending[:parts] {
		apply(now)
	}
	v.pending = v.pending[parts:]
}

// setAbsent records the runners that have no entry.
func (v *testVM) setAbsent(now time.Time, absent map[string]bool) {
	for runner := range absent {
		if v.absentSince[runner].IsZero() {
			v.absentSince[runner] = now
		}
	}
	maps.DeleteFunc(v.absentSince, func(runner string, _ time.Time) bool { return !absent[runner] })
}

// release removes the claims on runners that have had no entry for longer than the pause between two owners. The call may be
// refused or delayed.
func (v *testVM) release(t *rapid.T, s *store, now time.Time, runner string) {
	_, may := v.tracker.Authority(now, runner)
	if may && now.Sub(v.absentSince[runner]) > bounds.OwnerChangePause {
		v.tracker.BeginRelease(runner)
	}
	if !v.tracker.Releasing(runner) {
		return
	}
	claimed := v.tracker.Claim(runner).Revision
	switch rapid.IntRange(0, 3).Draw(t, "release") {
	case 0:
	case 1:
		s.delayed = append(s.delayed, func() { s.release(runner, claimed) })
	default:
		s.release(runner, claimed)
	}
}

// deliverAnswers delivers the answers to claims, which do not take the way of the listings.
func (v *testVM) deliverAnswers(now time.Time) {
	for _, apply := range v.answers {
		apply(now)
	}
	v.answers = nil
}

// claim sends a claim to the store. The call may be refused or delayed, and its answer lost.
func (v *testVM) claim(t *rapid.T, s *store, w PendingClaim) {
	incarnation, tracker := v.incarnation(), v.tracker
	switch rapid.IntRange(0, 5).Draw(t, "call") {
	case 0:
		return
	case 1:
		s.delayed = append(s.delayed, func() { s.claim(v.name, incarnation, w) })
		return
	case 2:
		s.claim(v.name, incarnation, w)
		return
	}
	if claim, ok := s.claim(v.name, incarnation, w); ok {
		v.answers = append(v.answers, func(now time.Time) { tracker.RecordAnswer(now, w.Runner, claim) })
	}
}

// TestOrdersOfTwoOwnersAreSeparatedByPause checks that orders of two VMs to one runner are always at least the pause
// apart and carry rising fencing numbers, while VMs are cut off from the store, restart, and lose their keys unseen, while
// claims are refused or delayed and their answers lost or late, and while the store returns from older copies.
func TestOrdersOfTwoOwnersAreSeparatedByPause(t *testing.T) {
	t.Run("store keeps all", func(t *testing.T) { checkOrdersAreSeparated(t, false) })
	t.Run("store returns from older copies", func(t *testing.T) { checkOrdersAreSeparated(t, true) })
}

func checkOrdersAreSeparated(t *testing.T, returns bool) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1_000_000, 0)
		s := &store{
			era: 1, settledEra: 1, members: make(map[string]uint64), claims: make(map[string]Claim), absent: make(map[string]bool),
		}
		runners := []string{"r1", "r2"}
		var vms []*testVM
		for i := range 3 {
			v := &testVM{name: fmt.Sprint("vm-", i)}
			v.start()
			s.register(v.name)
			vms = append(vms, v)
		}
		type order struct {
			vm    string
			at    time.Time
			fence uint64
		}
		last := make(map[string]order)
		for i := range rapid.IntRange(50, 300).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(10, 700).Draw(t, fmt.Sprint("wait", i))) * time.Millisecond)
			v := vms[rapid.IntRange(0, len(vms)-1).Draw(t, "vm")]
			s.keepCopy(now)
			if returns && rapid.IntRange(0, 29).Draw(t, "return") == 0 {
				s.returnFrom(now.Add(-time.Duration(rapid.IntRange(0, 6000).Draw(t, "age")) * time.Millisecond))
			}
			switch rapid.IntRange(0, 13).Draw(t, "event") {
			case 0:
				v.disconnected = !v.disconnected
			case 1:
				delete(s.members, v.name)
			case 2:
				if rapid.IntRange(0, 3).Draw(t, "kill") == 0 {
					v.start()
				}
			case 3:
				v.deliver(now, rapid.IntRange(0, len(v.pending)).Draw(t, "parts"))
			case 4:
				s.runDelayed()
			case 5:
				runner := rapid.SampledFrom(runners).Draw(t, "runner")
				if s.absent[runner] {
					delete(s.absent, runner)
				} else {
					s.absent[runner] = true
				}
			default:
				if v.disconnected {
					break
				}
				v.list(s, now)
				if rapid.IntRange(0, 3).Draw(t, "slow") > 0 {
					v.deliver(now, len(v.pending))
				}
				if !v.tracker.Registered() && rapid.Bool().Draw(t, "register") {
					s.register(v.name)
				}
				if v.era == s.era && v.tracker.EraSettled(now) {
					s.settledEra = s.era
				}
				var present []string
				for _, runner := range runners {
					if v.absentSince[runner].IsZero() {
						present = append(present, runner)
					} else {
						v.release(t, s, now, runner)
					}
				}
				for _, w := range v.tracker.PendingClaims(now, present) {
					v.claim(t, s, w)
				}
				if rapid.IntRange(0, 3).Draw(t, "late") > 0 {
					v.deliverAnswers(now)
				}
			}
			for _, runner := range runners {
				fence, may := v.tracker.Authority(now, runner)
				if !may || !v.absentSince[runner].IsZero() {
					continue
				}
				before, ordered := last[runner]
				if ordered && before.vm != v.name && now.Sub(before.at) < bounds.OwnerChangePause {
					t.Fatalf("%s ordered %s %v after %s", v.name, runner, now.Sub(before.at), before.vm)
				}
				if ordered && fence < before.fence {
					t.Fatalf("%s ordered %s with number %d after %d", v.name, runner, fence, before.fence)
				}
				last[runner] = order{vm: v.name, at: now, fence: fence}
			}
		}
	})
}

// startedTracker returns the tracker of vm-1 that has known vm-2 as a member, and a claim, for ClaimDelay until now.
func startedTracker(now time.Time, claim Claim) *Tracker {
	tracker := New("vm-1", "second", bounds)
	tracker.AddMember("vm-1")
	tracker.AddMember("vm-2")
	tracker.SetClaim(now.Add(-bounds.ClaimDelay), "r", claim)
	tracker.RecordSync(now.Add(-bounds.ClaimDelay), 7)
	tracker.RecordSync(now, 7)
	return tracker
}

// checkWait checks that a VM may send orders to r from a time on, and not just before.
func checkWait(t *testing.T, tracker *Tracker, from time.Time) {
	t.Helper()
	before := from.Add(-time.Millisecond)
	tracker.RecordSync(before, 7)
	_, may := tracker.Authority(before, "r")
	assert.Assert(t, !may, "it orders before its wait is over")
	tracker.RecordSync(from, 7)
	_, may = tracker.Authority(from, "r")
	assert.Assert(t, may, "it does not order after its wait")
}

func TestRestartedOwnerOrdersWithoutDelay(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	tracker := startedTracker(now, Claim{VM: "vm-1", Incarnation: "first", Settled: true, Revision: 7})
	pending := tracker.PendingClaims(now, []string{"r"})
	assert.DeepEqual(t, pending, []PendingClaim{{Runner: "r", Revision: 7, Settled: true}})
	tracker.SetClaim(now, "r", Claim{VM: "vm-1", Incarnation: "second", Settled: true, Revision: 9})
	fence, may := tracker.Authority(now, "r")
	assert.Assert(t, may)
	assert.Equal(t, fence, uint64(9))
}

func TestRestartedOwnerOfUnsettledClaimRepeatsWholeDelay(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	tracker := startedTracker(now, Claim{VM: "vm-1", Incarnation: "first", Revision: 7})
	pending := tracker.PendingClaims(now, []string{"r"})
	assert.DeepEqual(t, pending, []PendingClaim{{Runner: "r", Revision: 7}})
	tracker.SetClaim(now, "r", Claim{VM: "vm-1", Incarnation: "second", Revision: 9})
	checkWait(t, tracker, now.Add(bounds.Validity+bounds.OwnerChangePause))
}

func TestNewOwnerOfRemovedMembersRunnerWaitsForOrderDelay(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	tracker := startedTracker(now, Claim{VM: "vm-2", Incarnation: "x", Revision: 7})
	tracker.RemoveMember(now, "vm-2")
	now = now.Add(bounds.ClaimDelay)
	tracker.RecordSync(now, 7)
	pending := tracker.PendingClaims(now, []string{"r"})
	assert.DeepEqual(t, pending, []PendingClaim{{Runner: "r", Revision: 7, FormerOwner: "vm-2"}})
	tracker.SetClaim(now, "r", Claim{VM: "vm-1", Incarnation: "second", Revision: 9})
	checkWait(t, tracker, now.Add(bounds.Validity+bounds.OwnerChangePause))
}

// The claim of a runner takes effect, but its answer is lost, or is read after the watch has shown the claim.
func TestClaimThatTheWatchBringsTakesEffectWithoutItsWait(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	tracker := startedTracker(now, Claim{VM: "vm-2", Incarnation: "x", Revision: 7})
	claim := Claim{VM: "vm-1", Incarnation: "second", Revision: 9}
	now = now.Add(time.Second)
	tracker.SetClaim(now, "r", claim)
	end := now.Add(bounds.Validity + bounds.OwnerChangePause)
	tracker.SetClaim(now.Add(2*time.Second), "r", claim)
	tracker.RecordSync(end.Add(-time.Millisecond), 7)
	assert.Equal(t, len(tracker.PendingClaims(end.Add(-time.Millisecond), []string{"r"})), 0, "it settles the claim before its wait is over")
	checkWait(t, tracker, end)
	assert.DeepEqual(t, tracker.PendingClaims(end, []string{"r"}), []PendingClaim{{Runner: "r", Revision: 9, Settled: true}})
}

// An answer is read after later content of the store, or a listing after a later answer.
func TestOlderAnswerReplacesLaterContent(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	own := Claim{VM: "vm-1", Incarnation: "second", Settled: true, Revision: 8}
	others := Claim{VM: "vm-2", Incarnation: "x", Revision: 9}
	tests := []struct {
		name  string
		apply func(tracker *Tracker)
		want  Claim
	}{
		{"answer after another VM's claim", func(tracker *Tracker) {
			tracker.SetClaim(now, "r", others)
			tracker.RecordSync(now, 9)
			tracker.RecordAnswer(now, "r", own)
		}, others},
		{"answer after another VM's claim whose sync is not complete yet", func(tracker *Tracker) {
			tracker.SetClaim(now, "r", others)
			tracker.RecordAnswer(now, "r", own)
		}, others},
		{"answer after the removal", func(tracker *Tracker) {
			tracker.SetClaim(now, "r", own)
			tracker.RemoveClaim("r", 9)
			tracker.RecordSync(now, 9)
			tracker.RecordAnswer(now, "r", own)
		}, Claim{}},
		{"answer of an earlier era", func(tracker *Tracker) {
			tracker.BeginEra(now)
			tracker.RecordSync(now, fleet.NewRevision(1, 5))
			tracker.RecordAnswer(now, "r", own)
		}, Claim{}},
		{"answer of a later era before its listing", func(tracker *Tracker) {
			tracker.RecordAnswer(now, "r", Claim{VM: "vm-1", Incarnation: "second", Settled: true, Revision: fleet.NewRevision(1, 8)})
		}, Claim{VM: "vm-2", Incarnation: "x", Revision: 6}},
		{"listing after the answer", func(tracker *Tracker) {
			tracker.RecordAnswer(now, "r", own)
			tracker.RemoveClaim("r", 7)
			tracker.SetClaim(now, "r", Claim{VM: "vm-2", Incarnation: "x", Revision: 6})
		}, own},
	}
	for _, test := range tests {
		tracker := startedTracker(now, Claim{VM: "vm-2", Incarnation: "x", Revision: 6})
		test.apply(tracker)
		assert.Check(t, tracker.Claim("r") == test.want, "%s: %v", test.name, tracker.Claim("r"))
	}
}

func TestSyncExpiresBeforeAuthority(t *testing.T) {
	tracker := New("a", "1", bounds)
	now := time.Unix(1_000_000, 0)
	tracker.RecordSync(now, 7)
	tracker.AddMember("a")
	assert.Check(t, tracker.IsSynced(now.Add(3*time.Second)))
	assert.Check(t, !tracker.IsSynced(now.Add(4*time.Second)))
	assert.Check(t, tracker.Valid(now.Add(7*time.Second)), "it may order until its runners can have another owner")
}
