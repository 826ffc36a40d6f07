package pipeline

import (
	"errors"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/eiderspring/eiderspring/admission"
	"github.com/eiderspring/eiderspring/routing"
)

// The rules in this file handle load that has moved to units with too few replicas: until
// more replicas are loaded, which takes seconds, callers request more than the engines can
// serve. A first attempt waits until its target has passed and is then refused. A caller that
// comes back at the time that it was promised has the place that it had in the queue.

// arrivedAt returns since when the request counts as waiting for admission. Neither a failed attempt
// nor a refusal with a promise, at whose time the caller is back, sets it back behind others that came
// in the meantime. The rest of an answer that has begun is a wait of its own.
func (x *Exchange) arrivedAt(now time.Time) time.Time {
	switch {
	case x.begun():
		x.queuedAt = now
	case x.queuedAt.IsZero() && x.returned.InTime && x.returned.Since.Before(now):
		x.queuedAt = x.returned.Since
	case x.queuedAt.IsZero():
		x.queuedAt = now
	}
	return x.queuedAt
}

// late reports whether the request's target has already passed, as it may have after an
// attempt that failed late.
func (x *Exchange) late(now time.Time) bool {
	by := x.firstTokenBy()
	return x.Target.Unit != "" && !by.IsZero() && !now.Before(by)
}

// lateWaitShare is the share of the time between the target and the moment at which the
// caller gives up that a late request waits for a slot. The rest is for processing its
// prompt, after others.
const lateWaitShare = 0.4

// startBy returns when starting the request becomes pointless.
func (x *Exchange) startBy(late bool) time.Time {
	p := x.Target.Policy
	switch {
	case p.MayWait || x.answerStarted:
		return x.deadline()
	case late:
		extra := time.Duration(lateWaitShare * float64(max(x.firstEventTimeout()-p.FirstToken, 0)))
		return x.Received.Add(min(p.FirstToken+extra, x.timeout()))
	}
	return x.Received.Add(min(p.FirstToken, x.timeout()))
}

// meetBy returns the latest start at which a request to a plain service is expected to meet its
// target, if serving it takes the given time; zero if that is not known. An engine's first token
// is judged by routing.
func (x *Exchange) meetBy(service time.Duration) time.Time {
	if x.Target.Unit != "" || service == 0 || x.answerStarted || x.Target.Policy.FirstToken == 0 {
		return time.Time{}
	}
	return x.Received.Add(x.Target.Policy.FirstToken - service)
}

// returnShare is the share of the time that a caller has left within which it returns after a
// refusal: the rest is for the wait and the answer then.
const returnShare = 1.0 / 3

// returnBy returns until when a return is of use to the caller if the request is refused now.
func (x *Exchange) returnBy(now time.Time) time.Time {
	left := x.deadline().Sub(now)
	return now.Add(time.Duration(returnShare * float64(left)))
}

// firstEventTimeout returns how long the caller waits for the first event.
func (x *Exchange) firstEventTimeout() time.Duration {
	if p := x.Target.Policy.GiveUp; p > 0 {
		return min(p, x.timeout())
	}
	return x.timeout()
}

// Approximate times after which a refused caller finds a free slot.
const (
	// noReplicaRetryAfter is for a unit without a replica, which must be loaded first.
	noReplicaRetryAfter = 1500 * time.Millisecond
	// noCapacityRetryAfter is for a unit whose replicas are full: in this time they
	// process some of the prompts ahead.
	noCapacityRetryAfter = 600 * time.Millisecond
	// stoppingRetryAfter is for a caller that another instance can serve.
	stoppingRetryAfter = 10 * time.Millisecond
)

// startsWithin returns how many requests start within d at endpoints with the given rate
// limit, if no other instance sends them any.
func startsWithin(d time.Duration, perSecond float64) int {
	return int(perSecond * max(d, 0).Seconds())
}

// maxPermitRetryAfter bounds the retry delay if only endpoints with rate limits are left:
// by then the unit may have been loaded elsewhere.
const maxPermitRetryAfter = 4 * time.Second

// permitRetryAfter returns when one more request can start at endpoints with the given
// rate limit.
func permitRetryAfter(perSecond float64) time.Duration {
	return min(time.Duration(float64(time.Second)/perSecond), maxPermitRetryAfter)
}

// addJitter adds a random delay, so that callers refused at the same time do not retry at
// the same time.
func addJitter(d time.Duration) time.Duration {
	const maxFraction = 0.3
	return d + time.Duration(float64(d)*maxFraction*rand.Float64())
}

// newAdmitError returns the error for a request that was not admitted; pickErr says why
// there was no slot for it.
func newAdmitError(err, pickErr error) *AdmitError {
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
	case refused.Reason == admission.ReasonNoPlaceInTime && refused.RetryAfter > 0:
		// A place is kept for the request then, which a random delay would miss.
		refusal.RetryAfter, refusal.Promised = refused.RetryAfter, true
	case refused.Reason == admission.ReasonNoPlaceInTime:
		refusal.RetryAfter = addJitter(noCapacityRetryAfter)
	case refused.Reason == admission.ReasonTooManyAhead:
		refusal.RetryAfter = noCapacityRetryAfter
	case refused.Reason == admission.ReasonCannotStart && errors.Is(pickErr, routing.ErrNoReplica):
		refusal.RetryAfter = addJitter(noReplicaRetryAfter)
	case refused.Reason == admission.ReasonCannotStart:
		refusal.RetryAfter = addJitter(noCapacityRetryAfter)
	case refused.Reason == admission.ReasonStopping:
		refusal.RetryAfter = stoppingRetryAfter
	case errors.Is(pickErr, routing.ErrNoReplica):
		refusal.RetryAfter = addJitter(noReplicaRetryAfter)
	case errors.Is(pickErr, routing.ErrNoCapacity):
		refusal.RetryAfter = addJitter(noCapacityRetryAfter)
	}
	return refusal
}
