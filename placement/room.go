package placement

import (
	"cmp"
	"slices"
)

// makeRoom frees memory for a unit that fits nowhere. It prefers to unload replicas that
// are not needed; failing that, it loads the only replica of some unit elsewhere, so
// that the old one can be unloaded later. Memory is freed at one endpoint at a time for
// each unit: it may not suffice until the orders are confirmed, and the next plan sees
// the pending unloads.
func (p *planner) makeRoom(u *UnitSpec) {
	if p.pendingUnloadsSuffice(u) {
		return
	}
	var best *EndpointState
	var bestEvictions []string
	bestCost := 0.0
	for _, e := range p.endpoints {
		if !p.couldHold(u, e) {
			continue
		}
		evictions, cost, ok := p.evictionsFor(u, e)
		if ok && (best == nil || cost < bestCost) {
			best, bestEvictions, bestCost = e, evictions, cost
		}
	}
	if best == nil {
		if !p.relocateAdapters(u) {
			p.relocateFor(u)
		}
		return
	}
	p.evicting[best.Name] = true
	for _, name := range bestEvictions {
		p.unload(best, name, ReasonMakeRoom, u.Name)
	}
}

// couldHold reports whether the unit could be at the endpoint if there were room.
func (p *planner) couldHold(u *UnitSpec, e *EndpointState) bool {
	placed := e.Units[u.Name]
	if !e.AcceptsLoads || p.evicting[e.Name] || placed.Blocked || u.MemoryMB > e.CapacityMB {
		return false
	}
	return u.Base == "" || e.Units[u.Base].Stable
}

// pendingUnloadsSuffice reports whether pending unloads free enough memory for the unit at
// some endpoint. It marks that endpoint as evicting, so that no other unit counts on the
// same memory.
func (p *planner) pendingUnloadsSuffice(u *UnitSpec) bool {
	for _, e := range p.endpoints {
		if !e.AcceptsLoads || u.Base != "" && !e.Units[u.Base].Stable {
			continue
		}
		freeableMB := e.FreeMB
		for _, placed := range e.Units {
			if placed.Freeing {
				freeableMB += placed.MemoryMB
			}
		}
		if freeableMB >= u.MemoryMB && !p.evicting[e.Name] {
			p.evicting[e.Name] = true
			return true
		}
	}
	return false
}

// evictionsFor returns the replicas to unload at e so that u fits, adapters before their
// base, and the cost of that.
func (p *planner) evictionsFor(u *UnitSpec, e *EndpointState) (names []string, cost float64, ok bool) {
	free := e.FreeMB
	for _, c := range p.evictable(u, e) {
		if free >= u.MemoryMB {
			break
		}
		free += c.memoryMB
		cost += c.cost
		names = append(names, c.names...)
	}
	return names, cost, free >= u.MemoryMB
}

// eviction is a replica, with its adapters, that can be unloaded.
type eviction struct {
	names    []string
	memoryMB int64
	cost     float64
}

// evictable returns what can be unloaded at e without making any unit unreachable,
// lowest cost per memory first.
func (p *planner) evictable(u *UnitSpec, e *EndpointState) []eviction {
	var found []eviction
	for _, name := range sortedKeys(e.Units) {
		placed := e.Units[name]
		if placed.Base != "" || name == u.Base || !p.canEvict(name, e) {
			continue
		}
		c := eviction{memoryMB: placed.MemoryMB, cost: p.evictionCost(name)}
		ok := true
		for _, adapter := range sortedKeys(e.Units) {
			a := e.Units[adapter]
			if a.Base != name || a.State == Absent {
				continue
			}
			ok = ok && p.canEvict(adapter, e)
			c.names = append(c.names, adapter)
			c.memoryMB += a.MemoryMB
			c.cost += p.evictionCost(adapter)
		}
		if ok {
			c.names = append(c.names, name)
			found = append(found, c)
		}
	}
	slices.SortStableFunc(found, func(a, b eviction) int {
		return cmp.Compare(a.cost/float64(a.memoryMB), b.cost/float64(b.memoryMB))
	})
	return found
}

// canEvict reports whether the replica at e is ready and another replica is stable.
func (p *planner) canEvict(unit string, e *EndpointState) bool {
	if e.Units[unit].State != Ready {
		return false
	}
	for _, h := range p.holders[unit] {
		if h != e && h.Units[unit].Stable {
			return true
		}
	}
	return false
}

// evictionCost returns the cost of losing a replica: the cost of loading it again and
// the demand that moves to the other replicas.
func (p *planner) evictionCost(unit string) float64 {
	u := p.units[unit]
	if u == nil {
		return 0
	}
	return u.LoadCost + u.Demand/float64(max(1, len(p.holders[unit])))
}

// relocateAdapters loads elsewhere the adapters that are the only reason why a base
// cannot be unloaded. It reports whether it loads any.
func (p *planner) relocateAdapters(u *UnitSpec) bool {
	for _, e := range p.endpoints {
		if !p.couldHold(u, e) {
			continue
		}
		for _, base := range sortedKeys(e.Units) {
			placed := e.Units[base]
			if placed.Base != "" || base == u.Base || !p.canEvict(base, e) || e.FreeMB+placed.MemoryMB < u.MemoryMB {
				continue
			}
			if p.loadAdaptersElsewhere(e, base, u.Name) {
				p.evicting[e.Name] = true
				return true
			}
		}
	}
	return false
}

func (p *planner) loadAdaptersElsewhere(e *EndpointState, base, forUnit string) bool {
	started := false
	for _, name := range sortedKeys(e.Units) {
		adapter := p.units[name]
		if adapter == nil || adapter.Base != base || len(p.holders[name]) > 1 {
			continue
		}
		if to := p.place(adapter, 0); to != nil {
			p.loadUnit(to, adapter, ReasonMakeRoom, forUnit)
			started = true
		}
	}
	return started
}

// relocateFor loads the only replica of some unit elsewhere, so that its memory can be
// used for u once the new replica is confirmed.
func (p *planner) relocateFor(u *UnitSpec) {
	var from, to *EndpointState
	var moved *UnitSpec
	for _, e := range p.endpoints {
		if !p.couldHold(u, e) {
			continue
		}
		for _, name := range sortedKeys(e.Units) {
			candidate := p.units[name]
			if candidate == nil || e.Units[name].Base != "" || name == u.Base || !e.Units[name].Stable {
				continue
			}
			if e.FreeMB+candidate.MemoryMB < u.MemoryMB || len(p.holders[name]) > 1 {
				continue
			}
			target := p.place(candidate, 0)
			if target == nil || target == e {
				continue
			}
			if moved == nil || candidate.LoadCost+candidate.Demand < moved.LoadCost+moved.Demand {
				from, to, moved = e, target, candidate
			}
		}
	}
	if moved == nil {
		return
	}
	p.evicting[from.Name] = true
	p.loadUnit(to, moved, ReasonMakeRoom, u.Name)
}
