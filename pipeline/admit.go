package pipeline

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/eiderspring/eiderspring/admission"
	"github.com/eiderspring/eiderspring/routing"
)

// Gates holds the admission gate of each pool.
type Gates struct {
	limits admission.Limits
	now    func() time.Time
	gates  sync.Map
	// stopped is set once nobody may wait any more.
	stopped atomic.Bool
}

// NewGates returns gates that are made when first used.
func NewGates(l admission.Limits, now func() time.Time) *Gates {
	return &Gates{limits: l, now: now}
}

// Pool returns the gate of a pool.
func (g *Gates) Pool(name string) *admission.Gate {
	if gate, ok := g.gates.Load(name); ok {
		return gate.(*admission.Gate)
	}
	gate, _ := g.gates.LoadOrStore(name, admission.NewGate(g.limits, g.now))
	if g.stopped.Load() {
		gate.(*admission.Gate).Stop()
	}
	return gate.(*admission.Gate)
}

// Wake lets every gate admit whoever can be admitted now.
func (g *Gates) Wake() {
	g.gates.Range(func(_, gate any) bool {
		gate.(*admission.Gate).Wake()
		return true
	})
}

// Waiting adds the number of requests waiting for each unit to counts.
func (g *Gates) Waiting(counts map[string]int) {
	g.gates.Range(func(_, gate any) bool {
		gate.(*admission.Gate).Waiting(counts)
		return true
	})
}

// Len returns the number of requests waiting at all gates.
func (g *Gates) Len() int {
	n := 0
	g.gates.Range(func(_, gate any) bool {
		n += gate.(*admission.Gate).Len()
		return true
	})
	return n
}

// Stop refuses all who wait at any gate, and from now on those who would have to: an
// instance that stops has no time for them, and others have room.
func (g *Gates) Stop() {
	g.stopped.Store(true)
	g.gates.Range(func(_, gate any) bool {
		gate.(*admission.Gate).Stop()
		return true
	})
}

// admit waits until the router has a place for the next attempt.
type admit struct {
	gates         *Gates
	router        *routing.Router
	failureDomain string
	unreachable   func()
	refusals      *Refusals
	now           func() time.Time
}

// Process implements Filter. It adds an attempt with its reserved place.
func (f admit) Process(ctx context.Context, x *Exchange) error {
	now := f.now()
	x.again = f.refusals.again(now, x.Call.SessionHash)
	req := routing.Request{
		ID: x.ID, Unit: x.Target.Unit, Model: x.Target.Model, Pool: x.Target.Pool,
		FailureDomain: f.failureDomain, Excluded: x.tried(),
		PromptTokens: x.Call.PromptTokens, EventGapTarget: x.gapAim(), FirstTokenBy: x.firstBy(), Late: x.late(now), Regions: x.regions(),
	}
	var decision routing.Decision
	var pickErr error
	told := false
	take := func() bool {
		req.Now = f.now()
		decision, pickErr = f.router.Pick(&req)
		if !told && errors.Is(pickErr, routing.ErrNoReplica) {
			told = true
			f.unreachable()
		}
		// No wait helps where nothing is left to try; the error ends it below.
		return pickErr == nil || errors.Is(pickErr, routing.ErrNoEndpointLeft) || errors.Is(pickErr, routing.ErrNoOpenRegion)
	}
	w := &admission.Waiter{
		ID: x.ID, Unit: x.Target.Unit, Priority: x.priority(),
		Late: req.Late, Arrived: now, StartBy: x.startBy(req.Late), Bytes: len(x.Call.Body),
	}
	req.Now = now
	perSecond, limited := f.router.RateLimit(&req)
	if limited {
		w.Bounded, w.MaxAhead = true, placesUntil(w.StartBy.Sub(now), perSecond)
	}
	if err := f.gates.Pool(x.Target.Pool).Enter(ctx, w, take); err != nil {
		f.refusals.note(f.now(), x.Call.SessionHash)
		refusal := refusalOf(err, pickErr)
		if limited {
			refusal.RetryAfter = spread(max(refusal.RetryAfter, permitRetryAfter(perSecond)))
		}
		return refusal
	}
	if pickErr != nil {
		return &RouteError{Err: pickErr}
	}
	x.Attempts = append(x.Attempts, Attempt{ID: x.attemptID(), Decision: decision})
	return nil
}
