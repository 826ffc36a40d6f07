package counted

import (
	"cmp"
	"maps"
	"slices"
	"strconv"
	"time"
)

// Config sets up a Controller.
type Config struct {
	// RateWindow and RateOver bound the loads from the weight store: RateOver
	// times its rate in any RateWindow.
	RateWindow time.Duration
	RateFactor float64
}

// Times of a Controller.
const (
	// planEvery is the time between plans, unless a request waits.
	planEvery = 200 * time.Millisecond
	// hurriedPlan is the time between plans while a request waits.
	hurriedPlan = 40 * time.Millisecond
	// refreshEvery is the time between reports of an endpoint at which nothing
	// is under way; its entry tells of changes besides.
	refreshEvery = 5 * time.Second
	// pollEvery is the time between reports of one at which something is late.
	pollEvery = 250 * time.Millisecond
	// mostAsking is how many endpoints may be asked at once: a holder that is new asks all of
	// them, and thousands of calls at once take its memory, and too long to be answered.
	mostAsking = 256
	// askRetry is the time before a report that did not come is asked for again.
	askRetry = 500 * time.Millisecond
	// suspectRetry is the time before a second look at an endpoint that refused a
	// connection, suspectEvery that between looks for failed requests.
	suspectRetry = 100 * time.Millisecond
	suspectEvery = 500 * time.Millisecond
	// settleTime is how old a report may be: one asked for sooner after an
	// order's end may not show its effect.
	settleTime = 150 * time.Millisecond
	// withdrawTime is the time between the withdrawal of a unit from routing
	// and its unload, for requests that are being sent.
	withdrawTime = 60 * time.Millisecond
	// unloadTime is how long an unload of an idle model takes, about.
	unloadTime = 150 * time.Millisecond
	// busyUnloadTime is how long it takes while requests run, which it waits for.
	busyUnloadTime = 2 * time.Second
	// unknownLoadTime stands for a load time that the settings do not tell.
	unknownLoadTime = 10 * time.Second
	// adapterTime is how long an adapter takes to load, about.
	adapterTime = 25 * time.Millisecond
)

// spentAtTakeover is how many loads of the window a successor takes for
// unspent: the platform's bound allows that many beyond its rate.
const spentAtTakeover = 3

// Controller places the units of one cell while its instance may order.
type Controller struct {
	cfg      Config
	settings CellSettings
	units    map[string]Unit
	// largestMB is the memory that the largest unit takes.
	largestMB int64
	// models are the models in the operator's order, adapters those of each.
	models   []Unit
	adapters map[string][]string
	// endpoints is keyed by name, and ordered holds the same in the order of names.
	endpoints map[string]*endpoint
	ordered   []*endpoint
	demand    demand
	window    loadWindow

	// alone is set while nobody may hear what is withdrawn: to unload it would make
	// its endpoint turn away what the others go on to send there. A holder that is cut
	// off orders on until its lease ends.
	alone   bool
	holding bool
	epoch   int64
	// orderFrom is when the first order may be sent.
	orderFrom time.Time
	planAt    time.Time
	plannedAt time.Time
	// knowsOrdersFrom is from when on each order that may yet arrive is an own one.
	knowsOrdersFrom time.Time
	// departed holds the orders that may yet arrive at endpoints that are not listed
	// any more: they may start again under their names.
	departed map[string][]lateOrder
}

// NewController returns a controller that may not order.
func NewController(cfg Config) *Controller {
	return &Controller{cfg: cfg, units: map[string]Unit{}, endpoints: map[string]*endpoint{}, demand: newDemand(), departed: map[string][]lateOrder{}}
}

// Step applies an event and returns what to do, in order.
func (c *Controller) Step(now time.Time, e Event) []Action {
	var actions []Action
	switch e := e.(type) {
	case CellSettings:
		c.configure(e)
	case MemberList:
		c.list(now, e)
	case ReportReply:
		actions = c.reported(now, e)
	case RequestsFailed:
		c.suspect(now, e)
	case EndpointsReplaced:
		actions = c.gone(e)
	case IsolationChanged:
		c.alone = e.Isolated
	case OrderEnded:
		actions = c.orderEnded(now, e)
	case DemandReport:
		c.demand.observe(now, e)
		c.hurry(now, e)
	case LeaseAcquired:
		actions = c.acquired(now, e)
	case LeaseLost:
		c.holding = false
	}
	if !c.holding {
		return actions
	}
	concerned := c.concerned(e)
	actions = append(actions, c.ask(now, concerned)...)
	if now.Before(c.orderFrom) {
		return actions
	}
	return append(actions, c.place(now, concerned)...)
}

