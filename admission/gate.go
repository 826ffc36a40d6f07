package admission

import (
	"context"
	"sync"
	"time"
)

// RefusedError is a request that was not admitted; nothing of it has run.
type RefusedError struct{ Reason Reason }

// Error gives the reason.
func (e *RefusedError) Error() string { return "not admitted: " + string(e.Reason) }

// Gate runs the queue of one pool. A place is whatever take reserves.
type Gate struct {
	now func() time.Time

	mu    sync.Mutex
	queue *Queue
	// waiting holds the channel of each waiter; nil is sent on admission.
	waiting map[*Waiter]entry
	// stopped is set once nobody may wait any more.
	stopped bool
}

type entry struct {
	take   func() bool
	answer chan error
}

// NewGate returns a gate over an empty queue.
func NewGate(l Limits, now func() time.Time) *Gate {
	return &Gate{now: now, queue: NewQueue(l), waiting: map[*Waiter]entry{}}
}

// Enter returns nil once take has reserved a place for w. It fails with
// *RefusedError, or with ctx's error if the caller leaves first.
func (g *Gate) Enter(ctx context.Context, w *Waiter, take func() bool) error {
	answer, entered := g.arrive(w, take)
	if entered {
		return nil
	}
	expiry := time.NewTimer(w.StartBy.Sub(g.now()))
	defer expiry.Stop()
	for {
		select {
		case err := <-answer:
			return err
		case <-expiry.C:
			g.Wake()
		case <-ctx.Done():
			return g.leave(ctx, w, answer)
		}
	}
}

func (g *Gate) arrive(w *Waiter, take func() bool) (answer chan error, entered bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.queue.Waiting(w.Unit) && take() {
		return nil, true
	}
	answer = make(chan error, 1)
	g.waiting[w] = entry{take: take, answer: answer}
	if g.stopped {
		g.refuse([]Refusal{{Waiter: w, Reason: ReasonStopping}})
		return answer, false
	}
	g.refuse(g.queue.Arrive(w))
	return answer, false
}

// leave withdraws a waiter whose caller is gone. If it was admitted in the
// same moment the admission stands, so that the reserved place is released by
// the one path that releases places.
func (g *Gate) leave(ctx context.Context, w *Waiter, answer chan error) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.queue.Cancel(w) {
		delete(g.waiting, w)
		return ctx.Err()
	}
	return <-answer
}

// Wake admits whoever can be admitted now. It is called when a place may have
// become free.
func (g *Gate) Wake() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.kick()
}

// Completed tells the gate that an admitted request has left.
func (g *Gate) Completed() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.kick()
}

// Stop refuses all who wait, and from now on those who would have to.
func (g *Gate) Stop() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.stopped = true
	g.refuse(g.queue.Clear(ReasonStopping))
}

func (g *Gate) kick() {
	if g.queue.Len() == 0 {
		return
	}
	admitted, refused := g.queue.Offer(g.now(), func(w *Waiter) bool { return g.waiting[w].take() })
	for _, w := range admitted {
		g.settle(w, nil)
	}
	g.refuse(refused)
}

func (g *Gate) refuse(refusals []Refusal) {
	for _, r := range refusals {
		g.settle(r.Waiter, &RefusedError{Reason: r.Reason})
	}
}

func (g *Gate) settle(w *Waiter, err error) {
	g.waiting[w].answer <- err
	delete(g.waiting, w)
}

// Waiting adds the number of requests waiting for each unit to counts.
func (g *Gate) Waiting(counts map[string]int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for unit, list := range g.queue.units {
		counts[unit] += len(list)
	}
}

// Len returns the number of waiting requests.
func (g *Gate) Len() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.queue.Len()
}
