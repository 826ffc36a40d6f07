package daemon

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/eiderspring/eiderspring/routing"
)

// drawUnits returns a random subset of the units.
func drawUnits(random *rand.Rand, of int) []string {
	var units []string
	for i := range of {
		if random.IntN(3) == 0 {
			units = append(units, fmt.Sprintf("m%d", i))
		}
	}
	return units
}

// TestReplicaIndexMatchesARebuiltOne adds, changes, replaces and removes endpoints at random. The
// index must equal one built from scratch, and an index shared with an earlier view must not
// change.
func TestReplicaIndexMatchesARebuiltOne(t *testing.T) {
	const endpoints, units, rounds = 12, 8, 3000
	random := rand.New(rand.NewPCG(1, 1))
	var r replicaIndex
	present, serves := map[string]*routing.Endpoint{}, map[string][]string{}
	var shared, copyOfShared map[string][]*routing.Endpoint
	for range rounds {
		name := fmt.Sprintf("e%02d", random.IntN(endpoints))
		switch {
		case random.IntN(4) == 0:
			delete(present, name)
		case present[name] == nil || random.IntN(4) == 0:
			present[name] = &routing.Endpoint{Name: name}
			fallthrough
		default:
			serves[name] = drawUnits(random, units)
		}
		want := map[string][]*routing.Endpoint{}
		for _, name := range slices.Sorted(maps.Keys(present)) {
			r.set(present[name], serves[name])
			for _, u := range serves[name] {
				want[u] = append(want[u], present[name])
			}
		}
		r.retain(present)
		require.Equal(t, copyOfShared, shared, "an earlier view has changed")
		shared = r.share()
		require.Equal(t, want, shared)
		copyOfShared = map[string][]*routing.Endpoint{}
		for u, list := range shared {
			copyOfShared[u] = slices.Clone(list)
		}
	}
}

// BenchmarkViewOfALargeFleet updates the index of 245 endpoints, one of which changes its units
// each time.
func BenchmarkViewOfALargeFleet(b *testing.B) {
	const endpoints, held = 245, 11
	var r replicaIndex
	list := make([]*routing.Endpoint, endpoints)
	serves := make([][]string, endpoints)
	for i := range list {
		list[i] = &routing.Endpoint{Name: fmt.Sprintf("i-%010x", i)}
		for k := range held {
			serves[i] = append(serves[i], fmt.Sprintf("abcd%06x/a%02d", (i*held+k)%1600, k))
		}
	}
	for n := 0; b.Loop(); n++ {
		serves[n%endpoints] = append([]string{fmt.Sprintf("other%d", n%7)}, serves[n%endpoints][1:]...)
		for i, e := range list {
			r.set(e, serves[i])
		}
		r.share()
	}
}
