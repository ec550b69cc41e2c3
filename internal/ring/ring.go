// Package ring provides the bounded queue that passes items between the
// goroutines of the daemon. A full queue rejects the item and counts it, so that
// a producer on the request path never blocks.
package ring

import (
	"context"
	"sync/atomic"
)

// Ring is a bounded first-in first-out queue. Several producers and consumers may
// use it concurrently.
type Ring[T any] struct {
	items   chan T
	dropped atomic.Int64
}

// New returns a queue that holds at most capacity items.
func New[T any](capacity int) *Ring[T] {
	return &Ring[T]{items: make(chan T, capacity)}
}

// Offer adds an item without blocking. If the queue is full, it counts the item
// as dropped and returns false.
func (r *Ring[T]) Offer(item T) bool {
	select {
	case r.items <- item:
		return true
	default:
		r.dropped.Add(1)
		return false
	}
}

// Take waits for an item and removes it. It returns false if ctx ends first.
func (r *Ring[T]) Take(ctx context.Context) (T, bool) {
	select {
	case item := <-r.items:
		return item, true
	case <-ctx.Done():
		var zero T
		return zero, false
	}
}

// Items returns the channel of queued items, for use in a select statement.
func (r *Ring[T]) Items() <-chan T { return r.items }

// Len returns the number of queued items.
func (r *Ring[T]) Len() int { return len(r.items) }

// Dropped returns the number of items that Offer rejected.
func (r *Ring[T]) Dropped() int64 { return r.dropped.Load() }
