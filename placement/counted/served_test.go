package counted

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// served is a cell of endpoints that serve requests, placed by one controller whose orders
// arrive. A request takes a place at the replica with the most free places, or waits for its
// target and is refused.
type served struct {
	c       *Controller
	rnd     *rand.Rand
	now     time.Time
	cfg     CellSettings
	units   map[string]Unit
	engines map[string]*servedEngine
	// sorted are the engines by name, models the number of models.
	sorted []*servedEngine
	models int
	nextID int
	due    []message
	// arrivals is the number of requests by unit and second, hold how long each runs.
	arrivals map[string]float64
	hold     time.Duration
	waiting  []waiter
	// rate is the reported demand in tokens per second.
	rate        map[string]float64
	lastRequest map[string]time.Time
	// arrived and refused count requests.
	arrived, refused int
	loads, unloads   int
	// adapterLoads and adapterUnloads count moves of adapters; unloaded is called with each
	// unload, if set.
	adapterLoads, adapterUnloads int
	unloaded                     func(*servedEngine, Unit)
	violations                   []string
	// missing is since when requests have waited for models that no endpoint holds or loads;
	// nil to record nothing.
	missing        map[string]time.Time
	longestMissing time.Duration
}

type waiter struct {
	unit  string
	until time.Time
}

type servedEngine struct {
	name     string
	count    int64
	resident map[string]bool
	draining map[string]bool
	routed   map[string]bool
	move     Order
	done     time.Time
	moving   bool
	running  map[string][]time.Time
	copies   []string
}

const tokensPerRequest = 4000

func (s *served) start(held ...string) *servedEngine {
	s.nextID++
	e := &servedEngine{
		name: fmt.Sprintf("e%03d", s.nextID), resident: setOf(held), draining: map[string]bool{}, routed: setOf(held),
		running: map[string][]time.Time{}, copies: held,
	}
	s.engines[e.name] = e
	s.sortEngines()
	return e
}

// newServed returns a cell of endpoints with room for three models each, as many models as in
// newLargeServed for each endpoint.
func newServed(byPlaces bool, seed uint64, endpoints, models int) *served {
	s := &served{
		c:   NewController(Config{RateWindow: 5 * time.Second, RateFactor: 1.1, ByPlaces: byPlaces}),
		rnd: rand.New(rand.NewPCG(seed, 2)), now: planStart, units: map[string]Unit{}, engines: map[string]*servedEngine{},
		cfg:  CellSettings{CapacityMB: 220_000, Concurrency: 24, AdapterSlots: 8, KVTokens: 82_982, LoadsPerSecond: 12},
		hold: 1800 * time.Millisecond, arrivals: map[string]float64{}, rate: map[string]float64{}, lastRequest: map[string]time.Time{},
	}
	s.models = models
	for i := range models {
		u := Unit{
			Name: servedModel(i), MemoryMB: 72_700, StoreLoadTime: 1200 * time.Millisecond, DiskLoadTime: 520 * time.Millisecond,
			MemoryLoadTime: 400 * time.Millisecond,
		}
		s.cfg.Units = append(s.cfg.Units, u)
		for a := range servedAdapters(i) {
			s.cfg.Units = append(s.cfg.Units, Unit{Name: fmt.Sprintf("%s/a%02d", u.Name, a), Base: u.Name, MemoryMB: 66})
		}
	}
	for _, u := range s.cfg.Units {
		s.units[u.Name] = u
	}
	s.step(s.cfg)
	for i := range endpoints {
		s.start(servedModel((3*i)%models), servedModel((3*i+1)%models), servedModel((3*i+2)%models))
	}
	s.step(s.list())
	s.step(LeaseAcquired{Epoch: 1})
	return s
}

func (s *served) sortEngines() {
	s.sorted = s.sorted[:0]
	for _, name := range sortedNames(s.engines) {
		s.sorted = append(s.sorted, s.engines[name])
	}
}

// newLargeServed returns a cell of 60 endpoints and 101 models.
func newLargeServed(byPlaces bool, seed uint64) *served { return newServed(byPlaces, seed, 60, 101) }

func servedModel(i int) string { return fmt.Sprintf("m%03d", i) }

// servedAdapters returns the number of adapters of a model.
func servedAdapters(i int) int {
	if i%10 == 0 {
		return 28
	}
	return 0
}

func (s *served) list() MemberList {
	var l MemberList
	for _, name := range sortedNames(s.engines) {
		e := s.engines[name]
		l.Members = append(l.Members, Member{Name: name, FailureDomain: fmt.Sprint(name[3] % 4), Resident: slices.Sorted(mapKeys(e.resident))})
	}
	return l
}

