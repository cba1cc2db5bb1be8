package lease

import (
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"github.com/zinniaroute/zinniaroute/coordination/keyvalue"
	"github.com/zinniaroute/zinniaroute/document"
)

// Record is the lease as stored in the key-value service.
type Record struct {
	Holder      string `json:"holder"`
	Incarnation string `json:"incarnation"`
	// Term is the fencing number. It grows with each change of holder.
	Term uint64 `json:"term"`
	// Attempt numbers the holder's writes, so that no two of them are equal. Otherwise a write that was cancelled and
	// takes effect late could be mistaken for the write sent after it.
	Attempt uint64            `json:"attempt"`
	TTL     document.Duration `json:"ttl"`
	// Released reports that the holder released the lease and sends no more orders.
	Released bool `json:"released,omitempty"`
}

// Encode returns the record in JSON, as it is stored.
func (r Record) Encode() ([]byte, error) {
	value, err := json.Marshal(r)
	return value, errors.Wrap(err, "encode lease")
}

// Decode parses a stored record.
func Decode(value []byte) (Record, error) {
	var record Record
	err := json.Unmarshal(value, &record)
	return record, errors.Wrap(err, "decode lease")
}

// Config holds the identity and the durations of a candidate for the lease.
type Config struct {
	Holder      string
	Incarnation string
	TTL         time.Duration
	// DriftMargin allows for clock drift: the holder's full power ends this long before the TTL, and other candidates
	// wait this long after it.
	DriftMargin   time.Duration
	RenewInterval time.Duration
}

// DefaultConfig returns a configuration whose lease survives short outages of the key-value service and moves to
// another holder within ten seconds.
func DefaultConfig(holder, incarnation string) Config {
	return Config{
		Holder:        holder,
		Incarnation:   incarnation,
		TTL:           6 * time.Second,
		DriftMargin:   500 * time.Millisecond,
		RenewInterval: 2 * time.Second,
	}
}

// Power says which orders a candidate may send.
type Power string

// The powers of a candidate.
const (
	// PowerNone allows no orders.
	PowerNone Power = "none"
	// PowerFenced allows orders only to runners that refuse old fencing numbers.
	PowerFenced Power = "fenced"
	// PowerFull allows all orders.
	PowerFull Power = "full"
)

// Event is an input of a candidate's state machine.
type Event interface{ event() }

// Observed is the result of a Read that was sent at RequestedAt. Index zero means that the store has no record.
type Observed struct {
	Record      Record
	Index       uint64
	RequestedAt time.Time
}

// ReadFailed reports that a Read failed, or that its answer was unreadable.
type ReadFailed struct{}

// Swapped reports the outcome of a Swap.
type Swapped struct{ Outcome keyvalue.Outcome }

// Tick reports only the passage of time.
type Tick struct{}

// StopRequested makes the candidate release the lease and never try to acquire it again.
type StopRequested struct{}

func (Observed) event()      {}
func (ReadFailed) event()    {}
func (Swapped) event()       {}
func (Tick) event()          {}
func (StopRequested) event() {}

// Action is a call to the key-value service that a candidate requests.
type Action interface{ action() }

// Read requests the record.
type Read struct{}

// Swap requests a write of Record if the stored index still equals Expected.
type Swap struct {
	Record   Record
	Expected uint64
}

func (Read) action() {}
func (Swap) action() {}

// Candidate is the state machine of one candidate for a lease.
type Candidate struct {
	config Config
	// record and index are the last observation. indexKnown is false if the stored record may have changed since.
	// changedAt is when this candidate first observed the index.
	record     Record
	index      uint64
	indexKnown bool
	changedAt  time.Time
	// term is the fencing number that this candidate's orders carry, or zero if it may send none.
	term uint64
	// validUntil is the end of full power.
	validUntil time.Time
	// held reports that this candidate was the holder when the record was last read or written.
	held bool
	// inFlight reports that a call is in flight.
	inFlight    bool
	attempt     *attempt
	attempts    uint64
	nextReadAt  time.Time
	nextRenewAt time.Time
	stopping    bool
	released    bool
}

// attempt is a swap whose outcome is still unknown.
type attempt struct {
	record Record
	sentAt time.Time
}

// NewCandidate returns a candidate that has not yet read the record.
func NewCandidate(config Config) *Candidate { return &Candidate{config: config} }

// Step handles an event and returns at most one action. It returns the next action only after the result of the last
// one has arrived as an event.
func (c *Candidate) Step(now time.Time, event Event) []Action {
	switch e := event.(type) {
	case Observed:
		c.inFlight = false
		c.applyObserved(now, e)
	case ReadFailed:
		c.inFlight = false
		c.nextReadAt = now.Add(c.config.RenewInterval / 4)
	case Swapped:
		c.inFlight = false
		c.applySwapped(now, e.Outcome)
	case StopRequested:
		c.stopping = true
	case Tick:
	}
	if c.inFlight {
		return nil
	}
	action := c.nextAction(now)
	if action == nil {
		return nil
	}
	c.inFlight = true
	return []Action{action}
}

