package counted

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var schedules = flag.Int("schedules", 40, "random schedules that TestSchedules runs")

// world is endpoints that count orders, behind a network that delays and loses messages
// at random, with checks of the rules that must hold.
type world struct {
	t   *testing.T
	rnd *rand.Rand
	now time.Time
	cfg CellSettings
	// limit is the number of loads that the rate window allows, for the checks.
	limit int

	engines    map[string]*simEngine
	inTransit  []message
	nextID     int
	storeLoads []time.Time
	// restartsInPlace makes endpoints restart under the same names.
	restartsInPlace bool
	// violations lists the violations that the checks found.
	violations []string
}

// simEngine is one endpoint.
type simEngine struct {
	name string
	// startedAtMS is when it was started, in Unix milliseconds; an endpoint that
	// restarts under the same name is a new simEngine with a later start.
	startedAtMS int64
	count       int64
	resident    map[string]bool
	loading     map[string]time.Time
	movingModel string
	op          Op
	done        time.Time
	disk        map[string]bool
	down        bool
	// history holds past reports, as reports are stale when they arrive.
	history []simReport
}

type simReport struct {
	at     time.Time
	report Report
}

// message is something that arrives later.
type message struct {
	at     time.Time
	arrive func()
}

func simUnits() []Unit {
	var units []Unit
	for i := range 7 {
		name := fmt.Sprintf("m%d", i)
		units = append(units, Unit{
			Name: name, MemoryMB: 70, StoreLoadTime: 3 * time.Second, DiskLoadTime: time.Second, MemoryLoadTime: 400 * time.Millisecond,
		})
		for a := range 3 {
			units = append(units, Unit{Name: fmt.Sprintf("%s/a%d", name, a), Base: name, MemoryMB: 4})
		}
	}
	return units
}

func newWorld(t *testing.T, seed uint64) *world {
	w := &world{
		t: t, rnd: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1000, 0), engines: map[string]*simEngine{},
		cfg: CellSettings{Units: simUnits(), CapacityMB: 160, AdapterSlots: 2, LoadsPerSecond: 1},
	}
	for range 4 {
		w.start(nil)
	}
	return w
}

// start adds an endpoint that holds nothing and has the given models on its disk.
func (w *world) start(disk map[string]bool) {
	w.nextID++
	w.startAs(fmt.Sprintf("e%d", w.nextID), disk)
}

// startAs starts an endpoint under a name that may have been used before.
func (w *world) startAs(name string, disk map[string]bool) {
	if disk == nil {
		disk = map[string]bool{}
	}
	e := &simEngine{name: name, startedAtMS: w.now.UnixMilli(), resident: map[string]bool{}, loading: map[string]time.Time{}, disk: disk}
	w.engines[e.name] = e
}

func (w *world) unit(name string) Unit {
	i := slices.IndexFunc(w.cfg.Units, func(u Unit) bool { return u.Name == name })
	return w.cfg.Units[i]
}

func (w *world) after(least, most time.Duration, arrive func()) {
	d := least + time.Duration(w.rnd.Int64N(int64(most-least)+1))
	w.inTransit = append(w.inTransit, message{at: w.now.Add(d), arrive: arrive})
}

// deliver delivers the messages that are due in the order of their time.
func (w *world) deliver() {
	for {
		due := -1
		for i, m := range w.inTransit {
			if !m.at.After(w.now) && (due < 0 || m.at.Before(w.inTransit[due].at)) {
				due = i
			}
		}
		if due < 0 {
			return
		}
		m := w.inTransit[due]
		w.inTransit = slices.Delete(w.inTransit, due, due+1)
		m.arrive()
	}
}

// advance updates the endpoints to the current time.
func (w *world) advance() {
	for _, e := range w.engines {
		for u, at := range e.loading {
			if !at.After(w.now) {
				delete(e.loading, u)
				e.resident[u] = true
			}
		}
		if e.movingModel != "" && !e.done.After(w.now) {
			w.finish(e)
		}
		e.history = append(e.history, simReport{at: w.now, report: e.report()})
		if len(e.history) > 40 {
			e.history = e.history[1:]
		}
	}
}

func (w *world) finish(e *simEngine) {
	if e.op == OpLoad {
		e.resident[e.movingModel], e.disk[e.movingModel] = true, true
	} else {
		delete(e.resident, e.movingModel)
	}
	e.movingModel = ""
}

