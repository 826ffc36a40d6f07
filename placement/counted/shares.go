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
	p.total = max(total, leastDemand)
	for unit := range p.share {
		p.share[unit] /= p.total
	}
	p.foresee()
}

// foresee gives a part of the demand to the models that it will reach next.
func (p *planner) foresee() {
	models := p.c.models
	var busy []int
	sum, total := 0.0, max(p.c.demand.lastingTotal(), leastDemand)
	p.lastBusy = -1
	for i, u := range models {
		if p.lasting(u.Name) >= busyParts*p.even*total {
			busy = append(busy, i)
			sum += p.share[u.Name]
			p.lastBusy = u.Rank
		}
	}
	if len(busy) == 0 {
		return
	}
	p.ahead = max(leastAhead, int(float64(len(busy))*aheadShare))
	foreseen := sum / float64(len(busy)) * foreseenShare
	for _, i := range busy {
		for _, next := range models[i+1 : min(i+1+p.ahead, len(models))] {
			p.share[next.Name] = max(p.share[next.Name], foreseen)
		}
	}
}

// lasting is the demand that a model and its adapters have had over the last
// seconds: a few requests for a rare one do not make it busy.
func (p *planner) lasting(model string) float64 {
	rate := p.c.demand.lasting[model]
	for _, adapter := range p.c.adapters[model] {
		rate += p.c.demand.lasting[adapter]
	}
	return rate
}
