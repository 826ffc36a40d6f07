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
// serve. A request waits for as long as its caller can still be served; once it can no longer
// meet its target it goes a level lower. A caller that comes back at the time that it was
// promised has the place that it had in the queue.

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

// meetBy returns the latest start at which the request is expected to meet its target, if it takes the
// given work until its first event or its answer; zero if it has no target that can still be met.
func (x *Exchange) meetBy(work time.Duration) time.Time {
	if x.begun() || x.Target.Policy.FirstToken == 0 {
		return time.Time{}
	}
	return x.Received.Add(x.Target.Policy.FirstToken - work)
}

// late reports whether the request can no longer meet its target.
func (x *Exchange) late(now time.Time, work time.Duration) bool {
	by := x.meetBy(work)
	return !by.IsZero() && now.After(by)
}

// startBy returns when starting the request becomes pointless: its caller will have left before the
// given work until its first event or its answer is done.
func (x *Exchange) startBy(work time.Duration) time.Time {
	if x.Target.Policy.MayWait || x.answerStarted {
		return x.deadline()
	}
	return x.Received.Add(x.firstEventTimeout() - work)
}

// returnShare is the share of the time that a caller has left for which callers wait, as told,
// before they come back.
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
	case refused.RetryAfter > 0:
		// The times of those that are refused together differ by the places ahead of them.
		refusal.RetryAfter = refused.RetryAfter
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
