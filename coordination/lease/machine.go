package lease

import (
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"github.com/zinniaroute/zinniaroute/coordination/keyvalue"
	"github.com/zinniaroute/zinniaroute/document"
)

// Record is the lease as it stands in the key-value service.
type Record struct {
	Holder      string `json:"holder"`
	Incarnation string `json:"incarnation"`
	// Term is the fencing number, which grows with each change of holder.
	Term uint64 `json:"term"`
	// Attempt numbers the holder's writes, so that no two of them are alike: a late write that was given up must
	// not be taken for the one that was sent after it.
	Attempt uint64            `json:"attempt"`
	TTL     document.Duration `json:"ttl"`
	// Released tells that the holder gave the lease up and orders nothing more.
	Released bool `json:"released,omitempty"`
}

// Encode returns the record's stored form.
func (r Record) Encode() ([]byte, error) {
	value, err := json.Marshal(r)
	return value, errors.Wrap(err, "encode lease")
}

// Decode reads the record's stored form.
func Decode(value []byte) (Record, error) {
	var record Record
	err := json.Unmarshal(value, &record)
	return record, errors.Wrap(err, "decode lease")
}

// Config describes a candidate.
type Config struct {
	Holder      string
	Incarnation string
	TTL         time.Duration
	// DriftMargin is taken off the holder's and added to the candidates' view of the lease's end.
	DriftMargin time.Duration
	RenewEvery  time.Duration
}

// DefaultConfig returns the times of a lease that survives short outages and moves within ten seconds.
func DefaultConfig(holder, incarnation string) Config {
	return Config{
		Holder:      holder,
		Incarnation: incarnation,
		TTL:         6 * time.Second,
		DriftMargin: 500 * time.Millisecond,
		RenewEvery:  2 * time.Second,
	}
}

// Power is what a candidate may do.
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

// Event is something that a candidate reacts to.
type Event interface{ event() }

// Observed gives the record as read after RequestedAt; index zero means that there is none.
type Observed struct {
	Record      Record
	Index       uint64
	RequestedAt time.Time
}

// ReadFailed tells that the record could not be read.
type ReadFailed struct{}

// Swapped tells the outcome of a Swap.
type Swapped struct{ Outcome keyvalue.Outcome }

// Tick lets time pass.
type Tick struct{}

// StopRequested asks the candidate to give the lease up and not to seek it again.
type StopRequested struct{}

func (Observed) event()      {}
func (ReadFailed) event()    {}
func (Swapped) event()       {}
func (Tick) event()          {}
func (StopRequested) event() {}

// Action is something that a candidate asks for.
type Action interface{ action() }

// Read asks to read the record.
type Read struct{}

// Swap asks to write the record if its index is as expected.
type Swap struct {
	Record   Record
	Expected uint64
}

func (Read) action() {}
func (Swap) action() {}

// Machine is one candidate for a lease.
type Machine struct {
	config Config
	// record and index are the last observation, and changedAt is when it was first made.
	record    Record
	index     uint64
	known     bool
	changedAt time.Time
	// term is the fencing number under which this candidate last held the lease.
	term       uint64
	validUntil time.Time
	// held tells that the record was this candidate's when it was last read or written.
	held      bool
	busy      bool
	attempt   *attempt
	attempts  uint64
	nextRead  time.Time
	nextRenew time.Time
	stopping  bool
	released  bool
}

// attempt is a swap whose outcome is not known yet.
type attempt struct {
	record Record
	sentAt time.Time
}

// NewMachine returns a candidate that has observed nothing.
func NewMachine(config Config) *Machine { return &Machine{config: config} }

// Step takes in an event and returns at most one action; the next is asked for when its answer has come.
func (m *Machine) Step(now time.Time, event Event) []Action {
	switch e := event.(type) {
	case Observed:
		m.busy = false
		m.observed(now, e)
	case ReadFailed:
		m.busy = false
		m.nextRead = now.Add(m.config.RenewEvery / 4)
	case Swapped:
		m.busy = false
		m.swapped(now, e.Outcome)
	case StopRequested:
		m.stopping = true
	case Tick:
	}
	if m.busy {
		return nil
	}
	action := m.next(now)
	if action == nil {
		return nil
	}
	m.busy = true
	return []Action{action}
}

func (m *Machine) observed(now time.Time, o Observed) {
	if !m.known || o.Index != m.index {
		m.changedAt = now
	}
	m.known = true
	m.record = o.Record
	m.index = o.Index
	m.nextRead = now.Add(m.config.RenewEvery)
	if m.attempt != nil {
		m.settleAttempt(now)
	}
	if m.held && !m.mine() {
		m.lose()
	}
}

