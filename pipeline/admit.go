package pipeline

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"github.com/eiderspring/eiderspring/admission"
	"github.com/eiderspring/eiderspring/routing"
)

// Gates holds the admission gate of each pool.
type Gates struct {
	limits admission.Limits
	now    func() time.Time
	gates  sync.Map
	// stopped is set once no request may wait any more.
	stopped atomic.Bool
	// beganWaiting holds at most one signal that a request has begun to wait.
	beganWaiting chan struct{}
}

// NewGates returns Gates that creates each pool's gate on first use.
func NewGates(l admission.Limits, now func() time.Time) *Gates {
	return &Gates{limits: l, now: now, beganWaiting: make(chan struct{}, 1)}
}

// BeganWaiting signals that a request has begun to wait. It has one receiver.
func (g *Gates) BeganWaiting() <-chan struct{} { return g.beganWaiting }

// signalWaiting signals that a request has begun to wait. It never blocks.
func (g *Gates) signalWaiting() {
	select {
	case g.beganWaiting <- struct{}{}:
	default:
	}
}

// Pool returns the gate of a pool.
func (g *Gates) Pool(name string) *admission.Gate {
	if gate, ok := g.gates.Load(name); ok {
		return gate.(*admission.Gate)
	}
	created := admission.NewGate(g.limits, g.now)
	created.OnWait = g.signalWaiting
	gate, _ := g.gates.LoadOrStore(name, created)
	if g.stopped.Load() {
		gate.(*admission.Gate).Stop()
	}
	return gate.(*admission.Gate)
}

// Wake makes every gate admit the waiters that can be admitted now.
func (g *Gates) Wake() {
	g.gates.Range(func(_, gate any) bool {
		gate.(*admission.Gate).Wake()
		return true
	})
}

// Refuse refuses the waiting request with the given number, and reports whether it was still
// waiting.
func (g *Gates) Refuse(number uint64, after time.Duration, by string) bool {
	refused := false
	g.gates.Range(func(_, gate any) bool {
		refused = gate.(*admission.Gate).Refuse(number, after, by)
		return !refused
	})
	return refused
}

// Waiting adds the number of requests waiting for each unit to counts.
func (g *Gates) Waiting(counts map[string]int) {
	g.gates.Range(func(_, gate any) bool {
		gate.(*admission.Gate).Waiting(counts)
		return true
	})
}

