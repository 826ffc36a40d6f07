package daemon

import (
	"cmp"
	"maps"
	"slices"

	"github.com/eiderspring/eiderspring/peer"
	"github.com/eiderspring/eiderspring/pipeline"
)

// maxRunningDemands is the number of units in a summary up to which those are added that only
// have requests at endpoints: as many as the loads, most instances have requests for fewer.
const maxRunningDemands = maxLoads

// unitDemands returns the demand for the units that have the most requests waiting, then for
// those requested since the last call.
func unitDemands(d *pipeline.Demand, waiting, running map[string]int) []peer.UnitDemand {
	work := d.Take(waiting)
	demands := make([]peer.UnitDemand, 0, len(work))
	for unit, w := range work {
		demands = append(demands, peer.UnitDemand{Unit: unit, Work: w, Waiting: waiting[unit], Running: running[unit]})
	}
	slices.SortFunc(demands, func(a, b peer.UnitDemand) int {
		return cmp.Or(cmp.Compare(b.Waiting, a.Waiting), cmp.Compare(b.Running, a.Running), cmp.Compare(a.Unit, b.Unit))
	})
	most := maxDemands
	if len(running) > 0 {
		most = maxDemandsRunning
	}
	return demands[:min(len(demands), most)]
}

// tellsRunning reports whether summaries tell how many requests are at endpoints by unit. In a
// small fleet, where each instance sends to every other, they do not.
func (m *mesh) tellsRunning() bool {
	return !m.isSmallFleet() && m.placesByPlaces != nil && m.placesByPlaces()
}

// addRunning adds the units to a summary that only have requests at endpoints, as far as it has
// room.
func (m *mesh) addRunning(p *peer.Packet) {
	if !m.tellsRunning() {
		return
	}
	running := m.demand.Running()
	for _, d := range p.Demands {
		delete(running, d.Unit)
	}
	if len(running) == 0 {
		return
	}
	units := slices.SortedFunc(maps.Keys(running), func(a, b string) int {
		return cmp.Or(cmp.Compare(running[b], running[a]), cmp.Compare(a, b))
	})
	room := remainingBytes(*p)
	for _, unit := range units {
		d := peer.UnitDemand{Unit: unit, Work: m.demand.Work(unit), Running: running[unit]}
		if room -= d.EncodedSize(); room < 0 || len(p.Demands) >= maxRunningDemands {
			return
		}
		p.Demands = append(p.Demands, d)
	}
}
