package pipeline

import (
	"context"
	"errors"
	"sync"
	"time"
)

// errOverdue ends a request whose deadline has passed while its timer stood still.
var errOverdue = errors.New("the deadline has passed")

// deadlines holds when the requests in progress must end. Timers do not run while the
// machine is suspended, so that a request would outlast its deadline by as long.
type deadlines struct {
	now func() time.Time
	mu  sync.Mutex
	// ends maps the requests to how each is ended.
	ends map[*Exchange]context.CancelFunc
}

func (d *deadlines) add(x *Exchange, end context.CancelFunc) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.ends[x] = end
}

func (d *deadlines) remove(x *Exchange) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.ends, x)
}

// CancelOverdue ends the requests whose deadline has passed.
func (p *Pipeline) CancelOverdue() {
	d := &p.deadlines
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.now()
	for x, end := range d.ends {
		if !now.Before(x.deadline()) {
			x.overdue.Store(true)
			end()
		}
	}
}

// timeLeft bounds an attempt by the time that is left until the request's deadline, which
// its own timer may not know.
func (p *Pipeline) timeLeft(ctx context.Context, x *Exchange) (context.Context, context.CancelFunc) {
	left := x.deadline().Sub(p.cfg.Now())
	if at, ok := ctx.Deadline(); ok && time.Until(at)-left < timerSlack {
		return ctx, func() {}
	}
	return context.WithTimeout(ctx, left)
}

// timerSlack is by how much a timer and the clock may differ.
const timerSlack = 20 * time.Millisecond
