package counted

import (
	"slices"
	"time"
)

// loadWindow keeps the loads from the weight store within its rate: at most limit start
// in any window.
type loadWindow struct {
	window    time.Duration
	limit     int
	startedAt []time.Time
}

// configure sets the rate; a window may have factor times as many loads as the rate
// allows.
func (w *loadWindow) configure(perSecond float64, window time.Duration, factor float64) {
	w.window = window
	w.limit = max(1, int(perSecond*window.Seconds()*factor))
}

// start counts n loads that start now.
func (w *loadWindow) start(now time.Time, n int) {
	for range n {
		w.startedAt = append(w.startedAt, now)
	}
}

// postpone moves a load that was counted at the time of its decision to now, when its
// order has ended: it has started by then.
func (w *loadWindow) postpone(decided, now time.Time) {
	if i := slices.IndexFunc(w.startedAt, decided.Equal); i >= 0 {
		w.startedAt[i] = now
	}
}

// remaining returns the number of loads that may start now if unresolved further ones
// may start too.
func (w *loadWindow) remaining(now time.Time, unresolved int) int {
	kept := w.startedAt[:0]
	for _, at := range w.startedAt {
		if now.Sub(at) < w.window {
			kept = append(kept, at)
		}
	}
	w.startedAt = kept
	return max(0, w.limit-len(w.startedAt)-unresolved)
}
