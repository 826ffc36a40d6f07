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
// A first try waits until its target has passed and is refused then; who comes back as
// told goes before others, as it has waited longest and is not to be refused twice.

// late tells whether the request's target has passed here, as it does where an attempt
// has failed late.
func (x *Exchange) late(now time.Time) bool {
	by := x.firstBy()
	return x.Target.Unit != "" && !by.IsZero() && !now.Before(by)
}

// againPriority is by how much a request that comes back after a refusal goes before
// others in the queue. Sent behind all others, also at the engine, it cost 1 to 3 in 100
// of the worth of all answers (means of ten runs before 12 and 18 engines); against no
// head start at all its gain is within noise (35 runs each).
const againPriority = 1

// priority orders the request among those who wait.
func (x *Exchange) priority() int {
	p := x.Target.Policy.Priority
	if x.again {
		p += againPriority
	}
	return p
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

// placesUntil is how many requests endpoints begin within a time that take so many a second,
// if no other instance sends them any.
func placesUntil(d time.Duration, perSecond float64) int {
	return int(perSecond * max(d, 0).Seconds())
}

// mostPermitRetryAfter bounds when a caller is to return for whom only endpoints with limits
// are left: by then the unit may have been loaded elsewhere.
const mostPermitRetryAfter = 4 * time.Second

// permitRetryAfter is when one more request can begin at endpoints that take so many a second.
func permitRetryAfter(perSecond float64) time.Duration {
	return min(time.Duration(float64(time.Second)/perSecond), mostPermitRetryAfter)
}

// spread keeps those who were refused together from coming back together.
func spread(d time.Duration) time.Duration {
	const most = 0.3
	return d + time.Duration(float64(d)*most*rand.Float64())
}

// refusalOf is the refusal of a request that got no place; pickErr is why.
func refusalOf(err, pickErr error) *AdmitError {
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
	case refused.Reason == admission.ReasonTooManyAhead:
		refusal.RetryAfter = roomRetryAfter
	case refused.Reason == admission.ReasonStopping:
		refusal.RetryAfter = elsewhereRetryAfter
	case errors.Is(pickErr, routing.ErrNoReplica):
		refusal.RetryAfter = spread(loadRetryAfter)
	case errors.Is(pickErr, routing.ErrNoCapacity):
		refusal.RetryAfter = spread(roomRetryAfter)
	}
	return refusal
}
