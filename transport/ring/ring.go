package ring

import (
	"context"
	"sync/atomic"
)

// Queue is a bounded first-in first-out queue between tasks.
type Queue[T any] struct {
	items   chan T
	dropped atomic.Uint64
}

// New returns an empty queue for at most capacity items.
func New[T any](capacity int) *Queue[T] {
	return &Queue[T]{items: make(chan T, capacity)}
}

// Offer adds an item without waiting. If the queue is full, it drops the item and returns false.
func (q *Queue[T]) Offer(item T) bool {
	select {
	case q.items <- item:
		return true
	default:
		q.dropped.Add(1)
		return false
	}
}

// Put adds an item. If the queue is full, it waits until there is room or the context ends.
func (q *Queue[T]) Put(ctx context.Context, item T) error {
	select {
	case q.items <- item:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Items returns the channel from which the consumer receives the items.
func (q *Queue[T]) Items() <-chan T { return q.items }

// Length returns the number of items in the queue.
func (q *Queue[T]) Length() int { return len(q.items) }

// Dropped returns the number of items that Offer has dropped.
func (q *Queue[T]) Dropped() uint64 { return q.dropped.Load() }