func mapKeys(m map[string]bool) func(func(string) bool) {
	return func(yield func(string) bool) {
		for k := range m {
			if !yield(k) {
				return
			}
		}
	}
}

func (s *served) after(d time.Duration, f func()) {
	s.due = append(s.due, message{at: s.now.Add(d), arrive: f})
}

func (s *served) step(e Event) {
	for _, a := range s.c.Step(s.now, e) {
		switch a := a.(type) {
		case RequestReport:
			at := s.now
			s.after(10*time.Millisecond, func() { s.reply(a.Endpoint, at) })
		case SendOrder:
			s.after(5*time.Millisecond, func() {
				result := s.order(a)
				s.after(5*time.Millisecond, func() { s.step(OrderEnded{Endpoint: a.Endpoint, Order: a.Order, Result: result}) })
			})
		case AnnounceUnits:
			s.after(20*time.Millisecond, func() { s.route(a) })
		case LogMove:
			s.countMove(a.Move)
		}
	}
}

func (s *served) countMove(m Move) {
	switch {
	case s.units[m.Unit].Base != "" && m.Op == OpLoad:
		s.adapterLoads++
	case s.units[m.Unit].Base != "":
		s.adapterUnloads++
	case m.Op == OpLoad:
		s.loads++
	default:
		s.unloads++
	}
}

func (s *served) route(a AnnounceUnits) {
	if e := s.engines[a.Endpoint]; e != nil {
		e.routed = setOf(a.Units)
		for _, u := range a.Draining {
			delete(e.routed, u)
		}
	}
}

func (s *served) reply(name string, at time.Time) {
	e := s.engines[name]
	if e == nil {
		s.step(ReportReply{Endpoint: name, RequestedAt: at, ConnectionRefused: true})
		return
	}
	s.step(ReportReply{Endpoint: name, RequestedAt: at, Report: &Report{
		OrderCount: e.count, Busy: e.moving, Resident: slices.Sorted(mapKeys(e.resident)), OnDisk: slices.Clone(e.copies),
		InMemory: slices.Clone(e.copies[max(0, len(e.copies)-2):]),
	}})
}

func (s *served) order(a SendOrder) Result {
	e := s.engines[a.Endpoint]
	if e == nil || a.Order.ExpectedCount != e.count {
		return Refused
	}
	u := s.units[a.Order.Unit]
	if e.moving && u.Base == "" {
		return Refused
	}
	e.count++
	if u.Base != "" {
		if a.Order.Op == OpLoad {
			e.resident[u.Name] = true
		} else {
			if s.unloaded != nil {
				s.unloaded(e, u)
			}
			delete(e.resident, u.Name)
		}
		s.check(e)
		return Accepted
	}
	e.moving, e.move = true, a.Order
	e.done = s.now.Add(unloadTime)
	if a.Order.Op == OpLoad {
		e.done = s.now.Add(s.loadTime(e, u))
	}
	return Accepted
}

func (s *served) loadTime(e *servedEngine, u Unit) time.Duration {
	i := slices.Index(e.copies, u.Name)
	switch {
	case i < 0:
		return u.StoreLoadTime
	case i >= len(e.copies)-2:
		return u.MemoryLoadTime
	default:
		return u.DiskLoadTime
	}
}

// check checks an endpoint's memory and slots.
func (s *served) check(e *servedEngine) {
	used, slots := int64(0), 0
	for u := range e.resident {
		used += s.units[u].MemoryMB
		if s.units[u].Base != "" {
			slots++
		}
	}
	if e.moving && e.move.Op == OpLoad {
		used += s.units[e.move.Unit].MemoryMB
	}
	if used > s.cfg.CapacityMB || slots > s.cfg.AdapterSlots {
		s.violations = append(s.violations, fmt.Sprintf("%s holds %d MB and %d adapters", e.name, used, slots))
	}
}

// finish ends moves that are done. An unload waits for its requests.
func (s *served) finish(e *servedEngine) {
	for unit, ends := range e.running {
		e.running[unit] = slices.DeleteFunc(ends, func(at time.Time) bool { return !at.After(s.now) })
	}
	if !e.moving || s.now.Before(e.done) {
		return
	}
	if e.move.Op == OpUnload {
		for unit, ends := range e.running {
			if len(ends) > 0 && (unit == e.move.Unit || s.units[unit].Base == e.move.Unit) {
				return
			}
		}
		delete(e.resident, e.move.Unit)
		for u := range e.resident {
			if s.units[u].Base == e.move.Unit {
				delete(e.resident, u)
			}
		}
	} else {
		e.resident[e.move.Unit] = true
		e.copies = append(slices.DeleteFunc(e.copies, func(m string) bool { return m == e.move.Unit }), e.move.Unit)
		e.copies = e.copies[max(0, len(e.copies)-6):]
	}
	e.moving = false
	s.check(e)
}

