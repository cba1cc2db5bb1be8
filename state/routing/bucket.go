package routing

import "time"

// Bucket is a token bucket whose rate and capacity the caller gives with each use, since they may change. It is not safe for
// concurrent use.
type Bucket struct {
	tokens     float64
	refilledAt time.Time
}

// NewBucket returns a bucket that holds a number of tokens as of now.
func NewBucket(now time.Time, tokens float64) *Bucket {
	return &Bucket{tokens: tokens, refilledAt: now}
}

// Refill adds the tokens since the last refill, up to the capacity, and returns how many the bucket holds.
func (b *Bucket) Refill(now time.Time, perSecond, capacity float64) float64 {
	b.tokens = min(capacity, b.tokens+max(0, now.Sub(b.refilledAt).Seconds())*perSecond)
	b.refilledAt = now
	return b.tokens
}

// TryTake removes one token. It reports false if the bucket holds less.
func (b *Bucket) TryTake() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Add puts tokens into the bucket. The next refill drops what exceeds the capacity.
func (b *Bucket) Add(tokens float64) { b.tokens += tokens }
