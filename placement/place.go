package placement

import (
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// place returns the best endpoint for another replica of u, or nil. reserve is the
// memory that must remain free on some endpoint afterwards. Endpoints that also have
// room for the unit's adapters are preferred.
func (p *planner) place(u *UnitSpec, reserve int64) *EndpointState {
	adapterMB := p.adapterMemoryMB[u.Name]
	if e := p.bestEndpoint(u, reserve, func(e *EndpointState) bool { return e.FreeMB >= u.MemoryMB+adapterMB }); e != nil {
		return e
	}
	return p.bestEndpoint(u, reserve, func(*EndpointState) bool { return true })
}

// bestEndpoint prefers a failure domain with few replicas of the unit, then an endpoint
// with low load, then one with much free memory. A hash of the unit's and the endpoint's
// names breaks ties, so that the choice is deterministic.
func (p *planner) bestEndpoint(u *UnitSpec, reserve int64, allowed func(*EndpointState) bool) *EndpointState {
	var best *EndpointState
	var bestRank rank
	for _, e := range p.endpoints {
		if !p.canLoad(u, e) || !allowed(e) {
			continue
		}
		r := p.rank(u, e)
		if best == nil || r.less(bestRank) {
			best, bestRank = e, r
		}
	}
	if best == nil || !p.keepsReserve(best, u.MemoryMB, reserve) {
		return nil
	}
	return best
}

// canLoad reports whether the unit may be loaded at the endpoint now.
func (p *planner) canLoad(u *UnitSpec, e *EndpointState) bool {
	placed, onRecord := e.Units[u.Name]
	if !e.AcceptsLoads || onRecord && (placed.State != Absent || placed.Blocked) {
		return false
	}
	if u.MemoryMB > e.FreeMB+placed.MemoryMB {
		return false
	}
	return u.Base == "" || e.Units[u.Base].Stable
}

// keepsReserve reports whether some endpoint keeps reserve free after mb more are used
// at e.
func (p *planner) keepsReserve(e *EndpointState, mb, reserve int64) bool {
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

// rank orders endpoints for a unit; the lowest is preferred.
type rank struct {
	sameDomain int
	load       int
	used       int
	hash       uint64
}

// Number of buckets by which load and free memory are compared. Endpoints in the same
// bucket compare as equal, so that noise does not decide.
const (
	loadBuckets   = 4
	memoryBuckets = 8
)

func (p *planner) rank(u *UnitSpec, e *EndpointState) rank {
	r := rank{hash: xxhash.Sum64String(u.Name + "\x00" + e.Name)}
	for _, h := range p.holders[u.Name] {
		if h.FailureDomain == e.FailureDomain {
			r.sameDomain++
		}
	}
	r.load = int(p.load[e.Name] / max(1, float64(e.Concurrency)) * loadBuckets)
	r.used = int((e.CapacityMB - e.FreeMB) * memoryBuckets / max(1, e.CapacityMB))
	return r
}

func (r rank) less(other rank) bool {
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
