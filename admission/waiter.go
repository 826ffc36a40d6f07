package admission

import "time"

// Waiter is a request that asks to be admitted.
type Waiter struct {
	ID string
	// Unit is what the request needs; requests for the same unit compete for
	// the same endpoints.
	Unit     string
	Priority int
	Arrived  time.Time
	// StartBy is when starting has become pointless: the target for the first
	// token, or the deadline for a request that may wait.
	StartBy time.Time
	Bytes   int
}

// AgingStep is the head start that one level of priority gives. As every
// waiter ages at the same pace, the order of two waiters never changes, and
// one of lower priority waits at most AgingStep longer per level than one
// that arrives later: nobody starves.
const AgingStep = 5 * time.Second

// rank orders waiters; the lowest goes first.
func (w *Waiter) rank() time.Time {
	return w.Arrived.Add(-time.Duration(w.Priority) * AgingStep)
}

// Reason is why a request was refused.
type Reason string

// Reasons for refusing.
const (
	ReasonQueueFull Reason = "queue_full"
	ReasonTooLate   Reason = "target_cannot_be_met"
	ReasonExpired   Reason = "target_missed_in_queue"
)

// Refusal is a waiter that was refused, and when to come again.
type Refusal struct {
	Waiter     *Waiter
	Reason     Reason
	RetryAfter time.Duration
}
