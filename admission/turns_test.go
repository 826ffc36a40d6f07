package admission

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// pacedQueue returns a queue for whose unit ten waiters a second were admitted for three seconds
// while others waited, and the time.
func pacedQueue(t *testing.T) (*Queue, time.Time) {
	q := NewQueue(Limits{MaxWaiters: 1000, MaxBytes: 1000})
	now := time.Unix(1000, 0)
	for i := range 40 {
		require.Empty(t, q.Enqueue(&Waiter{ID: fmt.Sprintf("old%02d", i), Unit: "u", Arrived: now, StartBy: now.Add(time.Hour)}))
	}
	for range 30 {
		admitOne(t, q, now)
		now = now.Add(100 * time.Millisecond)
	}
	return q, now
}

// admitOne admits the first waiter and returns the refused ones.
func admitOne(t *testing.T, q *Queue, now time.Time) []Refusal {
	slots := 1
	admitted, refused := q.Admit(now, func(*Waiter) bool { slots--; return slots >= 0 })
	require.Len(t, admitted, 1)
	return refused
}

// TestKnownTooLateIsRefusedAtOnce guards against a caller that is held until its time has passed
// though its turn cannot come by then, and that is told to come back at a guess: it is refused as
// soon as that is known, and told when its turn would have come. One that may still start waits.
func TestKnownTooLateIsRefusedAtOnce(t *testing.T) {
	q, now := pacedQueue(t)
	require.Equal(t, 10, q.Len())
	require.Empty(t, q.Enqueue(&Waiter{ID: "hurried", Unit: "u", Arrived: now, StartBy: now.Add(500 * time.Millisecond)}))
	require.Empty(t, q.Enqueue(&Waiter{ID: "likely", Unit: "u", Arrived: now.Add(1), StartBy: now.Add(900 * time.Millisecond)}))
	require.Empty(t, q.Enqueue(&Waiter{ID: "lent", Unit: "u", Number: 7, Arrived: now.Add(2), StartBy: now.Add(500 * time.Millisecond)}))
	refused := admitOne(t, q, now)
	require.Len(t, refused, 1)
	require.Equal(t, "hurried", refused[0].Waiter.ID)
	require.Equal(t, ReasonOutpaced, refused[0].Reason)
	require.InDelta(t, time.Second, refused[0].RetryAfter, float64(100*time.Millisecond), "nine are ahead, and ten start in a second")
	require.Equal(t, 11, q.Len())
}

// TestNothingIsRefusedOnAGuess guards against refusals while nothing is known of the pace: places
// were not observed for long enough, or none became free.
func TestNothingIsRefusedOnAGuess(t *testing.T) {
	q := NewQueue(Limits{MaxWaiters: 1000, MaxBytes: 1000})
	now := time.Unix(1000, 0)
	for i := range 100 {
		require.Empty(t, q.Enqueue(&Waiter{ID: fmt.Sprintf("w%03d", i), Unit: "u", Arrived: now, StartBy: now.Add(20 * time.Second)}))
	}
	for range 9 {
		require.Empty(t, admitOne(t, q, now))
		now = now.Add(100 * time.Millisecond)
	}
	idle := NewQueue(Limits{MaxWaiters: 1000, MaxBytes: 1000})
	require.Empty(t, idle.Enqueue(&Waiter{ID: "w", Unit: "u", Arrived: now, StartBy: now.Add(10 * time.Second)}))
	for range 40 {
		_, refused := idle.Admit(now, func(*Waiter) bool { return false })
		require.Empty(t, refused)
		now = now.Add(100 * time.Millisecond)
	}
}

// TestNoPaceWithoutWaiters guards against a time in which nobody waits that counts as one in which
// no place became free: whoever comes next would be refused.
func TestNoPaceWithoutWaiters(t *testing.T) {
	q, now := pacedQueue(t)
	for _, w := range slices.Clone(q.Waiters("u")) {
		require.True(t, q.Cancel(w))
	}
	now = now.Add(6 * time.Second)
	for i := range 5 {
		require.Empty(t, q.Enqueue(&Waiter{ID: fmt.Sprintf("new%02d", i), Unit: "u", Arrived: now, StartBy: now.Add(time.Second)}))
	}
	require.Empty(t, admitOne(t, q, now), "ten a second start")
}

// TestNoPaceWithoutReplica guards against refusals by the pace of a replica that is gone: the next one
// may be there at any moment.
func TestNoPaceWithoutReplica(t *testing.T) {
	q, now := pacedQueue(t)
	served := true
	for i := range 30 {
		require.Empty(t, q.Enqueue(&Waiter{
			ID: fmt.Sprintf("a%02d", i), Unit: "u", Priority: 1, Arrived: now, StartBy: now.Add(4500 * time.Millisecond), Unserved: func() bool { return !served },
		}))
	}
	served = false
	for range 30 {
		_, refused := q.Admit(now, func(*Waiter) bool { return false })
		require.Empty(t, refused)
		now = now.Add(100 * time.Millisecond)
	}
	served = true
	require.Empty(t, admitOne(t, q, now), "nothing is known of the new one")
}

// TestPacesAreForgotten guards against a memory that grows with the units that were ever waited for.
func TestPacesAreForgotten(t *testing.T) {
	q, now := pacedQueue(t)
	for q.Len() > 0 {
		admitOne(t, q, now)
	}
	q.Admit(now.Add(time.Minute), nil)
	require.Empty(t, q.paces)
}
