package broadcast

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	_ "github.com/eiderspring/eiderspring/internal/seeded"
	"github.com/eiderspring/eiderspring/peer"
)

func load(endpoint string, running int64) peer.EndpointLoad {
	return peer.EndpointLoad{Endpoint: endpoint, Running: running}
}

const unlimited = 1 << 30

// TestTotalsThatFitAreAllSent has room for all totals each time.
func TestTotalsThatFitAreAllSent(t *testing.T) {
	now := time.Unix(1000, 0)
	var s Totals
	all := []peer.EndpointLoad{load("a", 1), load("b", 2), load("c", 3)}
	for range 3 {
		require.ElementsMatch(t, all, s.Next(now, all, unlimited))
		now = now.Add(100 * time.Millisecond)
	}
}

// TestIdleEndpointsAreSentAFewTimes repeats the zero load of an endpoint that became idle.
func TestIdleEndpointsAreSentAFewTimes(t *testing.T) {
	now := time.Unix(1000, 0)
	var s Totals
	s.Next(now, []peer.EndpointLoad{load("a", 1), load("b", 2)}, unlimited)
	for range idleRepeats {
		now = now.Add(100 * time.Millisecond)
		require.ElementsMatch(t, []peer.EndpointLoad{load("a", 0), load("b", 2)}, s.Next(now, []peer.EndpointLoad{load("b", 2)}, unlimited))
	}
	now = now.Add(100 * time.Millisecond)
	require.Equal(t, []peer.EndpointLoad{load("b", 2)}, s.Next(now, []peer.EndpointLoad{load("b", 2)}, unlimited))
}

// TestTotalsThatChangedMostGoFirst has room for one total at a time.
func TestTotalsThatChangedMostGoFirst(t *testing.T) {
	now := time.Unix(1000, 0)
	var s Totals
	s.Next(now, []peer.EndpointLoad{load("a", 1), load("b", 1), load("c", 1)}, unlimited)
	now = now.Add(100 * time.Millisecond)
	changed := []peer.EndpointLoad{load("a", 1), load("b", 9), load("c", 3)}
	require.Equal(t, []peer.EndpointLoad{load("b", 9)}, s.Next(now, changed, 1))
	require.Equal(t, []peer.EndpointLoad{load("c", 3)}, s.Next(now, changed, 1))
	require.Equal(t, []peer.EndpointLoad{load("a", 1)}, s.Next(now, changed, 1), "an unchanged total is sent again")
}

// roundRobin sends all totals in turn, as many as fit each time.
type roundRobin struct{ left []peer.EndpointLoad }

func (r *roundRobin) Next(_ time.Time, all []peer.EndpointLoad, bytes int) []peer.EndpointLoad {
	if len(r.left) == 0 {
		r.left = slices.Clone(all)
	}
	n := 0
	for n < len(r.left) && (n == 0 || bytes >= r.left[n].EncodedSize()) {
		bytes -= r.left[n].EncodedSize()
		n++
	}
	next := r.left[:n]
	r.left = r.left[n:]
	return next
}

// meanDeviation returns the mean deviation of the receivers, in requests, while requests start
// and end at endpoints, a few of which are used much more than the others.
func meanDeviation(endpoints, bytes int, next func(now time.Time, all []peer.EndpointLoad, bytes int) []peer.EndpointLoad) float64 {
	const rounds, warm = 200, 50
	random := rand.New(rand.NewPCG(1, 2))
	now := time.Unix(1000, 0)
	running, known := make([]int64, endpoints), map[string]int64{}
	deviation := 0.0
	for g := range rounds {
		var all []peer.EndpointLoad
		for i := range running {
			busy := 1 + 20*(endpoints-i)/endpoints/(1+i%7)
			running[i] = max(running[i]+int64(random.IntN(busy+1))-int64(random.IntN(busy+1)), 0)
			if running[i] > 0 {
				all = append(all, load(fmt.Sprintf("i-%010x", i), running[i]))
			}
		}
		for _, l := range next(now, all, bytes) {
			known[l.Endpoint] = l.Running
		}
		for i, n := range running {
			if g >= warm {
				deviation += distance(n, known[fmt.Sprintf("i-%010x", i)])
			}
		}
		now = now.Add(400 * time.Millisecond)
	}
	return deviation / float64((rounds-warm)*endpoints)
}

// TestPriorityIsMoreAccurateThanRoundRobin compares both on the same schedule, with the
// endpoints and bytes of two fleet sizes on a link of 200 Mbit/s.
func TestPriorityIsMoreAccurateThanRoundRobin(t *testing.T) {
	for _, size := range []struct{ endpoints, bytes int }{{720, 3846}, {3000, 5000}} {
		var totals Totals
		var turns roundRobin
		byPriority, inTurn := meanDeviation(size.endpoints, size.bytes, totals.Next), meanDeviation(size.endpoints, size.bytes, turns.Next)
		t.Logf("%d endpoints: deviation of %.2f requests by priority, %.2f in turn", size.endpoints, byPriority, inTurn)
		require.Less(t, byPriority, inTurn)
	}
}

func placement(endpoint string, units ...string) peer.Placement {
	return peer.Placement{Epoch: 1, Endpoint: endpoint, Units: units}
}

func endpointsOf(placements []peer.Placement) []string {
	var names []string
	for _, p := range placements {
		names = append(names, p.Endpoint)
	}
	return names
}

