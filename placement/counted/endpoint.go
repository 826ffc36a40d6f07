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
	stateKnown bool
	orderCount int64

	resident map[string]bool
	// loading holds the adapters on their way and when they should be there.
	loading map[string]time.Time
	// modelMove is the load or unload of a model under way; nil for none.
	modelMove *modelMove
	// foreignMove tells that a move is under way that this controller did not
	// order.
	foreignMove      bool
	inMemory, onDisk map[string]bool
	// residentSince is when each unit was first seen resident.
	residentSince map[string]time.Time
	// draining holds the units that are withdrawn from routing, to be unloaded,
	// and when that was told.
	draining map[string]time.Time

	// reserved is the model that room was made for, at reservedAt.
	reserved   string
	reservedAt time.Time

	inFlight *Order
	// storeLoadAt is when the order on its way was counted as a load from the weight store;
	// zero if it is none.
	storeLoadAt time.Time
	// unresolved is the last order of unknown fate; it may still take effect while
	// the count is the one it carries.
	unresolved *Order

	reportPending bool
	reportDueAt   time.Time
	orderEndedAt  time.Time
	suspectedAt   time.Time
	// refusedConnections counts connections in a row that its machine refused; lost is set
	// once they prove that the process is gone.
	refusedConnections int
	lost               bool
	// replaced is set once another incarnation has answered at its address.
	replaced bool
	// announced is what routing was told last, at toldAt.
	announced   AnnounceUnits
	announcedAt time.Time
	// staleReports counts reports in a row that were older than what is known.
	staleReports int
	// unanswered are orders that may yet arrive, also at a later start.
	unanswered []lateOrder
	// restartedAt is when a new start was noticed; zero for never.
	restartedAt time.Time
}

// modelMove is a load or unload of a model.
type modelMove struct {
	op    Op
	unit  string
	since time.Time
}

func newEndpoint(m Member, now time.Time) *endpoint {
	return &endpoint{
		Member: m, reportDueAt: now, resident: map[string]bool{}, loading: map[string]time.Time{},
		residentSince: map[string]time.Time{}, draining: map[string]time.Time{}, inMemory: map[string]bool{}, onDisk: map[string]bool{},
	}
}

// serves tells whether the endpoint takes requests for the unit.
func (e *endpoint) serves(unit string) bool {
	_, going := e.draining[unit]
	return !e.excluded() && e.resident[unit] && !going
}

// excluded tells whether the endpoint counts for nothing any more.
func (e *endpoint) excluded() bool { return e.Leaving || e.lost || e.replaced }

// reservationTime is how long freed memory waits for the model that it was freed
// for: an unload waits until the model's requests have ended.
const reservationTime = 5 * time.Second

// reservedFor returns the model that memory is kept for; empty for none.
func (e *endpoint) reservedFor(now time.Time) string {
	if now.Sub(e.reservedAt) >= reservationTime {
		return ""
	}
	return e.reserved
}

// canOrder tells whether an order may be sent now.
func (e *endpoint) canOrder() bool {
	return e.stateKnown && e.inFlight == nil && !e.excluded()
}

// canMoveModel tells whether a model may be loaded or unloaded now.
func (e *endpoint) canMoveModel() bool {
	return e.canOrder() && e.modelMove == nil && !e.foreignMove
}

// lostAfterRefusals is how many refused connections in a row say that the process at an
// endpoint's address is gone; a new one would have a new name.
const lostAfterRefusals = 2

// maxStaleReports is how many reports in a row must tell an older count before they
// are believed: a report is a few hundred milliseconds old at most.
const maxStaleReports = 4

