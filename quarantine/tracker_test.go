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

// at returns a virtual time, in seconds since the start.
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

func TestHeldAfterTheThirdDifferentTermination(t *testing.T) {
	l := NewTracker(limits)
	f := request(1)
	require.Equal(t, 1, l.RecordTermination(at(0), f, 7, 1))
	require.Equal(t, 1, l.RecordTermination(at(1), f, 7, 1), "the same incarnation terminates once")
	require.Equal(t, 2, l.RecordTermination(at(2), f, 8, 1))
	require.Zero(t, l.HoldRemaining(at(2), f))
	require.Equal(t, 3, l.RecordTermination(at(3), f, 9, 1))
	require.GreaterOrEqual(t, l.HoldRemaining(at(3), f), limits.Hold)
	require.LessOrEqual(t, l.HoldRemaining(at(3), f), limits.Hold*3/2)
	require.Zero(t, l.HoldRemaining(at(3), request(2)), "no other request")
	require.Zero(t, l.HoldRemaining(at(3+180), f), "released in time")
}

func TestEachFurtherTerminationHoldsTwiceAsLong(t *testing.T) {
	l := NewTracker(limits)
	f := request(1)
	now := 0.0
	var before time.Duration
	for i := range 9 {
		l.RecordTermination(at(now), f, uint64(i), 1)
		held := l.HoldRemaining(at(now), f)
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

func TestCompleteAnswerClears(t *testing.T) {
	l := NewTracker(limits)
	f := request(1)
	for i := range 3 {
		l.RecordTermination(at(float64(i)), f, uint64(i), 1)
	}
	require.True(t, l.RecordSuccess(at(5), f, 1))
	require.Zero(t, l.HoldRemaining(at(5), f))
	require.Zero(t, l.TerminationCount(at(5), f))
	require.False(t, l.RecordSuccess(at(6), request(2), 1), "without a record")
	require.Zero(t, l.Digest(at(6)))
}

// TestLateReportDoesNotUndoAClearing guards against a delayed report of terminations that are
// older than the success of the request.
func TestLateReportDoesNotUndoAClearing(t *testing.T) {
	a, b := NewTracker(limits), NewTracker(limits)
	f := request(1)
	for i := range 3 {
		a.RecordTermination(at(float64(i)), f, uint64(i), 1)
	}
	late := a.PendingReports(at(3), 1000)
	a.RecordSuccess(at(4), f, 1)
	for _, r := range a.PendingReports(at(4), 1000) {
		require.True(t, b.ReceiveReport(at(4), r, 0))
	}
	for _, r := range late {
		// The report was delayed in transit, so its ages are those of second 3.
		require.True(t, b.ReceiveReport(at(4), r, 0))
	}
	require.LessOrEqual(t, b.TerminationCount(at(4), f), 3)
	require.True(t, b.RecordSuccess(at(4.5), f, 0) || b.TerminationCount(at(4.5), f) == 0)
}

func TestOldTerminationsDoNotCount(t *testing.T) {
	l := NewTracker(limits)
	f := request(1)
	l.RecordTermination(at(0), f, 1, 1)
	l.RecordTermination(at(1), f, 2, 1)
	later := l.retention().Seconds() + 2
	require.Equal(t, 1, l.RecordTermination(at(later), f, 3, 1))
}

func TestZeroTerminationsHoldsNothing(t *testing.T) {
	l := NewTracker(limits)
	f := request(1)
	for i := range 3 {
		l.RecordTermination(at(0), f, uint64(i), 1)
	}
	l.SetLimits(Limits{Hold: time.Minute})
	require.Zero(t, l.HoldRemaining(at(1), f))
	require.Zero(t, l.RecordTermination(at(1), f, 9, 1))
	require.Zero(t, l.Len())
}

func TestInvalidReportsAreRejected(t *testing.T) {
	f := request(1)
	for name, r := range map[string]Report{
		"short":       {Fingerprint: f[:3]},
		"uneven":      {Fingerprint: f[:], Incarnations: []uint64{1, 2}, AgesMS: []int64{1}},
		"future":      {Fingerprint: f[:], Incarnations: []uint64{1}, AgesMS: []int64{-1}},
		"too old":     {Fingerprint: f[:], Incarnations: []uint64{1}, AgesMS: []int64{1 << 60}},
		"too many":    {Fingerprint: f[:], Incarnations: make([]uint64, maxTerminations+1), AgesMS: make([]int64, maxTerminations+1)},
		"served soon": {Fingerprint: f[:], ServedMS: -5},
	} {
		l := NewTracker(limits)
		require.False(t, l.ReceiveReport(at(0), r, 1), name)
		require.Zero(t, l.Len(), name)
	}
}

// TestFloodForgetsTheOldestThatAreNotHeld records more requests than are kept. It guards
// against unbounded memory, and against a flood that evicts held requests.
func TestFloodForgetsTheOldestThatAreNotHeld(t *testing.T) {
	l := NewTracker(limits)
	for i := range 3 {
		l.RecordTermination(at(0), request(0), uint64(i), 1)
	}
	for i := range 3 * maxRecords {
		l.RecordTermination(at(1+float64(i)/1000), request(1+i), 1, 0)
	}
	require.LessOrEqual(t, l.Len(), maxRecords)
	require.Len(t, l.order, l.Len())
	require.NotZero(t, l.HoldRemaining(at(20), request(0)), "what is held stays")
	require.Equal(t, 1, l.TerminationCount(at(20), request(3*maxRecords)), "the newest stays")
	require.Zero(t, l.TerminationCount(at(20), request(1)), "the oldest does not")
}

// TestUnsentReportsGoFirst has more new reports than fit a packet, each to be sent five times.
// It guards against repetitions that delay reports which were not sent at all.
func TestUnsentReportsGoFirst(t *testing.T) {
	l := NewTracker(limits)
	for i := range 20 {
		l.RecordTermination(at(0), request(i), 1, ownReportSends)
	}
	sent := map[string]bool{}
	for range 4 {
		for _, r := range l.PendingReports(at(0), 5*(reportBytes+terminationBytes)) {
			sent[string(r.Fingerprint)] = true
		}
	}
	require.Len(t, sent, 20)
}

// TestReportsFitTheirRoom guards against packets that exceed the given size, and against
// reports that are never sent for lack of room.
func TestReportsFitTheirRoom(t *testing.T) {
	l := NewTracker(limits)
	for i := range 50 {
		l.RecordTermination(at(0), request(i), 1, 1)
	}
	sent := map[string]bool{}
	for range 50 {
		reports := l.PendingReports(at(1), 300)
		size := 0
		for _, r := range reports {
			size += r.size()
			sent[string(r.Fingerprint)] = true
		}
		require.LessOrEqual(t, size, 300)
	}
	require.Len(t, sent, 50)
	require.False(t, l.HasPendingReports(at(1)))
	require.Empty(t, l.PendingReports(at(1), 300))
}

// TestDigestIsCachedBetweenPackets guards against computing the digest for every packet: that
// takes 48 us with 1,000 records, and each instance of a large fleet receives packets all the
// time. The test removes the records that a second computation would need.
func TestDigestIsCachedBetweenPackets(t *testing.T) {
	l := NewTracker(limits)
	for i := range 100 {
		l.RecordTermination(at(0), request(i), uint64(i), 1)
	}
	same := l.Digest(at(1))
	l.records = nil
	require.NotPanics(t, func() { require.False(t, l.ReceiveDigest(at(1), same)) })
}

// TestCachedDigestIsCurrent makes random changes of a tracker, including those that make a
// termination older or drop it, and advances time past the expiry of terminations. It guards
// against a cached digest that differs from a computed one.
func TestCachedDigestIsCurrent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := NewTracker(limits)
		now := at(0)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.Int64Range(0, int64(l.retention())/4).Draw(t, "pass")))
			f := request(rapid.IntRange(0, 4).Draw(t, "request"))
			endpoint := uint64(rapid.IntRange(0, 10).Draw(t, "endpoint"))
			switch rapid.IntRange(0, 4).Draw(t, "change") {
			case 0:
				l.RecordTermination(now, f, endpoint, 1)
			case 1:
				l.RecordSuccess(now, f, 1)
			case 2:
				age := rapid.Int64Range(0, l.retention().Milliseconds()).Draw(t, "age")
				l.ReceiveReport(now, Report{Fingerprint: f[:], Incarnations: []uint64{endpoint}, AgesMS: []int64{age}}, 1)
			case 3:
				hold := time.Duration(rapid.IntRange(1, 3).Draw(t, "hold")) * time.Minute
				l.SetLimits(Limits{Terminations: rapid.IntRange(0, 3).Draw(t, "terminations"), Hold: hold})
			}
			computed, _ := l.computeDigest(now)
			require.Equal(t, computed, l.Digest(now))
		}
	})
}
