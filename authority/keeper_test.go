package authority

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

const bound = 4500 * time.Millisecond

// at is a moment of virtual time.
func at(s float64) time.Time { return time.Unix(1000, 0).Add(time.Duration(s * float64(time.Second))) }

func TestRightHasAnAge(t *testing.T) {
	k := NewTracker(bound)
	require.False(t, k.Current(at(0), 7), "nothing is known yet")
	k.Confirmed(at(0), 7)
	require.True(t, k.Current(at(4.4), 7))
	require.False(t, k.Current(at(4.5), 7))
	k.Confirmed(at(3), 7)
	require.True(t, k.Current(at(7), 7))
	k.Confirmed(at(1), 7)
	require.True(t, k.Current(at(7), 7), "a proof that comes late makes none older")
}

func TestWithoutBoundTheRightHasNoAge(t *testing.T) {
	k := NewTracker(0)
	require.True(t, k.Current(at(1e6), 1))
	require.Zero(t, k.NextRequest(at(0)))
}

// TestNewerRevisionMustBeInForce confirms settings that are not in force here yet.
func TestNewerRevisionMustBeInForce(t *testing.T) {
	k := NewTracker(bound)
	k.Confirmed(at(0), 7)
	k.Confirmed(at(3), 8)
	require.False(t, k.Current(at(5), 7), "8 may have taken a key away")
	require.True(t, k.Current(at(5), 8))
	require.True(t, k.Current(at(4), 9), "what is in force is newer than what was the newest")
}

// TestRevisionThatAnotherHasMustComeIntoForce is a store that has come back from a copy and
// shows older settings as the newest.
func TestRevisionThatAnotherHasMustComeIntoForce(t *testing.T) {
	k := NewTracker(bound)
	k.ObserveRevision(at(0), 8)
	k.Confirmed(at(1), 7)
	require.True(t, k.Current(at(1.5), 7), "it may be on its way")
	require.False(t, k.Current(at(2.5), 7))
	require.True(t, k.Current(at(2.5), 8))
}

func TestAnswersCountFromTheAsk(t *testing.T) {
	k := NewTracker(bound)
	first := k.NextRequest(at(0))
	require.NotZero(t, first)
	require.Zero(t, k.NextRequest(at(0.1)), "it was just asked")
	second := k.NextRequest(at(1))
	k.Replied(first, 7)
	age, known := k.Age(at(3), 7)
	require.True(t, known)
	require.Equal(t, 3*time.Second, age)
	k.Replied(second, 7)
	age, _ = k.Age(at(3), 7)
	require.Equal(t, 2*time.Second, age)
	k.Replied(99, 7)
	k.Replied(0, 7)
	age, _ = k.Age(at(3), 7)
	require.Equal(t, 2*time.Second, age, "nobody asked that")
}

func TestEchoesAnswerOnlyWhatWasHeardBeforeTheCall(t *testing.T) {
	var e Responder
	e.Requested(at(0), "a", "p1", "addr", 1)
	e.Requested(at(2), "a", "p1", "addr", 2)
	require.Empty(t, e.Confirmed(at(-1)))
	require.Equal(t, []ConfirmationReply{{Address: "addr", Process: "p1", Token: 1}}, e.Confirmed(at(1)))
	require.Equal(t, []ConfirmationReply{{Address: "addr", Process: "p1", Token: 2}}, e.Confirmed(at(3)))
	require.Empty(t, e.Confirmed(at(4)), "each is answered once")
	e.Requested(at(5), "a", "p2", "addr", 1)
	require.Equal(t, []ConfirmationReply{{Address: "addr", Process: "p2", Token: 1}}, e.Confirmed(at(6)))
}

// world is a store, one instance that reads it and one that asks that one. What they send
// takes any time; either may stand still at any point.
type world struct {
	now time.Time
	// acknowledged is when each revision was, by revision.
	acknowledged []time.Time
	asker        *Tracker
	echoes       Responder
	// asks and answers are on their way; call is one to the store that has begun.
	asks    []uint64
	answers []answer
	begun   time.Time
	read    int64
	// inForce is the revision in force at the asker.
	inForce int64
	// sloppy makes the reader answer what it heard while its call was under way.
	sloppy bool
}

type answer struct {
	token    uint64
	revision int64
}

func (w *world) newest() int64 { return int64(len(w.acknowledged)) }

// step does one thing that may happen.
func (w *world) step(t *rapid.T) {
	w.now = w.now.Add(time.Duration(rapid.IntRange(0, 1500).Draw(t, "pass")) * time.Millisecond)
	switch rapid.IntRange(0, 6).Draw(t, "what") {
	case 0:
		w.acknowledged = append(w.acknowledged, w.now)
	case 1:
		if token := w.asker.NextRequest(w.now); token != 0 {
			w.asks = append(w.asks, token)
		}
	case 2:
		if i := rapid.IntRange(-1, len(w.asks)-1).Draw(t, "ask"); i >= 0 {
			w.echoes.Requested(w.now, "a", "p", "addr", w.asks[i])
		}
	case 3:
		w.begun, w.read = w.now, 0
	case 4:
		// The store answers some time after the call has begun.
		if !w.begun.IsZero() {
			w.read = w.newest()
		}
	case 5:
		if w.read == 0 {
			return
		}
		begun := w.begun
		if w.sloppy {
			begun = w.now
		}
		for _, e := range w.echoes.Confirmed(begun) {
			w.answers = append(w.answers, answer{e.Token, w.read})
		}
	case 6:
		if i := rapid.IntRange(-1, len(w.answers)-1).Draw(t, "answer"); i >= 0 {
			w.asker.Replied(w.answers[i].token, w.answers[i].revision)
			w.inForce = max(w.inForce, w.answers[i].revision)
		}
	}
}

// breaks tells whether keys are gone by although newer settings were acknowledged longer
// ago than the bound.
func (w *world) breaks() bool {
	if w.inForce == w.newest() || !w.asker.Current(w.now, w.inForce) {
		return false
	}
	return w.now.Sub(w.acknowledged[w.inForce]) > bound
}

// TestNoKeyIsGoneByPastTheBound draws worlds.
func TestNoKeyIsGoneByPastTheBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &world{now: at(0), acknowledged: []time.Time{at(0)}, asker: NewTracker(bound)}
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			w.step(t)
			require.False(t, w.breaks())
		}
	})
}

// TestAnswerToWhatWasHeardDuringTheCallIsUnsound shows that the judge sees a fault: the call
// may have been answered before the ask was heard.
func TestAnswerToWhatWasHeardDuringTheCallIsUnsound(t *testing.T) {
	w := &world{now: at(0), acknowledged: []time.Time{at(0)}, asker: NewTracker(bound), sloppy: true}
	w.begun, w.read = at(0), 1
	w.acknowledged = append(w.acknowledged, at(0.1))
	w.now = at(3)
	token := w.asker.NextRequest(at(3))
	w.echoes.Requested(at(3), "a", "p", "addr", token)
	for _, e := range w.echoes.Confirmed(w.now) {
		w.asker.Replied(e.Token, w.read)
		w.inForce = w.read
	}
	w.now = at(6)
	require.True(t, w.breaks())
}
