package placement

import (
	"cmp"
	"slices"
)

// planner is the working state of one Plan.
type planner struct {
	units     map[string]*UnitSpec
	endpoints []*EndpointState
	byName    map[string]*EndpointState
	// load is the demand expected at each endpoint.
	load map[string]float64
	// holders lists, by unit, the live endpoints where it is or will be loaded.
	holders map[string][]*EndpointState
	// adapterMemoryMB is the memory of all adapters of each base.
	adapterMemoryMB map[string]int64
	largestMB       int64
	loadBudget      int
	moves           []Move
	// evicting is the set of endpoints where memory is already being freed.
	evicting map[string]bool
}

// Plan returns the moves worth making now, most urgent first. It is deterministic. A
// unit in a valid place is never moved for balance alone: every move has a reason that
// outweighs its cost.
func Plan(s Snapshot) []Move {
	p := newPlanner(s)
	p.unloadUnwanted()
	if p.restoreReachability(s.Units) {
		// While a unit has no replica, memory and the weight store's budget are reserved
		// for it; what an additional replica takes now, that unit may need in the next
		// plan.
		return p.moves
	}
	p.addReplicas(s.Units)
	p.scaleForDemand(s.Units)
	return p.moves
}

func newPlanner(s Snapshot) *planner {
	p := &planner{
		units: make(map[string]*UnitSpec, len(s.Units)), byName: make(map[string]*EndpointState, len(s.Endpoints)),
		load: make(map[string]float64, len(s.Endpoints)), holders: make(map[string][]*EndpointState, len(s.Units)),
		loadBudget: s.LoadBudget, evicting: map[string]bool{}, adapterMemoryMB: map[string]int64{},
	}
	for i := range s.Units {
		if base := s.Units[i].Base; base != "" {
			p.adapterMemoryMB[base] += s.Units[i].MemoryMB
		}
		p.units[s.Units[i].Name] = &s.Units[i]
		p.largestMB = max(p.largestMB, s.Units[i].MemoryMB)
	}
	for i := range s.Endpoints {
		e := s.Endpoints[i]
		units := make(map[string]PlacedUnit, len(e.Units)+4)
		for name, placed := range e.Units {
			units[name] = placed
			if e.Live && placed.isReplica() {
				p.holders[name] = append(p.holders[name], &e)
			}
		}
		e.Units = units
		p.endpoints = append(p.endpoints, &e)
		p.byName[e.Name] = &e
	}
	p.spreadDemand()
	return p
}

// isReplica reports whether the unit is, or will be, a replica.
func (u PlacedUnit) isReplica() bool { return u.State == Loading || u.State == Ready }

// spreadDemand splits the demand of each unit evenly over its holders.
func (p *planner) spreadDemand() {
	for name, holders := range p.holders {
		u := p.units[name]
		if u == nil {
			continue
		}
		for _, e := range holders {
			p.load[e.Name] += u.Demand / float64(len(holders))
		}
	}
}

// unloadUnwanted unloads units that are no longer in the settings.
func (p *planner) unloadUnwanted() {
	for _, e := range p.endpoints {
		if !e.AcceptsLoads {
			continue
		}
		for _, name := range sortedKeys(e.Units) {
			if p.units[name] == nil && e.Units[name].State == Ready && !p.hasAdapters(e, name) {
				p.unload(e, name, ReasonUnwanted, "")
			}
		}
	}
}

func (p *planner) hasAdapters(e *EndpointState, base string) bool {
	for _, u := range e.Units {
		if u.Base == base && u.State != Absent {
			return true
		}
	}
	return false
}

// restoreReachability loads units that have no replica, in the order of waiting
// requests, then demand, then memory: bases before adapters and large units before small
// ones, as they are hardest to place. It reports whether there are any such units.
func (p *planner) restoreReachability(specs []UnitSpec) bool {
	var missing []*UnitSpec
	for i := range specs {
		if len(p.holders[specs[i].Name]) == 0 {
			missing = append(missing, &specs[i])
		}
	}
	slices.SortStableFunc(missing, func(a, b *UnitSpec) int {
		return cmp.Or(
			cmp.Compare(b.Waiting, a.Waiting), cmp.Compare(b.Demand, a.Demand),
			cmp.Compare(b.MemoryMB, a.MemoryMB), cmp.Compare(a.Name, b.Name))
	})
	for _, u := range missing {
		if e := p.place(u, 0); e != nil {
			p.loadUnit(e, u, ReasonUnreachable, "")
			continue
		}
		p.makeRoom(u)
	}
	return len(missing) > 0
}

