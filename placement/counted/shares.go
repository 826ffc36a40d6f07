package counted

import "cmp"

// computeShares computes each model's share of the demand.
func (p *planner) computeShares() {
	p.share = map[string]float64{}
	total := 0.0
	// The order of the sums is fixed, so that a plan depends on its inputs alone.
	for _, unit := range sortedNames(p.c.demand.rate) {
		rate := p.c.demand.rate[unit]
		u, known := p.c.units[unit]
		if !known {
			continue
		}
		p.share[cmp.Or(u.Base, u.Name)] += rate
		total += rate
	}
	p.totalDemand = max(total, p.minTotalDemand())
	for unit := range p.share {
		p.share[unit] /= p.totalDemand
	}
	if p.placesCount {
		p.sharePlaces()
	}
}

// minTotalDemand returns the minimum of total demand for computing shares, in tokens per second: a
// few requests, for which no replica is worth a load anywhere, say little about future demand.
func (p *planner) minTotalDemand() float64 {
	return max(p.c.replicaDemand()/p.evenShare, 1)
}

// sharePlaces computes each model's share of all needed places.
func (p *planner) sharePlaces() {
	p.share = map[string]float64{}
	total := 0.0
	for _, unit := range sortedNames(p.c.placeDemand.need) {
		need := p.c.placeDemand.need[unit]
		u, known := p.c.units[unit]
		if !known {
			continue
		}
		p.share[cmp.Or(u.Base, u.Name)] += need
		total += need
	}
	p.totalPlaces = max(total, minTotalPlaces)
	for unit := range p.share {
		p.share[unit] /= p.totalPlaces
	}
}
