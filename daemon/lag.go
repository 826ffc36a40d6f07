package daemon

import (
	"sync"
	"time"
)

// applied tells for how long a duty has had something in its ring that it has not applied: what
// the store has answered counts only once it is in force here.
type lagTracker struct {
	// added returns how many events were ever put into the ring.
	enqueued func() int64
	now      func() time.Time

	mu        sync.Mutex
	processed int64
	// caughtUpAt is when nothing was last seen to wait.
	caughtUpAt time.Time
}

func newLagTracker(added func() int64, now func() time.Time) *lagTracker {
	return &lagTracker{enqueued: added, now: now, caughtUpAt: now()}
}

// finished notes that so many more events have been applied.
func (a *lagTracker) markProcessed(events int64) {
	if a == nil {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.processed += events
	a.updateCaughtUp()
}

// look notes whether all has been applied; mu must be held.
func (a *lagTracker) updateCaughtUp() {
	if a.processed >= a.enqueued() {
		a.caughtUpAt = a.now()
	}
}

// lag is for how long something has waited, 0 if nothing does.
func (a *lagTracker) lag() time.Duration {
	if a == nil {
		return 0
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.updateCaughtUp()
	return a.now().Sub(a.caughtUpAt)
}
