package counted

import (
	"cmp"
	"maps"
	"slices"
	"strconv"
	"time"
)

// Config configures a Controller.
type Config struct {
	// RateWindow and RateFactor limit the loads from the weight store to RateFactor
	// times its rate in any RateWindow.
	RateWindow time.Duration
	RateFactor float64
	// ByPlaces chooses the measure of demand of a cell whose places are scarce: the places
	// that a unit's requests hold or, if it is not set, its share of the requested tokens.
	ByPlaces bool
	// ForecastLoads makes the controller forecast when units without a replica can be served.
	ForecastLoads bool
}

// Intervals and durations of a Controller.
const (
	// planInterval is the time between plans unless a request is waiting.
	planInterval = 200 * time.Millisecond
	// urgentPlanInterval is the time between plans while a request is waiting.
	urgentPlanInterval = 40 * time.Millisecond
	// reportInterval is the time between reports of an endpoint at which nothing is in
	// flight; its entry shows changes in the meantime.
	reportInterval = 5 * time.Second
	// pollInterval is the time between reports of an endpoint at which something is
	// overdue.
	pollInterval = 250 * time.Millisecond
	// maxPendingReports is the maximum number of report requests in flight. A new
	// holder requests reports of all endpoints; thousands of calls at once would use up
	// its memory and take too long to be answered.
	maxPendingReports = 256
	// reportRetryInterval is the delay before a missing report is requested again.
	reportRetryInterval = 500 * time.Millisecond
	// refusedRetryInterval is the delay before the next report request to an endpoint
	// that refused a connection, recheckInterval the minimum time between report
	// requests caused by failed requests.
	refusedRetryInterval = 100 * time.Millisecond
	recheckInterval      = 500 * time.Millisecond
	// maxReportAge is the maximum age of the state in a report. A report that is
	// requested sooner after the end of an order may not show its effect.
	maxReportAge = 150 * time.Millisecond
	// withdrawalDelay is the time between the withdrawal of a unit from routing and its
	// unload, for requests that are being sent.
	withdrawalDelay = 60 * time.Millisecond
	// unloadTime is the approximate duration of an unload of an idle model.
	unloadTime = 150 * time.Millisecond
	// busyUnloadTime is the approximate duration of an unload that waits for running
	// requests.
	busyUnloadTime = 2 * time.Second
	// defaultLoadTime is used for a load time that is not in the settings.
	defaultLoadTime = 10 * time.Second
	// adapterTime is the approximate duration of loading an adapter.
	adapterTime = 25 * time.Millisecond
)

// unspentAtTakeover is the number of loads in the current window that a successor
// assumes to be unspent: the platform's limit allows that many beyond its rate.
const unspentAtTakeover = 3

// Controller places the units of one cell while its instance may send orders.
type Controller struct {
	cfg      Config
	settings CellSettings
	units    map[string]Unit
	// largestMB is the memory of the largest unit.
	largestMB int64
	// models are the models, adapters the names of the adapters by model, both ordered by name.
	models   []Unit
	adapters map[string][]string
	// tieBreaks holds by unit a hash that orders units about which the same is known.
	tieBreaks map[string]uint64
	// endpoints is keyed by name; sortedEndpoints holds the same endpoints ordered by
	// name.
	endpoints       map[string]*endpoint
	sortedEndpoints []*endpoint
	demand          demand
	placeDemand     placeDemand
	// missing is since when models that are requested have had no replica, and when that was
	// last seen.
	missing map[string]missingModel
	// fastLoads is set if models load fast enough for placement by places.
	fastLoads bool
	window    loadWindow

	// isolated is set while the other instances may not receive announcements. Unloading
	// a withdrawn unit would then make its endpoint reject the requests that the others
	// still send there. An isolated holder may send orders until its lease ends.
	isolated bool
	holding  bool
	epoch    int64
	// acquiredAt is when the lease was acquired.
	acquiredAt time.Time
	// ordersAllowedFrom is when the first order may be sent.
	ordersAllowedFrom time.Time
	nextPlanAt        time.Time
	plannedAt         time.Time
	// nextForecastAt is when the next ForecastLoads is due.
	nextForecastAt time.Time
	// ownOrdersOnlyFrom is the time from which every order that may still arrive was
	// sent by this controller.
	ownOrdersOnlyFrom time.Time
	// departed holds the orders that may still arrive at endpoints that are no longer
	// listed: an endpoint may restart under the same name.
	departed map[string][]lateOrder
}

// NewController returns a controller that may not send orders.
func NewController(cfg Config) *Controller {
	return &Controller{cfg: cfg, units: map[string]Unit{}, endpoints: map[string]*endpoint{}, demand: newDemand(), placeDemand: newPlaceDemand(), departed: map[string][]lateOrder{}, missing: map[string]missingModel{}}
}

// Step applies an event and returns the resulting actions in order.
func (c *Controller) Step(now time.Time, e Event) []Action {
	var actions []Action
	switch e := e.(type) {
	case CellSettings:
		c.configure(e)
	case MemberList:
		c.updateMembers(now, e)
	case ReportReply:
		actions = c.reportReceived(now, e)
	case RequestsFailed:
		c.recheckEndpoints(now, e)
	case EndpointsReplaced:
		actions = c.endpointsReplaced(e)
	case IsolationChanged:
		c.isolated = e.Isolated
	case OrderEnded:
		actions = c.orderEnded(now, e)
	case DemandReport:
		c.demand.observe(now, e)
		c.placeDemand.observe(now, e, c.capacity())
		c.expeditePlan(now, e)
	case LeaseAcquired:
		actions = c.leaseAcquired(now, e)
	case LeaseLost:
		c.holding = false
	}
	if !c.holding {
		return actions
	}
	if _, tick := e.(Tick); tick {
		actions = append(actions, c.forecastLoads(now)...)
	}
	affected := c.affectedEndpoints(e)
	actions = append(actions, c.requestReports(now, affected)...)
	if now.Before(c.ordersAllowedFrom) {
		return actions
	}
	return append(actions, c.placeUnits(now, affected)...)
}

// affectedEndpoints returns the endpoints at which something may be due after an event.
// An answer from one endpoint changes nothing at the others; what becomes due there by
// time alone waits for the next tick. Checking thousands of endpoints after each answer
// would take more processor time than an instance has.
func (c *Controller) affectedEndpoints(e Event) []*endpoint {
	name := ""
	switch e := e.(type) {
	case ReportReply:
		name = e.Endpoint
	case OrderEnded:
		name = e.Endpoint
	case DemandReport:
		return nil
	default:
		return c.sortedEndpoints
	}
	if ep := c.endpoints[name]; ep != nil {
		return []*endpoint{ep}
	}
	return nil
}

func (c *Controller) configure(e CellSettings) {
	c.settings = e
	c.units = make(map[string]Unit, len(e.Units))
	c.models, c.adapters = nil, map[string][]string{}
	for _, u := range slices.SortedFunc(slices.Values(e.Units), func(a, b Unit) int { return cmp.Compare(a.Name, b.Name) }) {
		c.units[u.Name] = u
		if u.Base == "" {
			c.models = append(c.models, u)
			continue
		}
		c.adapters[u.Base] = append(c.adapters[u.Base], u.Name)
	}
	c.computeTieBreaks()
	c.fastLoads = LoadsAreFast(c.models)
	c.largestMB = 0
	for _, u := range e.Units {
		c.largestMB = max(c.largestMB, u.MemoryMB)
	}
	c.window.configure(e.LoadsPerSecond, c.cfg.RateWindow, c.cfg.RateFactor)
}

func (c *Controller) updateMembers(now time.Time, l MemberList) {
	present := make(map[string]bool, len(l.Members))
	added := false
	for _, m := range l.Members {
		present[m.Name] = true
		e := c.endpoints[m.Name]
		if e == nil {
			c.endpoints[m.Name] = c.newMember(now, m)
			added = true
			continue
		}
		if m.StartedAtMS < e.StartedAtMS {
			// A report has shown a later start than the entry.
			continue
		}
		if m.StartedAtMS > e.StartedAtMS {
			e.restart(now, m)
			continue
		}
		if !slices.Equal(e.Member.Resident, m.Resident) {
			// The entry has changed: an order has completed or something else has
			// happened.
			e.reportDueAt = now
		}
		e.Member = m
	}
	for name, e := range c.endpoints {
		if !present[name] {
			c.removeMember(now, e)
		}
	}
	if added || len(c.endpoints) != len(c.sortedEndpoints) {
		c.sortEndpoints()
	}
}

// sortEndpoints rebuilds sortedEndpoints after endpoints were added or removed.
func (c *Controller) sortEndpoints() {
	c.sortedEndpoints = slices.SortedFunc(maps.Values(c.endpoints), func(a, b *endpoint) int { return cmp.Compare(a.Name, b.Name) })
}