func (c *Candidate) applyObserved(now time.Time, o Observed) {
	if !c.indexKnown || o.Index != c.index {
		c.changedAt = now
	}
	c.indexKnown = true
	c.record = o.Record
	c.index = o.Index
	c.nextReadAt = now.Add(c.config.RenewInterval)
	if c.attempt != nil {
		c.resolveAttempt(now)
	}
	if c.held && !c.isHolder() {
		c.dropPower()
	}
}

// resolveAttempt decides whether a swap with a lost answer took effect. Each swap writes a unique record, so equality
// with the stored record is proof.
func (c *Candidate) resolveAttempt(now time.Time) {
	if c.record == c.attempt.record {
		c.recordSwap(now)
		return
	}
	c.attempt = nil
}

func (c *Candidate) isHolder() bool {
	return c.index != 0 && c.record.Incarnation == c.config.Incarnation && !c.record.Released
}

func (c *Candidate) dropPower() {
	c.held = false
	c.term = 0
	c.validUntil = time.Time{}
}

func (c *Candidate) applySwapped(now time.Time, outcome keyvalue.Outcome) {
	switch outcome {
	case keyvalue.Applied:
		c.recordSwap(now)
		// The write changed the index. The next read returns the new one.
		c.indexKnown = false
	case keyvalue.Conflict:
		c.attempt = nil
		c.indexKnown = false
	case keyvalue.NotSent:
		c.attempt = nil
		c.nextRenewAt = now.Add(c.config.RenewInterval / 4)
	case keyvalue.Unknown:
		c.indexKnown = false
	}
	c.nextReadAt = now
}

func (c *Candidate) recordSwap(now time.Time) {
	record := c.attempt.record
	sentAt := c.attempt.sentAt
	c.attempt = nil
	if record.Released {
		c.released = true
		c.dropPower()
		return
	}
	c.held = true
	c.term = record.Term
	c.validUntil = sentAt.Add(c.config.TTL - c.config.DriftMargin)
	c.nextRenewAt = sentAt.Add(c.config.RenewInterval)
	if c.nextRenewAt.Before(now) {
		c.nextRenewAt = now
	}
}

func (c *Candidate) nextAction(now time.Time) Action {
	if c.released || c.stopping && !c.held {
		return nil
	}
	if !c.indexKnown {
		return c.read(now)
	}
	switch {
	case c.stopping && c.isHolder():
		return c.release(now)
	case c.isHolder() && c.term != 0:
		return c.renew(now)
	case !c.stopping && c.isFree(now):
		return c.swap(now, c.takeoverRecord())
	default:
		return c.read(now)
	}
}

func (c *Candidate) read(now time.Time) Action {
	if now.Before(c.nextReadAt) {
		return nil
	}
	return Read{}
}

func (c *Candidate) renew(now time.Time) Action {
	if now.Before(c.nextRenewAt) {
		return nil
	}
	return c.swap(now, c.record)
}

// release drops all power before the write is sent, because another candidate may acquire the lease as soon as the
// write takes effect. held stays true, so that the candidate repeats the write until it is confirmed.
func (c *Candidate) release(now time.Time) Action {
	c.dropPower()
	c.held = true
	record := c.record
	record.Released = true
	return c.swap(now, record)
}

func (c *Candidate) takeoverRecord() Record {
	return Record{
		Holder:      c.config.Holder,
		Incarnation: c.config.Incarnation,
		Term:        c.record.Term + 1,
		TTL:         document.NewDuration(c.config.TTL),
	}
}

// isFree reports whether the lease may be acquired: it does not exist, it was released, or its record did not change
// for its TTL plus the drift margin.
func (c *Candidate) isFree(now time.Time) bool {
	if c.index == 0 || c.record.Released {
		return true
	}
	return now.Sub(c.changedAt) >= c.record.TTL.Duration+c.config.DriftMargin
}

func (c *Candidate) swap(now time.Time, record Record) Action {
	c.attempts++
	record.Attempt = c.attempts
	c.attempt = &attempt{record: record, sentAt: now}
	return Swap{Record: record, Expected: c.index}
}

// Power returns the candidate's present power and the term that its orders carry.
func (c *Candidate) Power(now time.Time) (Power, uint64) {
	if c.term == 0 {
		return PowerNone, 0
	}
	if now.Before(c.validUntil) {
		return PowerFull, c.term
	}
	return PowerFenced, c.term
}

// Snapshot is the state of a candidate as the operators' routes show it.
type Snapshot struct {
	Power      Power     `json:"power"`
	Term       uint64    `json:"term,omitempty"`
	ValidUntil time.Time `json:"validUntil,omitzero"`
	Record     Record    `json:"record"`
	Index      uint64    `json:"index"`
	ChangedAt  time.Time `json:"changedAt,omitzero"`
}

// Snapshot returns the candidate's state at a time.
func (c *Candidate) Snapshot(now time.Time) Snapshot {
	power, term := c.Power(now)
	return Snapshot{
		Power:      power,
		Term:       term,
		ValidUntil: c.validUntil,
		Record:     c.record,
		Index:      c.index,
		ChangedAt:  c.changedAt,
	}
}
