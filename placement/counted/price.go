package counted

import (
	"math"
	"time"
)

const (
	// streamTime is the time that an average stream needs to end.
	streamTime = 1500 * time.Millisecond
	// idleReplica is the number of requests at a replica below which it counts as idle.
	idleReplica = 0.5
	// fullReplica is the part of an endpoint's places that the requests for one of its models
	// may need.
	fullReplica = 0.85
	// fillingReplica is the part of an endpoint's places that the requests for a model must need
	// at each of its replicas for another replica to give way to one more.
	fillingReplica = 0.4
	// maxMissingTime is how long a model that is requested may have no replica while the only
	// ones that could make room for it are needed more.
	maxMissingTime = 1500 * time.Millisecond
)

// unloadDelay returns the approximate time until a replica of a model is unloaded, which
// waits for the last of its requests.
func (p *planner) unloadDelay(model string) time.Duration {
	running := p.c.placeDemand.runningAt(model, p.c.adapters[model]) / float64(max(p.serving[model], 1))
	if running < idleReplica {
		return unloadTime
	}
	return time.Duration((1 + math.Log(max(running, 1))) * float64(streamTime))
}

// delayCost returns the cost of each second for which a move for u keeps an endpoint from
// other moves and u waiting.
func (p *planner) delayCost(u Unit) float64 {
	if p.placesCount {
		return max(p.share[u.Name], p.evenShare) * delayWeight
	}
	return p.share[u.Name] * delayWeight
}

// worthMove reports whether u needs memory more than the replicas of v that remain would need
// the one at e. cost is the pressure on these. For how long the move keeps both out is part of what
// candidates are compared by.
func (p *planner) worthMove(e *endpoint, v string, u Unit, cost float64, reason Reason) bool {
	if reason != ReasonUnreachable {
		return p.pressure(u.Name) > cost*minPressureRatio
	}
	full := fullReplica * float64(p.c.settings.Concurrency)
	return cost*p.totalPlaces <= full || p.share[u.Name] > cost*minPressureRatio || p.c.missingFor(p.now, u.Name) >= maxMissingTime
}

// roomCost returns what it costs to load u at an endpoint with room, in shares of demand.
func (p *planner) roomCost(u Unit, e *endpoint) float64 {
	load := p.c.duration(e, Order{Op: OpLoad, Unit: u.Name}).Seconds() * p.delayCost(u)
	return p.load[e] + load + float64(p.sameDomain(u, e))*sameDomainCost*p.evenShare
}

// sameDomainCost is the cost of each replica of the model in the endpoint's failure domain, in
// even shares.
const sameDomainCost = 0.1

// fastMinResidence is minResidence where models load fast and places are scarce.
const fastMinResidence = time.Second

// minResidence returns how long a replica must have been resident before it may be unloaded to
// make room.
func (p *planner) minResidence() time.Duration {
	if p.placesCount {
		return fastMinResidence
	}
	return minResidence
}

// fillsReplicas reports whether the replicas of a model fill, so that others may give way to one
// more. Where demand is not measured in places, pressure alone decides.
func (p *planner) fillsReplicas(u Unit) bool {
	return !p.placesCount || p.pressure(u.Name)*p.totalPlaces >= fillingReplica*float64(p.c.settings.Concurrency)
}
