package routing

import "time"

const (
	// retriesPerAttempt is the number of retries that each first attempt adds to the budget.
	retriesPerAttempt = 0.2
	// minRetriesPerSecond is the number of retries a second that the budget allows at any load.
	minRetriesPerSecond = 2.0
	// retryBurst is the largest number of retries that the budget holds.
	retryBurst = 20.0
)

// RetryBudget is a token bucket that limits retries to a share of the first attempts plus a small rate. It is not safe
// for concurrent use.
type RetryBudget struct{ bucket *Bucket }

// NewRetryBudget returns a full budget as of now.
func NewRetryBudget(now time.Time) *RetryBudget { return &RetryBudget{NewBucket(now, retryBurst)} }

// Deposit records a first attempt, which adds retriesPerAttempt retries to the budget.
func (b *RetryBudget) Deposit(now time.Time) {
	b.bucket.Add(retriesPerAttempt)
	b.refill(now)
}

// TryWithdraw removes one retry from the budget. It reports false if less than one is left.
func (b *RetryBudget) TryWithdraw(now time.Time) bool {
	b.refill(now)
	return b.bucket.TryTake()
}

func (b *RetryBudget) refill(now time.Time) { b.bucket.Refill(now, minRetriesPerSecond, retryBurst) }
