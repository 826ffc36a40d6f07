package demo

import (
	"context"
	"sync"
	"time"

	"github.com/eiderspring/eiderspring/wait"
)

// outageTracker tracks how many units have no replica that can serve, and for how
// long. It reads the state of the engines themselves, not the view of the
// instances.
type outageTracker struct {
	mu          sync.Mutex
	maxUnits    int
	first, last time.Time
}

const outagePollInterval = 50 * time.Millisecond

func (o *outageTracker) run(ctx context.Context, f *Fleet) {
	for ctx.Err() == nil {
		o.record(time.Now(), f.unitsWithoutReplica())
		wait.For(ctx, outagePollInterval)
	}
}

func (o *outageTracker) record(now time.Time, missing int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if missing == 0 {
		return
	}
	if o.first.IsZero() {
		o.first = now
	}
	o.last = now
	o.maxUnits = max(o.maxUnits, missing)
}

// duration returns the time from when a unit was first seen without a replica to
// when one was last seen.
func (o *outageTracker) duration() time.Duration {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.last.Sub(o.first)
}

// unitsWithoutReplica counts the units that no live engine holds ready.
func (f *Fleet) unitsWithoutReplica() int {
	ready := map[string]bool{}
	for _, e := range f.engines {
		if e.killed.Load() || e.leaving.Load() {
			continue
		}
		for _, u := range e.engine.ReadyUnits() {
			ready[u] = true
		}
	}
	missing := 0
	for name := range f.catalog.Units {
		if !ready[name] {
			missing++
		}
	}
	return missing
}
