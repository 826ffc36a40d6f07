package admission

import (
	"cmp"
	"time"
)

// drainRate measures how fast requests leave, over two windows of a second.
type drainRate struct {
	windowStart   time.Time
	current, last int
	seen          bool
}

const drainWindow = time.Second

func (d *drainRate) add(now time.Time) {
	elapsed := now.Sub(d.windowStart)
	switch {
	case !d.seen || elapsed >= 2*drainWindow:
		d.windowStart, d.last, d.current = now, d.current, 0
	case elapsed >= drainWindow:
		d.windowStart, d.last, d.current = d.windowStart.Add(drainWindow), d.current, 0
	}
	d.seen = true
	d.current++
}

// timeFor is how long n requests take to leave; 0 while nothing is known, so
// that a queue never refuses on a guess.
func (d *drainRate) timeFor(n int) time.Duration {
	rate := max(d.last, d.current)
	if rate == 0 || n == 0 {
		return 0
	}
	return time.Duration(n) * drainWindow / time.Duration(rate)
}

// compare orders waiters by rank, then by id so that the order is total.
func compare(a, b *Waiter) int {
	return cmp.Or(a.rank().Compare(b.rank()), cmp.Compare(a.ID, b.ID))
}
