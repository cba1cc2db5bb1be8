package fleet

import "time"

// confirmationBackoff is the time after a failed call to the store in which a VM asks it for no runner.
const confirmationBackoff = time.Second

// Confirmations decides when a VM asks the store whether a runner still serves before it sends a request there: its list of runners is
// so old that the runner may have left meanwhile.
type Confirmations struct {
	// confirmedAt is when the last call was sent whose answer listed a runner, by runner.
	confirmedAt map[string]time.Time
	failedAt    time.Time
}

// NewConfirmations returns confirmations of no runner.
func NewConfirmations() *Confirmations {
	return &Confirmations{confirmedAt: make(map[string]time.Time)}
}

// Due reports whether the store must be asked for a runner, as neither the list, as of listedAt, nor an answer is younger than maxAge.
// A VM that cannot ask goes on with what it knows. Zero as maxAge means that no age is too old.
func (c *Confirmations) Due(now, listedAt time.Time, runner string, maxAge time.Duration) bool {
	return maxAge > 0 && now.Sub(listedAt) >= maxAge && now.Sub(c.confirmedAt[runner]) >= maxAge &&
		now.Sub(c.failedAt) >= confirmationBackoff
}

// RecordAnswer records that the store has answered a call for a runner, sent at a time.
func (c *Confirmations) RecordAnswer(sentAt time.Time, runner string) {
	c.confirmedAt[runner] = sentAt
}

// RecordFailure records that a call for a runner has failed.
func (c *Confirmations) RecordFailure(now time.Time) { c.failedAt = now }

// Remove forgets a runner.
func (c *Confirmations) Remove(runner string) { delete(c.confirmedAt, runner) }
