package streamversion

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// ownersPerRegion is the number of instances in a region that keep a beginning. Each is in another
// failure domain, if there are as many.
const ownersPerRegion = 3

// Instance is an instance that may keep beginnings.
type Instance struct {
	Name, FailureDomain, Region string
}

// Fleet is a set of instances. It is immutable.
type Fleet struct {
	regions []region
}

// region holds the instances of a region, by failure domain.
type region struct {
	name    string
	domains [][]string
}

// NewFleet returns a fleet of the given instances.
func NewFleet(instances []Instance) *Fleet {
	sorted := slices.Clone(instances)
	slices.SortFunc(sorted, func(a, b Instance) int {
		return cmp.Or(cmp.Compare(a.Region, b.Region), cmp.Compare(a.FailureDomain, b.FailureDomain), cmp.Compare(a.Name, b.Name))
	})
	f := &Fleet{}
	for i, instance := range sorted {
		newRegion := i == 0 || instance.Region != sorted[i-1].Region
		if newRegion {
			f.regions = append(f.regions, region{name: instance.Region})
		}
		r := &f.regions[len(f.regions)-1]
		if newRegion || instance.FailureDomain != sorted[i-1].FailureDomain {
			r.domains = append(r.domains, nil)
		}
		last := len(r.domains) - 1
		r.domains[last] = append(r.domains[last], instance.Name)
	}
	return f
}

// Owners returns the instances that keep the beginning of a stream: those of the given region, and
// those of all others. All instances with the same fleet compute the same ones; one that joins or
// leaves changes them for few keys.
func (f *Fleet) Owners(key Key, home string) (near, far []string) {
	for _, r := range f.regions {
		if r.name == home {
			near = r.owners(key)
			continue
		}
		far = append(far, r.owners(key)...)
	}
	return near, far
}

// instancesPerWriter is the number of instances of a region for each one that writes records: few writers
// make few calls to the store, many share the load.
const instancesPerWriter = 10

// WriterChoices is the number of instances that may write the records of a part.
const WriterChoices = ownersPerRegion

// Part identifies a part of the streams, whose records one instance writes.
type Part struct {
	_      struct{} `cbor:",toarray"`
	Region string
	Number uint64
}

// PartOf returns the part that a stream belongs to which an instance of the home region begins.
func (f *Fleet) PartOf(key Key, home string) Part {
	instances := 0
	for _, domain := range f.region(home).domains {
		instances += len(domain)
	}
	parts := max((instances+instancesPerWriter-1)/instancesPerWriter, 1)
	return Part{Region: home, Number: xxhash.Sum64(key[:]) % uint64(parts)}
}

// Writers returns the instances that may write the records of a part, the first choice first.
func (f *Fleet) Writers(p Part) []string {
	return f.region(p.Region).owners(KeyOf(p.Region, fmt.Sprint("part ", p.Number)))
}

// region returns the region with a name; an empty one if it has no instance.
func (f *Fleet) region(name string) region {
	for _, r := range f.regions {
		if r.name == name {
			return r
		}
	}
	return region{name: name}
}

// candidate is an instance with its weight for a key.
type candidate struct {
	name   string
	weight uint64
	// rank is 0 for the best of its failure domain, 1 for the next.
	rank int
}

// owners returns the instances of the region with the highest weights (rendezvous hashing), the best
// of each failure domain first.
func (r region) owners(key Key) []string {
	var best []candidate
	for _, domain := range r.domains {
		best = append(best, bestOf(domain, key)...)
	}
	slices.SortFunc(best, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(b.weight, a.weight), cmp.Compare(a.name, b.name))
	})
	var names []string
	for _, c := range best[:min(len(best), ownersPerRegion)] {
		names = append(names, c.name)
	}
	return names
}

// bestOf returns the instances of a failure domain with the highest weights, at most ownersPerRegion.
func bestOf(domain []string, key Key) []candidate {
	var best []candidate
	for _, name := range domain {
		c := candidate{name: name, weight: weight(key, name)}
		at, _ := slices.BinarySearchFunc(best, c, func(a, b candidate) int { return cmp.Compare(b.weight, a.weight) })
		if at < ownersPerRegion {
			best = slices.Insert(best, at, c)
			best = best[:min(len(best), ownersPerRegion)]
		}
	}
	for i := range best {
		best[i].rank = i
	}
	return best
}

func weight(key Key, name string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.Write(key[:])
	_, _ = d.WriteString(name)
	return d.Sum64()
}
