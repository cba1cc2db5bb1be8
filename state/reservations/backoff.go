package reservations

import "time"

const (
	// minBackoff is the time in which an owner is not asked after it did not answer in time. It doubles with each further
	// failure, up to maxBackoff. An owner with a tenth of a core answers late at times and should soon be asked again; a dead one
	// costs each request the whole time limit of a question.
	minBackoff = 100 * time.Millisecond
	maxBackoff = 3200 * time.Millisecond
	// unknownCallBackoff is the same after an owner that does not know the call, which it will not before it is upgraded.
	unknownCallBackoff = 10 * time.Second
)

// Backoffs holds which owners are not asked for a time.
type Backoffs struct{ byVM map[string]backoff }

type backoff struct {
	failures int
	until    time.Time
}

// NewBackoffs returns backoffs in which every owner may be asked.
func NewBackoffs() *Backoffs { return &Backoffs{byVM: make(map[string]backoff)} }

// MayAsk reports whether an owner may be asked now.
func (b *Backoffs) MayAsk(now time.Time, vm string) bool { return !now.Before(b.byVM[vm].until) }

// RecordAnswer records that an owner has answered in time, so that its next backoff is the shortest again.
func (b *Backoffs) RecordAnswer(vm string) { delete(b.byVM, vm) }

// RecordFailure records that an owner did not answer in time, and starts its next backoff. Questions that were sent before the
// backoff began do not lengthen it.
func (b *Backoffs) RecordFailure(now time.Time, vm string) {
	if !b.MayAsk(now, vm) {
		return
	}
	failures := b.byVM[vm].failures
	b.byVM[vm] = backoff{failures + 1, now.Add(min(maxBackoff, minBackoff<<min(failures, 10)))}
}

// RecordUnknownCall records that an owner does not know the call.
func (b *Backoffs) RecordUnknownCall(now time.Time, vm string) {
	b.byVM[vm] = backoff{until: now.Add(unknownCallBackoff)}
}

// Remove forgets a VM that is not a member any more.
func (b *Backoffs) Remove(vm string) { delete(b.byVM, vm) }
