package counted

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Reason is the reason for a move.
type Reason string

// Reasons for moves.
const (
	// ReasonUnreachable loads a unit that has no replica.
	ReasonUnreachable Reason = "unreachable"
	// ReasonDemand adds a replica because of current demand.
	ReasonDemand Reason = "demand"
	// ReasonSpare loads a unit that is not requested into free memory.
	ReasonSpare Reason = "spare"
	// ReasonRoom unloads a replica that is needed less than another unit.
	ReasonRoom Reason = "room"
)

// Move is one load or unload, with the numbers behind the decision.
type Move struct {
	Op             Op
	Endpoint, Unit string
	Reason         Reason
	// For is the unit for which memory is freed.
	For string
	// Replicas is the number of replicas of the unit, Share its share of all demand, and
	// Waiting the number of requests that are waiting for it.
	Replicas int
	Share    float64
	Waiting  int
}

// Thresholds of the plan. A threshold in even shares is a share of all demand as a
// multiple of the even share of one live endpoint, so that it applies to 12 endpoints as
// well as to 720.
const (
	// minPressureRatio is the minimum ratio of the pressure on the unit that gains a
	// replica to the pressure on the unit that loses one.
	minPressureRatio = 1.35
	// minPressureToLoad is the minimum pressure, in even shares, for which another
	// replica is loaded into free memory.
	minPressureToLoad = 0.24
	// minKVTurnover is the minimum demand per second on a replica, as a fraction of its
	// memory for prompts and answers, for which another replica is worth a load.
	minKVTurnover = 0.01
	// maxUnplacedModels is the number of models without room for another replica after
	// which the plan stops adding replicas: the remaining models have less pressure.
	maxUnplacedModels = 6
	// maxEndpointVisits is the number of endpoint checks in one phase of a plan. With
	// hundreds of endpoints no phase needs as many. With thousands, a plan for demand
	// that rises everywhere would block the lease holder for seconds; what is left out
	// is planned in the next plan.
	maxEndpointVisits = 200_000
	// unrequestedPerEndpoint is the number of models without requests for which one plan
	// may start to make room, per live endpoint.
	unrequestedPerEndpoint = 1.0 / 12
	// minResidence is how long a replica must have been resident before it may be
	// unloaded to make room.
	minResidence = 3 * time.Second
	// adapterReplicaFactor is the ratio of an adapter's share of the model's replicas to
	// its share of the model's demand.
	adapterReplicaFactor = 1.5
	// maxLoadingAdapters is the number of adapters that may be loading at one endpoint,
	// which is a limit of the platform.
	maxLoadingAdapters = 4
	// swapMinIdle is the time without requests after which a model's only replica may be
	// unloaded.
	swapMinIdle = 1500 * time.Millisecond
	// swapMaxDemand is the demand, in even shares, below which a model's only replica
	// may be unloaded.
	swapMaxDemand = 0.36
	// swapMinPressure is the pressure, in even shares, from which a model may replace
	// the only replica of another.
	swapMinPressure = 1.2
	// swapBaseCost is the cost of unloading an only replica, in even shares, if its model is
	// certain not to be requested before it could be loaded again. It is twice that if the
	// model is certain to be.
	swapBaseCost = 0.36
	// slowLoadTime is the duration from which a load blocks the adapters of an endpoint
	// for too long.
	slowLoadTime = 3 * time.Second
	// recentTime is how long after its last request a unit counts as in demand.
	recentTime = 6 * time.Second
)

// planner is the working state of one plan.
type planner struct {
	c   *Controller
	now time.Time
	// share is each model's share of all demand, including its adapters.
	share map[string]float64
	// holders are the endpoints that serve or load each unit.
	holders map[string][]*endpoint
	// serving is the number of holders of each unit that serve it now.
	serving map[string]int
	// models are all models in the order of unitOrder.
	models []Unit
	// idleTimes caches the idle times of units.
	idleTimes map[string]time.Duration
	// visits is the number of endpoint checks in the current phase of the plan,
	// totalVisits the number in all phases.
	visits, totalVisits int
	// totalDemand is the sum of all demand, in tokens per second.
	totalDemand float64
	// totalPlaces is the sum of all needed places, if demand is measured in places.
	totalPlaces float64
	// evenShare is one live endpoint's even share of all demand.
	evenShare float64
	// residents caches the units of endpoints in the order in which they are given up.
	residents map[*endpoint][]string
	// reservations counts the endpoints at which memory is being freed, by unit.
	reservations map[string]int
	// load is the share of demand on each endpoint.
	load map[*endpoint]float64
	// storeLoadBudget is the number of loads from the weight store that may start.
	storeLoadBudget int
	// hasMove is the set of endpoints that have a move in this plan.
	hasMove map[*endpoint]bool
	// placesCount is set if demand is measured in places.
	placesCount bool
	moves       []Move
}

// plan returns the moves worth making now, the most urgent first.
func (c *Controller) plan(now time.Time) []Move { return c.makePlan(now).moves }

