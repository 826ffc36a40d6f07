package demo

import (
	"github.com/eiderspring/eiderspring/placement"
	"github.com/eiderspring/eiderspring/settings"
)

// initialPlacement returns the units that the engines of a pool hold when the
// demo starts, as an earlier run would have left them: for each endpoint, the
// memory of each unit in MB. Each unit has the replicas that the settings ask
// for, as far as memory allows. The stand-ins start with this placement; the
// instances discover it by inventory.
func initialPlacement(catalog *settings.Catalog, pool string, endpoints []endpointSpec) map[string]map[string]int64 {
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
	resident := make(map[string]map[string]int64, len(endpoints))
	for moves := placement.Plan(s); len(moves) > 0; moves = placement.Plan(s) {
		for _, m := range moves {
			applyLoad(&s, resident, m)
		}
	}
	return resident
}

// applyLoad applies a planned load to the snapshot and to the resident units.
func applyLoad(s *placement.Snapshot, resident map[string]map[string]int64, m placement.Move) {
	for i := range s.Endpoints {
		e := &s.Endpoints[i]
		if e.Name != m.Endpoint {
			continue
		}
		e.FreeMB -= m.MemoryMB
		e.Units[m.Unit] = placement.PlacedUnit{State: placement.Ready, MemoryMB: m.MemoryMB, Base: m.Base, Stable: true}
		if resident[e.Name] == nil {
			resident[e.Name] = map[string]int64{}
		}
		resident[e.Name][m.Unit] = m.MemoryMB
	}
}
