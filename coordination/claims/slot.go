package claims

import (
	"encoding/json"
	"time"

	"github.com/zinniaroute/zinniaroute/coordination/keyvalue"
)

const (
	// OperationTimeout is the longest time that an operation waits for the key-value service. Then its status is
	// Unavailable.
	OperationTimeout = 3 * time.Second
	// maxQueue is the largest number of operations that wait in a slot.
	maxQueue = 512
	// retryDelay is the time from a failed call to the next one.
	retryDelay = 100 * time.Millisecond
)

// Operation makes a claim, or records the outcome of one.
type Operation struct {
	// ID is the same in the operation and in its reply.
	ID          uint64
	Key         string
	RequestID   string
	Fingerprint uint64
	Lifetime    time.Duration
	// Settle records Outcome instead of making a claim.
	Settle bool
	// Outcome is Done, DoneUnrecorded or Uncertain. Won withdraws the claim, because nothing has run.
	Outcome Status
	Answer  *Answer

	submittedAt time.Time
	// internal operations come from the slot itself and get no reply.
	internal bool
	// inDoubt reports that a write of the operation may have taken effect, because its answer was lost.
	inDoubt bool
	reply   Reply
}

// Reply is the result of an operation.
type Reply struct {
	ID     uint64
	Status Status
	Answer *Answer
}

// Event is an input of a slot's state machine.
type Event interface{ event() }

// Submitted carries a new operation to the slot.
type Submitted struct{ Operation Operation }

// ReadDone reports the slot's stored value, or that the read failed.
type ReadDone struct {
	Entry  keyvalue.Entry
	Failed bool
}

// SwapDone reports the outcome of a Swap.
type SwapDone struct{ Outcome keyvalue.Outcome }

// Tick reports only the passage of time.
type Tick struct{}

func (Submitted) event() {}
func (ReadDone) event()  {}
func (SwapDone) event()  {}
func (Tick) event()      {}

// Action is a call to the key-value service, or a reply, that a slot requests.
type Action interface{ action() }

// Read requests the slot's stored value.
type Read struct{}

// Swap requests a write of Value if the slot's stored index still equals Expected.
type Swap struct {
	Value    []byte
	Expected uint64
}

// Respond requests that Reply is sent for an operation.
type Respond struct{ Reply Reply }

func (Read) action()    {}
func (Swap) action()    {}
func (Respond) action() {}

// Slot is the state machine that commits the operations of one slot in groups.
type Slot struct {
	// batch holds the operations of the present commit. queue holds those that wait for its end.
	queue []Operation
	batch []Operation
	// inFlight reports that a read or a write is in flight.
	inFlight bool
	retryAt  time.Time
}

// NewSlot returns a slot without operations.
func NewSlot() *Slot { return &Slot{} }

// Idle reports whether the slot has no operations and no call in flight.
func (s *Slot) Idle() bool { return !s.inFlight && len(s.queue) == 0 && len(s.batch) == 0 }

// Step handles an event and returns the actions that follow. At most one read or write is in flight at a time.
func (s *Slot) Step(now time.Time, event Event) []Action {
	var actions []Action
	switch e := event.(type) {
	case Submitted:
		actions = s.enqueue(now, e.Operation)
	case ReadDone:
		s.inFlight = false
		actions = s.applyRead(now, e)
	case SwapDone:
		s.inFlight = false
		actions = s.applySwap(now, e.Outcome)
	case Tick:
	}
	return append(actions, s.advance(now)...)
}

func (s *Slot) enqueue(now time.Time, operation Operation) []Action {
	if len(s.queue)+len(s.batch) >= maxQueue {
		return []Action{Respond{Reply{ID: operation.ID, Status: Unavailable}}}
	}
	operation.submittedAt = now
	s.queue = append(s.queue, operation)
	return nil
}

// advance starts a commit if no call is in flight.
func (s *Slot) advance(now time.Time) []Action {
	if s.inFlight {
		return nil
	}
	s.batch = append(s.batch, s.queue...)
	s.queue = nil
	actions := s.expireOperations(now)
	if len(s.batch) == 0 || now.Before(s.retryAt) {
		return actions
	}
	s.inFlight = true
	return append(actions, Read{})
}