// addReplicas loads replicas up to the number in the settings as long as room remains
// for the largest unit to move. Units with the highest demand come first; small units
// come before large ones, as they keep more units reachable for the same memory.
func (p *planner) addReplicas(specs []UnitSpec) {
	var belowTarget []*UnitSpec
	for i := range specs {
		u := &specs[i]
		if n := len(p.holders[u.Name]); n > 0 && n < p.wantedReplicas(u) {
			belowTarget = append(belowTarget, u)
		}
	}
	slices.SortStableFunc(belowTarget, func(a, b *UnitSpec) int {
		return cmp.Or(
			cmp.Compare(int(b.Demand), int(a.Demand)), cmp.Compare(a.MemoryMB, b.MemoryMB), cmp.Compare(a.Name, b.Name))
	})
	for _, u := range belowTarget {
		if p.loadBudget <= 0 {
			return
		}
		if e := p.place(u, p.largestMB); e != nil {
			p.loadUnit(e, u, ReasonSpare, "")
		}
	}
}

// wantedReplicas returns the number in the settings, limited for an adapter to the
// replicas of its base.
func (p *planner) wantedReplicas(u *UnitSpec) int {
	if u.Base == "" {
		return u.Replicas
	}
	return min(u.Replicas, len(p.holders[u.Base]))
}

// Thresholds of demand, as fractions of an endpoint's concurrency.
const (
	// busyFraction is the load of an endpoint above which a unit gets another replica.
	// It is far above idleFraction, so that the two do not alternate.
	busyFraction = 0.75
	// idleFraction is the load of an endpoint below which it may get a further replica.
	idleFraction = 0.35
)

// scaleForDemand adds a replica where all endpoints of a unit are busy, others are idle,
// and the gain in requests outweighs the cost of the load.
func (p *planner) scaleForDemand(specs []UnitSpec) {
	candidates := make([]*UnitSpec, 0, len(specs))
	for i := range specs {
		if specs[i].Base == "" && p.overloaded(&specs[i]) {
			candidates = append(candidates, &specs[i])
		}
	}
	slices.SortStableFunc(candidates, func(a, b *UnitSpec) int {
		return cmp.Or(cmp.Compare(b.Demand, a.Demand), cmp.Compare(a.Name, b.Name))
	})
	for _, u := range candidates {
		e := p.placeOnIdle(u)
		if e == nil {
			continue
		}
		p.loadUnit(e, u, ReasonDemand, "")
	}
}

// overloaded reports whether every holder of a unit is busy, the unit itself contributes
// to that, and the gain of a replica outweighs its cost.
func (p *planner) overloaded(u *UnitSpec) bool {
	holders := p.holders[u.Name]
	if len(holders) == 0 {
		return false
	}
	excess := 0.0
	for _, e := range holders {
		limit := busyFraction * float64(e.Concurrency)
		if p.load[e.Name] < limit || e.Units[u.Name].State != Ready {
			return false
		}
		excess += p.load[e.Name] - limit
	}
	ownLoad := u.Demand / float64(len(holders))
	return ownLoad >= 1 && min(excess, u.Demand) > u.LoadCost
}

func (p *planner) placeOnIdle(u *UnitSpec) *EndpointState {
	return p.bestEndpoint(u, p.largestMB, func(e *EndpointState) bool {
		return p.load[e.Name] < idleFraction*float64(e.Concurrency)
	})
}

func (p *planner) loadUnit(e *EndpointState, u *UnitSpec, reason Reason, forUnit string) {
	if p.loadBudget <= 0 {
		return
	}
	p.loadBudget--
	p.moves = append(p.moves, Move{
		Op: OpLoad, Endpoint: e.Name, Unit: u.Name, Base: u.Base, MemoryMB: u.MemoryMB, Reason: reason, For: forUnit,
		Replicas: len(p.holders[u.Name]), Demand: u.Demand, FreeMB: e.FreeMB,
	})
	e.FreeMB -= u.MemoryMB - e.Units[u.Name].MemoryMB
	e.Units[u.Name] = PlacedUnit{State: Loading, MemoryMB: u.MemoryMB, Base: u.Base}
	p.holders[u.Name] = append(p.holders[u.Name], e)
	p.load[e.Name] += u.Demand / float64(len(p.holders[u.Name]))
}

func (p *planner) unload(e *EndpointState, unit string, reason Reason, forUnit string) {
	placed := e.Units[unit]
	move := Move{
		Op: OpUnload, Endpoint: e.Name, Unit: unit, Base: placed.Base, MemoryMB: placed.MemoryMB, Reason: reason, For: forUnit,
		Replicas: len(p.holders[unit]), FreeMB: e.FreeMB,
	}
	if u := p.units[unit]; u != nil {
		move.Demand = u.Demand
	}
	p.moves = append(p.moves, move)
	placed.State, placed.Stable = Unloading, false
	e.Units[unit] = placed
	p.holders[unit] = slices.DeleteFunc(p.holders[unit], func(h *EndpointState) bool { return h == e })
}