// admit sends a request to the replica with the most free places.
func (s *served) admit(unit string) bool {
	var best *servedEngine
	least := s.cfg.Concurrency
	for _, e := range s.sorted {
		if !e.routed[unit] || !e.resident[unit] || e.moving && e.move.Unit == unit {
			continue
		}
		n := 0
		for _, ends := range e.running {
			n += len(ends)
		}
		if n < least {
			best, least = e, n
		}
	}
	if best == nil {
		return false
	}
	hold := time.Duration((0.4 + 1.2*s.rnd.Float64()) * float64(s.hold))
	best.running[unit] = append(best.running[unit], s.now.Add(hold))
	return true
}

const servedTick = 20 * time.Millisecond

func (s *served) tick() {
	s.now = s.now.Add(servedTick)
	for {
		i := slices.IndexFunc(s.due, func(m message) bool { return !m.at.After(s.now) })
		if i < 0 {
			break
		}
		m := s.due[i]
		s.due = slices.Delete(s.due, i, i+1)
		m.arrive()
	}
	for _, e := range s.sorted {
		s.finish(e)
	}
	s.arrive()
	s.waiting = slices.DeleteFunc(s.waiting, func(w waiter) bool {
		if s.admit(w.unit) {
			return true
		}
		if s.now.After(w.until) {
			s.refused++
			return true
		}
		return false
	})
	s.step(Tick{})
}

func (s *served) arrive() {
	for _, unit := range sortedNames(s.arrivals) {
		expected := s.arrivals[unit] * servedTick.Seconds()
		n := int(expected)
		if s.rnd.Float64() < expected-float64(n) {
			n++
		}
		decay := math.Exp(-servedTick.Seconds())
		s.rate[unit] = s.rate[unit]*decay + float64(n)*tokensPerRequest/servedTick.Seconds()*(1-decay)
		for range n {
			s.arrived++
			s.lastRequest[unit] = s.now
			s.waiting = append(s.waiting, waiter{unit: unit, until: s.now.Add(500 * time.Millisecond)})
		}
	}
}

// recordMissing records for how long requests have waited for models without a replica.
func (s *served) recordMissing() {
	for unit := range s.arrivals {
		if s.held(unit) {
			delete(s.missing, unit)
		}
	}
	for _, w := range s.waiting {
		if _, known := s.missing[w.unit]; !known && !s.held(w.unit) {
			s.missing[w.unit] = s.now
		}
	}
	for _, at := range s.missing {
		s.longestMissing = max(s.longestMissing, s.now.Sub(at))
	}
}

func (s *served) report() {
	if s.missing != nil {
		s.recordMissing()
	}
	d := DemandReport{Rate: map[string]float64{}, Waiting: map[string]int{}, Running: map[string]int{}, LastRequestAt: map[string]time.Time{}}
	for unit, r := range s.rate {
		d.Rate[unit] = r
	}
	for unit, at := range s.lastRequest {
		d.LastRequestAt[unit] = at
	}
	for _, w := range s.waiting {
		d.Waiting[w.unit]++
	}
	for _, e := range s.engines {
		for unit, ends := range e.running {
			d.Running[unit] += len(ends)
		}
	}
	s.step(d)
}

// play plays a period and returns the part of its requests that was refused.
func (s *served) play(d time.Duration) float64 {
	arrived, refused := s.arrived, s.refused
	for i := range int(d / servedTick) {
		s.tick()
		if i%5 == 0 {
			s.report()
		}
	}
	return float64(s.refused-refused) / float64(max(s.arrived-arrived, 1))
}

// hot makes a twelfth of the models, from first on, hot and the others rare.
func (s *served) hot(first int, each, rare float64) {
	clear(s.arrivals)
	for i := range s.models {
		s.arrivals[servedModel(i)] = rare
	}
	n := s.models / 12
	for i := range n {
		s.arrivals[servedModel((first+11*i)%s.models)] = each * (0.5 + float64(i)/float64(max(n-1, 1)))
	}
}

// crash ends a part of the endpoints, of which new ones start empty later.
func (s *served) crash(part int, after time.Duration) {
	for i, name := range sortedNames(s.engines) {
		if i%part == 0 {
			delete(s.engines, name)
			defer s.sortEngines()
			s.after(after, func() { s.start(); s.step(s.list()) })
		}
	}
	s.after(after/2, func() { s.step(s.list()) })
}

// held reports whether any endpoint holds a unit or loads it.
func (s *served) held(unit string) bool {
	for _, e := range s.engines {
		if e.resident[unit] || e.moving && e.move.Op == OpLoad && e.move.Unit == unit {
			return true
		}
	}
	return false
}
