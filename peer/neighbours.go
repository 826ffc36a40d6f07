package peer

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// MaxNeighbours is the maximum number of instances that one instance sends hints to.
const MaxNeighbours = 8

// Neighbours returns the instances that self sends hints to: on a ring ordered by
// the hashes of the names, those 1, 2, 4, 8 and so on positions ahead. A change
// then reaches n instances in about log2(n) steps, and every instance receives from
// as many as it sends to. It returns nil if self is not among the live instances.
func Neighbours(self string, live []string) []string {
	ring := slices.Clone(live)
	slices.SortFunc(ring, func(a, b string) int {
		return cmp.Or(cmp.Compare(xxhash.Sum64String(a), xxhash.Sum64String(b)), cmp.Compare(a, b))
	})
	position := slices.Index(ring, self)
	if position < 0 {
		return nil
	}
	var neighbours []string
	for step := 1; step < len(ring) && len(neighbours) < MaxNeighbours; step *= 2 {
		neighbours = append(neighbours, ring[(position+step)%len(ring)])
	}
	return neighbours
}
