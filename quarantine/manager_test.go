package quarantine

import (
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"
)

// managerAt returns a manager whose time the test sets, in seconds.
func managerAt(seconds *float64) *Manager {
	return NewManager(Config{Limits: limits, Now: func() time.Time { return at(*seconds) }, Log: logr.Discard()})
}

// begin registers a request that must not be held, and counts how often it is cancelled.
func begin(t *testing.T, m *Manager, f Fingerprint, cancelled *int) *InFlight {
	t.Helper()
	flight := &InFlight{}
	require.NoError(t, m.Begin(t.Context(), flight, Request{Fingerprint: f}, func() { *cancelled++ }))
	return flight
}

func TestHeldRequestIsRejectedUntilItsRelease(t *testing.T) {
	now := 0.0
	m := managerAt(&now)
	f := request(1)
	for i := range int64(3) {
		m.RecordTermination(Request{Fingerprint: f, Account: "account"}, false, "e", i)
	}
	var held *HeldError
	require.ErrorAs(t, m.Begin(t.Context(), &InFlight{}, Request{Fingerprint: f}, nil), &held)
	require.Equal(t, 3, held.Terminations)
	require.GreaterOrEqual(t, held.Remaining, limits.Hold)
	require.NoError(t, m.Begin(t.Context(), &InFlight{}, Request{Fingerprint: request(2)}, nil))
	now = held.Remaining.Seconds() + 0.001
	require.NoError(t, m.Begin(t.Context(), &InFlight{}, Request{Fingerprint: f}, nil), "the reported time is right")
	require.Equal(t, Stats{Known: 1, Held: 0, Rejected: 1}, m.Stats())
}

// TestHoldCancelsRequestsInFlight holds a request by the report of another instance while
// copies of it wait or were sent here. It guards against copies in flight that terminate an
// endpoint each.
func TestHoldCancelsRequestsInFlight(t *testing.T) {
	now := 0.0
	here, there := managerAt(&now), managerAt(&now)
	f := request(1)
	var first, second, answered, other int
	a, b := begin(t, here, f, &first), begin(t, here, f, &second)
	begin(t, here, f, &answered).End()
	c := begin(t, here, request(2), &other)
	for i := range int64(3) {
		there.RecordTermination(Request{Fingerprint: f, Account: "account"}, false, "e", i)
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

// TestSuspectRunsOneAtATime sends copies of a request at once that one more termination would
// hold. It guards against copies that terminate an endpoint each.
func TestSuspectRunsOneAtATime(t *testing.T) {
	now := 0.0
	m := managerAt(&now)
	f := request(1)
	var n int
	begin(t, m, f, &n)
	begin(t, m, f, &n).End()
	m.RecordTermination(Request{Fingerprint: f, Account: "account"}, false, "e", 1)
	m.RecordTermination(Request{Fingerprint: f, Account: "account"}, false, "e", 2)
	var held *HeldError
	require.ErrorAs(t, m.Begin(t.Context(), &InFlight{}, Request{Fingerprint: f}, nil), &held)
	require.Equal(t, duplicateHold, held.Remaining)
	require.Zero(t, n)
}

func TestSettingsReleaseHeldRequests(t *testing.T) {
	now := 0.0
	m := managerAt(&now)
	f := request(1)
	for i := range int64(3) {
		m.RecordTermination(Request{Fingerprint: f, Account: "account"}, false, "e", i)
	}
	require.Error(t, m.Begin(t.Context(), &InFlight{}, Request{Fingerprint: f}, nil))
	m.SetLimits(Limits{Hold: limits.Hold})
	require.NoError(t, m.Begin(t.Context(), &InFlight{}, Request{Fingerprint: f}, nil))
	m.SetLimits(limits)
	require.NoError(t, m.Begin(t.Context(), &InFlight{}, Request{Fingerprint: f}, nil), "no record is left")
}

func TestNilManagerHoldsNothing(t *testing.T) {
	var m *Manager
	require.NoError(t, m.Begin(t.Context(), &InFlight{}, Request{Fingerprint: request(1)}, nil))
	(&InFlight{}).End()
	m.RecordTermination(Request{Fingerprint: request(1)}, false, "e", 1)
	m.RecordSuccess(Request{Fingerprint: request(1)})
	m.ReceiveReports([]Report{{}}, true)
	m.ReceiveDigest(1)
	m.SetLimits(limits)
	require.False(t, m.HasPendingReports())
	require.Empty(t, m.PendingReports(100))
	require.Zero(t, m.Digest())
	require.Zero(t, m.Stats())
}

// TestCopiesEndInAnyOrder guards against a damaged list of copies in flight when they end in
// another order than they began.
func TestCopiesEndInAnyOrder(t *testing.T) {
	now := 0.0
	m := managerAt(&now)
	var n int
	var flights []*InFlight
	for range 5 {
		flights = append(flights, begin(t, m, request(1), &n))
	}
	for _, i := range []int{2, 4, 0, 2, 3} {
		flights[i].End()
	}
	require.Same(t, flights[1], m.inFlight[request(1)].flight)
	flights[1].End()
	require.Empty(t, m.inFlight)
}