// concerned returns the endpoints at which something may be due behind an event. Answers of
// one endpoint change nothing at the others: what falls due there by time alone waits for the
// next tick. To look at thousands for each answer took more than an instance's processor time.
func (c *Controller) concerned(e Event) []*endpoint {
	name := ""
	switch e := e.(type) {
	case ReportReply:
		name = e.Endpoint
	case OrderEnded:
		name = e.Endpoint
	case DemandReport:
		return nil
	default:
		return c.ordered
	}
	if one := c.endpoints[name]; one != nil {
		return []*endpoint{one}
	}
	return nil
}

// Holding tells whether the controller decides.
func (c *Controller) Holding() bool { return c.holding }

func (c *Controller) configure(e CellSettings) {
	c.settings = e
	c.units = make(map[string]Unit, len(e.Units))
	c.models, c.adapters = nil, map[string][]string{}
	for _, u := range e.Units {
		c.units[u.Name] = u
		if u.Base == "" {
			c.models = append(c.models, u)
			continue
		}
		c.adapters[u.Base] = append(c.adapters[u.Base], u.Name)
	}
	slices.SortFunc(c.models, func(a, b Unit) int { return cmp.Or(cmp.Compare(a.Rank, b.Rank), cmp.Compare(a.Name, b.Name)) })
	c.largestMB = 0
	for _, u := range e.Units {
		c.largestMB = max(c.largestMB, u.MemoryMB)
	}
	c.window.configure(e.LoadsPerSecond, c.cfg.RateWindow, c.cfg.RateFactor)
}

func (c *Controller) list(now time.Time, l MemberList) {
	present := make(map[string]bool, len(l.Members))
	joined := false
	for _, m := range l.Members {
		present[m.Name] = true
		e := c.endpoints[m.Name]
		if e == nil {
			c.endpoints[m.Name] = c.join(now, m)
			joined = true
			continue
		}
		if m.StartedAtMS < e.StartedAtMS {
			// A report has told of a later start than the entry.
			continue
		}
		if m.StartedAtMS > e.StartedAtMS {
			e.restart(now, m)
			continue
		}
		if !slices.Equal(e.Member.Resident, m.Resident) {
			// The entry has changed: something that was ordered is done, or
			// something else has happened.
			e.askAt = now
		}
		e.Member = m
	}
	for name, e := range c.endpoints {
		if !present[name] {
			c.leave(now, e)
		}
	}
	if joined || len(c.endpoints) != len(c.ordered) {
		c.order()
	}
}

// order brings the endpoints in order by name, after some have come or gone.
func (c *Controller) order() {
	c.ordered = slices.SortedFunc(maps.Values(c.endpoints), func(a, b *endpoint) int { return cmp.Compare(a.Name, b.Name) })
}

func (c *Controller) acquired(now time.Time, e LeaseAcquired) []Action {
	c.holding, c.epoch, c.orderFrom, c.knowsOrdersFrom = true, e.Epoch, now, time.Time{}
	if e.HasPredecessor {
		c.knowsOrdersFrom = now.Add(lateOrderTime)
		c.orderFrom = now.Add(e.OrderDelay)
		c.window.begin(now, max(0, c.window.limit-spentAtTakeover))
	}
	for _, ep := range c.endpoints {
		ep.sendingIsLate(now)
		// What the former holder ordered is not known here.
		ep.known, ep.sending, ep.doubt, ep.askAt, ep.asking, ep.moving = false, nil, nil, now, false, nil
		clear(ep.going)
		ep.toldAt = time.Time{}
	}
	return []Action{LogEvent{Event: "placement taken over", Detail: "epoch " + strconv.FormatInt(e.Epoch, 10)}}
}

