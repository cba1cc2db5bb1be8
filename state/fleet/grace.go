package fleet

import "time"

const (
	// EntryReturnGrace is the time after the first answer within which runners that the store was away from write their
	// entries again. The platform names two seconds. If this VM alone was cut off, it must pass before the VM counts as in
	// touch, 3 s after the end of the cut.
	EntryReturnGrace = 2200 * time.Millisecond
	// minExpiryOutage is the shortest outage of the store in which an entry expires. Runners write their entries every
	// 1.2 s, and an entry expires after three such intervals.
	minExpiryOutage = 2 * time.Second
)

// EntryGrace decides until when a runner whose entry is missing stays listed. Entries expire while the store is away from
// all, and return soon after it. A VM that alone was cut off from the store has missed that a runner left.
type EntryGrace struct {
	// servedAt is when the store was last known to serve a VM, and failedAt when the last call of this VM that failed was sent.
	servedAt, failedAt time.Time
	until              time.Time
	// hasContent means that this VM has had an answer of the store, or what another VM has of it.
	hasContent bool
}

// NewEntryGrace returns a grace that has not begun, for a VM that starts now.
func NewEntryGrace(now time.Time) *EntryGrace { return &EntryGrace{servedAt: now} }

// RecordFailure records that a call of this VM to the store, sent at a time, has failed.
func (e *EntryGrace) RecordFailure(requestedAt time.Time) {
	if requestedAt.After(e.failedAt) {
		e.failedAt = requestedAt
	}
}

// RecordAnswer records that the store has answered a request that this VM or another one sent at a time. The time since the
// store last served a VM is an outage only if a call has failed in it: a VM that waits for views makes no calls.
func (e *EntryGrace) RecordAnswer(requestedAt time.Time) {
	if e.failedAt.After(e.servedAt) && requestedAt.Sub(e.servedAt) >= minExpiryOutage {
		e.until = requestedAt.Add(EntryReturnGrace)
	}
	e.recordServed(requestedAt)
}

// RecordView records content as of a time that the VM that reads the store for others has forwarded, with the grace that
// remains there. That VM knows from all VMs' reports whether the store was away.
func (e *EntryGrace) RecordView(now, asOf time.Time, remaining time.Duration) {
	if !e.hasContent {
		// This VM may have started during an outage, in which another one offers what it has.
		e.servedAt = asOf
	}
	until := now.Add(remaining)
	if asOf.Sub(e.servedAt) >= minExpiryOutage || until.Before(e.until) {
		e.until = until
	}
	e.recordServed(asOf)
}

// RecordReturn records that the store has returned from an older copy, which may lack entries.
func (e *EntryGrace) RecordReturn(now time.Time) { e.until = now.Add(EntryReturnGrace) }

func (e *EntryGrace) recordServed(at time.Time) {
	e.hasContent = true
	if at.After(e.servedAt) {
		e.servedAt = at
	}
}

// Remaining returns the time for which a runner whose entry is missing stays listed, or zero.
func (e *EntryGrace) Remaining(now time.Time) time.Duration { return max(0, e.until.Sub(now)) }
