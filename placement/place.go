package placement

import (
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// place returns the best endpoint for another replica of u, or nil. reserve is
// the memory that must stay free on some endpoint afterwards. An endpoint that
// also has room for the unit's adapters is taken before one that has not.
func (p *planner) place(u *UnitSpec, reserve int64) *EndpointState {
	companions := p.companions[u.Name]
	if e := p.best(u, reserve, func(e *EndpointState) bool { return e.FreeMB >= u.MemoryMB+companions }); e != nil {
		return e
	}
	return p.best(u, reserve, func(*EndpointState) bool { return true })
}

// best prefers a failure domain with few replicas of the unit, then an
// endpoint with little load, then one with much free memory, then one that the
// unit's name hashes to, so that the choice is the same each time.
func (p *planner) best(u *UnitSpec, reserve int64, allowed func(*EndpointState) bool) *EndpointState {
	var best *EndpointState
	var bestRank rank
	for _, e := range p.endpoints {
		if !p.fits(u, e) || !allowed(e) {
			continue
		}
		r := p.rank(u, e)
		if best == nil || r.before(bestRank) {
			best, bestRank = e, r
		}
	}
	if best == nil || !p.leaves(best, u.MemoryMB, reserve) {
		return nil
	}
	return best
}

// fits tells whether the unit may be loaded at the endpoint now.
func (p *planner) fits(u *UnitSpec, e *EndpointState) bool {
	placed, onRecord := e.Units[u.Name]
	if !e.AcceptsLoads || onRecord && (placed.State != Absent || placed.Blocked) {
		return false
	}
	if u.MemoryMB > e.FreeMB+placed.MemoryMB {
		return false
	}
	return u.Base == "" || e.Units[u.Base].Stable
}

// leaves tells whether some endpoint keeps reserve free after mb more are used
// at e.
func (p *planner) leaves(e *EndpointState, mb, reserve int64) bool {
	if reserve == 0 {
		return true
	}
	for _, other := range p.endpoints {
		free := other.FreeMB
		if other == e {
			free -= mb
		}
		if other.AcceptsLoads && free >= reserve {
			return true
		}
	}
	return false
}

// rank orders endpoints for a unit; the lower goes first.
type rank struct {
	sameDomain int
	load       int
	used       int
	hash       uint64
}

// Endpoints whose load or free memory differ by less than one part in so many
// count as equal, so that noise does not decide.
const (
	loadGrains   = 4
	memoryGrains = 8
)

func (p *planner) rank(u *UnitSpec, e *EndpointState) rank {
	r := rank{hash: xxhash.Sum64String(u.Name + "\x00" + e.Name)}
	for _, h := range p.holders[u.Name] {
		if h.FailureDomain == e.FailureDomain {
			r.sameDomain++
		}
	}
	r.load = int(p.load[e.Name] / max(1, float64(e.Concurrency)) * loadGrains)
	r.used = int((e.CapacityMB - e.FreeMB) * memoryGrains / max(1, e.CapacityMB))
	return r
}

func (r rank) before(other rank) bool {
	if r.sameDomain != other.sameDomain {
		return r.sameDomain < other.sameDomain
	}
	if r.load != other.load {
		return r.load < other.load
	}
	if r.used != other.used {
		return r.used < other.used
	}
	return r.hash < other.hash
}

func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }
