package authority

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

const bound = 4500 * time.Millisecond

// at returns a time of the simulated clock.
func at(s float64) time.Time { return time.Unix(1000, 0).Add(time.Duration(s * float64(time.Second))) }

func TestConfirmationExpires(t *testing.T) {
	tracker := NewTracker(bound)
	require.False(t, tracker.Current(at(0), 7), "nothing is known yet")
	tracker.Confirmed(at(0), 7)
	require.True(t, tracker.Current(at(4.4), 7))
	require.False(t, tracker.Current(at(4.5), 7))
	tracker.Confirmed(at(3), 7)
	require.True(t, tracker.Current(at(7), 7))
	tracker.Confirmed(at(1), 7)
	require.True(t, tracker.Current(at(7), 7), "a late confirmation does not replace a newer one")
}

func TestWithoutBoundConfirmationsDoNotExpire(t *testing.T) {
	tracker := NewTracker(0)
	require.True(t, tracker.Current(at(1e6), 1))
	require.Zero(t, tracker.NextRequest(at(0)))
}

// TestNewerRevisionMustBeInForce confirms settings that are not in force here yet.
func TestNewerRevisionMustBeInForce(t *testing.T) {
	tracker := NewTracker(bound)
	tracker.Confirmed(at(0), 7)
	tracker.Confirmed(at(3), 8)
	require.False(t, tracker.Current(at(5), 7), "8 may have revoked a key")
	require.True(t, tracker.Current(at(5), 8))
	require.True(t, tracker.Current(at(4), 9), "the revision in force is newer than the confirmed one")
}

// TestReportedRevisionMustComeIntoForce covers a store that was restored from a copy and
// presents older settings as the newest.
func TestReportedRevisionMustComeIntoForce(t *testing.T) {
	tracker := NewTracker(bound)
	tracker.ObserveRevision(at(0), 8)
	tracker.Confirmed(at(1), 7)
	require.True(t, tracker.Current(at(1.5), 7), "it may still come into force")
	require.False(t, tracker.Current(at(2.5), 7))
	require.True(t, tracker.Current(at(2.5), 8))
}

func TestReplyCountsFromItsRequest(t *testing.T) {
	tracker := NewTracker(bound)
	first := tracker.NextRequest(at(0))
	require.NotZero(t, first)
	require.Zero(t, tracker.NextRequest(at(0.1)), "the interval has not passed")
	second := tracker.NextRequest(at(1))
	tracker.Replied(first, 7)
	age, known := tracker.Age(at(3), 7)
	require.True(t, known)
	require.Equal(t, 3*time.Second, age)
	tracker.Replied(second, 7)
	age, _ = tracker.Age(at(3), 7)
	require.Equal(t, 2*time.Second, age)
	tracker.Replied(99, 7)
	tracker.Replied(0, 7)
	age, _ = tracker.Age(at(3), 7)
	require.Equal(t, 2*time.Second, age, "unknown tokens are ignored")
}

func TestOnlyRequestsReceivedBeforeTheCallAreConfirmed(t *testing.T) {
	var e Responder
	e.Requested(at(0), "a", "p1", "addr", 1)
	e.Requested(at(2), "a", "p1", "addr", 2)
	require.Empty(t, e.Confirmed(at(-1)))
	require.Equal(t, []ConfirmationReply{{Address: "addr", Process: "p1", Token: 1}}, e.Confirmed(at(1)))
	require.Equal(t, []ConfirmationReply{{Address: "addr", Process: "p1", Token: 2}}, e.Confirmed(at(3)))
	require.Empty(t, e.Confirmed(at(4)), "each request gets one reply")
	e.Requested(at(5), "a", "p2", "addr", 1)
	require.Equal(t, []ConfirmationReply{{Address: "addr", Process: "p2", Token: 1}}, e.Confirmed(at(6)))
}

// simulation has a store, an instance that reads it and one that sends requests to that
// instance. Messages take any time, and either instance may pause at any point.
type simulation struct {
	now time.Time
	// acknowledged holds when each revision was acknowledged, by revision.
	acknowledged []time.Time
	tracker      *Tracker
	responder    Responder
	// requests and replies are in flight; begun is when the call to the store in flight
	// started.
	requests []uint64
	replies  []reply
	begun    time.Time
	read     int64
	// inForce is the revision in force at the requesting instance.
	inForce int64
	// confirmsLateRequests makes the reader confirm requests that it received while its call
	// was in flight.
	confirmsLateRequests bool
}

type reply struct {
	token    uint64
	revision int64
}

func (w *simulation) newest() int64 { return int64(len(w.acknowledged)) }

// step makes one random change.
func (w *simulation) step(t *rapid.T) {
	w.now = w.now.Add(time.Duration(rapid.IntRange(0, 1500).Draw(t, "pass")) * time.Millisecond)
	switch rapid.IntRange(0, 6).Draw(t, "what") {
	case 0:
		w.acknowledged = append(w.acknowledged, w.now)
	case 1:
		if token := w.tracker.NextRequest(w.now); token != 0 {
			w.requests = append(w.requests, token)
		}
	case 2:
		if i := rapid.IntRange(-1, len(w.requests)-1).Draw(t, "request"); i >= 0 {
			w.responder.Requested(w.now, "a", "p", "addr", w.requests[i])
		}
	case 3:
		w.begun, w.read = w.now, 0
	case 4:
		// The store answers some time after the call started.
		if !w.begun.IsZero() {
			w.read = w.newest()
		}
	case 5:
		if w.read == 0 {
			return
		}
		begun := w.begun
		if w.confirmsLateRequests {
			begun = w.now
		}
		for _, e := range w.responder.Confirmed(begun) {
			w.replies = append(w.replies, reply{e.Token, w.read})
		}
	case 6:
		if i := rapid.IntRange(-1, len(w.replies)-1).Draw(t, "reply"); i >= 0 {
			w.tracker.Replied(w.replies[i].token, w.replies[i].revision)
			w.inForce = max(w.inForce, w.replies[i].revision)
		}
	}
}

// violatesBound reports whether keys are accepted although newer settings were acknowledged
// longer ago than the bound.
func (w *simulation) violatesBound() bool {
	if w.inForce == w.newest() || !w.tracker.Current(w.now, w.inForce) {
		return false
	}
	return w.now.Sub(w.acknowledged[w.inForce]) > bound
}

// TestNoKeyIsAcceptedPastTheBound runs random schedules.
func TestNoKeyIsAcceptedPastTheBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &simulation{now: at(0), acknowledged: []time.Time{at(0)}, tracker: NewTracker(bound)}
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			w.step(t)
			require.False(t, w.violatesBound())
		}
	})
}

// TestConfirmingRequestsReceivedDuringTheCallIsDetected shows that the check can fail: the
// store may have answered the call before the request was received.
func TestConfirmingRequestsReceivedDuringTheCallIsDetected(t *testing.T) {
	w := &simulation{now: at(0), acknowledged: []time.Time{at(0)}, tracker: NewTracker(bound), confirmsLateRequests: true}
	w.begun, w.read = at(0), 1
	w.acknowledged = append(w.acknowledged, at(0.1))
	w.now = at(3)
	token := w.tracker.NextRequest(at(3))
	w.responder.Requested(at(3), "a", "p", "addr", token)
	for _, e := range w.responder.Confirmed(w.now) {
		w.tracker.Replied(e.Token, w.read)
		w.inForce = w.read
	}
	w.now = at(6)
	require.True(t, w.violatesBound())
}
