package claims

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/zinniaroute/zinniaroute/coordination/keyvalue"
	"github.com/zinniaroute/zinniaroute/standin/seeded"
)

var _ = seeded.SetFlags()

// service models the key-value service: the stored value of the slot.
type service struct {
	entry keyvalue.Entry
}

func (s *service) swap(a Swap) keyvalue.Outcome {
	if a.Expected != s.entry.Index {
		return keyvalue.Conflict
	}
	s.entry = keyvalue.Entry{Value: a.Value, Index: s.entry.Index + 1}
	return keyvalue.Applied
}

// node is one VM's slot and its call in flight.
type node struct {
	slot *Slot
	call Action
}

type simulation struct {
	t          *rapid.T
	now        time.Time
	service    service
	nodes      []*node
	delayed    []Swap
	nextID     uint64
	unanswered map[uint64]Operation
	// runs counts the requests that may run, by key.
	runs map[string]int
	// withdrawn counts the withdrawn claims whose request did not run, by key.
	withdrawn map[string]int
}

func newSimulation(t *rapid.T) *simulation {
	s := &simulation{
		t:          t,
		now:        time.Unix(1_000_000, 0),
		unanswered: make(map[uint64]Operation),
		runs:       make(map[string]int),
		withdrawn:  make(map[string]int),
	}
	for range 3 {
		s.nodes = append(s.nodes, &node{slot: NewSlot()})
	}
	return s
}

func (s *simulation) step(n *node, event Event) {
	for _, action := range n.slot.Step(s.now, event) {
		if respond, ok := action.(Respond); ok {
			s.reply(respond.Reply)
			continue
		}
		if n.call != nil {
			s.t.Fatalf("%T requested while %T is in flight", action, n.call)
		}
		n.call = action
	}
}

func (s *simulation) reply(r Reply) {
	operation, known := s.unanswered[r.ID]
	if !known {
		s.t.Fatalf("operation %d is answered twice", r.ID)
	}
	delete(s.unanswered, r.ID)
	if operation.Settle || r.Status != Won {
		return
	}
	s.runs[operation.Key]++
	if s.runs[operation.Key]-s.withdrawn[operation.Key] > 1 {
		s.t.Fatalf("key %s may run %d times", operation.Key, s.runs[operation.Key])
	}
}

func (s *simulation) submit(n *node) {
	s.nextID++
	operation := Operation{
		ID:        s.nextID,
		Key:       rapid.SampledFrom([]string{"a", "b"}).Draw(s.t, "key"),
		RequestID: fmt.Sprint("request-", s.nextID),
		Lifetime:  24 * time.Hour,
	}
	s.unanswered[operation.ID] = operation
	s.step(n, Submitted{Operation: operation})
}

func (s *simulation) answer(n *node) {
	call := n.call
	if call == nil {
		return
	}
	n.call = nil
	fate := rapid.IntRange(0, 9).Draw(s.t, "fate")
	swap, isSwap := call.(Swap)
	switch {
	case !isSwap && fate < 3:
		s.step(n, ReadDone{Failed: true})
	case !isSwap:
		s.step(n, ReadDone{Entry: s.service.entry})
	case fate == 0:
		s.step(n, SwapDone{Outcome: keyvalue.NotSent})
	case fate == 1:
		s.delayed = append(s.delayed, swap)
		s.step(n, SwapDone{Outcome: keyvalue.Unknown})
	case fate == 2:
		s.service.swap(swap)
		s.step(n, SwapDone{Outcome: keyvalue.Unknown})
	default:
		s.step(n, SwapDone{Outcome: s.service.swap(swap)})
	}
}

func (s *simulation) randomStep() {
	n := s.nodes[rapid.IntRange(0, len(s.nodes)-1).Draw(s.t, "node")]
	switch rapid.IntRange(0, 15).Draw(s.t, "act") {
	case 0:
		s.now = s.now.Add(OperationTimeout)
	case 1:
		if len(s.delayed) > 0 {
			s.service.swap(s.delayed[0])
			s.delayed = s.delayed[1:]
		}
	case 2, 3, 4:
		s.submit(n)
	case 5, 6, 7, 8, 9, 10:
		s.answer(n)
	default:
		s.now = s.now.Add(retryDelay)
		s.step(n, Tick{})
	}
}

