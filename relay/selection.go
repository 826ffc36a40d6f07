package relay

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// RelaysPerDomain is how many instances of a failure domain read the list from the store,
	// so that one may be down and another one paused.
	RelaysPerDomain = 3
	// MaxDirectReaders is the largest fleet in which every instance reads the list from the
	// store: up to this size, sending it to all instances together takes less than half a
	// second of the store's link.
	MaxDirectReaders = 100
)

// Instance is an instance of the fleet.
type Instance struct {
	Name, FailureDomain string
	// Cores is the processor time available to it, in cores.
	Cores float64
}

// Select returns the relays of a failure domain, which read the list from the store, in order
// of preference; nil if the fleet has no more than MaxDirectReaders instances. All instances
// that know the same fleet select the same relays.
func Select(domain string, fleet []Instance) []string {
	if len(fleet) <= MaxDirectReaders {
		return nil
	}
	var local []Instance
	for _, i := range fleet {
		if i.FailureDomain == domain {
			local = append(local, i)
		}
	}
	slices.SortFunc(local, func(a, b Instance) int {
		return cmp.Or(cmp.Compare(b.Cores, a.Cores), cmp.Compare(weight(domain, a.Name), weight(domain, b.Name)), cmp.Compare(a.Name, b.Name))
	})
	var names []string
	for _, i := range local[:min(len(local), RelaysPerDomain)] {
		names = append(names, i.Name)
	}
	return names
}

// Rank returns the order in which an instance tries relays, chosen such that each relay comes
// first for about the same number of instances; nil if the instance itself is a relay.
func Rank(self string, relays []string) []string {
	if slices.Contains(relays, self) {
		return nil
	}
	order := slices.Clone(relays)
	slices.SortFunc(order, func(a, b string) int { return cmp.Compare(weight(self, a), weight(self, b)) })
	return order
}

func weight(key, name string) uint64 { return xxhash.Sum64String(key + "\x00" + name) }
