package counted

import (
	"slices"
	"time"
)

// loadWindow keeps the loads from the weight store within its rate: at most
// limit begin in any window.
type loadWindow struct {
	window    time.Duration
	limit     int
	startedAt []time.Time
}

// configure sets the rate; over is by how much a window may go beyond it.
func (w *loadWindow) configure(perSecond float64, window time.Duration, over float64) {
	w.window = window
	w.limit = max(1, int(perSecond*window.Seconds()*over))
}

// start counts n loads that begin now.
func (w *loadWindow) start(now time.Time, n int) {
	for range n {
		w.startedAt = append(w.startedAt, now)
	}
}

// postpone counts a load that was to begin at a moment, and whose order has only now ended, from
// now on: it has begun by then.
func (w *loadWindow) postpone(decided, now time.Time) {
	if i := slices.IndexFunc(w.startedAt, decided.Equal); i >= 0 {
		w.startedAt[i] = now
	}
}

// remaining is how many loads may begin now, if doubtful ones may begin besides.
func (w *loadWindow) remaining(now time.Time, doubtful int) int {
	kept := w.startedAt[:0]
	for _, at := range w.startedAt {
		if now.Sub(at) < w.window {
			kept = append(kept, at)
		}
	}
	w.startedAt = kept
	return max(0, w.limit-len(w.startedAt)-doubtful)
}
