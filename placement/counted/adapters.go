package counted

import (
	"cmp"
	"slices"
)

// placeRequestedAdapters loads the adapters that requests ask for: one replica each, and
// more according to the adapter's share of the model's demand.
func (p *planner) placeRequestedAdapters() {
	for _, name := range p.requestedAdapters() {
		u := p.c.units[name]
		for len(p.holders[name]) < p.wantedAdapterReplicas(u) && p.addAdapter(u) {
		}
	}
}

// requestedAdapters returns the adapters that were requested recently, those with the most
// waiting requests first, then the most recently requested.
func (p *planner) requestedAdapters() []string {
	var requested []string
	for name := range p.c.demand.lastRequestAt {
		if u, known := p.c.units[name]; known && u.Base != "" && p.idleTime(name) <= recentTime {
			requested = append(requested, name)
		}
	}
	requested = p.inOrder(requested)
	waiting := p.c.demand.waiting
	if len(waiting) > 0 {
		slices.SortStableFunc(requested, func(a, b string) int { return cmp.Compare(waiting[b], waiting[a]) })
	}
	return requested
}

// adaptersWithoutReplica returns the adapters of a model without a holder, the most recently
// requested first.
func (p *planner) adaptersWithoutReplica(model string) []string {
	var missing []string
	for _, name := range p.c.adapters[model] {
		if len(p.holders[name]) == 0 {
			missing = append(missing, name)
		}
	}
	return p.inOrder(missing)
}

// preloadAdapters loads adapters without a replica into free slots before they are
// requested, those of the models with the highest demand first. While a model is
// loading, an endpoint accepts no order for an adapter, and that may last for seconds.
// An adapter is small and loads in milliseconds, so a superfluous one costs next to
// nothing.
func (p *planner) preloadAdapters() {
	models := slices.Clone(p.models)
	slices.SortStableFunc(models, func(a, b Unit) int { return cmp.Compare(p.share[b.Name], p.share[a.Name]) })
	for _, model := range models {
		for _, name := range p.adaptersWithoutReplica(model.Name) {
			u := p.c.units[name]
			if e := p.endpointForAdapter(u); e != nil && p.fitsAdapter(e, u) {
				p.loadAdapter(e, u, ReasonSpare)
			}
		}
	}
}

func (p *planner) wantedAdapterReplicas(u Unit) int {
	bases := len(p.holders[u.Base])
	modelRate := p.c.demand.rate[u.Base]
	for _, adapter := range p.c.adapters[u.Base] {
		modelRate += p.c.demand.rate[adapter]
	}
	n := int(float64(bases)*p.c.demand.rate[u.Name]/max(modelRate, 1)*adapterReplicaFactor) + 1
	return min(n, bases)
}

func (p *planner) addAdapter(u Unit) bool {
	best := p.endpointForAdapter(u)
	if best == nil {
		return false
	}
	if p.fitsAdapter(best, u) {
		p.loadAdapter(best, u, p.adapterReason(u))
		return true
	}
	if p.placesCount {
		if !p.c.isolated {
			p.makeAdapterRoom(u)
		}
		return false
	}
	p.hasMove[best] = true
	if victim := p.idlestAdapter(best); victim != "" && len(best.draining) == 0 && !p.c.isolated {
		p.record(Move{Op: OpUnload, Endpoint: best.Name, Unit: victim, Reason: ReasonRoom, For: u.Name})
	}
	return false
}

func (p *planner) loadAdapter(e *endpoint, u Unit, reason Reason) {
	p.hasMove[e] = true
	p.record(Move{Op: OpLoad, Endpoint: e.Name, Unit: u.Name, Reason: reason})
	p.holders[u.Name] = append(p.holders[u.Name], e)
}

// fitsAdapter reports whether an endpoint has a slot and memory for the adapter.
func (p *planner) fitsAdapter(e *endpoint, u Unit) bool {
	slots := p.c.settings.AdapterSlots
	if slots > 0 && e.usedAdapterSlots(p.c.units)+p.c.lateAdapters(p.now, e) >= slots {
		return false
	}
	return p.c.freeMB(p.now, e) >= u.MemoryMB
}

// endpointForAdapter returns the endpoint for one more replica of an adapter: the one
// with the most free slots, then the lowest load; nil if none can load it.
func (p *planner) endpointForAdapter(u Unit) *endpoint {
	var best *endpoint
	for _, e := range p.holders[u.Base] {
		if !p.canAddAdapter(e, u) {
			continue
		}
		if best == nil || cmp.Or(cmp.Compare(e.usedAdapterSlots(p.c.units), best.usedAdapterSlots(p.c.units)), cmp.Compare(p.load[e], p.load[best])) < 0 {
			best = e
		}
	}
	return best
}

func (p *planner) adapterReason(u Unit) Reason {
	if len(p.holders[u.Name]) == 0 {
		return ReasonUnreachable
	}
	return ReasonDemand
}

// idlestAdapter returns the adapter at e whose last request is the longest ago.
func (p *planner) idlestAdapter(e *endpoint) string {
	for _, name := range p.residentsOf(e) {
		if p.c.units[name].Base != "" {
			return name
		}
	}
	return ""
}
