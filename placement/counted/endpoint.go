package counted

import (
	"maps"
	"slices"
	"time"
)

// endpoint is what the controller believes of one endpoint.
//
// Invariants: at most one order is under way; if known, resident, coming and
// moving are the effect of the orders up to count.
type endpoint struct {
	Member
	known bool
	count int64

	resident map[string]bool
	// coming holds the adapters on their way and when they should be there.
	coming map[string]time.Time
	// moving is the load or unload of a model under way; nil for none.
	moving *moving
	// foreignBusy tells that a move is under way that this controller did not
	// order.
	foreignBusy      bool
	inMemory, onDisk map[string]bool
	// since is when each unit was first seen resident.
	since map[string]time.Time
	// going holds the units that are withdrawn from routing, to be unloaded,
	// and when that was told.
	going map[string]time.Time

	// reserved is the model that room was made for, at reservedAt.
	reserved   string
	reservedAt time.Time

	sending *Order
	// storeLoadAt is when the order on its way was counted as a load from the weight store;
	// zero if it is none.
	storeLoadAt time.Time
	// doubt is the last order of unknown fate; it may still take effect while
	// the count is the one it carries.
	doubt *Order

	asking      bool
	askAt       time.Time
	endedAt     time.Time
	suspectedAt time.Time
	// refusals counts connections in a row that its machine refused; lost is set
	// once they prove that the process is gone.
	refusals int
	lost     bool
	// replaced is set once another incarnation has answered at its address.
	replaced bool
	// told is what routing was told last, at toldAt.
	told   AnnounceUnits
	toldAt time.Time
	// behind counts reports in a row that were older than what is known.
	behind int
	// unanswered are orders that may yet arrive, also at a later start.
	unanswered []lateOrder
	// restartedAt is when a new start was noticed; zero for never.
	restartedAt time.Time
}

// moving is a load or unload of a model.
type moving struct {
	op    Op
	unit  string
	since time.Time
}

func newEndpoint(m Member, now time.Time) *endpoint {
	return &endpoint{
		Member: m, askAt: now, resident: map[string]bool{}, coming: map[string]time.Time{},
		since: map[string]time.Time{}, going: map[string]time.Time{}, inMemory: map[string]bool{}, onDisk: map[string]bool{},
	}
}

// serves tells whether the endpoint takes requests for the unit.
func (e *endpoint) serves(unit string) bool {
	_, going := e.going[unit]
	return !e.out() && e.resident[unit] && !going
}

// out tells whether the endpoint counts for nothing any more.
func (e *endpoint) out() bool { return e.Leaving || e.lost || e.replaced }

// reserveTime is how long freed memory waits for the model that it was freed
// for: an unload waits until the model's requests have ended.
const reserveTime = 5 * time.Second

// reservedFor returns the model that memory is kept for; empty for none.
func (e *endpoint) reservedFor(now time.Time) string {
	if now.Sub(e.reservedAt) >= reserveTime {
		return ""
	}
	return e.reserved
}

// orderable tells whether an order may be sent now.
func (e *endpoint) orderable() bool {
	return e.known && e.sending == nil && !e.out()
}

// movable tells whether a model may be loaded or unloaded now.
func (e *endpoint) movable() bool {
	return e.orderable() && e.moving == nil && !e.foreignBusy
}

// lostAfter is how many refused connections in a row say that the process at an
// endpoint's address is gone; a new one would have a new name.
const lostAfter = 2

// maxBehind is how many reports in a row must tell an older count before they
// are believed: a report is a few hundred milliseconds old at most.
const maxBehind = 4

// believe takes a report. It tells whether the report was news.
func (e *endpoint) believe(now time.Time, r *Report) bool {
	if r.StartedAtMS != 0 && r.StartedAtMS < e.StartedAtMS {
		// A former start's, which came late.
		return false
	}
	if e.lost && r.OrderCount < e.count {
		// Its process was gone, and this one has taken fewer orders: a new one.
		e.replaced = true
		return false
	}
	if e.known && r.OrderCount < e.count && e.behind < maxBehind {
		e.behind++
		return false
	}
	e.behind, e.refusals, e.lost = 0, 0, false
	if e.doubt != nil && r.OrderCount > e.doubt.ExpectedCount {
		e.doubt = nil
	}
	moved := e.known && r.OrderCount == e.count && e.moving != nil && r.Busy
	e.known, e.count = true, r.OrderCount
	e.resident = setOf(r.Resident)
	e.inMemory, e.onDisk = setOf(r.InMemory), setOf(r.OnDisk)
	e.foreignBusy = r.Busy && !moved
	if !moved {
		e.moving = nil
	}
	coming := make(map[string]time.Time, len(r.Loading))
	for _, u := range r.Loading {
		coming[u] = now
		if at, known := e.coming[u]; known {
			coming[u] = at
		}
	}
	e.coming = coming
	e.settle(now)
	return true
}

