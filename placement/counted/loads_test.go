package counted

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	_ "github.com/eiderspring/eiderspring/internal/seeded"
)

// refusedParts is the part of the requests that was refused in each period of a load.
type refusedParts struct{ moved, crashed, returned float64 }

// playLoads plays a load in which eight models are hot, then eight others, and then a quarter
// of the endpoints crashes and new ones start empty, and returns the mean over some seeds.
func playLoads(t *testing.T, byPlaces bool) refusedParts {
	const seeds = 4
	var mean refusedParts
	var mu sync.Mutex
	var wg sync.WaitGroup
	for seed := range uint64(seeds) {
		wg.Go(func() {
			s := newLargeServed(byPlaces, seed)
			s.hot(1, 50, 2.2)
			s.play(6 * time.Second)
			s.hot(5, 50, 2.2)
			moved := s.play(8 * time.Second)
			s.crash(4, 2300*time.Millisecond)
			crashed, returned := s.play(2300*time.Millisecond), s.play(7*time.Second)
			mu.Lock()
			defer mu.Unlock()
			mean.moved += moved / seeds
			mean.crashed += crashed / seeds
			mean.returned += returned / seeds
			require.Empty(t, s.violations, "seed %d", seed)
		})
	}
	wg.Wait()
	return mean
}

// byPosition is what shares of tokens refuse in these loads if models also get replicas for
// their position in the settings: hot models and endpoints that return empty lose by it.
var byPosition = refusedParts{moved: 0.2195, crashed: 0.1904, returned: 0.1374}

// TestPlacesAreWhereDemandIs guards against hot models that lose replicas to rare ones when a
// quarter of the endpoints crashes, and against endpoints that return empty and are filled
// late: either measure of demand refuses at most three quarters of what replicas for models
// without demand cost there, and no more where demand moves; places refuse no more than shares.
func TestPlacesAreWhereDemandIs(t *testing.T) {
	byShares, byPlaces := playLoads(t, false), playLoads(t, true)
	t.Logf("by shares %+v, by places %+v", byShares, byPlaces)
	for _, measured := range []refusedParts{byShares, byPlaces} {
		require.Less(t, measured.crashed, byPosition.crashed*0.75)
		require.Less(t, measured.returned, byPosition.returned*0.75)
		require.Less(t, measured.moved, byPosition.moved*1.05)
	}
	require.Less(t, byPlaces.crashed, byShares.crashed*1.05)
	require.Less(t, byPlaces.returned, byShares.returned*1.05)
	require.Less(t, byPlaces.moved, byShares.moved*1.05)
}

// TestAdaptersInUseStay guards against adapters of a hot model that displace each other: its
// 28 adapters do not fit the slots of its replicas, and an adapter with requests must stay.
func TestAdaptersInUseStay(t *testing.T) {
	s := newLargeServed(true, 1)
	s.hot(1, 45, 2)
	model := servedModel(10)
	for a := range servedAdapters(10) {
		s.arrivals[fmt.Sprintf("%s/a%02d", model, a)] = 4
	}
	s.unloaded = func(e *servedEngine, u Unit) {
		if u.Base == model && len(e.running[u.Name]) > 1 {
			s.violations = append(s.violations, "unloaded with requests: "+u.Name)
		}
	}
	s.play(12 * time.Second)
	require.Empty(t, s.violations)
	require.Less(t, s.adapterUnloads, 60)
}

// maxMissing is the longest time for which a requested model may have no replica while nothing
// crashes: an unload that waits for its requests, and two loads.
const maxMissing = 6 * time.Second

// TestServedModelsStayReachable guards, for random demands and crashes, against an endpoint
// with more models or adapters than it holds, and against a model that is waited for and gets
// no replica for long.
func TestServedModelsStayReachable(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		s := newServed(true, rapid.Uint64().Draw(r, "seed"), 15, 25)
		for range rapid.IntRange(1, 3).Draw(r, "changes") {
			s.hot(rapid.IntRange(0, 24).Draw(r, "first"), rapid.Float64Range(1, 70).Draw(r, "each"), rapid.Float64Range(0, 2).Draw(r, "rare"))
			s.play(time.Duration(rapid.IntRange(500, 3000).Draw(r, "ms")) * time.Millisecond)
			if rapid.Bool().Draw(r, "crash") {
				s.crash(rapid.IntRange(3, 8).Draw(r, "part"), time.Second)
			}
		}
		s.hot(rapid.IntRange(0, 24).Draw(r, "last"), 30, 1)
		s.play(2 * time.Second)
		s.missing = map[string]time.Time{}
		s.play(8 * time.Second)
		require.Empty(r, s.violations)
		require.Less(r, s.longestMissing, maxMissing)
	})
}
