package ring

import (
	"context"
	"sync/atomic"
)

// Ring is a bounded first-in first-out queue between tasks.
type Ring[T any] struct {
	items   chan T
	dropped atomic.Uint64
}

// New returns an empty queue for at most capacity items.
func New[T any](capacity int) *Ring[T] {
	return &Ring[T]{items: make(chan T, capacity)}
}

// Offer adds an item without waiting. If the queue is full, it drops the item and returns false.
func (r *Ring[T]) Offer(item T) bool {
	select {
	case r.items <- item:
		return true
	default:
		r.dropped.Add(1)
		return false
	}
}

// Put adds an item. If the queue is full, it waits until there is room or the context ends.
func (r *Ring[T]) Put(ctx context.Context, item T) error {
	select {
	case r.items <- item:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Take returns the channel from which the consumer receives the items.
func (r *Ring[T]) Take() <-chan T { return r.items }

// Length returns the number of items in the queue.
func (r *Ring[T]) Length() int { return len(r.items) }

// Dropped returns the number of items that Offer has dropped.
func (r *Ring[T]) Dropped() uint64 { return r.dropped.Load() }
