package admission

import (
	"cmp"
	"time"
)

// Waiter is a request that asks to be admitted.
type Waiter struct {
	ID string
	// Unit is what the request needs; requests for the same unit compete for
	// the same endpoints.
	Unit     string
	Priority int
	// Late is set for a request that cannot be in time any more. It goes behind all
	// that can: those would be late too if they waited for it, and a caller who is
	// late already loses little by waiting.
	Late    bool
	Arrived time.Time
	// StartBy is when starting has become pointless: the target for the first
	// token, or the deadline for a request that may wait.
	StartBy time.Time
	Bytes   int
	// Bounded is set if so few places come free until StartBy that the request can have
	// one only with at most MostAhead others before it.
	Bounded  bool
	MaxAhead int
}

// AgingStep is the head start that one level of priority gives. As every
// waiter ages at the same pace, the order of two waiters never changes, and
// one of lower priority waits at most AgingStep longer per level than one
// that arrives later: nobody starves of those that can be in time.
const AgingStep = 5 * time.Second

// rank is the order among waiters that are late alike; the lowest goes first.
func (w *Waiter) rank() time.Time {
	return w.Arrived.Add(-time.Duration(w.Priority) * AgingStep)
}

// compare orders waiters: those that can be in time first, then by rank, then by id
// so that the order is total.
func compare(a, b *Waiter) int {
	if a.Late != b.Late {
		if a.Late {
			return 1
		}
		return -1
	}
	return cmp.Or(a.rank().Compare(b.rank()), cmp.Compare(a.ID, b.ID))
}

// Reason is why a request was refused.
type Reason string

// Reasons for refusing.
const (
	ReasonQueueFull Reason = "queue_full"
	ReasonExpired   Reason = "target_missed_in_queue"
	ReasonStopping  Reason = "stopping"
	// ReasonTooManyAhead is for a request behind more others than can be served in its time.
	ReasonTooManyAhead Reason = "too_many_ahead"
)

// Refusal is a waiter that was refused.
type Refusal struct {
	Waiter *Waiter
	Reason Reason
}