// makePlan computes a plan.
func (c *Controller) makePlan(now time.Time) *planner {
	p := &planner{
		c: c, now: now, holders: map[string][]*endpoint{}, load: map[*endpoint]float64{},
		reservations: map[string]int{}, hasMove: map[*endpoint]bool{}, storeLoadBudget: c.window.remaining(now, c.unresolvedStoreLoads(now)),
		residents: map[*endpoint][]string{}, serving: map[string]int{}, idleTimes: map[string]time.Duration{}, placesCount: c.placesCount(),
	}
	p.computeEvenShare()
	p.computeShares()
	p.orderModels()
	p.findHolders()
	p.useFreedMemory()
	p.loadMissingModels()
	p.placeRequestedAdapters()
	p.addReplicas()
	p.preloadAdapters()
	p.preloadModels()
	return p
}

// startPhase starts a phase of the plan.
func (p *planner) startPhase() { p.visits = 0 }

// countVisits counts a check of all endpoints.
func (p *planner) countVisits() {
	p.visits += len(p.c.sortedEndpoints)
	p.totalVisits += len(p.c.sortedEndpoints)
}

// computeEvenShare computes the even share of a live endpoint.
func (p *planner) computeEvenShare() {
	live := 0
	for _, e := range p.c.endpoints {
		if !e.excluded() {
			live++
		}
	}
	p.evenShare = 1 / float64(max(live, 1))
}

// findHolders computes the holders of each unit, the reservations and the load of each
// endpoint.
func (p *planner) findHolders() {
	for _, e := range p.c.sortedEndpoints {
		if e.excluded() {
			continue
		}
		for u := range e.resident {
			if e.serves(u) {
				p.holders[u] = append(p.holders[u], e)
				p.serving[u]++
			}
		}
		for u := range e.loading {
			p.holders[u] = append(p.holders[u], e)
		}
		if e.modelMove != nil && e.modelMove.op == OpLoad && !e.resident[e.modelMove.unit] {
			p.holders[e.modelMove.unit] = append(p.holders[e.modelMove.unit], e)
		}
		if unit := e.reservedFor(p.now); unit != "" {
			p.reservations[unit]++
		}
	}
	// The order of the sums is fixed, so that a plan depends on its inputs alone.
	for _, unit := range sortedNames(p.holders) {
		holders := p.holders[unit]
		for _, e := range holders {
			p.load[e] += p.share[unit] / float64(len(holders))
		}
	}
}

// replicaCount returns the number of replicas of a model, including loading ones and
// those for which memory is being freed.
func (p *planner) replicaCount(model string) int {
	return len(p.holders[model]) + p.reservations[model]
}

// pressure returns the share of demand per replica of a model.
func (p *planner) pressure(model string) float64 {
	return p.share[model] / float64(max(p.replicaCount(model), 1))
}

// modelsWithoutReplica returns the models without a holder, those with the most waiting
// requests first, then those with the highest demand, then the most recently requested.
func (p *planner) modelsWithoutReplica() []Unit {
	var missing []Unit
	for _, u := range p.models {
		if len(p.holders[u.Name]) == 0 {
			missing = append(missing, u)
		}
	}
	slices.SortStableFunc(missing, func(a, b Unit) int {
		return cmp.Or(
			cmp.Compare(p.waiting(b.Name), p.waiting(a.Name)), cmp.Compare(p.share[b.Name], p.share[a.Name]))
	})
	return missing
}

// loadMissingModels loads models without a holder: all that are requested, and in each
// plan a few of those that no endpoint could load quickly once they are requested. If
// many engines are lost at once, loading all of their models would unload the replicas
// that the others need most, and the engines return within seconds with the models on
// their disks.
func (p *planner) loadMissingModels() {
	unrequested := max(1, int(unrequestedPerEndpoint/p.evenShare))
	p.startPhase()
	for _, u := range p.modelsWithoutReplica() {
		if p.visits >= maxEndpointVisits {
			return
		}
		switch {
		case p.requested(u.Name):
			p.c.noteMissing(p.now, u.Name)
			p.addReplica(u, ReasonUnreachable)
		case unrequested > 0 && !p.copyAvailable(u):
			unrequested--
			p.addReplica(u, ReasonUnreachable)
		}
	}
}

// preloadModels loads the remaining models without a holder into free memory that is
// not reserved.
func (p *planner) preloadModels() {
	p.startPhase()
	for _, u := range p.modelsWithoutReplica() {
		if p.visits >= maxEndpointVisits {
			return
		}
		if e := p.endpointWithRoom(u); e != nil {
			p.loadModel(e, u, ReasonSpare)
		}
	}
}

// requested reports whether the model is being requested now.
func (p *planner) requested(model string) bool {
	return p.waiting(model) > 0 || p.idleTime(model) < swapMinIdle
}

// waiting returns the number of requests that are waiting for a model or one of its
// adapters.
func (p *planner) waiting(model string) int {
	n := p.c.demand.waiting[model]
	for _, adapter := range p.c.adapters[model] {
		n += p.c.demand.waiting[adapter]
	}
	return n
}

