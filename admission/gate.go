package admission

import (
	"context"
	"sync"
	"time"
)

// RefusedError reports that a request was not admitted; no part of it has run.
type RefusedError struct {
	Reason Reason
	// RetryAfter is after how long a slot is expected for the request; 0 if that is not known.
	RetryAfter time.Duration
	// By names who has refused the request, if not this instance.
	By string
}

// Error returns the reason.
func (e *RefusedError) Error() string { return "not admitted: " + string(e.Reason) }

// Gate runs the queue of one pool. The take function of a waiter reserves a slot for it.
type Gate struct {
	now func() time.Time
	// OnWait is called when a request begins to wait, unless it is nil. It must not block, and be
	// set before the first Enter.
	OnWait func()

	mu    sync.Mutex
	queue *Queue
	// waiting holds the reply channel of each waiter; nil is sent on admission.
	waiting map[*Waiter]waiterEntry
	// stopped is set once no request may wait any more.
	stopped bool
}

type waiterEntry struct {
	take   func() bool
	answer chan error
}

// NewGate returns a gate with an empty queue.
func NewGate(l Limits, now func() time.Time) *Gate {
	return &Gate{now: now, queue: NewQueue(l), waiting: map[*Waiter]waiterEntry{}}
}

// Enter returns nil once take has reserved a slot for w. It fails with *RefusedError, or
// with ctx's error if ctx ends first.
func (g *Gate) Enter(ctx context.Context, w *Waiter, take func() bool) error {
	answer, admitted := g.enqueue(w, take)
	if admitted {
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
			return g.cancel(ctx, w, answer)
		}
	}
}

func (g *Gate) enqueue(w *Waiter, take func() bool) (answer chan error, admitted bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.queue.Waiting(w.Unit) && take() {
		g.queue.Started(w)
		return nil, true
	}
	answer = make(chan error, 1)
	g.waiting[w] = waiterEntry{take: take, answer: answer}
	if g.stopped {
		g.refuse([]Refusal{{Waiter: w, Reason: ReasonStopping}})
		return answer, false
	}
	if w.hopeless() {
		g.refuse([]Refusal{{Waiter: w, Reason: ReasonCannotStart}})
		return answer, false
	}
	g.refuse(g.queue.Enqueue(w))
	g.wantSlots(w.Unit)
	if g.OnWait != nil {
		g.OnWait()
	}
	return answer, false
}

// cancel withdraws a waiter whose context has ended. If the waiter was admitted at the
// same time the admission stands, so that the reserved slot is released in the same place
// as all others.
func (g *Gate) cancel(ctx context.Context, w *Waiter, answer chan error) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.queue.Cancel(w) {
		delete(g.waiting, w)
		return ctx.Err()
	}
	return <-answer
}

// Wake admits the waiters that can be admitted now. It is called when a slot may have
// become free.
func (g *Gate) Wake() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.admitWaiting()
}

// Completed informs the gate that an admitted request has ended.
func (g *Gate) Completed(w *Waiter) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.queue.Ended(w)
	g.admitWaiting()
}

// Refuse refuses the waiter with the given number, for which by has no slot in its time. It
// reports whether the request was still waiting.
func (g *Gate) Refuse(number uint64, after time.Duration, by string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	for w := range g.waiting {
		if w.Number == number && number != 0 {
			g.queue.Cancel(w)
			g.reply(w, &RefusedError{Reason: ReasonNoPlaceInTime, RetryAfter: after, By: by})
			return true
		}
	}
	return false
}

// maxWanting bounds the waiters of a unit that ask elsewhere for a slot. The others are behind
// them, and ask when they have come forward.
const maxWanting = 16

// wantSlots lets the first waiters for a unit ask elsewhere for a slot.
func (g *Gate) wantSlots(unit string) {
	if list := g.queue.units[unit]; len(list) == 0 || list[0].Want == nil {
		// Nowhere to ask: either all waiters of a gate ask or none.
		return
	}
	for _, w := range g.queue.front(unit, maxWanting) {
		if w.Want != nil {
			w.Want()
		}
	}
}

// Stop refuses all waiters, and from now on all requests that would have to wait.
func (g *Gate) Stop() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.stopped = true
	g.refuse(g.queue.Clear(ReasonStopping))
}

func (g *Gate) admitWaiting() {
	if g.queue.Len() == 0 {
		return
	}
	admitted, refused := g.queue.Admit(g.now(), func(w *Waiter) bool { return g.waiting[w].take() })
	for _, w := range admitted {
		g.reply(w, nil)
	}
	g.refuse(refused)
	g.refuse(g.queue.RemoveHopeless())
	for unit := range g.queue.units {
		g.wantSlots(unit)
	}
}

func (g *Gate) refuse(refusals []Refusal) {
	for _, r := range refusals {
		g.reply(r.Waiter, &RefusedError{Reason: r.Reason, RetryAfter: r.RetryAfter})
	}
}

func (g *Gate) reply(w *Waiter, err error) {
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

// WaitingByPriority adds the number of requests waiting for each unit, by priority, to counts.
func (g *Gate) WaitingByPriority(counts map[string]map[int]int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for unit, list := range g.queue.units {
		if counts[unit] == nil {
			counts[unit] = map[int]int{}
		}
		for _, w := range list {
			counts[unit][w.Priority]++
		}
	}
}

// Len returns the number of waiting requests.
func (g *Gate) Len() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.queue.Len()
}
