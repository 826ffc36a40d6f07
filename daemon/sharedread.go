package daemon

import (
	"context"
	"sync"
	"time"

	"github.com/eiderspring/eiderspring/wait"
)

// sharedRead reads from the store for all requests that come before the read begins: what each of them
// gets is as of a read that began after it came. Requests that come during a read share the next one.
type sharedRead[T any] struct {
	read func(ctx context.Context) (T, error)
	// delay is the time in which requests come together for one read, pause the least time between the
	// beginnings of two reads; timeout bounds a read.
	delay, pause, timeout time.Duration

	// mu guards the fields below.
	mu sync.Mutex
	// next is the read that has not begun yet; nil for none. The last one began at lastAt.
	next   *readResult[T]
	lastAt time.Time
}

// readResult is the result of a read once done is closed.
type readResult[T any] struct {
	done  chan struct{}
	value T
	err   error
}

// get returns the result of a read that begins after the call.
func (s *sharedRead[T]) get(ctx context.Context) (T, error) {
	s.mu.Lock()
	next := s.next
	if next == nil {
		next = &readResult[T]{done: make(chan struct{})}
		s.next = next
		go s.run(context.WithoutCancel(ctx), next, max(s.delay, time.Until(s.lastAt.Add(s.pause))))
	}
	s.mu.Unlock()
	select {
	case <-next.done:
		return next.value, next.err
	case <-ctx.Done():
		var none T
		return none, ctx.Err()
	}
}

// run reads after a delay.
func (s *sharedRead[T]) run(ctx context.Context, r *readResult[T], delay time.Duration) {
	defer close(r.done)
	wait.For(ctx, delay)
	s.mu.Lock()
	s.next, s.lastAt = nil, time.Now()
	s.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, s.timeout)
	defer cancel()
	r.value, r.err = s.read(ctx)
}
