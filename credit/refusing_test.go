package credit

import (
	"sort"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/eiderspring/eiderspring/internal/pace"
)

// TestRefusedAtOnce answers the load of two endpoints that are asked for twice what they take:
// requests that cannot start in their time are told so at once, and the others start.
func TestRefusedAtOnce(t *testing.T) {
	s := newSimulation(5, 30, 2, 12, 600*time.Millisecond)
	s.patience, s.returnTime = 2*time.Second, 4*time.Second
	s.load(80, 10*time.Second)
	s.run(pace.LeastObserved)
	require.Zero(t, s.refused, "nothing is refused on a guess")
	s.run(4*time.Second - pace.LeastObserved)
	s.forgetCounts()
	s.run(6 * time.Second)
	t.Logf("%v", s)
	require.Greater(t, s.refused, 100)
	require.Less(t, shareOf(s.refusedAfter, 0.5), s.patience/8, "the middle one")
	require.LessOrEqual(t, s.gaveUp, (s.served+s.refused)/20, "those that are not refused start")
	require.Less(t, s.rejectedShare(), 0.03)

	// Returns are spread over the places that become free in the meantime, of which every other one
	// may be promised.
	sort.Slice(s.returns, func(i, j int) bool { return s.returns[i].Before(s.returns[j]) })
	const window = time.Second
	most := int(2*12/0.6/2*window.Seconds()) + 2
	for i := range s.returns {
		in := 0
		for _, at := range s.returns[i:] {
			if at.Sub(s.returns[i]) < window {
				in++
			}
		}
		require.LessOrEqual(t, in, most, "returns within %v", window)
	}
}

// TestReturnsAreServed answers the load of TestRefusedAtOnce whose refused callers come back as they
// were told: they find room then, and are not refused again. Callers with little patience and much
// time in all get as many slots as there is room for.
func TestReturnsAreServed(t *testing.T) {
	for _, tc := range []struct{ patience, returnTime time.Duration }{{2 * time.Second, 4 * time.Second}, {400 * time.Millisecond, 4 * time.Second}} {
		s := newSimulation(7, 30, 2, 12, 600*time.Millisecond)
		s.patience, s.returning, s.returnTime = tc.patience, true, tc.returnTime
		s.load(80, 12*time.Second)
		s.run(4 * time.Second)
		s.forgetCounts()
		const measured = 8 * time.Second
		s.run(measured)
		t.Logf("%v: %d got a slot, %d came back and were served, middle wait %v, nine of ten %v; %d refused again; %v",
			tc, len(s.returns), len(s.returnWaits), shareOf(s.returnWaits, .5), shareOf(s.returnWaits, .9), s.refusedAgain, s)
		require.Greater(t, len(s.returnWaits), 20)
		require.Zero(t, s.calledEarly, "called back ahead of those in line")
		require.LessOrEqual(t, s.refusedAgain, len(s.returnWaits)/20)
		require.LessOrEqual(t, s.gaveUp, (s.served+s.refused)/20)
		room := 2 * 12 / 0.6 / 2 * measured.Seconds()
		require.Greater(t, float64(len(s.returns)), 0.7*min(room, float64(s.refused)))
	}
}

// TestNothingIsRefusedWithRoom guards against refusals while all requests start in their time.
func TestNothingIsRefusedWithRoom(t *testing.T) {
	s := newSimulation(6, 30, 2, 12, 600*time.Millisecond)
	s.load(34, 8*time.Second)
	s.run(10 * time.Second)
	t.Logf("%v", s)
	require.Zero(t, s.refused)
	require.Zero(t, s.gaveUp)
}