// settle brings what is derived from the resident units up to date.
func (e *endpoint) settle(now time.Time) {
	for u := range e.resident {
		if _, known := e.since[u]; !known {
			e.since[u] = now
		}
		delete(e.coming, u)
	}
	for u := range e.since {
		if !e.resident[u] {
			delete(e.since, u)
		}
	}
	for u := range e.going {
		if !e.resident[u] {
			delete(e.going, u)
		}
	}
}

// took moves the state on by an order that the endpoint has taken.
func (e *endpoint) took(now time.Time, o Order, units map[string]Unit, eta time.Duration) {
	e.count = o.ExpectedCount + 1
	e.doubt = nil
	switch {
	case units[o.Unit].Base == "":
		e.moving = &moving{op: o.Op, unit: o.Unit, since: now}
		if o.Op == OpUnload {
			// The adapters go with their model.
			e.dropAdapters(o.Unit, units)
		}
		e.askAt = now.Add(eta)
	case o.Op == OpLoad:
		e.coming[o.Unit] = now.Add(eta)
		e.askAt = minTime(e.askAt, now.Add(eta))
	default:
		delete(e.resident, o.Unit)
		e.settle(now)
	}
}

func (e *endpoint) dropAdapters(model string, units map[string]Unit) {
	for u := range e.resident {
		if units[u].Base == model {
			delete(e.resident, u)
		}
	}
	for u := range e.coming {
		if units[u].Base == model {
			delete(e.coming, u)
		}
	}
}

// freeMB is the memory that is left when all orders up to the count have taken
// effect. Where a unit is held that the settings do not know, or a move that is
// not known is under way, nothing counts as free.
func (e *endpoint) freeMB(units map[string]Unit, capacity int64) int64 {
	if e.foreignBusy {
		return 0
	}
	free := capacity
	known := true
	hold := func(name string) {
		u, listed := units[name]
		known = known && listed
		free -= u.MemoryMB
	}
	for name := range e.resident {
		hold(name)
	}
	for name := range e.coming {
		if !e.resident[name] {
			hold(name)
		}
	}
	if m := e.moving; m != nil && m.op == OpLoad && !e.resident[m.unit] {
		if _, coming := e.coming[m.unit]; !coming {
			hold(m.unit)
		}
	}
	if !known {
		return 0
	}
	return free
}

// adapters is how many adapter slots are taken.
func (e *endpoint) adapters(units map[string]Unit) int {
	n := len(e.coming)
	for u := range e.resident {
		if units[u].Base != "" {
			n++
		}
	}
	return n
}

// tellEvery is how often routing is told what it knows already, as it may have
// missed it.
const tellEvery = 4 * time.Second

// tell is what routing is to know of the endpoint; nothing if it was told that
// lately.
func (e *endpoint) tell(now time.Time) []Action {
	t := AnnounceUnits{Endpoint: e.Name, StartedAtMS: e.StartedAtMS, Units: slices.Sorted(maps.Keys(e.resident)), Draining: slices.Sorted(maps.Keys(e.going))}
	if now.Sub(e.toldAt) < tellEvery && slices.Equal(t.Units, e.told.Units) && slices.Equal(t.Draining, e.told.Draining) {
		return nil
	}
	t.Change = e.news(t)
	e.told, e.toldAt = t, now
	return []Action{t}
}

// news is what a word brings that is to be told. Behind a takeover routing goes by the
// endpoint's entry.
func (e *endpoint) news(t AnnounceUnits) Change {
	known := e.told.Units
	if e.toldAt.IsZero() {
		known = e.Member.Resident
	}
	units := setOf(t.Units)
	lost := slices.ContainsFunc(known, func(unit string) bool { return !units[unit] })
	switch {
	case lost || len(t.Draining) > 0:
		return UnitsWithdrawn
	case len(units) > len(known):
		return UnitsAdded
	default:
		return Unchanged
	}
}

func setOf(names []string) map[string]bool {
	set := make(map[string]bool, len(names))
	for _, n := range names {
		set[n] = true
	}
	return set
}

func minTime(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
