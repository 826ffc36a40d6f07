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
	// holders lists, by unit, the serving endpoints where it is or will be.
	holders map[string][]*EndpointState
	// adapterMemoryMB is the memory of all adapters on each base.
	adapterMemoryMB map[string]int64
	largestMB       int64
	loadBudget      int
	moves           []Move
	// evicting holds the endpoints at which room is being made already.
	evicting map[string]bool
}

// Plan returns the moves worth making now, most urgent first. The same
// snapshot gives the same plan. A unit that is where it should be is never
// moved for the sake of balance alone: every move has a reason that outweighs
// its price.
func Plan(s Snapshot) []Move {
	p := newPlanner(s)
	p.unloadUnwanted()
	if p.restoreReachability(s.Units) {
		// While a unit has no replica, memory and the weight store's budget are
		// for it; what a spare takes now it may need in the next plan.
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

// isReplica tells whether the unit is, or will be, a replica.
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

// unloadUnwanted unloads units that the settings no longer name.
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

// restoreReachability loads units that have no replica: those that callers wait
// for first, then those of most demand, then bases before adapters and large
// units before small ones, as they are hardest to place. It reports whether
// there were any.
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

// addReplicas brings units up to the number of replicas that the settings want,
// as long as room is left for the largest unit to move. Units of most demand go
// first; small ones go before large ones, as they keep more units reachable for
// the memory they take.
func (p *planner) addReplicas(specs []UnitSpec) {
	var short []*UnitSpec
	for i := range specs {
		u := &specs[i]
		if n := len(p.holders[u.Name]); n > 0 && n < p.wantedReplicas(u) {
			short = append(short, u)
		}
	}
	slices.SortStableFunc(short, func(a, b *UnitSpec) int {
		return cmp.Or(
			cmp.Compare(int(b.Demand), int(a.Demand)), cmp.Compare(a.MemoryMB, b.MemoryMB), cmp.Compare(a.Name, b.Name))
	})
	for _, u := range short {
		if p.loadBudget <= 0 {
			return
		}
		if e := p.place(u, p.largestMB); e != nil {
			p.loadUnit(e, u, ReasonSpare, "")
		}
	}
}

// wantedReplicas is the setting, but for an adapter never more than its base
// can have.
func (p *planner) wantedReplicas(u *UnitSpec) int {
	if u.Base == "" {
		return u.Replicas
	}
	return min(u.Replicas, len(p.holders[u.Base]))
}

// Thresholds of demand, as shares of an endpoint's concurrency.
const (
	// busyFraction is the load of an endpoint above which a unit gets another
	// replica. It is far above idleShare, so that the two never alternate.
	busyFraction = 0.75
	// idleFraction is the load of an endpoint below which it may take one.
	idleFraction = 0.35
)

// scaleForDemand adds a replica where the endpoints of a unit are busy, others
// are idle, and the requests that would gain outweigh the price of the load.
func (p *planner) scaleForDemand(specs []UnitSpec) {
	busiest := make([]*UnitSpec, 0, len(specs))
	for i := range specs {
		if specs[i].Base == "" && p.overloaded(&specs[i]) {
			busiest = append(busiest, &specs[i])
		}
	}
	slices.SortStableFunc(busiest, func(a, b *UnitSpec) int {
		return cmp.Or(cmp.Compare(b.Demand, a.Demand), cmp.Compare(a.Name, b.Name))
	})
	for _, u := range busiest {
		e := p.placeOnIdle(u)
		if e == nil {
			continue
		}
		p.loadUnit(e, u, ReasonDemand, "")
	}
}

// overloaded tells whether every holder of a unit is busy, the unit itself is a
// reason for it, and the gain of a replica outweighs its price.
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
	own := u.Demand / float64(len(holders))
	return own >= 1 && min(excess, u.Demand) > u.LoadCost
}

func (p *planner) placeOnIdle(u *UnitSpec) *EndpointState {
	return p.bestEndpoint(u, p.largestMB, func(e *EndpointState) bool {
		return p.load[e.Name] < idleFraction*float64(e.Concurrency)
	})
}

func (p *planner) loadUnit(e *EndpointState, u *UnitSpec, why Reason, forUnit string) {
	if p.loadBudget <= 0 {
		return
	}
	p.loadBudget--
	p.moves = append(p.moves, Move{
		Op: OpLoad, Endpoint: e.Name, Unit: u.Name, Base: u.Base, MemoryMB: u.MemoryMB, Reason: why, For: forUnit,
		Replicas: len(p.holders[u.Name]), Demand: u.Demand, FreeMB: e.FreeMB,
	})
	e.FreeMB -= u.MemoryMB - e.Units[u.Name].MemoryMB
	e.Units[u.Name] = PlacedUnit{State: Loading, MemoryMB: u.MemoryMB, Base: u.Base}
	p.holders[u.Name] = append(p.holders[u.Name], e)
	p.load[e.Name] += u.Demand / float64(len(p.holders[u.Name]))
}

func (p *planner) unload(e *EndpointState, unit string, why Reason, forUnit string) {
	placed := e.Units[unit]
	move := Move{
		Op: OpUnload, Endpoint: e.Name, Unit: unit, Base: placed.Base, MemoryMB: placed.MemoryMB, Reason: why, For: forUnit,
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
