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
	// caughtUpAt is when the consumer was last seen to have applied all events.
	caughtUpAt time.Time
}

func newLagTracker(added func() int64, now func() time.Time) *lagTracker {
	return &lagTracker{enqueued: added, now: now, caughtUpAt: now()}
}

// markProcessed adds to the number of events that have been applied.
func (t *lagTracker) markProcessed(events int64) {
	if t == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.processed += events
	t.updateCaughtUp()
}

// updateCaughtUp records the time if all events have been applied; mu must be held.
func (t *lagTracker) updateCaughtUp() {
	if t.processed >= t.enqueued() {
		t.caughtUpAt = t.now()
	}
}

// lag returns for how long events have been waiting, 0 if none are.
func (t *lagTracker) lag() time.Duration {
	if t == nil {
		return 0
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.updateCaughtUp()
	return t.now().Sub(t.caughtUpAt)
}