// applyReport takes a report. It tells whether the report was news.
func (e *endpoint) applyReport(now time.Time, r *Report) bool {
	if r.StartedAtMS != 0 && r.StartedAtMS < e.StartedAtMS {
		// A former start's, which came late.
		return false
	}
	if e.lost && r.OrderCount < e.orderCount {
		// Its process was gone, and this one has taken fewer orders: a new one.
		e.replaced = true
		return false
	}
	if e.stateKnown && r.OrderCount < e.orderCount && e.staleReports < maxStaleReports {
		e.staleReports++
		return false
	}
	e.staleReports, e.refusedConnections, e.lost = 0, 0, false
	if e.unresolved != nil && r.OrderCount > e.unresolved.ExpectedCount {
		e.unresolved = nil
	}
	moved := e.stateKnown && r.OrderCount == e.orderCount && e.modelMove != nil && r.Busy
	e.stateKnown, e.orderCount = true, r.OrderCount
	e.resident = setOf(r.Resident)
	e.inMemory, e.onDisk = setOf(r.InMemory), setOf(r.OnDisk)
	e.foreignMove = r.Busy && !moved
	if !moved {
		e.modelMove = nil
	}
	coming := make(map[string]time.Time, len(r.Loading))
	for _, u := range r.Loading {
		coming[u] = now
		if at, known := e.loading[u]; known {
			coming[u] = at
		}
	}
	e.loading = coming
	e.pruneDerived(now)
	return true
}

// pruneDerived brings what is derived from the resident units up to date.
func (e *endpoint) pruneDerived(now time.Time) {
	for u := range e.resident {
		if _, known := e.residentSince[u]; !known {
			e.residentSince[u] = now
		}
		delete(e.loading, u)
	}
	for u := range e.residentSince {
		if !e.resident[u] {
			delete(e.residentSince, u)
		}
	}
	for u := range e.draining {
		if !e.resident[u] {
			delete(e.draining, u)
		}
	}
}

// applyOrder moves the state on by an order that the endpoint has taken.
func (e *endpoint) applyOrder(now time.Time, o Order, units map[string]Unit, eta time.Duration) {
	e.orderCount = o.ExpectedCount + 1
	e.unresolved = nil
	switch {
	case units[o.Unit].Base == "":
		e.modelMove = &modelMove{op: o.Op, unit: o.Unit, since: now}
		if o.Op == OpUnload {
			// The adapters go with their model.
			e.dropAdapters(o.Unit, units)
		}
		e.reportDueAt = now.Add(eta)
	case o.Op == OpLoad:
		e.loading[o.Unit] = now.Add(eta)
		e.reportDueAt = minTime(e.reportDueAt, now.Add(eta))
	default:
		delete(e.resident, o.Unit)
		e.pruneDerived(now)
	}
}

func (e *endpoint) dropAdapters(model string, units map[string]Unit) {
	for u := range e.resident {
		if units[u].Base == model {
			delete(e.resident, u)
		}
	}
	for u := range e.loading {
		if units[u].Base == model {
			delete(e.loading, u)
		}
	}
}

// freeMB is the memory that is left when all orders up to the count have taken
// effect. Where a unit is held that the settings do not know, or a move that is
// not known is under way, nothing counts as free.
func (e *endpoint) freeMB(units map[string]Unit, capacity int64) int64 {
	if e.foreignMove {
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
	for name := range e.loading {
		if !e.resident[name] {
			hold(name)
		}
	}
	if m := e.modelMove; m != nil && m.op == OpLoad && !e.resident[m.unit] {
		if _, coming := e.loading[m.unit]; !coming {
			hold(m.unit)
		}
	}
	if !known {
		return 0
	}
	return free
}

// usedAdapterSlots is how many adapter slots are taken.
func (e *endpoint) usedAdapterSlots(units map[string]Unit) int {
	n := len(e.loading)
	for u := range e.resident {
		if units[u].Base != "" {
			n++
		}
	}
	return n
}

// announceInterval is how often routing is told what it knows already, as it may have
// missed it.
const announceInterval = 4 * time.Second

// announce is what routing is to know of the endpoint; nothing if it was told that
// lately.
func (e *endpoint) announce(now time.Time) []Action {
	t := AnnounceUnits{Endpoint: e.Name, StartedAtMS: e.StartedAtMS, Units: slices.Sorted(maps.Keys(e.resident)), Draining: slices.Sorted(maps.Keys(e.draining))}
	if now.Sub(e.announcedAt) < announceInterval && slices.Equal(t.Units, e.announced.Units) && slices.Equal(t.Draining, e.announced.Draining) {
		return nil
	}
	t.Change = e.changeFor(t)
	e.announced, e.announcedAt = t, now
	return []Action{t}
}

// changeFor is what a word brings that is to be told. Behind a takeover routing goes by the
// endpoint's entry.
func (e *endpoint) changeFor(t AnnounceUnits) Change {
	known := e.announced.Units
	if e.announcedAt.IsZero() {
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
