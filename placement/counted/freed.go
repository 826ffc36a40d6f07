package counted

// useFreedMemory loads the models for which memory was freed, where places are scarce and
// models load fast. In the order of pressure they could be left out for long, as their pressure
// counts the freed memory as a replica already, and the endpoint might get orders for adapters
// in the meantime.
func (p *planner) useFreedMemory() {
	if !p.placesCount {
		return
	}
	for _, e := range p.c.sortedEndpoints {
		u, known := p.c.units[e.reservedFor(p.now)]
		if !known || !p.canLoadNow(e, u) {
			continue
		}
		switch {
		case len(p.holders[u.Name]) == 0:
			p.loadModel(e, u, ReasonUnreachable)
		case p.pressure(u.Name) >= p.minPressure():
			p.loadModel(e, u, ReasonDemand)
		}
	}
}

// canLoadNow reports whether an endpoint has memory for a model that it does not hold, may
// load it now and has no move in this plan.
func (p *planner) canLoadNow(e *endpoint, u Unit) bool {
	if !e.canMoveModel() || len(e.draining) > 0 || p.hasMove[e] || p.holds(e, u.Name) || e.resident[u.Name] {
		return false
	}
	return p.c.freeMB(p.now, e) >= u.MemoryMB && (!e.needsStore(u.Name) || p.storeLoadBudget > 0)
}
