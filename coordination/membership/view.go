package membership

import (
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/zinniaroute/zinniaroute/coordination/dissemination"
)

// State is the state of a member as one VM derives it from heartbeats.
type State string

// The states of a member.
const (
	Alive   State = "alive"
	Leaving State = "leaving"
	Suspect State = "suspect"
	Dead    State = "dead"
)

// Timeouts are the ages of the last heartbeat at which a member becomes suspect, becomes dead, and is removed.
type Timeouts struct {
	Suspect time.Duration
	Dead    time.Duration
	Removal time.Duration
}

// DefaultTimeouts returns timeouts that allow for heartbeats that take several gossip rounds to arrive.
func DefaultTimeouts() Timeouts {
	return Timeouts{
		Suspect: 4 * time.Second,
		Dead:    12 * time.Second,
		Removal: 10 * time.Minute,
	}
}

// heartbeatBits is the number of low bits of a sequence number that count the heartbeats of one process. The higher
// bits hold the process's start time in seconds, so that a restart gives a higher number.
const heartbeatBits = 20

// View holds the member records of all VMs as one VM knows them.
type View struct {
	Members  *dissemination.Table[Member]
	self     Member
	timeouts Timeouts
}

// NewView returns the view of a VM whose process starts now. It holds only the VM's own record.
func NewView(now time.Time, self Member, timeouts Timeouts) *View {
	self.Sequence = uint64(now.Unix()) << heartbeatBits
	view := &View{
		Members:  dissemination.NewTable[Member](),
		self:     self,
		timeouts: timeouts,
	}
	view.Members.Put(now, self)
	return view
}

// AdvanceHeartbeat lets update change the VM's own record, gives the record the next sequence number, and removes
// expired members.
func (v *View) AdvanceHeartbeat(now time.Time, update func(self *Member)) {
	if update != nil {
		update(&v.self)
	}
	v.self.Sequence++
	v.Members.Put(now, v.self)
	v.Members.Expire(now.Add(-v.timeouts.Removal))
}

// Self returns the VM's own record.
func (v *View) Self() Member { return v.self }

// Merge merges a member record. If it is the VM's own record from an earlier process with a higher sequence number, the
// VM continues above that number, so that its present record replaces the old one everywhere.
func (v *View) Merge(now time.Time, member Member) {
	if member.Name != v.self.Name {
		v.Members.Put(now, member)
		return
	}
	if member.Sequence > v.self.Sequence {
		v.self.Sequence = member.Sequence
		v.AdvanceHeartbeat(now, nil)
	}
}

// State returns the state of a member at now. An unknown member is dead.
func (v *View) State(now time.Time, name string) State {
	member, at, ok := v.Members.Get(name)
	if !ok {
		return Dead
	}
	if name == v.self.Name {
		return leavingOr(member, Alive)
	}
	age := now.Sub(at)
	switch {
	case age >= v.timeouts.Dead:
		return Dead
	case age >= v.timeouts.Suspect:
		return Suspect
	default:
		return leavingOr(member, Alive)
	}
}

func leavingOr(member Member, state State) State {
	if member.Leaving {
		return Leaving
	}
	return state
}

// Live returns the members of a domain that are alive, sorted by name. An empty domain selects all domains.
func (v *View) Live(now time.Time, domain string) []Member {
	return slices.DeleteFunc(v.Members.Records(), func(m Member) bool {
		if domain != "" && m.Domain != domain {
			return true
		}
		return v.State(now, m.Name) != Alive
	})
}

// Rank orders members for a role by rendezvous hashing. VMs with the same view compute the same order, so they agree on
// the VMs that take the role.
//
// Source: Thaler and Ravishankar, "A name-based mapping scheme for rendezvous", 1996.
func Rank(role string, members []Member) []Member {
	ranked := slices.Clone(members)
	slices.SortFunc(ranked, func(a, b Member) int {
		left, right := weight(role, a.Name), weight(role, b.Name)
		switch {
		case left > right:
			return -1
		case left < right:
			return 1
		default:
			return strings.Compare(a.Name, b.Name)
		}
	})
	return ranked
}

func weight(role, member string) uint64 { return xxhash.Sum64String(role + "\x00" + member) }

// Position returns the index of a member in the ranking for a role, or -1 if it is not among members.
func Position(role, name string, members []Member) int {
	return slices.IndexFunc(Rank(role, members), func(m Member) bool { return m.Name == name })
}
