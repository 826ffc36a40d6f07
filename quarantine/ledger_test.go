package quarantine

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var limits = Limits{Terminations: 3, Hold: 2 * time.Minute}

func request(i int) Fingerprint { return FingerprintOf("account", "POST", fmt.Sprintf("/%d", i), nil) }

// at is a moment of virtual time.
func at(s float64) time.Time {
	return time.Unix(1_000, 0).Add(time.Duration(s * float64(time.Second)))
}

func TestFingerprintIsOfAccountMethodTargetAndBody(t *testing.T) {
	same := FingerprintOf("a", "POST", "/x?q=1", []byte("body"))
	require.Equal(t, same, FingerprintOf("a", "POST", "/x?q=1", []byte("body")))
	seen := map[Fingerprint]bool{same: true}
	for _, other := range []Fingerprint{
		FingerprintOf("b", "POST", "/x?q=1", []byte("body")), FingerprintOf("a", "PUT", "/x?q=1", []byte("body")),
		FingerprintOf("a", "POST", "/x?q=2", []byte("body")), FingerprintOf("a", "POST", "/x?q=1", []byte("body2")),
		FingerprintOf("aP", "OST", "/x?q=1", []byte("body")), FingerprintOf("a", "POST", "/x?q=1b", []byte("ody")),
		FingerprintOf("a", "POST", "/x?q=1", nil),
	} {
		require.False(t, seen[other])
		seen[other] = true
	}
}

func TestHeldBehindTheThirdDifferentEnding(t *testing.T) {
	l := NewTracker(limits)
	f := request(1)
	require.Equal(t, 1, l.Ended(at(0), f, 7, 1))
	require.Equal(t, 1, l.Ended(at(1), f, 7, 1), "the same endpoint ends once")
	require.Equal(t, 2, l.Ended(at(2), f, 8, 1))
	require.Zero(t, l.Held(at(2), f))
	require.Equal(t, 3, l.Ended(at(3), f, 9, 1))
	require.GreaterOrEqual(t, l.Held(at(3), f), limits.Hold)
	require.LessOrEqual(t, l.Held(at(3), f), limits.Hold*3/2)
	require.Zero(t, l.Held(at(3), request(2)), "no other request")
	require.Zero(t, l.Held(at(3+180), f), "released in time")
}

func TestEachFurtherEndingHoldsTwiceAsLong(t *testing.T) {
	l := NewTracker(limits)
	f := request(1)
	now := 0.0
	var before time.Duration
	for i := range 9 {
		l.Ended(at(now), f, uint64(i), 1)
		held := l.Held(at(now), f)
		switch {
		case i < 2:
			require.Zero(t, held)
		case i > 2 && i <= 2+maxDoublings:
			require.Equal(t, 2*before, held)
		case i > 2:
			require.Equal(t, before, held)
		}
		before = held
		now += held.Seconds() + 1
	}
}

func TestWholeAnswerClears(t *testing.T) {
	l := NewTracker(limits)
	f := request(1)
	for i := range 3 {
		l.Ended(at(float64(i)), f, uint64(i), 1)
	}
	require.True(t, l.Served(at(5), f, 1))
	require.Zero(t, l.Held(at(5), f))
	require.Zero(t, l.Suspect(at(5), f))
	require.False(t, l.Served(at(6), request(2), 1), "of which nothing is known")
	require.Zero(t, l.Digest(at(6)))
}

// TestLateWordDoesNotUndoAClearing hears endings from before the request was served.
func TestLateWordDoesNotUndoAClearing(t *testing.T) {
	a, b := NewTracker(limits), NewTracker(limits)
	f := request(1)
	for i := range 3 {
		a.Ended(at(float64(i)), f, uint64(i), 1)
	}
	late := a.Words(at(3), 1000)
	a.Served(at(4), f, 1)
	for _, w := range a.Words(at(4), 1000) {
		require.True(t, b.Hear(at(4), w, 0))
	}
	for _, w := range late {
		// The word waited on the way, so its ages are those of second 3.
		require.True(t, b.Hear(at(4), w, 0))
	}
	require.LessOrEqual(t, b.Suspect(at(4), f), 3)
	require.True(t, b.Served(at(4.5), f, 0) || b.Suspect(at(4.5), f) == 0)
}

func TestOldEndingsDoNotCount(t *testing.T) {
	l := NewTracker(limits)
	f := request(1)
	l.Ended(at(0), f, 1, 1)
	l.Ended(at(1), f, 2, 1)
	later := l.memory().Seconds() + 2
	require.Equal(t, 1, l.Ended(at(later), f, 3, 1))
}

func TestNoneIsHeldWhereNoneIsToBe(t *testing.T) {
	l := NewTracker(limits)
	f := request(1)
	for i := range 3 {
		l.Ended(at(0), f, uint64(i), 1)
	}
	l.SetLimits(Limits{Hold: time.Minute})
	require.Zero(t, l.Held(at(1), f))
	require.Zero(t, l.Ended(at(1), f, 9, 1))
	require.Zero(t, l.Len())
}

