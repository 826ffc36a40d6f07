package pipeline

import (
	"errors"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/eiderspring/eiderspring/admission"
	"github.com/eiderspring/eiderspring/routing"
)

// What is decided here answers a load that has moved to units with too few replicas:
// for the seconds until more are loaded, callers want more than the engines can give.
// Places then go to those who can still be in time. Whoever cannot is refused when
// that is certain and not later, and who comes back after that goes behind.

// late tells whether the request cannot be in time any more: the caller was refused
// before, which took from the time since its first try, or the target has passed here.
func (x *Exchange) late(now time.Time) bool {
	if x.Target.Unit == "" {
		return false
	}
	by := x.firstBy()
	return x.again || !by.IsZero() && !now.Before(by)
}

// lateWait is which share of the time between the target and the moment at which a
// caller leaves a late request waits for a place. What is left is for reading its
// prompt, behind others.
const lateWait = 0.4

// startBy is when starting the request has become pointless.
func (x *Exchange) startBy(late bool) time.Time {
	p := x.Target.Policy
	switch {
	case p.MayWait || x.reached:
		return x.deadline()
	case late:
		extra := time.Duration(lateWait * float64(max(x.giveUp()-p.FirstToken, 0)))
		return x.Received.Add(min(p.FirstToken+extra, x.timeout()))
	}
	return x.Received.Add(min(p.FirstToken, x.timeout()))
}

// giveUp is how long the caller waits for the first event.
func (x *Exchange) giveUp() time.Duration {
	if p := x.Target.Policy.GiveUp; p > 0 {
		return min(p, x.timeout())
	}
	return x.timeout()
}

// Times after which a refused caller finds a place, about.
const (
	// loadRetryAfter is for a unit without a replica, which has to be loaded.
	loadRetryAfter = 1500 * time.Millisecond
	// roomRetryAfter is for one whose replicas have no room: in this time some of
	// the prompts ahead have been read.
	roomRetryAfter = 600 * time.Millisecond
	// elsewhereRetryAfter is for a caller whom another instance can serve.
	elsewhereRetryAfter = 10 * time.Millisecond
)

// spread keeps those who were refused together from coming back together.
func spread(d time.Duration) time.Duration {
	const most = 0.3
	return d + time.Duration(float64(d)*most*rand.Float64())
}

// refusalOf is the refusal of a request that got no place; pickErr is why.
func refusalOf(err, pickErr error) error {
	refusal := &AdmitError{Status: http.StatusServiceUnavailable, RetryAfter: defaultRetryAfter, Err: err}
	var refused *admission.RefusedError
	if !errors.As(err, &refused) {
		return refusal
	}
	if pickErr != nil {
		refusal.Err = errors.Join(err, pickErr)
	}
	switch {
	case refused.Reason == admission.ReasonQueueFull:
		refusal.Status = http.StatusTooManyRequests
	case refused.Reason == admission.ReasonStopping:
		refusal.RetryAfter = elsewhereRetryAfter
	case errors.Is(pickErr, routing.ErrNoReplica):
		refusal.RetryAfter = spread(loadRetryAfter)
	case errors.Is(pickErr, routing.ErrNoRoom):
		refusal.RetryAfter = spread(roomRetryAfter)
	}
	return refusal
}
