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

const everything = 1 << 30

// TestSumsThatFitAreAllTold has room for all of them each time.
func TestSumsThatFitAreAllTold(t *testing.T) {
	now := time.Unix(1000, 0)
	var s Totals
	all := []peer.EndpointLoad{load("a", 1), load("b", 2), load("c", 3)}
	for range 3 {
		require.ElementsMatch(t, all, s.Next(now, all, everything))
		now = now.Add(100 * time.Millisecond)
	}
}

// TestEndpointsThatAreIdleAgainAreTold tells of each a few times more.
func TestEndpointsThatAreIdleAgainAreTold(t *testing.T) {
	now := time.Unix(1000, 0)
	var s Totals
	s.Next(now, []peer.EndpointLoad{load("a", 1), load("b", 2)}, everything)
	for range mostIdleTells {
		now = now.Add(100 * time.Millisecond)
		require.ElementsMatch(t, []peer.EndpointLoad{load("a", 0), load("b", 2)}, s.Next(now, []peer.EndpointLoad{load("b", 2)}, everything))
	}
	now = now.Add(100 * time.Millisecond)
	require.Equal(t, []peer.EndpointLoad{load("b", 2)}, s.Next(now, []peer.EndpointLoad{load("b", 2)}, everything))
}

// TestSumsThatChangedMostGoFirst has room for one at a time.
func TestSumsThatChangedMostGoFirst(t *testing.T) {
	now := time.Unix(1000, 0)
	var s Totals
	s.Next(now, []peer.EndpointLoad{load("a", 1), load("b", 1), load("c", 1)}, everything)
	now = now.Add(100 * time.Millisecond)
	changed := []peer.EndpointLoad{load("a", 1), load("b", 9), load("c", 3)}
	require.Equal(t, []peer.EndpointLoad{load("b", 9)}, s.Next(now, changed, 1))
	require.Equal(t, []peer.EndpointLoad{load("c", 3)}, s.Next(now, changed, 1))
	require.Equal(t, []peer.EndpointLoad{load("a", 1)}, s.Next(now, changed, 1), "what has not changed is told in time")
}

// rounds tells all sums in turn, as many as fit each time.
type rounds struct{ left []peer.EndpointLoad }

func (r *rounds) Next(_ time.Time, all []peer.EndpointLoad, bytes int) []peer.EndpointLoad {
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

// meanError is by how many requests the others are off on the average, over some time in which
// requests come and go at endpoints, a few of which are asked much more than the others.
func meanError(endpoints, bytes int, next func(now time.Time, all []peer.EndpointLoad, bytes int) []peer.EndpointLoad) float64 {
	const gos, warm = 200, 50
	random := rand.New(rand.NewPCG(1, 2))
	now := time.Unix(1000, 0)
	running, known := make([]int64, endpoints), map[string]int64{}
	off := 0.0
	for g := range gos {
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
				off += distance(n, known[fmt.Sprintf("i-%010x", i)])
			}
		}
		now = now.Add(400 * time.Millisecond)
	}
	return off / float64((gos-warm)*endpoints)
}

