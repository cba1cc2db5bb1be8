package ownership

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/zinniaroute/zinniaroute/standin/seeded"
)

var _ = seeded.Fix()

var bounds = Bounds{Validity: 8 * time.Second, Pause: 3 * time.Second, Settle: 1500 * time.Millisecond}

// store models the part of the platform's store that holds members and owners.
type store struct {
	revision uint64
	members  map[string]uint64
	claims   map[string]Claim
}

func (s *store) register(vm string) {
	s.revision++
	s.members[vm] = s.revision
}

func (s *store) claim(vm, incarnation string, w Wanted) (uint64, bool) {
	if s.claims[w.Runner].Revision != w.Revision {
		return 0, false
	}
	if w.Absent != "" && s.members[w.Absent] != 0 {
		return 0, false
	}
	s.revision++
	s.claims[w.Runner] = Claim{VM: vm, Incarnation: incarnation, Settled: w.Wait == 0, Revision: s.revision}
	return s.revision, true
}

// machine is a VM and its current process.
type machine struct {
	name  string
	lives int
	desk  *Desk
	cut   bool
	// pending are the store's answers that have not yet arrived at the VM.
	pending []func()
}

func (m *machine) incarnation() string { return fmt.Sprint(m.name, "-", m.lives) }

func (m *machine) start() {
	m.lives++
	m.desk = New(m.name, m.incarnation(), bounds)
	m.pending = nil
}

// read lists the whole store for the VM. The answer takes effect with the next deliver.
func (m *machine) read(s *store, asked time.Time) {
	members := make([]string, 0, len(s.members))
	for vm := range s.members {
		members = append(members, vm)
	}
	slices.Sort(members)
	claims := make(map[string]Claim, len(s.claims))
	for runner, claim := range s.claims {
		claims[runner] = claim
	}
	desk := m.desk
	m.pending = append(m.pending, func() {
		for _, vm := range desk.Members() {
			if !slices.Contains(members, vm) {
				desk.Left(asked, vm)
			}
		}
		for _, vm := range members {
			desk.Joined(vm)
		}
		for runner, claim := range claims {
			desk.Claimed(runner, claim)
		}
		desk.Heard(asked)
	})
}

func (m *machine) deliver() {
	for _, apply := range m.pending {
		apply()
	}
	m.pending = nil
}

// TestOwnersKeepApart checks that orders of two VMs to one runner are always at least the pause apart and carry rising
// fencing numbers, while VMs are cut off from the store, restart, and lose their keys unseen.
func TestOwnersKeepApart(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1_000_000, 0)
		s := &store{members: make(map[string]uint64), claims: make(map[string]Claim)}
		runners := []string{"r1", "r2"}
		var machines []*machine
		for i := range 3 {
			m := &machine{name: fmt.Sprint("vm-", i)}
			m.start()
			s.register(m.name)
			machines = append(machines, m)
		}
		type order struct {
			vm    string
			at    time.Time
			fence uint64
		}
		last := make(map[string]order)
		for i := range rapid.IntRange(50, 300).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(10, 700).Draw(t, fmt.Sprint("wait", i))) * time.Millisecond)
			m := machines[rapid.IntRange(0, len(machines)-1).Draw(t, "vm")]
			switch rapid.IntRange(0, 11).Draw(t, "event") {
			case 0:
				m.cut = !m.cut
			case 1:
				delete(s.members, m.name)
			case 2:
				if rapid.IntRange(0, 3).Draw(t, "kill") == 0 {
					m.start()
				}
			case 3:
				m.deliver()
			default:
				if m.cut {
					break
				}
				m.read(s, now)
				if rapid.IntRange(0, 3).Draw(t, "slow") > 0 {
					m.deliver()
				}
				if !m.desk.Registered() && rapid.Bool().Draw(t, "register") {
					s.register(m.name)
				}
				for _, w := range m.desk.Wants(now, runners) {
					if revision, ok := s.claim(m.name, m.incarnation(), w); ok {
						m.desk.Won(now, w, revision)
					}
				}
			}
			for _, runner := range runners {
				fence, may := m.desk.Authority(now, runner)
				if !may {
					continue
				}
				before, ordered := last[runner]
				if ordered && before.vm != m.name && now.Sub(before.at) < bounds.Pause {
					t.Fatalf("%s ordered %s %v after %s", m.name, runner, now.Sub(before.at), before.vm)
				}
				if ordered && fence < before.fence {
					t.Fatalf("%s ordered %s with number %d after %d", m.name, runner, fence, before.fence)
				}
				last[runner] = order{vm: m.name, at: now, fence: fence}
			}
		}
	})
}

func TestARestartedOwnerGoesOnAtOnce(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	d := New("vm-1", "second", bounds)
	d.Joined("vm-1")
	d.Joined("vm-2")
	d.Claimed("r", Claim{VM: "vm-1", Incarnation: "first", Settled: true, Revision: 7})
	d.Heard(now)
	now = now.Add(bounds.Settle)
	d.Heard(now)
	wanted := d.Wants(now, []string{"r"})
	assert.DeepEqual(t, wanted, []Wanted{{Runner: "r", Revision: 7}})
	d.Won(now, wanted[0], 9)
	fence, may := d.Authority(now, "r")
	assert.Assert(t, may)
	assert.Equal(t, fence, uint64(9))
}

func TestARestartedOwnerThatHadToWaitDoesSoAgain(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	d := New("vm-1", "second", bounds)
	d.Joined("vm-1")
	d.Claimed("r", Claim{VM: "vm-1", Incarnation: "first", Revision: 7})
	d.Heard(now)
	now = now.Add(bounds.Settle)
	d.Heard(now)
	wanted := d.Wants(now, []string{"r"})
	assert.Equal(t, len(wanted), 1)
	assert.Equal(t, wanted[0].Wait, bounds.Validity+bounds.Pause)
}

func TestARunnerOfALostVMGetsAnOwnerOnceItsValidityIsOver(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	d := New("vm-1", "first", bounds)
	d.Joined("vm-1")
	d.Joined("vm-2")
	d.Claimed("r", Claim{VM: "vm-2", Incarnation: "x", Revision: 7})
	d.Heard(now)
	d.Left(now, "vm-2")
	now = now.Add(bounds.Settle)
	d.Heard(now)
	wanted := d.Wants(now, []string{"r"})
	assert.Equal(t, len(wanted), 1)
	assert.Equal(t, wanted[0].Absent, "vm-2")
	d.Won(now, wanted[0], 9)
	d.Heard(now.Add(bounds.Validity))
	_, may := d.Authority(now.Add(bounds.Validity), "r")
	assert.Assert(t, !may)
	end := now.Add(bounds.Validity + bounds.Pause)
	d.Heard(end)
	_, may = d.Authority(end, "r")
	assert.Assert(t, may)
}

func TestAVMThatNoLongerHearsTheStoreLeaves(t *testing.T) {
	d := New("a", "1", bounds)
	now := time.Unix(1_000_000, 0)
	d.Heard(now)
	d.Joined("a")
	assert.Check(t, d.Hears(now.Add(3*time.Second)))
	assert.Check(t, !d.Hears(now.Add(4*time.Second)))
	assert.Check(t, d.Valid(now.Add(7*time.Second)), "it may order until its runners can have another owner")
}
