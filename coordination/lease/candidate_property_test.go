package lease

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/zinniaroute/zinniaroute/coordination/keyvalue"
	"github.com/zinniaroute/zinniaroute/standin/seeded"
)

var _ = seeded.SetFlags()

// service models the key-value service: the stored record and its index.
type service struct {
	record Record
	index  uint64
}

func (s *service) swap(a Swap) keyvalue.Outcome {
	if a.Expected != s.index {
		return keyvalue.Conflict
	}
	s.record = a.Record
	s.index++
	return keyvalue.Applied
}

// node is a state machine with its own clock and at most one call in flight.
type node struct {
	name      string
	candidate *Candidate
	// drift is how much faster the candidate's clock runs than true time, in thousandths.
	drift  int
	call   Action
	sentAt time.Time
}

type simulation struct {
	t       *rapid.T
	start   time.Time
	now     time.Time
	service service
	nodes   []*node
	delayed []Swap
	terms   map[uint64]string
}

func newSimulation(t *rapid.T) *simulation {
	s := &simulation{t: t, start: time.Unix(1_000_000, 0), terms: make(map[uint64]string)}
	s.now = s.start
	for i := range 3 {
		s.nodes = append(s.nodes, s.newNode(i, 0))
	}
	return s
}

func (s *simulation) newNode(number, life int) *node {
	name := fmt.Sprintf("vm-%d", number)
	return &node{
		name:      name,
		candidate: NewCandidate(DefaultConfig(name, fmt.Sprintf("%s/%d", name, life))),
		drift:     rapid.IntRange(-20, 20).Draw(s.t, "drift"),
	}
}

// clock returns the time on a node's clock.
func (s *simulation) clock(n *node) time.Time {
	passed := s.now.Sub(s.start)
	return s.start.Add(passed + passed*time.Duration(n.drift)/1000)
}

func (s *simulation) step(n *node, event Event) {
	for _, action := range n.candidate.Step(s.clock(n), event) {
		if n.call != nil {
			s.t.Fatalf("%s requests %T while %T is in flight", n.name, action, n.call)
		}
		n.call, n.sentAt = action, s.clock(n)
	}
}

// check fails if two candidates have full power at once, or if two candidates held the same term.
func (s *simulation) check() {
	var full []string
	for _, n := range s.nodes {
		power, term := n.candidate.Power(s.clock(n))
		if power == PowerFull {
			full = append(full, n.name)
		}
		if term != 0 {
			holder, known := s.terms[term]
			if known && holder != n.name {
				s.t.Fatalf("term %d is held by %s and %s", term, holder, n.name)
			}
			s.terms[term] = n.name
		}
	}
	if len(full) > 1 {
		s.t.Fatalf("full power at once: %v", full)
	}
}

// answer ends a node's call with a random outcome: success, failure, a lost answer or a delayed write.
func (s *simulation) answer(n *node) {
	call := n.call
	if call == nil {
		return
	}
	n.call = nil
	fate := rapid.IntRange(0, 9).Draw(s.t, "fate")
	swap, isSwap := call.(Swap)
	switch {
	case !isSwap && fate < 2:
		s.step(n, ReadFailed{})
	case !isSwap:
		s.step(n, Observed{Record: s.service.record, Index: s.service.index, RequestedAt: n.sentAt})
	case fate == 0:
		s.step(n, Swapped{Outcome: keyvalue.NotSent})
	case fate == 1:
		s.delayed = append(s.delayed, swap)
		s.step(n, Swapped{Outcome: keyvalue.Unknown})
	case fate == 2:
		s.service.swap(swap)
		s.step(n, Swapped{Outcome: keyvalue.Unknown})
	default:
		s.step(n, Swapped{Outcome: s.service.swap(swap)})
	}
}

func (s *simulation) randomStep() {
	n := s.nodes[rapid.IntRange(0, len(s.nodes)-1).Draw(s.t, "candidate")]
	switch rapid.IntRange(0, 39).Draw(s.t, "act") {
	case 0, 1, 2:
		s.now = s.now.Add(time.Duration(rapid.IntRange(1, 8).Draw(s.t, "seconds")) * time.Second)
	case 3, 4:
		if len(s.delayed) > 0 {
			s.service.swap(s.delayed[0])
			s.delayed = s.delayed[1:]
		}
	case 5:
		s.step(n, StopRequested{})
	case 6:
		s.restart(n)
	case 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17:
		s.answer(n)
	case 18, 19, 20, 21, 22, 23:
		s.advance(n)
	default:
		s.now = s.now.Add(time.Duration(rapid.IntRange(1, 900).Draw(s.t, "ms")) * time.Millisecond)
		s.step(n, Tick{})
	}
	s.check()
}

// advance ticks a node and answers its calls without faults.
func (s *simulation) advance(n *node) {
	s.step(n, Tick{})
	s.serve(n)
}

func (s *simulation) restart(n *node) {
	for i, other := range s.nodes {
		if other == n {
			s.nodes[i] = s.newNode(i, int(s.now.UnixMilli()))
			s.nodes[i].name = n.name + "'"
		}
	}
}

// At most one candidate has full power and no two holders share a fencing number, whatever calls are lost or delayed
// and however long candidates pause.
func TestAtMostOneHolderHasFullPower(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(t)
		for range rapid.IntRange(50, 250).Draw(t, "steps") {
			s.randomStep()
		}
	})
}

// Once the service answers without faults, a candidate that is not stopping acquires the lease.
func TestLeaseIsAcquiredOnceFaultsEnd(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(t)
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			s.randomStep()
		}
		s.delayed = nil
		s.restart(s.nodes[0])
		for range 200 {
			s.now = s.now.Add(200 * time.Millisecond)
			for _, n := range s.nodes {
				s.advance(n)
			}
			s.check()
		}
		for _, n := range s.nodes {
			if power, _ := n.candidate.Power(s.clock(n)); power == PowerFull {
				return
			}
		}
		t.Fatalf("no candidate holds the lease: %+v", s.service.record)
	})
}

// serve answers a node's calls without faults until it requests no more.
func (s *simulation) serve(n *node) {
	for n.call != nil {
		call := n.call
		n.call = nil
		if swap, ok := call.(Swap); ok {
			s.step(n, Swapped{Outcome: s.service.swap(swap)})
			continue
		}
		s.step(n, Observed{Record: s.service.record, Index: s.service.index, RequestedAt: n.sentAt})
	}
}