// TestNeedTellsMoreThanRounds compares both on the same schedule, with the sizes of the
// two-year target and of the sweep, and the bytes that a link of 200 Mbit/s has.
func TestNeedTellsMoreThanRounds(t *testing.T) {
	for _, size := range []struct{ endpoints, bytes int }{{720, 3846}, {3000, 5000}} {
		var need Totals
		var turns rounds
		byNeed, inRounds := meanError(size.endpoints, size.bytes, need.Next), meanError(size.endpoints, size.bytes, turns.Next)
		t.Logf("%d endpoints: off by %.2f requests by need, %.2f in rounds", size.endpoints, byNeed, inRounds)
		require.Less(t, byNeed, inRounds)
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

// TestWithdrawnGoFirst lets words of each urgency wait.
func TestWithdrawnGoFirst(t *testing.T) {
	var r Residency
	r.Put(placement("a", "m"), Refresh)
	r.Put(placement("b", "m"), Changed)
	r.Put(placement("c", "m"), Withdrawn)
	r.Put(placement("a"), Withdrawn)
	r.Put(placement("d", "m"), Refresh)
	require.Equal(t, []string{"c", "a"}, endpointsOf(r.Next(everything, Withdrawn)))
	require.Equal(t, []string{"b"}, endpointsOf(r.Next(1, Refresh)), "one at least")
	require.Equal(t, []string{"d"}, endpointsOf(r.Next(everything, Refresh)))
	require.Zero(t, r.Len())
}

// TestUrgencyIsKept repeats what has not gone yet.
func TestUrgencyIsKept(t *testing.T) {
	var r Residency
	r.Put(placement("a"), Withdrawn)
	r.Put(placement("a", "m"), Refresh)
	require.Equal(t, []peer.Placement{placement("a", "m")}, r.Next(everything, Withdrawn))
}

// TestLastWordsArrive puts words of endpoints and takes some now and then: the others end up
// with the last one of each, and the queue stays bounded.
func TestLastWordsArrive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var r Residency
		last, heard := map[string]string{}, map[string]string{}
		hear := func(placements []peer.Placement) {
			for _, p := range placements {
				heard[p.Endpoint] = p.Units[0]
			}
		}
		for i := range rapid.IntRange(1, 500).Draw(t, "words") {
			name, unit := fmt.Sprint(rapid.IntRange(0, 9).Draw(t, "endpoint")), fmt.Sprint(i)
			last[name] = unit
			r.Put(placement(name, unit), Urgency(rapid.IntRange(0, 2).Draw(t, "urgency")))
			if rapid.Bool().Draw(t, "take") {
				hear(r.Next(rapid.IntRange(0, 100).Draw(t, "bytes"), Urgency(rapid.IntRange(0, 2).Draw(t, "least"))))
			}
			for _, queue := range r.queues {
				require.LessOrEqual(t, len(queue), 2*10+staleEntries+1)
			}
		}
		hear(r.Next(everything, Refresh))
		require.Equal(t, last, heard)
	})
}

// TestBudgetHoldsOverTime sends as much as it allows.
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

// TestWhatDoesNotMatterIsNotTold has endpoints of 64 and of 8 places.
func TestWhatDoesNotMatterIsNotTold(t *testing.T) {
	const pause = 400 * time.Millisecond
	places := map[string]int{"large": 64, "small": 8}
	s := Totals{Significant: Significant(func(e string) int { return places[e] }, func() time.Duration { return pause })}
	now := time.Unix(1000, 0)
	next := func(all ...peer.EndpointLoad) []string {
		var names []string
		for _, l := range s.Next(now, all, everything) {
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
	now = now.Add(retell)
	require.Equal(t, []string{"large", "small"}, next(), "once more, as the word may be lost")
}

// TestQuietFleetIsToldLittle has requests of half a second come and go at 4,000 endpoints of 64
// places, and a few that are busy: the words of half a minute take a tenth of what all sums take,
// and nobody is off by more than a sixteenth of an endpoint's places.
func TestQuietFleetIsToldLittle(t *testing.T) {
	const endpoints, places, busy = 4000, 64, 20
	random := rand.New(rand.NewPCG(3, 4))
	now := time.Unix(1000, 0)
	s := Totals{Significant: Significant(func(string) int { return places }, func() time.Duration { return 400 * time.Millisecond })}
	running, known := make([]int64, endpoints), map[string]int64{}
	told, whole := 0, 0
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
				whole += all[len(all)-1].EncodedSize()
			}
		}
		for _, l := range s.Next(now, all, everything) {
			known[l.Endpoint] = l.Running
			told += l.EncodedSize()
		}
		for i, n := range running {
			require.LessOrEqual(t, distance(n, known[fmt.Sprintf("i-%010x", i)]), float64(places/16))
		}
		now = now.Add(400 * time.Millisecond)
	}
	t.Logf("told %d of %d bytes", told, whole)
	require.Less(t, 10*told, whole)
}
