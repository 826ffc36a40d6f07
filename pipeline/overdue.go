package pipeline

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/eiderspring/eiderspring/admission"
)

// errStopped ends a request whose endpoint has not answered by the time at which the instance must exit.
var errStopped = errors.New("the instance stops before the endpoint has answered")

// errOverdue ends a request whose deadline passed while its timer was suspended.
var errOverdue = errors.New("the deadline has passed")

// deadlines tracks the deadlines of the requests in progress. Timers do not run while the
// machine is suspended, so a request would otherwise outlast its deadline by the time of
// the suspension.
type deadlines struct {
	now func() time.Time
	mu  sync.Mutex
	// cancels maps each request to the function that cancels it.
	cancels map[*Exchange]context.CancelFunc
}

func (d *deadlines) add(x *Exchange, end context.CancelFunc) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.cancels[x] = end
}

func (d *deadlines) remove(x *Exchange) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.cancels, x)
}

// CancelOverdue cancels the requests whose deadline has passed.
func (p *Pipeline) CancelOverdue() {
	d := &p.deadlines
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.now()
	for x, end := range d.cancels {
		if !now.Before(x.deadline()) {
			x.overdue.Store(true)
			end()
		}
	}
}

// EndAll ends all requests in progress, so that each caller gets an answer before the instance exits.
func (p *Pipeline) EndAll() {
	d := &p.deadlines
	d.mu.Lock()
	defer d.mu.Unlock()
	for x, end := range d.cancels {
		x.stopped.Store(true)
		end()
	}
}

// refuses reports whether the instance, which stops, refuses a request that no endpoint may have run.
func (p *Pipeline) refuses(x *Exchange) bool {
	return p.cfg.Refuses != nil && x.untouched() && p.cfg.Refuses(x.deadline())
}

// newStoppingError returns the error of a request that the instance refuses as it stops.
func newStoppingError() *AdmitError {
	return newAdmitError(&admission.RefusedError{Reason: admission.ReasonStopping}, nil)
}

// withTimeLeft bounds an attempt by the time left until the request's deadline, which the
// timer of ctx may miss after a suspension.
func (p *Pipeline) withTimeLeft(ctx context.Context, x *Exchange) (context.Context, context.CancelFunc) {
	left := x.deadline().Sub(p.cfg.Now())
	if at, ok := ctx.Deadline(); ok && time.Until(at)-left < timerSlack {
		return ctx, func() {}
	}
	return context.WithTimeout(ctx, left)
}

// timerSlack is the tolerated difference between a timer and the clock.
const timerSlack = 20 * time.Millisecond