func (e *simEngine) report() Report {
	r := Report{StartedAtMS: e.startedAtMS, OrderCount: e.count, Busy: e.movingModel != ""}
	r.Resident = sortedNames(e.resident)
	r.Loading = sortedNames(e.loading)
	r.OnDisk = sortedNames(e.disk)
	return r
}

// lagged returns the report as it was at an earlier time.
func (e *simEngine) lagged(at time.Time) *Report {
	for i := len(e.history) - 1; i >= 0; i-- {
		if !e.history[i].at.After(at) {
			r := e.history[i].report
			return &r
		}
	}
	r := e.report()
	return &r
}

// order handles an order that arrives at an endpoint.
func (w *world) order(name string, o Order) Result {
	e := w.engines[name]
	if e == nil || e.down {
		return Refused
	}
	if o.ExpectedCount != e.count || e.movingModel != "" {
		return Refused
	}
	u := w.unit(o.Unit)
	if o.StartedAtMS != e.startedAtMS && u.Base != "" && !e.resident[u.Base] {
		// The order is for a previous incarnation; this one does not have the model.
		return Refused
	}
	e.count++
	switch {
	case u.Base == "" && o.Op == OpLoad:
		w.load(e, u)
	case u.Base == "":
		e.movingModel, e.op, e.done = o.Unit, OpUnload, w.now.Add(100*time.Millisecond)
		for a := range e.resident {
			if w.unit(a).Base == o.Unit {
				delete(e.resident, a)
			}
		}
	case o.Op == OpLoad:
		if !e.resident[u.Base] {
			w.addViolation("%s: adapter %s without its model", e.name, u.Name)
		}
		e.loading[o.Unit] = w.now.Add(20 * time.Millisecond)
	default:
		delete(e.resident, o.Unit)
	}
	w.checkEndpoint(e)
	return Accepted
}

func (w *world) load(e *simEngine, u Unit) {
	took := u.DiskLoadTime
	if !e.disk[u.Name] {
		took = u.StoreLoadTime
		w.storeLoads = append(w.storeLoads, w.now)
	}
	e.movingModel, e.op, e.done = u.Name, OpLoad, w.now.Add(took)
}

// checkEndpoint checks an endpoint's memory, slots and loading adapters.
func (w *world) checkEndpoint(e *simEngine) {
	held := map[string]bool{}
	for u := range e.resident {
		held[u] = true
	}
	for u := range e.loading {
		held[u] = true
	}
	if e.movingModel != "" && e.op == OpLoad {
		held[e.movingModel] = true
	}
	var mb int64
	slots := 0
	for u := range held {
		mb += w.unit(u).MemoryMB
		if w.unit(u).Base != "" {
			slots++
		}
	}
	if mb > w.cfg.CapacityMB {
		w.addViolation("%s holds %d MB of %d", e.name, mb, w.cfg.CapacityMB)
	}
	if slots > w.cfg.AdapterSlots {
		w.addViolation("%s holds %d adapters of %d", e.name, slots, w.cfg.AdapterSlots)
	}
	if len(e.loading) > maxLoadingAdapters {
		w.addViolation("%s is loading %d adapters", e.name, len(e.loading))
	}
}

func (w *world) addViolation(format string, args ...any) {
	w.violations = append(w.violations, w.now.Sub(time.Unix(1000, 0)).String()+" "+fmt.Sprintf(format, args...))
}

// instance is one instance with its controller.
type instance struct {
	w *world
	c *Controller
	// demand is the demand that is reported to it.
	demand DemandReport
	// ignoresStarts removes the starts of endpoints from events, ignoresLateOrders
	// reserves nothing for late orders, listDelay is how old the list may be.
	ignoresStarts, ignoresLateOrders bool
	listDelay                        time.Duration
	// listed is the last list, taken at listedAt.
	listed   MemberList
	listedAt time.Time
}

func (w *world) newInstance() *instance {
	p := &instance{w: w, c: NewController(Config{RateWindow: 5 * time.Second, RateFactor: 1.1})}
	p.step(w.cfg)
	return p
}

// withoutStarts removes the starts of endpoints from an event.
func withoutStarts(e Event) Event {
	switch e := e.(type) {
	case MemberList:
		for i := range e.Members {
			e.Members[i].StartedAtMS = 0
		}
		return e
	case ReportReply:
		if e.Report != nil {
			e.Report.StartedAtMS = 0
		}
		return e
	default:
		return e
	}
}

