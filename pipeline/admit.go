package pipeline

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/eiderspring/eiderspring/admission"
	"github.com/eiderspring/eiderspring/routing"
)

// Gates holds the admission gate of each pool.
type Gates struct {
	limits admission.Limits
	now    func() time.Time
	gates  sync.Map
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
	return gate.(*admission.Gate)
}

// Kick lets every gate admit whoever can be admitted now.
func (g *Gates) Kick() {
	g.gates.Range(func(_, gate any) bool {
		gate.(*admission.Gate).Kick()
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
	req := routing.Request{
		ID: x.ID, Unit: x.Target.Unit, Model: x.Target.Model, Pool: x.Target.Pool,
		FailureDomain: f.failureDomain, Excluded: x.tried(),
		PromptTokens: x.Call.PromptTokens, GapAim: x.gapAim(), FirstBy: x.firstBy(), Again: f.refusals.again(now, x.Call.Mark),
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
		return pickErr == nil || errors.Is(pickErr, routing.ErrNoneLeft)
	}
	w := &admission.Waiter{
		ID: x.ID, Unit: x.Target.Unit, Priority: x.Target.Policy.Priority,
		Arrived: now, StartBy: startBy(x), Bytes: len(x.Call.Body),
	}
	x.again = req.Again
	if req.Again {
		w.Priority += againPriority
	}
	if err := f.gates.Pool(x.Target.Pool).Enter(ctx, w, take); err != nil {
		f.refusals.note(f.now(), x.Call.Mark)
		return f.admitError(err, pickErr)
	}
	if pickErr != nil {
		return &RouteError{Err: pickErr}
	}
	x.Attempts = append(x.Attempts, Attempt{ID: x.attemptID(), Decision: decision})
	return nil
}

// againPriority is by how much a request that comes back after a refusal goes
// before others in the queue.
const againPriority = 1

// startBy is when starting the request has become pointless.
func startBy(x *Exchange) time.Time {
	p := x.Target.Policy
	switch {
	case p.MayWait || x.reached:
		return x.deadline()
	case p.Hold > 0:
		return x.Received.Add(min(p.Hold, x.timeout()))
	}
	return x.Received.Add(min(p.FirstToken, x.timeout()))
}

// Times after which a refused caller finds a place, about.
const (
	// loadRetryAfter is for a unit without a replica, which has to be loaded.
	loadRetryAfter = 1500 * time.Millisecond
	// roomRetryAfter is for one whose replicas have no room: in this time some of
	// the prompts ahead have been read.
	roomRetryAfter = 600 * time.Millisecond
)

// spread keeps those who were refused together from coming back together.
func spread(d time.Duration) time.Duration {
	const most = 0.3
	return d + time.Duration(float64(d)*most*rand.Float64())
}

// admitError is the refusal of a request that got no place; pickErr is why.
func (f admit) admitError(err, pickErr error) error {
	refusal := &AdmitError{Status: http.StatusServiceUnavailable, RetryAfter: defaultRetryAfter, Err: err}
	var refused *admission.RefusedError
	if !errors.As(err, &refused) {
		return refusal
	}
	refusal.RetryAfter = refused.RetryAfter
	if pickErr != nil {
		refusal.Err = errors.Join(err, pickErr)
	}
	switch {
	case refused.Reason == admission.ReasonQueueFull:
		refusal.Status = http.StatusTooManyRequests
	case refused.Reason == admission.ReasonExpired && errors.Is(pickErr, routing.ErrNoReplica):
		refusal.RetryAfter = spread(loadRetryAfter)
	case refused.Reason == admission.ReasonExpired && errors.Is(pickErr, routing.ErrNoRoom):
		refusal.RetryAfter = spread(roomRetryAfter)
	}
	return refusal
}
