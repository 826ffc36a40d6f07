package demo

import (
	"context"
	"sync"
	"time"

	"github.com/eiderspring/eiderspring/wait"
)

// outages follows, by what the engines really hold, how many units have no
// replica that can serve, and for how long.
type outages struct {
	mu         sync.Mutex
	most       int
	began, end time.Time
}

const outageEvery = 50 * time.Millisecond

func (o *outages) run(ctx context.Context, f *Fleet) {
	for ctx.Err() == nil {
		o.note(time.Now(), f.unitsWithoutReplica())
		wait.For(ctx, outageEvery)
	}
}

func (o *outages) note(now time.Time, missing int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if missing == 0 {
		return
	}
	if o.began.IsZero() {
		o.began = now
	}
	o.end = now
	o.most = max(o.most, missing)
}

// lasted is the time from when the first unit was without a replica to when
// the last one had one again, or until now.
func (o *outages) lasted() time.Duration {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.end.Sub(o.began)
}

// unitsWithoutReplica counts the units that no live engine holds ready.
func (f *Fleet) unitsWithoutReplica() int {
	ready := map[string]bool{}
	for _, e := range f.engines {
		if e.gone.Load() || e.leaving.Load() {
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