// addReplicas adds replicas of the models with the highest pressure as long as that is
// worth a move.
func (p *planner) addReplicas() {
	unplaced := map[string]bool{}
	p.startPhase()
	for len(unplaced) < maxUnplacedModels && p.visits < maxEndpointVisits {
		most := p.mostPressed(unplaced)
		if most == nil || p.pressure(most.Name) < p.minPressure() {
			return
		}
		if !p.addReplica(*most, ReasonDemand) {
			unplaced[most.Name] = true
		}
	}
}

// minPressure returns the share of demand per replica of a model below which another
// replica is not worth a load.
func (p *planner) minPressure() float64 {
	return max(minPressureToLoad*p.evenShare, p.c.replicaDemand()/p.totalDemand)
}

// mostPressed returns the model with the highest pressure that is not excluded; nil for
// none.
func (p *planner) mostPressed(excluded map[string]bool) *Unit {
	var most *Unit
	for i := range p.models {
		u := &p.models[i]
		if excluded[u.Name] {
			continue
		}
		if most == nil || p.pressure(u.Name) > p.pressure(most.Name) {
			most = u
		}
	}
	return most
}

// addReplica loads one more replica of a model or starts to make room for it.
func (p *planner) addReplica(u Unit, reason Reason) bool {
	withRoom := p.endpointWithRoom(u)
	if withRoom != nil && !p.fasterElsewhere(u, withRoom) {
		p.loadModel(withRoom, u, reason)
		return true
	}
	if p.makeRoom(u, reason) {
		return true
	}
	if withRoom == nil {
		return false
	}
	p.loadModel(withRoom, u, reason)
	return true
}

// reservedRecently reports whether memory is being freed for the model, and not yet for
// so long that freeing memory elsewhere as well would be better.
func (p *planner) reservedRecently(model string) bool {
	for _, e := range p.c.endpoints {
		if !e.excluded() && e.reservedFor(p.now) == model && p.now.Sub(e.reservedAt) < busyUnloadTime/2 {
			return true
		}
	}
	return false
}

// fasterElsewhere reports whether an endpoint without room for u could serve it much
// sooner than one with room, as it has a copy in host memory or on disk.
func (p *planner) fasterElsewhere(u Unit, withRoom *endpoint) bool {
	o := Order{Op: OpLoad, Unit: u.Name}
	if p.c.duration(withRoom, o) < slowLoadTime {
		return false
	}
	for _, e := range p.c.endpoints {
		if e.canMoveModel() && !p.holds(e, u.Name) && !p.hasMove[e] && p.c.duration(e, o) < slowLoadTime {
			return true
		}
	}
	return false
}

func (p *planner) holds(e *endpoint, unit string) bool { return slices.Contains(p.holders[unit], e) }

func (p *planner) copyAvailable(u Unit) bool {
	for _, e := range p.c.endpoints {
		if !e.excluded() && !e.needsStore(u.Name) && !p.holds(e, u.Name) {
			return true
		}
	}
	return false
}

// endpointWithRoom returns the best endpoint that can load u now, or nil: one with the
// shortest load time, then with the fewest replicas in its failure domain, then with the
// lowest load.
func (p *planner) endpointWithRoom(u Unit) *endpoint {
	var best *endpoint
	p.countVisits()
	for _, e := range p.c.sortedEndpoints {
		if !p.canLoadNow(e, u) {
			continue
		}
		if reservedFor := e.reservedFor(p.now); reservedFor != "" && reservedFor != u.Name {
			continue
		}
		if best == nil || p.better(u, e, best) {
			best = e
		}
	}
	return best
}

func (p *planner) better(u Unit, a, b *endpoint) bool {
	if p.placesCount {
		return p.roomCost(u, a) < p.roomCost(u, b)
	}
	o := Order{Op: OpLoad, Unit: u.Name}
	return cmp.Or(
		cmp.Compare(p.c.duration(a, o), p.c.duration(b, o)),
		cmp.Compare(p.sameDomain(u, a), p.sameDomain(u, b)),
		cmp.Compare(p.load[a], p.load[b]),
	) < 0
}

// sameDomain returns the number of replicas of u in the endpoint's failure domain.
func (p *planner) sameDomain(u Unit, e *endpoint) int {
	n := 0
	for _, h := range p.holders[u.Name] {
		if h.FailureDomain == e.FailureDomain {
			n++
		}
	}
	return n
}

func (p *planner) loadModel(e *endpoint, u Unit, reason Reason) {
	p.hasMove[e] = true
	if e.needsStore(u.Name) {
		p.storeLoadBudget--
	}
	p.record(Move{Op: OpLoad, Endpoint: e.Name, Unit: u.Name, Reason: reason})
	p.holders[u.Name] = append(p.holders[u.Name], e)
	if e.reservedFor(p.now) != "" {
		p.reservations[u.Name]--
	}
}

func (p *planner) record(m Move) {
	m.Replicas, m.Share, m.Waiting = len(p.holders[m.Unit]), p.share[m.Unit], p.c.demand.waiting[m.Unit]
	p.moves = append(p.moves, m)
}

func sortedNames[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }
