package quarantine

import (
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"
)

// keeperAt returns a keeper whose time the test sets, in seconds.
func keeperAt(seconds *float64) *Manager {
	return NewManager(Config{Limits: limits, Now: func() time.Time { return at(*seconds) }, Log: logr.Discard()})
}

// begin lets a request in and counts how often it is cancelled.
func begin(t *testing.T, k *Manager, f Fingerprint, cancelled *int) *InFlight {
	t.Helper()
	flight := &InFlight{}
	require.NoError(t, k.Begin(flight, f, func() { *cancelled++ }))
	return flight
}

func TestHeldRequestIsRejectedUntilItsRelease(t *testing.T) {
	now := 0.0
	k := keeperAt(&now)
	f := request(1)
	for i := range int64(3) {
		k.RecordTermination(f, "account", "e", i)
	}
	var held *HeldError
	require.ErrorAs(t, k.Begin(&InFlight{}, f, nil), &held)
	require.Equal(t, 3, held.Terminations)
	require.GreaterOrEqual(t, held.Remaining, limits.Hold)
	require.NoError(t, k.Begin(&InFlight{}, request(2), nil))
	now = held.Remaining.Seconds() + 0.001
	require.NoError(t, k.Begin(&InFlight{}, f, nil), "what it was told is true")
	require.Equal(t, Stats{Known: 1, Held: 0, Rejected: 1}, k.Stats())
}

// TestWhatIsInProgressIsGivenUp holds a request by the word of another instance while
// copies of it wait or were sent here: they would end an endpoint each.
func TestWhatIsInProgressIsGivenUp(t *testing.T) {
	now := 0.0
	here, there := keeperAt(&now), keeperAt(&now)
	f := request(1)
	var first, second, answered, other int
	a, b := begin(t, here, f, &first), begin(t, here, f, &second)
	begin(t, here, f, &answered).End()
	c := begin(t, here, request(2), &other)
	for i := range int64(3) {
		there.RecordTermination(f, "account", "e", i)
	}
	here.ReceiveReports(there.PendingReports(1000), false)
	require.Equal(t, []int{1, 1, 0, 0}, []int{first, second, answered, other})
	require.NotNil(t, a.Held())
	require.NotNil(t, b.Held())
	require.Nil(t, c.Held())
	here.ReceiveReports(there.PendingReports(1000), false)
	require.Equal(t, 1, first, "once")
	a.End()
	b.End()
	require.EqualValues(t, 2, here.Stats().Cancelled)
}

// TestSuspectComesOneAtATime lets copies of a request come at once, with one ending less
// than hold it.
func TestSuspectComesOneAtATime(t *testing.T) {
	now := 0.0
	k := keeperAt(&now)
	f := request(1)
	var n int
	begin(t, k, f, &n)
	begin(t, k, f, &n).End()
	k.RecordTermination(f, "account", "e", 1)
	k.RecordTermination(f, "account", "e", 2)
	var held *HeldError
	require.ErrorAs(t, k.Begin(&InFlight{}, f, nil), &held)
	require.Equal(t, behindAnother, held.Remaining)
	require.Zero(t, n)
}

func TestReleaseByHand(t *testing.T) {
	now := 0.0
	k := keeperAt(&now)
	f := request(1)
	for i := range int64(3) {
		k.RecordTermination(f, "account", "e", i)
	}
	require.Error(t, k.Begin(&InFlight{}, f, nil))
	k.SetLimits(Limits{Hold: limits.Hold})
	require.NoError(t, k.Begin(&InFlight{}, f, nil))
	k.SetLimits(limits)
	require.NoError(t, k.Begin(&InFlight{}, f, nil), "nothing is left of what was known")
}

func TestNoKeeperHoldsNothing(t *testing.T) {
	var k *Manager
	require.NoError(t, k.Begin(&InFlight{}, request(1), nil))
	(&InFlight{}).End()
	k.RecordTermination(request(1), "", "e", 1)
	k.RecordSuccess(request(1))
	k.ReceiveReports([]Report{{}}, true)
	k.ReceiveDigest(1)
	k.SetLimits(limits)
	require.False(t, k.HasPendingReports())
	require.Empty(t, k.PendingReports(100))
	require.Zero(t, k.Digest())
	require.Zero(t, k.Stats())
}

// TestManyCopiesComeAndGo begins and ends copies in any order.
func TestManyCopiesComeAndGo(t *testing.T) {
	now := 0.0
	k := keeperAt(&now)
	var n int
	var flights []*InFlight
	for range 5 {
		flights = append(flights, begin(t, k, request(1), &n))
	}
	for _, i := range []int{2, 4, 0, 2, 3} {
		flights[i].End()
	}
	require.Same(t, flights[1], k.flights[request(1)])
	flights[1].End()
	require.Empty(t, k.flights)
}