func (c *Controller) leaseAcquired(now time.Time, e LeaseAcquired) []Action {
	c.holding, c.epoch, c.acquiredAt, c.ordersAllowedFrom, c.ownOrdersOnlyFrom = true, e.Epoch, now, now, time.Time{}
	c.computeTieBreaks()
	if e.HasPredecessor {
		c.ownOrdersOnlyFrom = now.Add(maxOrderDelay)
		c.ordersAllowedFrom = now.Add(e.OrderDelay)
		c.window.start(now, max(0, c.window.limit-unspentAtTakeover))
	}
	for _, ep := range c.endpoints {
		ep.addInFlightToUnanswered(now)
		// The orders of the previous holder are unknown here.
		ep.stateKnown, ep.inFlight, ep.unresolved, ep.reportDueAt, ep.reportPending, ep.modelMove = false, nil, nil, now, false, nil
		clear(ep.draining)
		ep.announcedAt = time.Time{}
	}
	return []Action{LogEvent{Event: "placement taken over", Detail: "epoch " + strconv.FormatInt(e.Epoch, 10)}}
}

// requestReports requests the reports that are due at the given endpoints.
func (c *Controller) requestReports(now time.Time, endpoints []*endpoint) []Action {
	var actions []Action
	pending := 0
	for _, e := range endpoints {
		if e.reportPending {
			pending++
		}
	}
	for _, e := range endpoints {
		if pending >= maxPendingReports {
			break
		}
		if e.replaced || e.reportPending || e.inFlight != nil || now.Before(e.reportDueAt) || now.Sub(e.orderEndedAt) < maxReportAge {
			continue
		}
		e.reportPending = true
		pending++
		actions = append(actions, RequestReport{Endpoint: e.Name, StartedAtMS: e.StartedAtMS, Address: e.Address})
	}
	return actions
}

func (c *Controller) reportReceived(now time.Time, r ReportReply) []Action {
	e := c.endpoints[r.Endpoint]
	if e == nil || r.StartedAtMS < e.StartedAtMS || r.RequestedAt.Before(c.acquiredAt) {
		// A report requested before the lease was acquired may precede orders of another holder.
		return nil
	}
	e.reportPending = false
	e.reportDueAt = now.Add(reportRetryInterval)
	if r.ConnectionRefused {
		return c.connectionRefused(now, e)
	}
	if r.Report == nil || e.inFlight != nil || r.RequestedAt.Before(e.orderEndedAt.Add(maxReportAge)) {
		return nil
	}
	if r.Report.StartedAtMS > e.StartedAtMS {
		e.restart(now, Member{Name: e.Name, Address: e.Address, FailureDomain: e.FailureDomain, StartedAtMS: r.Report.StartedAtMS})
	}
	if !e.applyReport(now, r.Report) {
		e.reportDueAt = now.Add(pollInterval)
		return nil
	}
	e.reportDueAt = now.Add(c.nextReportDelay(now, e))
	return e.announce(now)
}

// connectionRefused handles a refused connection.
func (c *Controller) connectionRefused(now time.Time, e *endpoint) []Action {
	e.refusedConnections++
	if e.refusedConnections < lostAfterRefusals {
		e.reportDueAt = now.Add(refusedRetryInterval)
	}
	if e.refusedConnections != lostAfterRefusals {
		return nil
	}
	e.lost = true
	return []Action{LogEvent{Event: "endpoint lost", Endpoint: e.Name}}
}

// recheckEndpoints requests reports of endpoints at which requests have failed.
func (c *Controller) recheckEndpoints(now time.Time, s RequestsFailed) {
	for _, name := range s.Endpoints {
		if e := c.endpoints[name]; e != nil && !e.lost && now.Sub(e.suspectedAt) >= recheckInterval {
			e.suspectedAt, e.reportDueAt = now, now
		}
	}
}

// endpointsReplaced excludes endpoints whose addresses are in use by other incarnations.
func (c *Controller) endpointsReplaced(g EndpointsReplaced) []Action {
	var actions []Action
	for _, name := range g.Endpoints {
		e := c.endpoints[name]
		if started := g.StartedAtMS[name]; e == nil || e.replaced || started != 0 && started < e.StartedAtMS {
			continue
		}
		e.replaced = true
		actions = append(actions, LogEvent{Event: "endpoint replaced", Endpoint: name})
	}
	return actions
}

// nextReportDelay returns the delay until the next report after the one just applied.
func (c *Controller) nextReportDelay(now time.Time, e *endpoint) time.Duration {
	switch {
	case e.modelMove != nil:
		left := e.modelMove.since.Add(c.duration(e, Order{Op: e.modelMove.op, Unit: e.modelMove.unit})).Sub(now)
		return max(left, pollInterval)
	case e.foreignMove || e.unresolved != nil || len(e.loading) > 0:
		return pollInterval
	case c.lateOrdersMayArrive(now, e):
		return lateOrderPollInterval
	default:
		return reportInterval
	}
}