// expireOperations replies Unavailable to operations that have waited for OperationTimeout. It keeps outcomes, which
// must still be recorded, and withdraws claims that may have been written.
func (s *Slot) expireOperations(now time.Time) []Action {
	var actions []Action
	var kept []Operation
	for _, operation := range s.batch {
		if operation.internal || now.Sub(operation.submittedAt) < OperationTimeout {
			kept = append(kept, operation)
			continue
		}
		actions = append(actions, Respond{Reply{ID: operation.ID, Status: Unavailable}})
		if operation.Settle || operation.inDoubt {
			kept = append(kept, operation.followUp())
		}
	}
	s.batch = kept
	return actions
}

// followUp returns the operation that must still follow one that was cancelled: the outcome without a reply, or
// the withdrawal of the claim.
func (o Operation) followUp() Operation {
	o.internal = true
	if !o.Settle {
		o.Settle = true
		o.Outcome = Won
	}
	return o
}

func (s *Slot) applyRead(now time.Time, read ReadDone) []Action {
	if read.Failed {
		s.retryAt = now.Add(retryDelay)
		return nil
	}
	record, err := decodeSlot(read.Entry.Value)
	if err != nil {
		s.retryAt = now.Add(retryDelay)
		return nil
	}
	record.prune(now)
	changed := false
	for i := range s.batch {
		changed = s.batch[i].apply(now, &record) || changed
	}
	if !changed {
		return s.replies()
	}
	value, err := json.Marshal(record)
	if err != nil || len(value) > maxSlotBytes {
		return s.rejectBatch()
	}
	s.inFlight = true
	return []Action{Swap{Value: value, Expected: read.Entry.Index}}
}

// rejectBatch replies Unavailable to the whole batch because the slot is full. Claims that have not expired are never
// dropped for new ones.
func (s *Slot) rejectBatch() []Action {
	for i := range s.batch {
		s.batch[i].reply = Reply{ID: s.batch[i].ID, Status: Unavailable}
	}
	return s.replies()
}

func (s *Slot) replies() []Action {
	actions := make([]Action, 0, len(s.batch))
	for _, operation := range s.batch {
		if !operation.internal {
			actions = append(actions, Respond{operation.reply})
		}
	}
	s.batch = nil
	return actions
}

func (s *Slot) applySwap(now time.Time, outcome keyvalue.Outcome) []Action {
	switch outcome {
	case keyvalue.Applied:
		return s.replies()
	case keyvalue.Conflict:
		return nil
	case keyvalue.NotSent:
		s.retryAt = now.Add(retryDelay)
		return nil
	case keyvalue.Unknown:
		for i := range s.batch {
			s.batch[i].inDoubt = true
		}
		s.retryAt = now.Add(retryDelay)
		return nil
	default:
		return nil
	}
}

// apply executes an operation on a record, sets its reply and reports whether the record changed.
func (o *Operation) apply(now time.Time, record *slotRecord) bool {
	o.reply = Reply{ID: o.ID, Status: Won}
	at := record.find(o.Key)
	if o.Settle {
		return o.settle(record, at)
	}
	if at < 0 {
		record.Claims = append(record.Claims, Claim{
			Key:         o.Key,
			RequestID:   o.RequestID,
			Fingerprint: o.Fingerprint,
			Status:      Running,
			ClaimedAt:   now,
			ExpiresAt:   now.Add(o.Lifetime),
		})
		return true
	}
	claim := record.Claims[at]
	switch {
	case claim.Fingerprint != o.Fingerprint:
		o.reply.Status = Mismatch
	case claim.RequestID == o.RequestID && claim.Status == Running:
		// A write of this operation took effect and its answer was lost. The reply stays Won.
	case claim.Status == Running && now.Sub(claim.ClaimedAt) >= RunningTimeout:
		o.reply.Status = Uncertain
	default:
		o.reply.Status = claim.Status
		o.reply.Answer = claim.Answer
	}
	return false
}

// settle records the outcome if the claim belongs to the operation's request and still runs, and reports whether it
// did.
func (o *Operation) settle(record *slotRecord, at int) bool {
	if at < 0 || record.Claims[at].RequestID != o.RequestID || record.Claims[at].Status != Running {
		return false
	}
	if o.Outcome == Won {
		record.Claims = append(record.Claims[:at], record.Claims[at+1:]...)
		return true
	}
	record.Claims[at].Status = o.Outcome
	record.Claims[at].Answer = o.Answer
	return true
}
