// Package issuing decides which instance of a fleet issues something scarce that belongs to an
// endpoint, and how much of it each may issue.
//
// The issuers of an endpoint are the first of a rendezvous hash over the instances. Callers try
// them in turn: an issuer that leaves maxMissed messages in a row unanswered is skipped for
// skipTime, or until it replies after all. The first issues everything; those after it issue
// fractions, because the first may still serve others.
//
// Packages permit and credit use it. All types are state machines without goroutine, clock,
// random source or I/O.
package issuing

import "github.com/cespare/xxhash/v2"

// MaxIssuers is how many instances may issue for one endpoint; they are tried in turn.
const MaxIssuers = 3

// FallbackFraction is the fraction of its even part that an instance uses while no issuer
// replies to it.
const FallbackFraction = 0.5

// rankFractions are the fractions that issuers issue, by rank. Those of the ranks after the
// first sum to one half, as the first issuer may still serve others.
var rankFractions = [MaxIssuers]float64{1, 0.4, 0.1}

// RankFraction returns the fraction that the issuer of a rank issues; the first has rank 0.
func RankFraction(rank int) float64 {
	if rank < 0 || rank >= MaxIssuers {
		return 0
	}
	return rankFractions[rank]
}

// Fleet is what an instance knows of all instances.
type Fleet struct {
	// Members are the names of the instances that may issue, this one included.
	Members []string
	// KnownCount is the number of instances, including those without recent contact.
	KnownCount int
	// Isolated is set while other instances are known and there is contact with none.
	Isolated bool
}

// IssueFraction returns the fraction of a limit that the members may issue: the whole limit
// only for a majority, as the other instances may be running and in contact with each other.
func (f Fleet) IssueFraction() float64 {
	if 2*len(f.Members) > f.KnownCount {
		return 1
	}
	return FallbackFraction * float64(len(f.Members)) / float64(f.KnownCount)
}

// Weight returns the weight of a name for a key, by rendezvous hash: the name with the highest
// weight comes first.
func Weight(name, key string) uint64 { return xxhash.Sum64String(name + "\x00" + key) }

// Ranked returns the issuers of a key in the order of their rank.
func (f Fleet) Ranked(key string) []string {
	type candidate struct {
		name   string
		weight uint64
	}
	best := make([]candidate, 0, MaxIssuers+1)
	for _, name := range f.Members {
		c := candidate{name, Weight(name, key)}
		at := len(best)
		for at > 0 && (best[at-1].weight < c.weight || best[at-1].weight == c.weight && best[at-1].name > c.name) {
			at--
		}
		if at == MaxIssuers {
			continue
		}
		best = append(best[:at], append([]candidate{c}, best[at:]...)...)
		best = best[:min(len(best), MaxIssuers)]
	}
	names := make([]string, len(best))
	for i, c := range best {
		names[i] = c.name
	}
	return names
}
