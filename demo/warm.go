package demo

import (
	"github.com/eiderspring/eiderspring/placement"
	"github.com/eiderspring/eiderspring/settings"
)

// warmPlacement is what the engines of a pool hold when the demo begins, as an
// earlier run would have left them: every unit with the replicas that the
// settings want, as far as memory allows. The stand-ins take it as given; the instances find it
// by inventory.
func warmPlacement(catalog *settings.Catalog, pool string, endpoints []endpointSpec) map[string]map[string]int64 {
	p := catalog.Tree.Pools[pool]
	s := placement.Snapshot{LoadBudget: len(catalog.Units)}
	for _, name := range catalog.UnitNames() {
		if u := catalog.Units[name]; u.Pool == pool {
			s.Units = append(s.Units, placement.UnitSpec{Name: name, Base: u.Base, MemoryMB: u.MemoryMB, Replicas: u.Policy.Replicas})
		}
	}
	for _, e := range endpoints {
		s.Endpoints = append(s.Endpoints, placement.EndpointState{
			Name: e.name, FailureDomain: e.domain, CapacityMB: p.MemoryMB, FreeMB: p.MemoryMB,
			Concurrency: p.Concurrency, AcceptsLoads: true, Live: true, Units: map[string]placement.PlacedUnit{},
		})
	}
	held := make(map[string]map[string]int64, len(endpoints))
	for moves := placement.Plan(s); len(moves) > 0; moves = placement.Plan(s) {
		for _, m := range moves {
			hold(&s, held, m)
		}
	}
	return held
}

// hold makes a planned load true.
func hold(s *placement.Snapshot, held map[string]map[string]int64, m placement.Move) {
	for i := range s.Endpoints {
		e := &s.Endpoints[i]
		if e.Name != m.Endpoint {
			continue
		}
		e.FreeMB -= m.MemoryMB
		e.Units[m.Unit] = placement.PlacedUnit{State: placement.Ready, MemoryMB: m.MemoryMB, Base: m.Base, Stable: true}
		if held[e.Name] == nil {
			held[e.Name] = map[string]int64{}
		}
		held[e.Name][m.Unit] = m.MemoryMB
	}
}
