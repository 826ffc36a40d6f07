package counted

import "cmp"

// leastDemand, in tokens a second, is what all demand counts as at least: a few
// requests say little of what is to come.
const leastDemand = 30_000

// shares finds each model's part of the demand, and gives a part to models
// that demand is about to reach.
func (p *planner) shares() {
	p.share = map[string]float64{}
	total := 0.0
	for unit, rate := range p.c.demand.rate {
		u, known := p.c.units[unit]
		if !known {
			continue
		}
		p.share[cmp.Or(u.Base, u.Name)] += rate
		total += rate
	}
	for unit := range p.share {
		p.share[unit] /= max(total, leastDemand)
	}
	p.foresee()
}

func (p *planner) foresee() {
	models := p.c.models
	busy, sum := 0, 0.0
	p.lastBusy = -1
	for _, u := range models {
		if s := p.share[u.Name]; s >= busyShare {
			busy++
			sum += s
			p.lastBusy = u.Rank
		}
	}
	if busy == 0 {
		return
	}
	foreseen := sum / float64(busy) * foreseenShare
	coming := map[string]float64{}
	for i, u := range models {
		if p.share[u.Name] < busyShare {
			continue
		}
		for _, next := range models[i+1 : min(i+1+ahead, len(models))] {
			coming[next.Name] = foreseen
		}
	}
	for name, s := range coming {
		p.share[name] = max(p.share[name], s)
	}
}