// WaitingByPriority adds the number of requests waiting for each unit, by priority, to counts.
func (g *Gates) WaitingByPriority(counts map[string]map[int]int) {
	g.gates.Range(func(_, gate any) bool {
		gate.(*admission.Gate).WaitingByPriority(counts)
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

// Stop refuses all waiters at all gates, and from now on all requests that would have to
// wait: a stopping instance has no time for them, and other instances have capacity.
func (g *Gates) Stop() {
	g.stopped.Store(true)
	g.gates.Range(func(_, gate any) bool {
		gate.(*admission.Gate).Stop()
		return true
	})
}

// admit waits until the router has a slot for the next attempt.
type admit struct {
	// cutOff reports whether the request has to leave this instance.
	cutOff func(*Exchange) bool
	// refuses reports whether the instance, which stops, refuses the request.
	refuses       func(*Exchange) bool
	gates         *Gates
	router        *routing.Router
	failureDomain string
	onNoReplica   func()
	promises      *Promises
	// numbers numbers the requests that wait for a place that is lent.
	numbers *atomic.Uint64
	demand  *Demand
	outlook Outlook
	log     logr.Logger
	now     func() time.Time
}

// Process implements Filter. It adds an attempt with its reserved slot.
func (f admit) Process(ctx context.Context, x *Exchange) error {
	now := f.now()
	if len(x.Attempts) == 0 {
		x.returned = f.promises.Take(now, x.Call.RequestHash)
	}
	req := routing.Request{
		ID: x.ID, Unit: x.Target.Unit, Model: x.Target.Model, Pool: x.Target.Pool,
		FailureDomain: f.failureDomain, Excluded: x.triedEndpoints(),
		PromptTokens: x.Call.PromptTokens, EventGapTarget: x.eventGapTarget(), FirstTokenBy: x.firstTokenBy(), Regions: x.regions(),
		Repeatable: x.Target.Policy.Repeatable, Continues: x.bound, SoftwareVersion: x.softwareVersion,
	}
	work := f.router.WorkBeforeFirst(&req)
	req.Late = x.late(now, work)
	var decision routing.Decision
	var pickErr error
	notified, startBy := false, x.startBy(work)
	take := func() bool {
		if f.refuses(x) {
			pickErr = errStopping
			return true
		}
		if f.cutOff(x) {
			pickErr = errCutOff
			return true
		}
		req.Now = f.now()
		req.Late = x.late(req.Now, work)
		decision, pickErr = f.router.Pick(&req)
		if !notified && errors.Is(pickErr, routing.ErrNoReplica) {
			notified = true
			f.onNoReplica()
		}
		if rest := f.restBeyond(&req, startBy, pickErr); rest != nil {
			pickErr = rest
			return true
		}
		// Waiting does not help if no endpoint is left to try; the error ends the wait
		// below.
		return pickErr == nil || errors.Is(pickErr, routing.ErrNoEndpointLeft) || errors.Is(pickErr, routing.ErrNoOpenRegion) ||
			errors.Is(pickErr, routing.ErrNoSoftwareVersion)
	}
	w := &admission.Waiter{
		ID: x.ID, Unit: x.Target.Unit, Priority: x.Target.Policy.Priority,
		Late: req.Late, MeetBy: x.meetBy(work), Arrived: x.arrivedAt(now), StartBy: startBy, Bytes: len(x.Call.Body),
		Unserved: func() bool { return errors.Is(pickErr, routing.ErrNoReplica) },
	}
	req.Now = now
	f.claim(x, w, &req)
	defer f.router.Withdraw(&req)
	perSecond, limited := f.router.RateLimit(&req)
	if limited {
		w.Bounded, w.MaxAhead = true, startsWithin(w.StartBy.Sub(now), perSecond)
	}
	check := &forecastCheck{outlook: f.outlook, router: f.router, x: x, w: w, req: &req, now: f.now}
	if f.outlook != nil && x.mayCheckForecast() {
		w.CannotStart = check.cannotStart
	}
	err := f.gates.Pool(x.Target.Pool).Enter(ctx, w, take)
	x.askedForPlace = req.Wanted
	if err != nil {
		refusal := newAdmitError(err, pickErr)
		if limited {
			refusal.RetryAfter = addJitter(max(refusal.RetryAfter, permitRetryAfter(perSecond)))
		}
		f.retryWhenReachable(&req, refusal, pickErr)
		f.refuse(x, refusal, startBy, check.by)
		return refusal
	}
	if pickErr != nil {
		f.gates.Pool(x.Target.Pool).Completed(w)
		if errors.Is(pickErr, errStopping) {
			return newStoppingError()
		}
		return &RouteError{Err: pickErr}
	}
	x.Attempts = append(x.Attempts, Attempt{ID: x.attemptID(), Decision: decision, waiter: w})
	f.demand.started(x.Target.Unit)
	if f.outlook != nil && x.Target.Unit != "" {
		f.outlook.CountStart(x.Target.Unit)
	}
	return nil
}

// errStopping ends the wait of a request that the instance refuses as it stops.
var errStopping = errors.New("the instance is stopping")

// RestError reports that all endpoints that could serve a request have asked for rest.
type RestError struct {
	// Left is how long the first of them still rests.
	Left time.Duration
}

// Error says how long the rest is.
func (e *RestError) Error() string { return "all endpoints have asked for rest, " + e.Left.String() }

// restBeyond returns an error if the request cannot start in its time because all endpoints that
// could serve it have asked for rest for longer; it need not wait then.
func (f admit) restBeyond(req *routing.Request, startBy time.Time, pickErr error) *RestError {
	if !errors.Is(pickErr, routing.ErrNoReplica) {
		return nil
	}
	left, resting := f.router.RestEnds(req)
	if !resting || !req.Now.Add(left).After(startBy) {
		return nil
	}
	return &RestError{Left: left}
}

// wantInterval is the time between two repetitions of what a waiting request asks lenders for.
const wantInterval = 25 * time.Millisecond

// claim completes a waiter and its request where places are lent: they get the client account,
// a number, and the time since which the request has waited, also at earlier attempts.
func (f admit) claim(x *Exchange, w *admission.Waiter, req *routing.Request) {
	if f.numbers == nil || !f.router.LendsPlaces(req.Now, x.Target.Pool) {
		return
	}
	w.Number, w.Account, w.Weight = f.numbers.Add(1), x.accountHash(), x.accountWeight()
	req.Claimant = routing.Claimant{
		Number: w.Number, Account: w.Account, Weight: w.Weight, Priority: w.Priority, Since: w.Arrived, StartBy: w.StartBy, MeetBy: w.MeetBy,
		ReturnBy: x.returnBy(req.Now),
	}
	var wantedAt time.Time
	w.Want = func() {
		if req.Now = f.now(); req.Now.Sub(wantedAt) >= wantInterval {
			wantedAt = req.Now
			f.router.RecordWant(req)
		}
	}
}