// At most one request with a key may run, whatever calls the key-value service loses or delays.
func TestKeyRunsAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(t)
		for range rapid.IntRange(1, 150).Draw(t, "steps") {
			s.randomStep()
		}
	})
}

// Every operation gets a reply, also if the key-value service does not answer.
func TestEveryOperationIsAnswered(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(t)
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			s.randomStep()
		}
		down := rapid.Bool().Draw(t, "down")
		for range 100 {
			s.now = s.now.Add(retryDelay)
			for _, n := range s.nodes {
				s.step(n, Tick{})
				s.serve(n, down)
			}
		}
		if len(s.unanswered) > 0 {
			t.Fatalf("%d operations without an answer", len(s.unanswered))
		}
	})
}

func (s *simulation) serve(n *node, down bool) {
	for n.call != nil {
		call := n.call
		n.call = nil
		swap, isSwap := call.(Swap)
		switch {
		case !isSwap:
			s.step(n, ReadDone{Entry: s.service.entry, Failed: down})
		case down:
			s.step(n, SwapDone{Outcome: keyvalue.NotSent})
		default:
			s.step(n, SwapDone{Outcome: s.service.swap(swap)})
		}
	}
}

func TestRetryGetsRecordedOutcome(t *testing.T) {
	answer := &Answer{HTTPStatus: 201, ContentType: "text/plain", Body: []byte("held")}
	cases := []struct {
		name        string
		settle      *Operation
		fingerprint uint64
		after       time.Duration
		want        Status
	}{
		{name: "in progress", want: Running},
		{name: "done", settle: &Operation{Outcome: Done, Answer: answer}, want: Done},
		{name: "answer too large", settle: &Operation{Outcome: DoneUnrecorded}, want: DoneUnrecorded},
		{name: "answer lost", settle: &Operation{Outcome: Uncertain}, want: Uncertain},
		{name: "withdrawn", settle: &Operation{Outcome: Won}, want: Won},
		{name: "other request", fingerprint: 7, want: Mismatch},
		{name: "never settled", after: RunningTimeout, want: Uncertain},
		{name: "expired", settle: &Operation{Outcome: Done}, after: 25 * time.Hour, want: Won},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			now := time.Unix(1_000_000, 0)
			n := &node{slot: NewSlot()}
			s := &service{}
			first := Operation{ID: 1, Key: "k", RequestID: "r1", Lifetime: 24 * time.Hour}
			assert.Equal(t, commit(now, s, n, first).Status, Won)
			if tc.settle != nil {
				settle := *tc.settle
				settle.ID, settle.Key, settle.RequestID, settle.Settle = 2, "k", "r1", true
				commit(now, s, n, settle)
			}
			retry := Operation{ID: 3, Key: "k", RequestID: "r2", Fingerprint: tc.fingerprint, Lifetime: time.Hour}
			reply := commit(now.Add(tc.after), s, n, retry)
			assert.Equal(t, reply.Status, tc.want)
			if tc.settle != nil && tc.settle.Answer != nil {
				assert.DeepEqual(t, reply.Answer, answer)
			}
		})
	}
}

// commit executes one operation without faults and returns its reply.
func commit(now time.Time, s *service, n *node, operation Operation) Reply {
	actions := n.slot.Step(now, Submitted{Operation: operation})
	for len(actions) > 0 {
		switch a := actions[0].(type) {
		case Read:
			actions = n.slot.Step(now, ReadDone{Entry: s.entry})
		case Swap:
			actions = n.slot.Step(now, SwapDone{Outcome: s.swap(a)})
		case Respond:
			return a.Reply
		}
	}
	return Reply{}
}
