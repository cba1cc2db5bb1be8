package ledger

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/zinniaroute/zinniaroute/standin/seeded"
)

var _ = seeded.SetFlags()

// simulation is a simulated runner: its true state and the orders in flight to it.
type simulation struct {
	t           *rapid.T
	now         time.Time
	fenced      bool
	capacity    []int
	fence       uint64
	incarnation int
	items       map[string]IndexEntry
	holders     []*holder
	orders      []*message
	intents     []Item
	term        uint64
}

// holder is a controller that holds the lease, or did so earlier and may not know that it lost it.
type holder struct {
	name    int
	ledger  *Ledger
	replies []Event
}

// message is an order in flight. It may be delivered more than once, late, or never.
type message struct {
	from     *holder
	order    Order
	answered bool
	// deadline is the time from which the message can no longer be delivered. Zero means that its sender still waits.
	deadline time.Time
}

func newSimulation(t *rapid.T, fenced bool) *simulation {
	s := &simulation{
		t:        t,
		now:      time.Unix(1_000_000, 0),
		fenced:   fenced,
		capacity: []int{100, 100},
		items:    make(map[string]IndexEntry),
	}
	s.newHolder()
	return s
}

func (s *simulation) newHolder() {
	s.term++
	for _, m := range s.orders {
		if !s.fenced && m.deadline.IsZero() {
			m.deadline = s.now.Add(OrderLingerWindow)
		}
	}
	if !s.fenced {
		for _, h := range s.holders {
			s.step(h, AuthorityChanged{})
		}
	}
	h := &holder{
		name:   len(s.holders),
		ledger: New(Config{Name: "r", Accelerators: 2, MemoryMiB: 100, Fenced: s.fenced}),
	}
	s.holders = append(s.holders, h)
	s.step(h, AuthorityChanged{Authority{Term: s.term, Full: true}})
}

func (s *simulation) step(h *holder, event Event) {
	for _, action := range h.ledger.Step(s.now, event) {
		switch a := action.(type) {
		case SendOrder:
			s.orders = append(s.orders, &message{from: h, order: a.Order})
		case ReadIndex:
			h.replies = append(h.replies, nil)
		case WriteIntents:
			s.writeIntents(h, a)
		case ReadIntents:
			h.replies = append(h.replies, IntentsRead{Items: slices.Clone(s.intents)})
		}
	}
}

// checkLedger checks that the current holder's ledger counts no more than the accelerators' memory. An earlier holder's
// ledger may count more: it adds an order that the engine will reject to the items that the current holder loaded.
func (s *simulation) checkLedger() {
	h := s.holders[len(s.holders)-1]
	for _, used := range h.ledger.UsedMiB() {
		if h.ledger.Settled() && used > 100 {
			s.t.Fatalf("ledger of holder %d counts %d MiB on an accelerator of 100", h.name, used)
		}
	}
}

func (s *simulation) writeIntents(h *holder, a WriteIntents) {
	current := h == s.holders[len(s.holders)-1]
	stored := current && rapid.Bool().Draw(s.t, "stored")
	if stored {
		s.intents = slices.Clone(a.Items)
	}
	h.replies = append(h.replies, IntentsStored{Sequence: a.Sequence, Stored: stored})
}

func (s *simulation) check() {
	used := make([]int, len(s.capacity))
	for _, item := range s.items {
		for _, accelerator := range item.Accelerators {
			used[accelerator] += item.MemoryMiB
		}
	}
	for i := range used {
		if used[i] > s.capacity[i] {
			s.t.Fatalf("accelerator %d holds %d MiB of %d: %v", i, used[i], s.capacity[i], s.items)
		}
	}
}

// deliver lets the engine carry out an order. The engine does not check whether it has enough memory.
func (s *simulation) deliver(m *message) Result {
	if s.fenced {
		if m.order.Fence < s.fence {
			return StaleFence
		}
		s.fence = m.order.Fence
	}
	item := m.order.Item
	switch m.order.Verb {
	case VerbLoad:
		if _, held := s.items[item.Name]; !held {
			s.items[item.Name] = IndexEntry{
				Name: item.Name, State: IndexReady, Kind: item.Kind, Base: item.Base,
				MemoryMiB: item.MemoryMiB, Accelerators: item.Accelerators,
			}
		}
	case VerbUnload:
		delete(s.items, item.Name)
		for name, other := range s.items {
			if other.Base == item.Name {
				delete(s.items, name)
			}
		}
	case VerbFence:
	}
	s.check()
	return Confirmed
}

func (s *simulation) pickMessage() *message {
	if len(s.orders) == 0 {
		return nil
	}
	return s.orders[rapid.IntRange(0, len(s.orders)-1).Draw(s.t, "message")]
}

func (s *simulation) answer(m *message, result Result) {
	if m.answered {
		return
	}
	m.answered = true
	m.deadline = s.now.Add(OrderLingerWindow)
	s.step(m.from, OrderAnswered{OrderID: m.order.ID, Result: result})
}

func (s *simulation) pickHolder() *holder {
	return s.holders[rapid.IntRange(0, len(s.holders)-1).Draw(s.t, "holder")]
}