// settleAttempt finds out whether a swap with a lost answer took effect: its record is unique.
func (m *Machine) settleAttempt(now time.Time) {
	if m.record == m.attempt.record {
		m.applied(now)
		return
	}
	m.attempt = nil
}

func (m *Machine) mine() bool {
	return m.index != 0 && m.record.Incarnation == m.config.Incarnation && !m.record.Released
}

func (m *Machine) lose() {
	m.held = false
	m.term = 0
	m.validUntil = time.Time{}
}

func (m *Machine) swapped(now time.Time, outcome keyvalue.Outcome) {
	switch outcome {
	case keyvalue.Applied:
		m.applied(now)
		// The write changed the index, which the next read tells.
		m.known = false
	case keyvalue.Conflict:
		m.attempt = nil
		m.known = false
	case keyvalue.NotSent:
		m.attempt = nil
		m.nextRenew = now.Add(m.config.RenewEvery / 4)
	case keyvalue.Unknown:
		m.known = false
	}
	m.nextRead = now
}

func (m *Machine) applied(now time.Time) {
	record := m.attempt.record
	sentAt := m.attempt.sentAt
	m.attempt = nil
	if record.Released {
		m.released = true
		m.lose()
		return
	}
	m.held = true
	m.term = record.Term
	m.validUntil = sentAt.Add(m.config.TTL - m.config.DriftMargin)
	m.nextRenew = sentAt.Add(m.config.RenewEvery)
	if m.nextRenew.Before(now) {
		m.nextRenew = now
	}
}

func (m *Machine) next(now time.Time) Action {
	if m.released || m.stopping && !m.held {
		return nil
	}
	if !m.known {
		return m.read(now)
	}
	switch {
	case m.stopping && m.mine():
		return m.release(now)
	case m.mine() && m.term != 0:
		return m.renew(now)
	case !m.stopping && m.free(now):
		return m.swap(now, m.takeOver())
	default:
		return m.read(now)
	}
}

func (m *Machine) read(now time.Time) Action {
	if now.Before(m.nextRead) {
		return nil
	}
	return Read{}
}

func (m *Machine) renew(now time.Time) Action {
	if now.Before(m.nextRenew) {
		return nil
	}
	return m.swap(now, m.record)
}

// release gives the power up before the write is sent, since the write may take effect at once.
func (m *Machine) release(now time.Time) Action {
	m.lose()
	m.held = true
	record := m.record
	record.Released = true
	return m.swap(now, record)
}

func (m *Machine) takeOver() Record {
	return Record{
		Holder:      m.config.Holder,
		Incarnation: m.config.Incarnation,
		Term:        m.record.Term + 1,
		TTL:         document.NewDuration(m.config.TTL),
	}
}

// free reports whether the lease may be taken: there is none, it was given up, or it stood unchanged for its whole time.
func (m *Machine) free(now time.Time) bool {
	if m.index == 0 || m.record.Released {
		return true
	}
	return now.Sub(m.changedAt) >= m.record.TTL.Duration+m.config.DriftMargin
}

func (m *Machine) swap(now time.Time, record Record) Action {
	m.attempts++
	record.Attempt = m.attempts
	m.attempt = &attempt{record: record, sentAt: now}
	return Swap{Record: record, Expected: m.index}
}

// Power returns what the candidate may do now, and under which term.
func (m *Machine) Power(now time.Time) (Power, uint64) {
	if m.term == 0 {
		return PowerNone, 0
	}
	if now.Before(m.validUntil) {
		return PowerFull, m.term
	}
	return PowerFenced, m.term
}

// Snapshot is the state of a candidate for operators.
type Snapshot struct {
	Power      Power     `json:"power"`
	Term       uint64    `json:"term,omitempty"`
	ValidUntil time.Time `json:"validUntil,omitzero"`
	Record     Record    `json:"record"`
	Index      uint64    `json:"index"`
	ChangedAt  time.Time `json:"changedAt,omitzero"`
}

// Snapshot returns the state of the candidate.
func (m *Machine) Snapshot(now time.Time) Snapshot {
	power, term := m.Power(now)
	return Snapshot{
		Power:      power,
		Term:       term,
		ValidUntil: m.validUntil,
		Record:     m.record,
		Index:      m.index,
		ChangedAt:  m.changedAt,
	}
}
