package relay

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// RelaysPerDomain is how many instances of a failure domain read the list: one may be gone and
	// one stand still.
	RelaysPerDomain = 3
	// MaxDirectReaders is above how many instances the others ask them: up to here the lists of
	// all instances together take the store's link for less than half a second.
	MaxDirectReaders = 100
)

// Instance is an instance as it is listed.
type Instance struct {
	Name, FailureDomain string
	// Cores is the processor time that it has.
	Cores float64
}

// Select returns the instances of a failure domain that read the list, the first one first. All
// that know the same instances agree on them.
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

// Rank returns in which order an instance asks relays, so that each is asked first by as
// many; nil if it is one of them.
func Rank(self string, relays []string) []string {
	if slices.Contains(relays, self) {
		return nil
	}
	order := slices.Clone(relays)
	slices.SortFunc(order, func(a, b string) int { return cmp.Compare(weight(self, a), weight(self, b)) })
	return order
}

func weight(key, name string) uint64 { return xxhash.Sum64String(key + "\x00" + name) }