// ask asks those of the endpoints whose state is not known, or at which something is due.
func (c *Controller) ask(now time.Time, endpoints []*endpoint) []Action {
	var actions []Action
	asking := 0
	for _, e := range endpoints {
		if e.asking {
			asking++
		}
	}
	for _, e := range endpoints {
		if asking >= mostAsking {
			break
		}
		if e.replaced || e.asking || e.sending != nil || now.Before(e.askAt) || now.Sub(e.endedAt) < settleTime {
			continue
		}
		e.asking = true
		asking++
		actions = append(actions, RequestReport{Endpoint: e.Name, StartedAtMS: e.StartedAtMS, Address: e.Address})
	}
	return actions
}

func (c *Controller) reported(now time.Time, r ReportReply) []Action {
	e := c.endpoints[r.Endpoint]
	if e == nil || r.StartedAtMS < e.StartedAtMS {
		return nil
	}
	e.asking = false
	e.askAt = now.Add(askRetry)
	if r.ConnectionRefused {
		return c.refusedReport(now, e)
	}
	if r.Report == nil || e.sending != nil || r.RequestedAt.Before(e.endedAt.Add(settleTime)) {
		return nil
	}
	if r.Report.StartedAtMS > e.StartedAtMS {
		e.restart(now, Member{Name: e.Name, Address: e.Address, FailureDomain: e.FailureDomain, StartedAtMS: r.Report.StartedAtMS})
	}
	if !e.believe(now, r.Report) {
		e.askAt = now.Add(pollEvery)
		return nil
	}
	e.askAt = now.Add(c.nextAsk(now, e))
	return e.tell(now)
}

// refusedReport takes a refused connection.
func (c *Controller) refusedReport(now time.Time, e *endpoint) []Action {
	e.refusals++
	if e.refusals < lostAfter {
		e.askAt = now.Add(suspectRetry)
	}
	if e.refusals != lostAfter {
		return nil
	}
	e.lost = true
	return []Action{LogEvent{Event: "endpoint lost", Endpoint: e.Name}}
}

// suspect looks at endpoints at which requests have failed.
func (c *Controller) suspect(now time.Time, s RequestsFailed) {
	for _, name := range s.Endpoints {
		if e := c.endpoints[name]; e != nil && !e.lost && now.Sub(e.suspectedAt) >= suspectEvery {
			e.suspectedAt, e.askAt = now, now
		}
	}
}

