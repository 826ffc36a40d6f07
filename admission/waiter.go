package admission

import (
	"cmp"
	"math"
	"time"
)

// Waiter is a request that asks for admission.
type Waiter struct {
	ID string
	// Unit is what the request needs; requests for the same unit compete for the same
	// endpoints.
	Unit     string
	Priority int
	// Late is set for a request that can no longer meet its target. It goes one level of
	// priority lower than its own: those that still can would miss their targets too if they
	// waited for it, but not for longer than AgingStep.
	Late bool
	// MeetBy is the latest start at which the request is expected to meet its target; from then
	// on the queue counts it as late. Zero if that is not known.
	MeetBy  time.Time
	Arrived time.Time
	// StartBy is when starting the request becomes pointless: the target for the first
	// token, or the deadline for a request that may wait.
	StartBy time.Time
	Bytes   int
	// Number identifies the request to Gate.Refuse; 0 for one that is never refused so.
	Number uint64
	// Account is the hash of the client account and Weight its weight in hundredths. Accounts
	// share what is admitted by their weights; a waiter of weight 0 has no part in that, and
	// goes by its rank alone.
	Account uint32
	Weight  int64
	// Want asks elsewhere for what the request needs. It is called now and then for the first
	// of those that wait; nil asks nobody.
	Want func()
	// Bounded is set if so few slots become free until StartBy that the request can get
	// one only if at most MaxAhead others go before it.
	Bounded  bool
	MaxAhead int
	// Unserved reports whether no endpoint served the request's unit when a slot was last asked
	// for; nil means never. The pace of the past says nothing then.
	Unserved func() bool
	// CannotStart reports whether it is known that the request cannot start by StartBy; nil
	// means never. It is asked while the request has no slot.
	CannotStart func() bool
}

// hopeless reports whether waiting cannot help.
func (w *Waiter) hopeless() bool { return w.CannotStart != nil && w.CannotStart() }

// unserved reports whether no endpoint serves the request's unit, as far as is known.
func (w *Waiter) unserved() bool { return w.Unserved != nil && w.Unserved() }

// AgingStep is the head start that one level of priority gives. All waiters age at the
// same rate, so the order of two waiters never changes, and a waiter of lower priority
// waits at most AgingStep longer per level than one that arrives later: no waiter starves.
const AgingStep = 5 * time.Second

// rank is the order among waiters; the lowest goes first.
func (w *Waiter) rank() time.Time {
	level := w.Priority
	if w.Late {
		level--
	}
	return w.Arrived.Add(-time.Duration(level) * AgingStep)
}

// missesTarget reports whether the request can no longer meet its target and does not count as
// late yet.
func (w *Waiter) missesTarget(now time.Time) bool {
	return !w.Late && !w.MeetBy.IsZero() && now.After(w.MeetBy)
}

// level is the priority to which a waiter has aged. Accounts share what is admitted among the
// waiters of one level: an account waits at most AgingStep longer than by its rank.
func (w *Waiter) level(now time.Time) int64 {
	return int64(math.Floor(now.Sub(w.rank()).Seconds() / AgingStep.Seconds()))
}

// compare orders waiters by rank, then by ID to make the order total.
func compare(a, b *Waiter) int {
	return cmp.Or(a.rank().Compare(b.rank()), cmp.Compare(a.ID, b.ID))
}

// Reason is why a request was refused.
type Reason string

// Reasons for refusing.
const (
	ReasonQueueFull Reason = "queue_full"
	ReasonExpired   Reason = "time_passed_in_queue"
	ReasonStopping  Reason = "stopping"
	// ReasonCannotStart is for a request that is known not to start in its time.
	ReasonCannotStart Reason = "cannot_start_in_time"
	// ReasonOutpaced is for a request whose turn does not come in its time at the pace at which
	// others are admitted.
	ReasonOutpaced Reason = "turn_too_late"
	// ReasonTooManyAhead is for a request with more others ahead of it than can be served
	// in its time.
	ReasonTooManyAhead Reason = "too_many_ahead"
	// ReasonNoPlaceInTime is for a request for which no place is free in its time, as whoever
	// lends the places has decided.
	ReasonNoPlaceInTime Reason = "no_place_in_time"
)

// Refusal is a refused waiter with the reason.
type Refusal struct {
	Waiter *Waiter
	Reason Reason
	// RetryAfter is after how long the turn of the waiter would have come; 0 if that is not known.
	RetryAfter time.Duration
}
