// Package wait waits for time to pass, or for a context to end.
package wait

import (
	"context"
	"time"
)

// For waits for d. It reports false if ctx ended first.
func For(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

// PollInterval is the time between two looks of While at its condition.
const PollInterval = 100 * time.Millisecond

// While waits for d, but no longer than keep holds. It reports false if ctx ended
// first.
func While(ctx context.Context, d time.Duration, keep func() bool) bool {
	for d > 0 && keep() {
		step := min(d, PollInterval)
		if !For(ctx, step) {
			return false
		}
		d -= step
	}
	return ctx.Err() == nil
}
