package daemon

import (
	"sync"
	"time"
)

// lagTracker measures for how long a ring has held events that its consumer has not applied
// yet: an answer of the store counts only once it is in force in this instance. A nil tracker
// has no lag.
type lagTracker struct {
	// enqueued returns how many events were ever put into the ring.
	enqueued func() int64
	now      func() time.Time

	mu        sync.Mutex
	processed int64
	// appliedUntil is a time before which all events that were put into the ring have been
	// applied.
	appliedUntil time.Time
	// Once target events have been applied, appliedUntil is at least targetAt: in a ring that is
	// never empty, each event may still be applied in time.
	target   int64
	targetAt time.Time
}

func newLagTracker(added func() int64, now func() time.Time) *lagTracker {
	at := now()
	return &lagTracker{enqueued: added, now: now, appliedUntil: at, target: added(), targetAt: at}
}

// markProcessed adds to the number of events that have been applied.
func (t *lagTracker) markProcessed(events int64) {
	if t == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.processed += events
	t.update(t.now())
}

// update updates the time until which events have been applied; mu must be held.
func (t *lagTracker) update(now time.Time) {
	added := t.enqueued()
	switch {
	case t.processed >= added:
		t.appliedUntil = now
	case t.processed >= t.target:
		t.appliedUntil = t.targetAt
	default:
		return
	}
	t.target, t.targetAt = added, now
}

// lag returns for how long events have been waiting, 0 if none are. It may be up to twice as long
// as the longest wait.
func (t *lagTracker) lag() time.Duration {
	if t == nil {
		return 0
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	t.update(now)
	return now.Sub(t.appliedUntil)
}