func TestUnsoundWordsAreRefused(t *testing.T) {
	f := request(1)
	for name, w := range map[string]Report{
		"short":       {Fingerprint: f[:3]},
		"uneven":      {Fingerprint: f[:], Incarnations: []uint64{1, 2}, AgesMS: []int64{1}},
		"of to-come":  {Fingerprint: f[:], Incarnations: []uint64{1}, AgesMS: []int64{-1}},
		"too old":     {Fingerprint: f[:], Incarnations: []uint64{1}, AgesMS: []int64{1 << 60}},
		"too many":    {Fingerprint: f[:], Incarnations: make([]uint64, maxEndings+1), AgesMS: make([]int64, maxEndings+1)},
		"served soon": {Fingerprint: f[:], ServedMS: -5},
	} {
		l := NewTracker(limits)
		require.False(t, l.Hear(at(0), w, 1), name)
		require.Zero(t, l.Len(), name)
	}
}

// TestFloodForgetsTheOldestThatAreNotHeld records more requests than are kept.
func TestFloodForgetsTheOldestThatAreNotHeld(t *testing.T) {
	l := NewTracker(limits)
	for i := range 3 {
		l.Ended(at(0), request(0), uint64(i), 1)
	}
	for i := range 3 * maxRecords {
		l.Ended(at(1+float64(i)/1000), request(1+i), 1, 0)
	}
	require.LessOrEqual(t, l.Len(), maxRecords)
	require.Len(t, l.all, l.Len())
	require.NotZero(t, l.Held(at(20), request(0)), "what is held stays")
	require.Equal(t, 1, l.Suspect(at(20), request(3*maxRecords)), "the newest stays")
	require.Zero(t, l.Suspect(at(20), request(1)), "the oldest does not")
}

// TestNewsThatWaitsGoesFirst has more news than fits a packet, each to be told five times:
// what was told already, and is to be told again, does not keep the rest waiting.
func TestNewsThatWaitsGoesFirst(t *testing.T) {
	l := NewTracker(limits)
	for i := range 20 {
		l.Ended(at(0), request(i), 1, tellsOfOwn)
	}
	told := map[string]bool{}
	for range 4 {
		for _, w := range l.Words(at(0), 5*(wordBytes+endingBytes)) {
			told[string(w.Fingerprint)] = true
		}
	}
	require.Len(t, told, 20)
}

// TestWordsFitTheirRoom tells many requests in packets of bounded size.
func TestWordsFitTheirRoom(t *testing.T) {
	l := NewTracker(limits)
	for i := range 50 {
		l.Ended(at(0), request(i), 1, 1)
	}
	told := map[string]bool{}
	for range 50 {
		words := l.Words(at(1), 300)
		size := 0
		for _, w := range words {
			size += w.size()
			told[string(w.Fingerprint)] = true
		}
		require.LessOrEqual(t, size, 300)
	}
	require.Len(t, told, 50)
	require.False(t, l.Tells(at(1)))
	require.Empty(t, l.Words(at(1), 300))
}

// TestDigestIsNotWorkedOutForEachPacket hears the same digest again, with nothing changed
// here, and takes away what a second walk over all that is known would need. A walk takes
// 48 us with 1,000 requests known, and each instance of a large fleet hears packets all the
// time.
func TestDigestIsNotWorkedOutForEachPacket(t *testing.T) {
	l := NewTracker(limits)
	for i := range 100 {
		l.Ended(at(0), request(i), uint64(i), 1)
	}
	same := l.Digest(at(1))
	l.records = nil
	require.NotPanics(t, func() { require.False(t, l.HearDigest(at(1), same)) })
}

// TestDigestIsThatOfAWalk draws changes of a ledger, also such as make an ending older or
// forget it, and times at which endings cease to count: the digest that is kept is always
// what a walk comes to.
func TestDigestIsThatOfAWalk(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := NewTracker(limits)
		now := at(0)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.Int64Range(0, int64(l.memory())/4).Draw(t, "pass")))
			f := request(rapid.IntRange(0, 4).Draw(t, "request"))
			endpoint := uint64(rapid.IntRange(0, 10).Draw(t, "endpoint"))
			switch rapid.IntRange(0, 4).Draw(t, "change") {
			case 0:
				l.Ended(now, f, endpoint, 1)
			case 1:
				l.Served(now, f, 1)
			case 2:
				age := rapid.Int64Range(0, l.memory().Milliseconds()).Draw(t, "age")
				l.Hear(now, Report{Fingerprint: f[:], Incarnations: []uint64{endpoint}, AgesMS: []int64{age}}, 1)
			case 3:
				hold := time.Duration(rapid.IntRange(1, 3).Draw(t, "hold")) * time.Minute
				l.SetLimits(Limits{Terminations: rapid.IntRange(0, 3).Draw(t, "endings"), Hold: hold})
			}
			walked, _ := l.walkDigest(now)
			require.Equal(t, walked, l.Digest(now))
		}
	})
}