func (p *instance) step(e Event) {
	if p.ignoresStarts {
		e = withoutStarts(e)
	}
	if p.ignoresLateOrders {
		for _, e := range p.c.endpoints {
			e.unanswered = nil
		}
		clear(p.c.departed)
		p.c.ownOrdersOnlyFrom = time.Time{}
	}
	for _, a := range p.c.Step(p.w.now, e) {
		switch a := a.(type) {
		case RequestReport:
			p.requestReport(a)
		case SendOrder:
			p.send(a)
		}
	}
}

func (p *instance) requestReport(a RequestReport) {
	w, requestedAt := p.w, p.w.now
	w.after(time.Millisecond, 30*time.Millisecond, func() {
		var r *Report
		if e := w.engines[a.Endpoint]; e != nil && !e.down {
			r = e.lagged(w.now.Add(-time.Duration(w.rnd.IntN(100)) * time.Millisecond))
		}
		if w.rnd.IntN(12) == 0 {
			r = nil
		}
		w.after(0, 30*time.Millisecond, func() {
			p.step(ReportReply{Endpoint: a.Endpoint, StartedAtMS: a.StartedAtMS, RequestedAt: requestedAt, Report: r})
		})
	})
}

// send delivers an order at once, late, or not at all; the answer may be lost.
func (p *instance) send(s SendOrder) {
	w := p.w
	ended := func(r Result) func() {
		return func() { p.step(OrderEnded{Endpoint: s.Endpoint, Order: s.Order, Result: r}) }
	}
	switch w.rnd.IntN(10) {
	case 0:
		w.after(2*time.Second, 12*time.Second, func() { w.order(s.Endpoint, s.Order) })
		w.after(time.Second, time.Second, ended(Unknown))
	case 1:
		w.after(0, 50*time.Millisecond, func() { w.order(s.Endpoint, s.Order) })
		w.after(time.Second, time.Second, ended(Unknown))
	case 2:
		w.after(time.Second, time.Second, ended(Unknown))
	default:
		w.after(0, 50*time.Millisecond, func() {
			r := w.order(s.Endpoint, s.Order)
			w.after(0, 20*time.Millisecond, ended(r))
		})
	}
}

// tick passes the list, the demand and a Tick to the controller.
func (p *instance) tick() {
	if p.listedAt.IsZero() || p.w.now.Sub(p.listedAt) >= p.listDelay {
		p.listed, p.listedAt = p.w.list(), p.w.now
	}
	p.step(MemberList{Members: slices.Clone(p.listed.Members)})
	p.step(demandNow(p.w.now, p.demand.Rate, p.demand.Waiting))
	p.step(Tick{})
}

// list returns the endpoints that are up, with their current entries.
func (w *world) list() MemberList {
	var l MemberList
	for _, name := range sortedNames(w.engines) {
		if e := w.engines[name]; !e.down {
			l.Members = append(l.Members, Member{
				Name: name, StartedAtMS: e.startedAtMS, FailureDomain: "d" + name[len(name)-1:], Resident: sortedNames(e.resident),
			})
		}
	}
	return l
}

// runSchedule runs a schedule with restarting endpoints, changing demand and successive
// lease holders. It ends with a period without faults.
func runSchedule(t *testing.T, seed uint64, breakRule func(*instance)) *world {
	return runScheduleIn(newWorld(t, seed), breakRule)
}

// runScheduleIn runs a schedule in a world that is set up already.
func runScheduleIn(w *world, breakRule func(*instance)) *world {
	instances := []*instance{w.newInstance(), w.newInstance()}
	for _, p := range instances {
		if breakRule != nil {
			breakRule(p)
		}
	}
	w.limit = instances[0].c.window.limit
	holder, epoch := 0, int64(1)
	instances[0].step(LeaseAcquired{Epoch: epoch})
	changeAt := w.now.Add(15 * time.Second)
	var demand DemandReport
	for step := range 2400 {
		w.now = w.now.Add(25 * time.Millisecond)
		faultless := step > 1500
		if !faultless {
			w.injectFault()
		}
		if step%80 == 0 && step < 1600 {
			demand = w.drawDemand()
		}
		if !faultless && w.now.After(changeAt) {
			// The previous holder stops, but what it has sent may still arrive.
			instances[holder].step(LeaseLost{})
			holder, epoch = 1-holder, epoch+1
			instances[holder].step(LeaseAcquired{Epoch: epoch, HasPredecessor: true, OrderDelay: time.Second})
			changeAt = w.now.Add(time.Duration(5+w.rnd.IntN(15)) * time.Second)
		}
		w.deliver()
		w.advance()
		for _, p := range instances {
			p.demand = demand
			p.tick()
		}
	}
	w.checkLoadRate()
	w.checkReachability(demand)
	return w
}