func (s *simulation) reply(h *holder) {
	if len(h.replies) == 0 {
		return
	}
	event := h.replies[0]
	h.replies = h.replies[1:]
	if event != nil {
		s.step(h, event)
		return
	}
	if rapid.IntRange(0, 9).Draw(s.t, "readFails") == 0 {
		s.step(h, IndexReadFailed{})
		return
	}
	contents := IndexRead{Incarnation: fmt.Sprint(s.incarnation), RequestedAt: s.now}
	for _, item := range s.items {
		contents.Entries = append(contents.Entries, item)
	}
	s.step(h, contents)
}

func (s *simulation) desiredItems() []DesiredItem {
	names := []string{"a", "b", "c", "d"}
	var items []DesiredItem
	for i, name := range names {
		if rapid.Bool().Draw(s.t, "want") {
			items = append(items, DesiredItem{Name: name, Kind: ItemBase, MemoryMiB: 40 + 15*i, Accelerators: 1 + i%2})
		}
	}
	if len(items) > 0 && rapid.Bool().Draw(s.t, "adapter") {
		items = append(items, DesiredItem{Name: items[0].Name + "-x", Kind: ItemAdapter, Base: items[0].Name, MemoryMiB: 10})
	}
	return items
}

// advance moves the time forward and applies one random event.
func (s *simulation) advance() {
	s.now = s.now.Add(time.Duration(rapid.IntRange(1, 400).Draw(s.t, "ms")) * time.Millisecond)
	s.orders = slices.DeleteFunc(s.orders, func(m *message) bool {
		return !s.fenced && !m.deadline.IsZero() && !s.now.Before(m.deadline)
	})
	switch rapid.IntRange(0, 19).Draw(s.t, "act") {
	case 0:
		s.newHolder()
	case 1:
		s.now = s.now.Add(OrderLingerWindow)
	case 2, 3:
		if m := s.pickMessage(); m != nil {
			s.answer(m, Unknown)
		}
	case 4, 5:
		if m := s.pickMessage(); m != nil && !m.answered {
			s.answer(m, s.deliver(m))
		}
	case 6:
		if m := s.pickMessage(); m != nil {
			s.deliver(m)
		}
	case 7, 8:
		s.step(s.pickHolder(), DesiredChanged{Items: s.desiredItems()})
	case 9:
		s.restartEngine()
	case 10, 11, 12, 13:
		s.reply(s.pickHolder())
	default:
		s.settle(s.holders[len(s.holders)-1])
	}
	s.checkLedger()
}

// restartEngine removes the engine's items. An engine that checks fences either keeps the highest one, or loses it and
// the connections with the orders in flight; in that case the earlier holders lose their authority too.
func (s *simulation) restartEngine() {
	s.items = make(map[string]IndexEntry)
	s.incarnation++
	if !s.fenced || rapid.Bool().Draw(s.t, "keepsFence") {
		return
	}
	s.fence = 0
	lost := s.orders
	s.orders = nil
	for _, m := range lost {
		s.answer(m, Unknown)
	}
	s.orders = nil
	for _, h := range s.holders[:len(s.holders)-1] {
		s.step(h, AuthorityChanged{})
	}
}

// settle advances the current holder: it delivers and answers the holder's orders and serves its next read.
func (s *simulation) settle(h *holder) {
	for _, m := range slices.Clone(s.orders) {
		if m.from == h && !m.answered {
			s.answer(m, s.deliver(m))
		}
	}
	s.reply(h)
	s.step(h, Tick{})
}

// No accelerator's memory is ever overcommitted, even when orders are lost, late or duplicated, reads and writes fail,
// the engine restarts, or the lease passes to another holder.
func TestMemoryIsNeverOvercommitted(t *testing.T) {
	for _, fenced := range []bool{true, false} {
		t.Run(fmt.Sprintf("fenced=%t", fenced), func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) {
				s := newSimulation(t, fenced)
				for range rapid.IntRange(1, 120).Draw(t, "steps") {
					s.advance()
				}
			})
		})
	}
}

// Liveness: once faults end, the current holder loads the desired items and unloads all others.
func TestDesiredItemsAreReachedOnceFaultsEnd(t *testing.T) {
	for _, fenced := range []bool{true, false} {
		t.Run(fmt.Sprintf("fenced=%t", fenced), func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) {
				s := newSimulation(t, fenced)
				for range rapid.IntRange(1, 60).Draw(t, "steps") {
					s.advance()
				}
				s.orders = nil
				s.newHolder()
				last := s.holders[len(s.holders)-1]
				s.step(last, DesiredChanged{Items: []DesiredItem{{Name: "a", Kind: ItemBase, MemoryMiB: 70, Accelerators: 2}}})
				for range 400 {
					s.now = s.now.Add(time.Second)
					s.settle(last)
				}
				if _, ok := s.items["a"]; !ok || len(s.items) != 1 {
					t.Fatalf("the runner holds %v: %+v", s.items, last.ledger.Snapshot())
				}
			})
		})
	}
}