// TestWithdrawnGoFirst queues states of each urgency.
func TestWithdrawnGoFirst(t *testing.T) {
	var r Residency
	r.Put(placement("a", "m"), Refresh)
	r.Put(placement("b", "m"), Changed)
	r.Put(placement("c", "m"), Withdrawn)
	r.Put(placement("a"), Withdrawn)
	r.Put(placement("d", "m"), Refresh)
	require.Equal(t, []string{"c", "a"}, endpointsOf(r.Next(unlimited, Withdrawn)))
	require.Equal(t, []string{"b"}, endpointsOf(r.Next(1, Refresh)), "at least one")
	require.Equal(t, []string{"d"}, endpointsOf(r.Next(unlimited, Refresh)))
	require.Zero(t, r.Len())
}

// TestUrgencyIsKept refreshes a state that has not been sent yet.
func TestUrgencyIsKept(t *testing.T) {
	var r Residency
	r.Put(placement("a"), Withdrawn)
	r.Put(placement("a", "m"), Refresh)
	require.Equal(t, []peer.Placement{placement("a", "m")}, r.Next(unlimited, Withdrawn))
}

// TestLastStatesArrive queues states of endpoints and takes some now and then: the receivers
// end up with the last state of each endpoint, and the queue stays bounded.
func TestLastStatesArrive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var r Residency
		last, received := map[string]string{}, map[string]string{}
		receive := func(placements []peer.Placement) {
			for _, p := range placements {
				received[p.Endpoint] = p.Units[0]
			}
		}
		for i := range rapid.IntRange(1, 500).Draw(t, "states") {
			name, unit := fmt.Sprint(rapid.IntRange(0, 9).Draw(t, "endpoint")), fmt.Sprint(i)
			last[name] = unit
			r.Put(placement(name, unit), Urgency(rapid.IntRange(0, 2).Draw(t, "urgency")))
			if rapid.Bool().Draw(t, "take") {
				receive(r.Next(rapid.IntRange(0, 100).Draw(t, "bytes"), Urgency(rapid.IntRange(0, 2).Draw(t, "minUrgency"))))
			}
			for _, queue := range r.queues {
				require.LessOrEqual(t, len(queue), 2*10+maxStaleEntries+1)
			}
		}
		receive(r.Next(unlimited, Refresh))
		require.Equal(t, last, received)
	})
}

// TestBudgetHoldsOverTime sends as much as the budget allows.
func TestBudgetHoldsOverTime(t *testing.T) {
	var b Budget
	b.SetRate(1000, 400*time.Millisecond)
	now := time.Unix(1000, 0)
	sent := 0
	for range 1000 {
		for b.Available(now) > 0 {
			b.Spend(150)
			sent += 150
		}
		now = now.Add(10 * time.Millisecond)
	}
	require.InDelta(t, 10_000, sent, 400+150)
}

// TestInsignificantChangesAreNotSent has endpoints with 64 and with 8 places.
func TestInsignificantChangesAreNotSent(t *testing.T) {
	const pause = 400 * time.Millisecond
	places := map[string]int{"large": 64, "small": 8}
	s := Totals{Significant: Significant(func(e string) int { return places[e] }, func() time.Duration { return pause })}
	now := time.Unix(1000, 0)
	next := func(all ...peer.EndpointLoad) []string {
		var names []string
		for _, l := range s.Next(now, all, unlimited) {
			names = append(names, l.Endpoint)
		}
		slices.Sort(names)
		return names
	}
	require.Equal(t, []string{"small"}, next(load("large", 3), load("small", 1)), "3 of 64 places change nothing")
	require.Equal(t, []string{"large"}, next(load("large", 4), load("small", 1)))
	require.Empty(t, next(load("large", 7), load("small", 1)))
	require.Equal(t, []string{"large"}, next(peer.EndpointLoad{Endpoint: "large", Running: 7, PrefillMicros: (pause + time.Millisecond).Microseconds()}, load("small", 1)))
	require.Equal(t, []string{"large", "small"}, next(), "both are idle again")
	now = now.Add(resendAfter)
	require.Equal(t, []string{"large", "small"}, next(), "sent again, as the first message may be lost")
}

// TestLightlyLoadedFleetSendsFewTotals runs requests of half a second at 4,000 endpoints of 64
// places, a few of which are busy: the totals sent in half a minute take a tenth of the bytes
// of all totals, and no receiver deviates by more than a sixteenth of an endpoint's places.
func TestLightlyLoadedFleetSendsFewTotals(t *testing.T) {
	const endpoints, places, busy = 4000, 64, 20
	random := rand.New(rand.NewPCG(3, 4))
	now := time.Unix(1000, 0)
	s := Totals{Significant: Significant(func(string) int { return places }, func() time.Duration { return 400 * time.Millisecond })}
	running, known := make([]int64, endpoints), map[string]int64{}
	sent, total := 0, 0
	for range 75 {
		var all []peer.EndpointLoad
		for i := range running {
			running[i] = 0
			if i < busy {
				running[i] = 20 + int64(random.IntN(6))
			} else if random.IntN(12) == 0 {
				running[i] = 1
			}
			if running[i] > 0 {
				all = append(all, load(fmt.Sprintf("i-%010x", i), running[i]))
				total += all[len(all)-1].EncodedSize()
			}
		}
		for _, l := range s.Next(now, all, unlimited) {
			known[l.Endpoint] = l.Running
			sent += l.EncodedSize()
		}
		for i, n := range running {
			require.LessOrEqual(t, distance(n, known[fmt.Sprintf("i-%010x", i)]), float64(places/16))
		}
		now = now.Add(400 * time.Millisecond)
	}
	t.Logf("sent %d of %d bytes", sent, total)
	require.Less(t, 10*sent, total)
}
