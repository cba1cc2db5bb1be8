package lease

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/zinniaroute/zinniaroute/coordination/keyvalue"
	"github.com/zinniaroute/zinniaroute/standin/seeded"
)

var _ = seeded.Fix()

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

// candidate is a state machine with its own clock and at most one call in flight.
type candidate struct {
	name    string
	machine *Machine
	// drift is how much faster the candidate's clock runs than true time, in thousandths.
	drift  int
	call   Action
	sentAt time.Time
}

type world struct {
	t          *rapid.T
	start      time.Time
	now        time.Time
	service    service
	candidates []*candidate
	delayed    []Swap
	terms      map[uint64]string
}

func newWorld(t *rapid.T) *world {
	w := &world{t: t, start: time.Unix(1_000_000, 0), terms: make(map[uint64]string)}
	w.now = w.start
	for i := range 3 {
		w.candidates = append(w.candidates, w.newCandidate(i, 0))
	}
	return w
}

func (w *world) newCandidate(number, life int) *candidate {
	name := fmt.Sprintf("vm-%d", number)
	return &candidate{
		name:    name,
		machine: NewMachine(DefaultConfig(name, fmt.Sprintf("%s/%d", name, life))),
		drift:   rapid.IntRange(-20, 20).Draw(w.t, "drift"),
	}
}

// clock returns the time on a candidate's clock.
func (w *world) clock(c *candidate) time.Time {
	passed := w.now.Sub(w.start)
	return w.start.Add(passed + passed*time.Duration(c.drift)/1000)
}

func (w *world) step(c *candidate, event Event) {
	for _, action := range c.machine.Step(w.clock(c), event) {
		if c.call != nil {
			w.t.Fatalf("%s asks for %T while %T is in flight", c.name, action, c.call)
		}
		c.call, c.sentAt = action, w.clock(c)
	}
}

// check fails if two candidates have full power at once, or if two candidates held the same term.
func (w *world) check() {
	var full []string
	for _, c := range w.candidates {
		power, term := c.machine.Power(w.clock(c))
		if power == PowerFull {
			full = append(full, c.name)
		}
		if term != 0 {
			holder, known := w.terms[term]
			if known && holder != c.name {
				w.t.Fatalf("term %d is held by %s and %s", term, holder, c.name)
			}
			w.terms[term] = c.name
		}
	}
	if len(full) > 1 {
		w.t.Fatalf("full power at once: %v", full)
	}
}

// answer ends a candidate's call with a random outcome: success, failure, a lost answer or a delayed write.
func (w *world) answer(c *candidate) {
	call := c.call
	if call == nil {
		return
	}
	c.call = nil
	fate := rapid.IntRange(0, 9).Draw(w.t, "fate")
	swap, isSwap := call.(Swap)
	switch {
	case !isSwap && fate < 2:
		w.step(c, ReadFailed{})
	case !isSwap:
		w.step(c, Observed{Record: w.service.record, Index: w.service.index, RequestedAt: c.sentAt})
	case fate == 0:
		w.step(c, Swapped{Outcome: keyvalue.NotSent})
	case fate == 1:
		w.delayed = append(w.delayed, swap)
		w.step(c, Swapped{Outcome: keyvalue.Unknown})
	case fate == 2:
		w.service.swap(swap)
		w.step(c, Swapped{Outcome: keyvalue.Unknown})
	default:
		w.step(c, Swapped{Outcome: w.service.swap(swap)})
	}
}

func (w *world) act() {
	c := w.candidates[rapid.IntRange(0, len(w.candidates)-1).Draw(w.t, "candidate")]
	switch rapid.IntRange(0, 39).Draw(w.t, "act") {
	case 0, 1, 2:
		w.now = w.now.Add(time.Duration(rapid.IntRange(1, 8).Draw(w.t, "seconds")) * time.Second)
	case 3, 4:
		if len(w.delayed) > 0 {
			w.service.swap(w.delayed[0])
			w.delayed = w.delayed[1:]
		}
	case 5:
		w.step(c, StopRequested{})
	case 6:
		w.restart(c)
	case 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17:
		w.answer(c)
	case 18, 19, 20, 21, 22, 23:
		w.settle(c)
	default:
		w.now = w.now.Add(time.Duration(rapid.IntRange(1, 900).Draw(w.t, "ms")) * time.Millisecond)
		w.step(c, Tick{})
	}
	w.check()
}

// settle ticks a candidate and answers its calls without faults.
func (w *world) settle(c *candidate) {
	w.step(c, Tick{})
	w.serve(c)
}

func (w *world) restart(c *candidate) {
	for i, other := range w.candidates {
		if other == c {
			w.candidates[i] = w.newCandidate(i, int(w.now.UnixMilli()))
			w.candidates[i].name = c.name + "'"
		}
	}
}

// At most one candidate has full power and no two holders share a fencing number, whatever calls are lost or delayed
// and however long candidates pause.
func TestAtMostOneHolderHasFullPower(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		for range rapid.IntRange(50, 250).Draw(t, "steps") {
			w.act()
		}
	})
}

// Once the service answers without faults, a candidate that is not stopping acquires the lease.
func TestLeaseIsTakenOnceFaultsEnd(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			w.act()
		}
		w.delayed = nil
		w.restart(w.candidates[0])
		for range 200 {
			w.now = w.now.Add(200 * time.Millisecond)
			for _, c := range w.candidates {
				w.settle(c)
			}
			w.check()
		}
		for _, c := range w.candidates {
			if power, _ := c.machine.Power(w.clock(c)); power == PowerFull {
				return
			}
		}
		t.Fatalf("no candidate holds the lease: %+v", w.service.record)
	})
}

// serve answers a candidate's calls without faults until it requests no more.
func (w *world) serve(c *candidate) {
	for c.call != nil {
		call := c.call
		c.call = nil
		if swap, ok := call.(Swap); ok {
			w.step(c, Swapped{Outcome: w.service.swap(swap)})
			continue
		}
		w.step(c, Observed{Record: w.service.record, Index: w.service.index, RequestedAt: c.sentAt})
	}
}
