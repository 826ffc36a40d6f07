// Package wait waits for a duration or until a context ends.
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

// PollInterval is the interval at which While checks its condition.
const PollInterval = 100 * time.Millisecond

// While waits for d, or until condition returns false. It reports false if ctx ended first.
func While(ctx context.Context, d time.Duration, condition func() bool) bool {
	for d > 0 && condition() {
		step := min(d, PollInterval)
		if !For(ctx, step) {
			return false
		}
		d -= step
	}
	return ctx.Err() == nil
}

// Signalled waits for a signal for at most d and reports whether there was one.
func Signalled(ctx context.Context, signal <-chan struct{}, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-signal:
		return true
	case <-timer.C:
		return false
	case <-ctx.Done():
		return false
	}
}