// gone takes endpoints off whose addresses others have.
func (c *Controller) gone(g EndpointsReplaced) []Action {
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

// nextAsk is how long the report just taken will do.
func (c *Controller) nextAsk(now time.Time, e *endpoint) time.Duration {
	switch {
	case e.moving != nil:
		left := e.moving.since.Add(c.duration(e, Order{Op: e.moving.op, Unit: e.moving.unit})).Sub(now)
		return max(left, pollEvery)
	case e.foreignBusy || e.doubt != nil || len(e.coming) > 0:
		return pollEvery
	case c.mayMeetLateOrders(now, e):
		return lateOrderPoll
	default:
		return refreshEvery
	}
}

// duration is how long an order takes at an endpoint, about.
func (c *Controller) duration(e *endpoint, o Order) time.Duration {
	u := c.units[o.Unit]
	switch {
	case o.Op == OpUnload:
		return unloadTime
	case u.Base != "":
		return adapterTime
	case e.inMemory[o.Unit] && u.MemoryLoadTime > 0:
		return u.MemoryLoadTime
	case e.onDisk[o.Unit] && u.DiskLoadTime > 0:
		return u.DiskLoadTime
	case u.StoreLoadTime > 0:
		return u.StoreLoadTime
	default:
		return unknownLoadTime
	}
}

// fromStore tells whether a load of the model draws on the weight store.
func (e *endpoint) fromStore(model string) bool { return !e.inMemory[model] && !e.onDisk[model] }

// doubtful is how many orders of unknown fate may yet begin a load from the
// weight store.
func (c *Controller) doubtful(now time.Time) int {
	n := 0
	for _, e := range c.endpoints {
		if e.doubt != nil && e.doubt.Op == OpLoad && c.units[e.doubt.Unit].Base == "" && e.fromStore(e.doubt.Unit) {
			n++
		}
		n += len(c.lateLoads(now, e))
	}
	return n
}

func (c *Controller) orderEnded(now time.Time, o OrderEnded) []Action {
	e := c.endpoints[o.Endpoint]
	if e == nil || e.sending == nil || *e.sending != o.Order {
		return nil
	}
	e.sending, e.endedAt, e.askAt = nil, now, now
	c.window.late(e.storeLoadAt, now)
	e.storeLoadAt = time.Time{}
	switch o.Result {
	case Accepted:
		e.took(now, o.Order, c.units, c.duration(e, o.Order))
		e.askAt = now.Add(max(c.duration(e, o.Order), settleTime))
		return e.tell(now)
	case Superseded:
		c.holding = false
		return []Action{LogEvent{Event: "superseded", Endpoint: o.Endpoint}}
	case Replaced:
		return c.gone(EndpointsReplaced{Endpoints: []string{o.Endpoint}})
	case Unknown:
		doubt := o.Order
		e.doubt = &doubt
		e.mayArrive(now, o.Order)
		return []Action{LogEvent{Event: "order unanswered", Endpoint: o.Endpoint, Unit: o.Order.Unit, Detail: string(o.Order.Op)}}
	default:
		e.known = false
		return []Action{LogEvent{Event: "order refused", Endpoint: o.Endpoint, Unit: o.Order.Unit, Detail: string(o.Order.Op)}}
	}
}

// hurry brings the next plan forward if a request waits for a unit that nobody
// has.
func (c *Controller) hurry(now time.Time, d DemandReport) {
	soon := c.plannedAt.Add(hurriedPlan)
	if c.planAt.After(soon) && !c.reachable(d.Waiting) {
		c.planAt = soon
	}
}

// reachable tells whether all units for which requests wait are served or on their way.
func (c *Controller) reachable(waiting map[string]int) bool {
	missing := make([]string, 0, len(waiting))
	for unit, n := range waiting {
		if n > 0 {
			missing = append(missing, unit)
		}
	}
	for _, e := range c.ordered {
		if len(missing) == 0 {
			return true
		}
		missing = slices.DeleteFunc(missing, func(unit string) bool {
			_, coming := e.coming[unit]
			return coming || e.serves(unit)
		})
	}
	return len(missing) == 0
}

// place sends what is due at the endpoints, and plans.
func (c *Controller) place(now time.Time, endpoints []*endpoint) []Action {
	actions := c.unloadWithdrawn(now, endpoints)
	if now.Before(c.planAt) || len(c.units) == 0 {
		return actions
	}
	c.planAt, c.plannedAt = now.Add(planEvery), now
	for _, m := range c.plan(now) {
		actions = append(actions, LogMove{Move: m})
		actions = append(actions, c.carryOut(now, m)...)
	}
	return actions
}

// unloadWithdrawn sends the unloads whose withdrawal has been told.
func (c *Controller) unloadWithdrawn(now time.Time, endpoints []*endpoint) []Action {
	if c.alone {
		return nil
	}
	var actions []Action
	for _, e := range endpoints {
		if len(e.going) == 0 {
			continue
		}
		for _, unit := range sortedNames(e.going) {
			if now.Sub(e.going[unit]) < withdrawTime || !e.movable() {
				continue
			}
			actions = append(actions, c.send(e, Order{Op: OpUnload, Unit: unit}))
		}
	}
	return actions
}

func (c *Controller) carryOut(now time.Time, m Move) []Action {
	e := c.endpoints[m.Endpoint]
	if m.Op == OpUnload {
		e.going[m.Unit] = now
		if c.units[m.Unit].Base == "" {
			e.reserved, e.reservedAt = m.For, now
		}
		return e.tell(now)
	}
	if m.Op == OpLoad && c.units[m.Unit].Base == "" {
		e.reserved = ""
		if e.fromStore(m.Unit) {
			c.window.begin(now, 1)
			e.storeLoadAt = now
		}
	}
	return []Action{c.send(e, Order{Op: m.Op, Unit: m.Unit})}
}

func (c *Controller) send(e *endpoint, o Order) SendOrder {
	o.ExpectedCount, o.Epoch, o.StartedAtMS = e.count, c.epoch, e.StartedAtMS
	e.sending = &o
	return SendOrder{Endpoint: e.Name, Address: e.Address, Order: o}
}
