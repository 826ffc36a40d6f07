package counted

import (
	"slices"
	"time"
)

// makeRoom starts to free memory for one more replica of a model.
func (p *planner) makeRoom(u Unit, reason Reason) bool {
	if p.c.isolated {
		return false
	}
	if p.storeLoadBudget <= 0 && !p.copyAvailable(u) {
		return false
	}
	if reason == ReasonUnreachable && p.reservedRecently(u.Name) {
		return true
	}
	if reason != ReasonUnreachable && !p.c.demand.warmedUp(p.now) {
		return false
	}
	if reason != ReasonUnreachable && !p.fillsReplicas(u) {
		return false
	}
	e, victim := p.evictionCandidate(u, reason)
	if e == nil {
		return false
	}
	p.hasMove[e] = true
	p.record(Move{Op: OpUnload, Endpoint: e.Name, Unit: victim, Reason: ReasonRoom, For: u.Name})
	p.holders[victim] = slices.DeleteFunc(p.holders[victim], func(h *endpoint) bool { return h == e })
	p.serving[victim]--
	p.reservations[u.Name]++
	return true
}

// evictionCandidate returns the least needed replica and its endpoint, to make room for
// u; nil if no replica is needed less than u.
func (p *planner) evictionCandidate(u Unit, reason Reason) (*endpoint, string) {
	var best *endpoint
	var unit string
	var least float64
	p.countVisits()
	for _, e := range p.c.sortedEndpoints {
		if !e.canMoveModel() || len(e.draining) > 0 || p.hasMove[e] || p.holds(e, u.Name) || e.reservedFor(p.now) != "" {
			continue
		}
		if p.c.lateOrdersMayArrive(p.now, e) {
			// What is unloaded there could not be loaded again for a long time.
			continue
		}
		if p.storeLoadBudget <= 0 && e.needsStore(u.Name) {
			continue
		}
		for _, v := range p.residentsOf(e) {
			cost, evictable := p.evictionCost(e, v, u, reason)
			if !evictable {
				continue
			}
			cost += p.load[e]*loadWeight + p.delay(e, v, u).Seconds()*p.delayCost(u)
			if best == nil || cost < least || cost == least && p.key(v).compare(p.key(unit)) > 0 {
				best, unit, least = e, v, cost
			}
		}
	}
	return best, unit
}

// loadWeight is the weight of the load of an endpoint in the cost of making room there,
// in shares of demand.
const loadWeight = 0.25

// delayWeight is the weight of each second until u is loaded in that cost, per share of
// demand of u.
const delayWeight = 0.15

// delay returns the approximate time to unload v and load u in its place.
func (p *planner) delay(e *endpoint, v string, u Unit) time.Duration {
	if p.placesCount {
		return p.unloadDelay(v) + p.c.duration(e, Order{Op: OpLoad, Unit: u.Name})
	}
	unload := unloadTime
	if p.idleTime(v) < recentTime {
		// The unload waits for running requests.
		unload = busyUnloadTime
	}
	return unload + p.c.duration(e, Order{Op: OpLoad, Unit: u.Name})
}

// evictionCost returns the pressure on the other replicas of v without the one at e, and
// whether v may be unloaded for u.
func (p *planner) evictionCost(e *endpoint, v string, u Unit, reason Reason) (float64, bool) {
	unit := p.c.units[v]
	if unit.Base != "" || p.now.Sub(e.residentSince[v]) < p.minResidence() {
		return 0, false
	}
	if p.servingElsewhere(v, e) == 0 {
		return p.swapCost(e, v), p.swappable(e, v) && (reason == ReasonUnreachable || p.overloaded(u))
	}
	cost := p.share[v] / float64(max(p.replicaCount(v)-1, 1))
	if p.placesCount {
		return cost, p.worthMove(e, v, u, cost, reason)
	}
	return cost, reason == ReasonUnreachable || p.pressure(u.Name) > cost*minPressureRatio
}

// swappable reports whether the only replica of a model may be unloaded: it is not being
// requested, has little demand, and the endpoint keeps a copy from which it can be
// loaded quickly once it is requested.
func (p *planner) swappable(e *endpoint, model string) bool {
	return !p.requested(model) && p.share[model] < swapMaxDemand*p.evenShare && !e.needsStore(model)
}

// swapCost returns the cost of unloading the only replica of a model at e: its next caller has
// to wait until the model is loaded again.
func (p *planner) swapCost(e *endpoint, model string) float64 {
	return (1+p.requestLikelihood(e, model))*swapBaseCost*p.evenShare + p.share[model]
}

// requestLikelihood estimates how likely a model is to be requested within the time in which e
// could load it again. What has been idle for long is expected to stay idle for as long again.
func (p *planner) requestLikelihood(e *endpoint, model string) float64 {
	reload := p.c.duration(e, Order{Op: OpLoad, Unit: model}).Seconds()
	return reload / (reload + p.idleTime(model).Seconds())
}

// overloaded reports whether the pressure on a model exceeds swapMinPressure.
func (p *planner) overloaded(u Unit) bool {
	return p.pressure(u.Name) > swapMinPressure*p.evenShare
}

// idleTime returns the time since the last request for a unit, which for a model includes its
// adapters.
func (p *planner) idleTime(unit string) time.Duration {
	least, known := p.idleTimes[unit]
	if known {
		return least
	}
	least = p.c.demand.idleTime(p.now, unit)
	for _, adapter := range p.c.adapters[unit] {
		least = min(least, p.c.demand.idleTime(p.now, adapter))
	}
	p.idleTimes[unit] = least
	return least
}

// servingElsewhere returns the number of endpoints other than e that serve the unit now.
func (p *planner) servingElsewhere(unit string, e *endpoint) int {
	if e.serves(unit) {
		return p.serving[unit] - 1
	}
	return p.serving[unit]
}
