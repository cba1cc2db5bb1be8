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

var _ = seeded.Fix()

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

// desk is one VM's slot and its call in flight.
type desk struct {
	slot *Slot
	call Action
}

type world struct {
	t       *rapid.T
	now     time.Time
	service service
	desks   []*desk
	delayed []Swap
	nextID  uint64
	asked   map[uint64]Operation
	// runs counts the requests that may run, by key.
	runs map[string]int
	// takenBack counts the withdrawn claims whose request did not run, by key.
	takenBack map[string]int
}

func newWorld(t *rapid.T) *world {
	w := &world{
		t:         t,
		now:       time.Unix(1_000_000, 0),
		asked:     make(map[uint64]Operation),
		runs:      make(map[string]int),
		takenBack: make(map[string]int),
	}
	for range 3 {
		w.desks = append(w.desks, &desk{slot: NewSlot()})
	}
	return w
}

func (w *world) step(d *desk, event Event) {
	for _, action := range d.slot.Step(w.now, event) {
		if replied, ok := action.(Replied); ok {
			w.reply(replied.Reply)
			continue
		}
		if d.call != nil {
			w.t.Fatalf("%T requested while %T is in flight", action, d.call)
		}
		d.call = action
	}
}

func (w *world) reply(r Reply) {
	operation, known := w.asked[r.ID]
	if !known {
		w.t.Fatalf("operation %d is answered twice", r.ID)
	}
	delete(w.asked, r.ID)
	if operation.Settle || r.Status != Won {
		return
	}
	w.runs[operation.Key]++
	if w.runs[operation.Key]-w.takenBack[operation.Key] > 1 {
		w.t.Fatalf("key %s may run %d times", operation.Key, w.runs[operation.Key])
	}
}

func (w *world) ask(d *desk) {
	w.nextID++
	operation := Operation{
		ID:        w.nextID,
		Key:       rapid.SampledFrom([]string{"a", "b"}).Draw(w.t, "key"),
		RequestID: fmt.Sprint("request-", w.nextID),
		Lifetime:  24 * time.Hour,
	}
	w.asked[operation.ID] = operation
	w.step(d, Asked{Operation: operation})
}

func (w *world) answer(d *desk) {
	call := d.call
	if call == nil {
		return
	}
	d.call = nil
	fate := rapid.IntRange(0, 9).Draw(w.t, "fate")
	swap, isSwap := call.(Swap)
	switch {
	case !isSwap && fate < 3:
		w.step(d, ReadDone{Failed: true})
	case !isSwap:
		w.step(d, ReadDone{Entry: w.service.entry})
	case fate == 0:
		w.step(d, SwapDone{Outcome: keyvalue.NotSent})
	case fate == 1:
		w.delayed = append(w.delayed, swap)
		w.step(d, SwapDone{Outcome: keyvalue.Unknown})
	case fate == 2:
		w.service.swap(swap)
		w.step(d, SwapDone{Outcome: keyvalue.Unknown})
	default:
		w.step(d, SwapDone{Outcome: w.service.swap(swap)})
	}
}

func (w *world) act() {
	d := w.desks[rapid.IntRange(0, len(w.desks)-1).Draw(w.t, "desk")]
	switch rapid.IntRange(0, 15).Draw(w.t, "act") {
	case 0:
		w.now = w.now.Add(GiveUpAfter)
	case 1:
		if len(w.delayed) > 0 {
			w.service.swap(w.delayed[0])
			w.delayed = w.delayed[1:]
		}
	case 2, 3, 4:
		w.ask(d)
	case 5, 6, 7, 8, 9, 10:
		w.answer(d)
	default:
		w.now = w.now.Add(retryDelay)
		w.step(d, Tick{})
	}
}

// At most one request with a key may run, whatever calls the key-value service loses or delays.
func TestKeyRunsAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		for range rapid.IntRange(1, 150).Draw(t, "steps") {
			w.act()
		}
	})
}

// Every operation gets a reply, also if the key-value service does not answer.
func TestEveryOperationIsAnswered(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			w.act()
		}
		down := rapid.Bool().Draw(t, "down")
		for range 100 {
			w.now = w.now.Add(retryDelay)
			for _, d := range w.desks {
				w.step(d, Tick{})
				w.serve(d, down)
			}
		}
		if len(w.asked) > 0 {
			t.Fatalf("%d operations without an answer", len(w.asked))
		}
	})
}

func (w *world) serve(d *desk, down bool) {
	for d.call != nil {
		call := d.call
		d.call = nil
		swap, isSwap := call.(Swap)
		switch {
		case !isSwap:
			w.step(d, ReadDone{Entry: w.service.entry, Failed: down})
		case down:
			w.step(d, SwapDone{Outcome: keyvalue.NotSent})
		default:
			w.step(d, SwapDone{Outcome: w.service.swap(swap)})
		}
	}
}

func TestRepeatsGetTheRecordedOutcome(t *testing.T) {
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
		{name: "taken back", settle: &Operation{Outcome: Won}, want: Won},
		{name: "other request", fingerprint: 7, want: Mismatch},
		{name: "never settled", after: RunningLimit, want: Uncertain},
		{name: "expired", settle: &Operation{Outcome: Done}, after: 25 * time.Hour, want: Won},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			now := time.Unix(1_000_000, 0)
			d := &desk{slot: NewSlot()}
			s := &service{}
			first := Operation{ID: 1, Key: "k", RequestID: "r1", Lifetime: 24 * time.Hour}
			assert.Equal(t, commit(now, s, d, first).Status, Won)
			if tc.settle != nil {
				settle := *tc.settle
				settle.ID, settle.Key, settle.RequestID, settle.Settle = 2, "k", "r1", true
				commit(now, s, d, settle)
			}
			repeat := Operation{ID: 3, Key: "k", RequestID: "r2", Fingerprint: tc.fingerprint, Lifetime: time.Hour}
			reply := commit(now.Add(tc.after), s, d, repeat)
			assert.Equal(t, reply.Status, tc.want)
			if tc.settle != nil && tc.settle.Answer != nil {
				assert.DeepEqual(t, reply.Answer, answer)
			}
		})
	}
}

// commit executes one operation without faults and returns its reply.
func commit(now time.Time, s *service, d *desk, operation Operation) Reply {
	actions := d.slot.Step(now, Asked{Operation: operation})
	for len(actions) > 0 {
		switch a := actions[0].(type) {
		case Read:
			actions = d.slot.Step(now, ReadDone{Entry: s.entry})
		case Swap:
			actions = d.slot.Step(now, SwapDone{Outcome: s.swap(a)})
		case Replied:
			return a.Reply
		}
	}
	return Reply{}
}
