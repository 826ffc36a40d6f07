package daemon

import (
	"sync"
	"time"
)

// applied tells for how long a duty has had something in its ring that it has not applied: what
// the store has answered counts only once it is in force here.
type applied struct {
	// added returns how many events were ever put into the ring.
	added func() int64
	now   func() time.Time

	mu   sync.Mutex
	done int64
	// caughtUpAt is when nothing was last seen to wait.
	caughtUpAt time.Time
}

func newApplied(added func() int64, now func() time.Time) *applied {
	return &applied{added: added, now: now, caughtUpAt: now()}
}

// finished notes that so many more events have been applied.
func (a *applied) finished(events int64) {
	if a == nil {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.done += events
	a.look()
}

// look notes whether all has been applied; mu must be held.
func (a *applied) look() {
	if a.done >= a.added() {
		a.caughtUpAt = a.now()
	}
}

// lag is for how long something has waited, 0 if nothing does.
func (a *applied) lag() time.Duration {
	if a == nil {
		return 0
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.look()
	return a.now().Sub(a.caughtUpAt)
}
