package peer

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// MaxNeighbours bounds the instances that one instance sends hints to.
const MaxNeighbours = 8

// Neighbours returns the instances that self sends hints to: on a circle of
// the names' hashes, those 1, 2, 4, 8 and so on places ahead. News then reaches
// n instances in about log2(n) steps, and every instance receives from as many
// as it sends to. It is empty if self is not among the live instances.
func Neighbours(self string, live []string) []string {
	circle := slices.Clone(live)
	slices.SortFunc(circle, func(a, b string) int {
		return cmp.Or(cmp.Compare(xxhash.Sum64String(a), xxhash.Sum64String(b)), cmp.Compare(a, b))
	})
	at := slices.Index(circle, self)
	if at < 0 {
		return nil
	}
	var neighbours []string
	for step := 1; step < len(circle) && len(neighbours) < MaxNeighbours; step *= 2 {
		neighbours = append(neighbours, circle[(at+step)%len(circle)])
	}
	return neighbours
}
