// Package ring provides a bounded ring buffer that connects goroutines: one or more put items
// into it, and one takes them out. Each ring has a policy for when it is full.
package ring

import (
	"context"
	"errors"
	"sync"
)

// Policy defines what Put does when the ring is full.
type Policy int

// Overflow policies.
const (
	// Block waits for room.
	Block Policy = iota
	// DropOldest makes room by dropping the oldest item.
	DropOldest
	// Reject returns ErrFull.
	Reject
)

// Errors of Put and Take.
var (
	ErrFull   = errors.New("ring is full")
	ErrClosed = errors.New("ring is closed")
)

// Ring is a bounded ring buffer, safe for concurrent use.
//
// Invariant: 0 <= size <= len(items); the oldest item is at head.
type Ring[T any] struct {
	policy Policy

	mu      sync.Mutex
	items   []T
	head    int
	size    int
	dropped int64
	added   int64
	closed  bool
	// notEmpty and notFull each hold at most one wake-up.
	notEmpty chan struct{}
	notFull  chan struct{}
}

// New returns an empty ring with room for capacity items.
func New[T any](capacity int, p Policy) *Ring[T] {
	return &Ring[T]{policy: p, items: make([]T, capacity), notEmpty: make(chan struct{}, 1), notFull: make(chan struct{}, 1)}
}

// Put adds an item. It fails with ErrFull, ErrClosed or ctx's error.
func (r *Ring[T]) Put(ctx context.Context, item T) error {
	for {
		done, err := r.tryPut(item)
		if done || err != nil {
			return err
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-r.notFull:
		}
	}
}

// Offer adds an item unless the ring is full, whatever its policy. It reports whether the item
// was added.
func (r *Ring[T]) Offer(item T) bool {
	r.mu.Lock()
	full := r.size == len(r.items)
	r.mu.Unlock()
	if full {
		return false
	}
	// Another goroutine may have filled the ring meanwhile; its policy then applies.
	done, err := r.tryPut(item)
	return done && err == nil
}

func (r *Ring[T]) tryPut(item T) (done bool, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		return false, ErrClosed
	}
	if r.size == len(r.items) {
		switch r.policy {
		case Block:
			return false, nil
		case Reject:
			r.dropped++
			return false, ErrFull
		case DropOldest:
			r.dropped++
			r.pop()
		}
	}
	r.items[(r.head+r.size)%len(r.items)] = item
	r.size++
	r.added++
	notify(r.notEmpty)
	if r.size < len(r.items) {
		notify(r.notFull)
	}
	return true, nil
}

// PutFirst adds an item that is taken before all others, and never waits: a full ring, whatever
// its policy, grows by one. It is meant for items that are rare and must not queue.
func (r *Ring[T]) PutFirst(item T) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		return ErrClosed
	}
	if r.size == len(r.items) {
		grown := make([]T, len(r.items)+1)
		n := copy(grown, r.items[r.head:])
		copy(grown[n:], r.items[:r.head])
		r.items, r.head = grown, 0
	}
	r.head = (r.head + len(r.items) - 1) % len(r.items)
	r.items[r.head] = item
	r.size++
	r.added++
	notify(r.notEmpty)
	return nil
}

// Take returns the oldest item. It fails with ErrClosed once the ring is
// closed and empty, or with ctx's error.
func (r *Ring[T]) Take(ctx context.Context) (T, error) {
	for {
		item, ok, closed := r.tryTake()
		if ok {
			return item, nil
		}
		if closed {
			return item, ErrClosed
		}
		select {
		case <-ctx.Done():
			return item, ctx.Err()
		case <-r.notEmpty:
		}
	}
}

func (r *Ring[T]) tryTake() (item T, ok, closed bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.size == 0 {
		return item, false, r.closed
	}
	item = r.pop()
	if r.size > 0 || r.closed {
		notify(r.notEmpty)
	}
	notify(r.notFull)
	return item, true, false
}

func (r *Ring[T]) pop() T {
	var zero T
	item := r.items[r.head]
	r.items[r.head] = zero
	r.head = (r.head + 1) % len(r.items)
	r.size--
	return item
}

// Close closes the ring; the items in it can still be taken.
func (r *Ring[T]) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed = true
	notify(r.notEmpty)
	notify(r.notFull)
}

// Len returns the number of items.
func (r *Ring[T]) Len() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.size
}

// Added returns how many items have been put into the ring.
func (r *Ring[T]) Added() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.added
}

// Dropped returns how many items have been dropped or rejected.
func (r *Ring[T]) Dropped() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.dropped
}

func notify(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