func (c *Controller) orderEnded(now time.Time, o OrderEnded) []Action {
	e := c.endpoints[o.Endpoint]
	if e == nil || e.inFlight == nil || *e.inFlight != o.Order {
		return nil
	}
	e.inFlight, e.orderEndedAt, e.reportDueAt = nil, now, now
	c.window.postpone(e.storeLoadAt, now)
	e.storeLoadAt = time.Time{}
	switch o.Result {
	case Accepted:
		e.applyOrder(now, o.Order, c.units, c.duration(e, o.Order))
		e.reportDueAt = now.Add(max(c.duration(e, o.Order), maxReportAge))
		return e.announce(now)
	case Superseded:
		c.holding = false
		return []Action{LogEvent{Event: "superseded", Endpoint: o.Endpoint}}
	case Replaced:
		return c.endpointsReplaced(EndpointsReplaced{Endpoints: []string{o.Endpoint}})
	case Unknown:
		order := o.Order
		e.unresolved = &order
		e.addUnanswered(now, o.Order)
		return []Action{LogEvent{Event: "order unanswered", Endpoint: o.Endpoint, Unit: o.Order.Unit, Detail: string(o.Order.Op)}}
	default:
		e.stateKnown = false
		return []Action{LogEvent{Event: "order refused", Endpoint: o.Endpoint, Unit: o.Order.Unit, Detail: string(o.Order.Op)}}
	}
}

// expeditePlan brings the next plan forward if a request is waiting for a unit without a
// replica.
func (c *Controller) expeditePlan(now time.Time, d DemandReport) {
	earliest := c.plannedAt.Add(urgentPlanInterval)
	if c.nextPlanAt.After(earliest) && !c.allReachable(d.Waiting) {
		c.nextPlanAt = earliest
	}
}

// allReachable reports whether all units that requests wait for are served or loading.
func (c *Controller) allReachable(waiting map[string]int) bool {
	missing := make([]string, 0, len(waiting))
	for unit, n := range waiting {
		if n > 0 {
			missing = append(missing, unit)
		}
	}
	for _, e := range c.sortedEndpoints {
		if len(missing) == 0 {
			return true
		}
		missing = slices.DeleteFunc(missing, func(unit string) bool {
			_, loading := e.loading[unit]
			return loading || e.serves(unit)
		})
	}
	return len(missing) == 0
}

// placeUnits sends the unloads that are due at the given endpoints, and plans if a plan
// is due.
func (c *Controller) placeUnits(now time.Time, endpoints []*endpoint) []Action {
	actions := c.unloadWithdrawn(now, endpoints)
	if now.Before(c.nextPlanAt) || len(c.units) == 0 {
		return actions
	}
	c.nextPlanAt, c.plannedAt = now.Add(planInterval), now
	for _, m := range c.plan(now) {
		actions = append(actions, LogMove{Move: m})
		actions = append(actions, c.execute(now, m)...)
	}
	return actions
}

// unloadWithdrawn unloads units whose withdrawal was announced at least withdrawalDelay
// ago.
func (c *Controller) unloadWithdrawn(now time.Time, endpoints []*endpoint) []Action {
	if c.isolated {
		return nil
	}
	var actions []Action
	for _, e := range endpoints {
		if len(e.draining) == 0 {
			continue
		}
		for _, unit := range sortedNames(e.draining) {
			if now.Sub(e.draining[unit]) < withdrawalDelay || !e.canMoveModel() {
				continue
			}
			actions = append(actions, c.send(e, Order{Op: OpUnload, Unit: unit}))
		}
	}
	return actions
}

func (c *Controller) execute(now time.Time, m Move) []Action {
	e := c.endpoints[m.Endpoint]
	if m.Op == OpUnload {
		e.draining[m.Unit] = now
		if c.units[m.Unit].Base == "" {
			e.reserved, e.reservedAt = m.For, now
		}
		return e.announce(now)
	}
	if m.Op == OpLoad && c.units[m.Unit].Base == "" {
		e.reserved = ""
		if e.needsStore(m.Unit) {
			c.window.start(now, 1)
			e.storeLoadAt = now
		}
	}
	return []Action{c.send(e, Order{Op: m.Op, Unit: m.Unit})}
}

func (c *Controller) send(e *endpoint, o Order) SendOrder {
	o.ExpectedCount, o.Epoch, o.StartedAtMS = e.orderCount, c.epoch, e.StartedAtMS
	e.inFlight = &o
	return SendOrder{Endpoint: e.Name, Address: e.Address, Order: o}
}
