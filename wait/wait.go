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