func (w *world) injectFault() {
	if w.restartsInPlace {
		w.restartOne()
		return
	}
	if w.rnd.IntN(250) == 0 {
		names := sortedNames(w.engines)
		e := w.engines[names[w.rnd.IntN(len(names))]]
		delete(w.engines, e.name)
		w.start(e.disk)
	}
}

// restartOne occasionally restarts an endpoint under the same name with the contents of
// its disk. Some endpoints are down for a while first, so that lists show a gap.
func (w *world) restartOne() {
	if w.rnd.IntN(120) != 0 {
		return
	}
	names := sortedNames(w.engines)
	e := w.engines[names[w.rnd.IntN(len(names))]]
	if w.rnd.IntN(2) == 0 {
		w.startAs(e.name, e.disk)
		return
	}
	e.down = true
	w.after(100*time.Millisecond, 3*time.Second, func() { w.startAs(e.name, e.disk) })
}

func (w *world) drawDemand() DemandReport {
	d := DemandReport{Rate: map[string]float64{}, Waiting: map[string]int{}}
	first := w.rnd.IntN(5)
	for i := range 2 {
		model := fmt.Sprintf("m%d", first+i)
		d.Rate[model] = float64(20000 + w.rnd.IntN(80000))
		d.Rate[model+"/a1"] = float64(w.rnd.IntN(20000))
	}
	rare := fmt.Sprintf("m%d", w.rnd.IntN(7))
	d.Rate[rare] += 500
	d.Waiting[rare] = 1
	return d
}

// checkLoadRate checks that loads from the weight store stayed within the rate.
func (w *world) checkLoadRate() {
	const allowance = 3
	slices.SortFunc(w.storeLoads, time.Time.Compare)
	for i := range w.storeLoads {
		n := 0
		for _, at := range w.storeLoads[i:] {
			if at.Sub(w.storeLoads[i]) < 5*time.Second {
				n++
			}
		}
		if n > w.limit+allowance {
			w.addViolation("%d loads from the weight store within 5 s, %d allowed", n, w.limit+allowance)
			return
		}
	}
}

// checkReachability checks that the units in demand are resident after the period
// without faults.
func (w *world) checkReachability(d DemandReport) {
	for unit, rate := range d.Rate {
		if rate < 1 || slices.ContainsFunc(sortedNames(w.engines), func(n string) bool { return w.engines[n].resident[unit] }) {
			continue
		}
		w.addViolation("%s is in demand and nowhere resident", unit)
	}
}

// TestSchedules guards against exceeding memory, slots or the weight store's rate, and
// against units in demand that stay unloaded, in random schedules in which orders are
// lost, late and executed after newer ones, and holders change while orders are in
// flight.
func TestSchedules(t *testing.T) {
	for seed := range uint64(*schedules) {
		w := runSchedule(t, seed, nil)
		require.Empty(t, w.violations, "seed %d", seed)
	}
}

// TestChecksDetectBrokenControllers guards against checks that cannot fail: controllers
// that break one of the rules must be detected within a few schedules.
func TestChecksDetectBrokenControllers(t *testing.T) {
	for name, breakRule := range map[string]func(*instance){
		"memory is not checked": func(p *instance) {
			bigger := p.w.cfg
			bigger.CapacityMB += 70
			p.step(bigger)
		},
		"slots are not checked": func(p *instance) {
			more := p.w.cfg
			more.AdapterSlots += 2
			p.step(more)
		},
		"the rate is not limited": func(p *instance) { p.c.window.limit = 1000 },
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(40) {
				w := runCheckingTrueLimit(t, seed, breakRule)
				if len(w.violations) > 0 {
					return
				}
			}
			t.Fatal("no schedule violated a rule")
		})
	}
}

// runCheckingTrueLimit runs a schedule and checks loads against the unmodified limit.
func runCheckingTrueLimit(t *testing.T, seed uint64, breakRule func(*instance)) *world {
	w := runSchedule(t, seed, breakRule)
	w.limit = 5
	w.checkLoadRate()
	return w
}
