package counted

import (
	"maps"
	"slices"
	"time"
)

// endpoint is the controller's view of one endpoint.
//
// Invariants: at most one order is in flight; if stateKnown is set, resident, loading
// and modelMove are the effect of the orders up to orderCount.
type endpoint struct {
	Member
	stateKnown bool
	orderCount int64

	resident map[string]bool
	// loading holds the adapters that are loading and when they are expected to be
	// loaded.
	loading map[string]time.Time
	// modelMove is the load or unload of a model that is in progress; nil for none.
	modelMove *modelMove
	// foreignMove is set if a load or unload is in progress that this controller did not
	// order.
	foreignMove      bool
	inMemory, onDisk map[string]bool
	// residentSince is when each unit was first seen resident.
	residentSince map[string]time.Time
	// draining holds the units that are withdrawn from routing in order to be unloaded,
	// and when that was announced.
	draining map[string]time.Time

	// reserved is the model for which memory was freed at reservedAt.
	reserved   string
	reservedAt time.Time

	inFlight *Order
	// storeLoadAt is when the order in flight was counted as a load from the weight
	// store; zero if it is none.
	storeLoadAt time.Time
	// unresolved is the last order of unknown outcome; it may still take effect while
	// the order count is its expected count.
	unresolved *Order

	reportPending bool
	reportDueAt   time.Time
	orderEndedAt  time.Time
	suspectedAt   time.Time
	// refusedConnections counts consecutive connections that the endpoint's machine
	// refused; lost is set once they prove that the process is gone.
	refusedConnections int
	lost               bool
	// replaced is set once another incarnation has answered at the endpoint's address.
	replaced bool
	// announced is the last announcement to routing, sent at announcedAt.
	announced   AnnounceUnits
	announcedAt time.Time
	// staleReports counts consecutive reports that were older than the known state.
	staleReports int
	// unanswered is the list of orders that may still arrive, possibly after a restart.
	unanswered []lateOrder
	// restartedAt is when a restart was noticed; zero for never.
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

// serves reports whether the endpoint accepts requests for the unit.
func (e *endpoint) serves(unit string) bool {
	_, draining := e.draining[unit]
	return !e.excluded() && e.resident[unit] && !draining
}

// excluded reports whether the endpoint is ignored for placement.
func (e *endpoint) excluded() bool { return e.Leaving || e.lost || e.replaced }

// needsStore reports whether loading the model reads from the weight store.
func (e *endpoint) needsStore(model string) bool { return !e.inMemory[model] && !e.onDisk[model] }

// reservationTime is how long freed memory is reserved for the model that it was freed
// for: an unload waits until the model's requests have ended.
const reservationTime = 5 * time.Second

// reservedFor returns the model that memory is reserved for; empty for none.
func (e *endpoint) reservedFor(now time.Time) string {
	if now.Sub(e.reservedAt) >= reservationTime {
		return ""
	}
	return e.reserved
}

// canOrder reports whether an order may be sent now.
func (e *endpoint) canOrder() bool {
	return e.stateKnown && e.inFlight == nil && !e.excluded()
}

// canMoveModel reports whether a model may be loaded or unloaded now.
func (e *endpoint) canMoveModel() bool {
	return e.canOrder() && e.modelMove == nil && !e.foreignMove
}

// lostAfterRefusals is the number of consecutive refused connections that show that the
// process at an endpoint's address is gone; a new process would have a new name.
const lostAfterRefusals = 2

// maxStaleReports is the number of consecutive reports with an older count that are
// ignored before one is believed: a report is a few hundred milliseconds old at most.
const maxStaleReports = 4

// applyReport updates the state from a report. It reports whether the report was
// accepted as current.
func (e *endpoint) applyReport(now time.Time, r *Report) bool {
	if r.StartedAtMS != 0 && r.StartedAtMS < e.StartedAtMS {
		// A late report of a previous incarnation.
		return false
	}
	if e.lost && r.OrderCount < e.orderCount {
		// The process was gone and this one has accepted fewer orders, so it is a new
		// process.
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
	ownMove := e.stateKnown && r.OrderCount == e.orderCount && e.modelMove != nil && r.Busy
	e.stateKnown, e.orderCount = true, r.OrderCount
	e.resident = setOf(r.Resident)
	e.inMemory, e.onDisk = setOf(r.InMemory), setOf(r.OnDisk)
	e.foreignMove = r.Busy && !ownMove
	if !ownMove {
		e.modelMove = nil
	}
	loading := make(map[string]time.Time, len(r.Loading))
	for _, u := range r.Loading {
		loading[u] = now
		if at, known := e.loading[u]; known {
			loading[u] = at
		}
	}
	e.loading = loading
	e.pruneDerived(now)
	return true
}

// pruneDerived updates the state that is derived from the resident units.
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

// applyOrder updates the state by an order that the endpoint has accepted.
func (e *endpoint) applyOrder(now time.Time, o Order, units map[string]Unit, eta time.Duration) {
	e.orderCount = o.ExpectedCount + 1
	e.unresolved = nil
	switch {
	case units[o.Unit].Base == "":
		e.modelMove = &modelMove{op: o.Op, unit: o.Unit, since: now}
		if o.Op == OpUnload {
			// The adapters are unloaded with their model.
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

// freeMB returns the memory that is free once all orders up to the count have taken
// effect. If a unit is held that is not in the settings, or an unknown load or unload is
// in progress, no memory counts as free.
func (e *endpoint) freeMB(units map[string]Unit, capacity int64) int64 {
	if e.foreignMove {
		return 0
	}
	free := capacity
	known := true
	subtract := func(name string) {
		u, listed := units[name]
		known = known && listed
		free -= u.MemoryMB
	}
	for name := range e.resident {
		subtract(name)
	}
	for name := range e.loading {
		if !e.resident[name] {
			subtract(name)
		}
	}
	if m := e.modelMove; m != nil && m.op == OpLoad && !e.resident[m.unit] {
		if _, loading := e.loading[m.unit]; !loading {
			subtract(m.unit)
		}
	}
	if !known {
		return 0
	}
	return free
}

// usedAdapterSlots returns the number of adapter slots in use.
func (e *endpoint) usedAdapterSlots(units map[string]Unit) int {
	n := len(e.loading)
	for u := range e.resident {
		if units[u].Base != "" {
			n++
		}
	}
	return n
}

// announceInterval is the interval at which an unchanged announcement is repeated, as
// routing may have missed it.
const announceInterval = 4 * time.Second

// announce returns the announcement for routing, or nothing if it was sent recently and
// has not changed.
func (e *endpoint) announce(now time.Time) []Action {
	t := AnnounceUnits{Endpoint: e.Name, StartedAtMS: e.StartedAtMS, Units: slices.Sorted(maps.Keys(e.resident)), Draining: slices.Sorted(maps.Keys(e.draining))}
	if now.Sub(e.announcedAt) < announceInterval && slices.Equal(t.Units, e.announced.Units) && slices.Equal(t.Draining, e.announced.Draining) {
		return nil
	}
	t.Change = e.changeFor(t)
	e.announced, e.announcedAt = t, now
	return []Action{t}
}

// changeFor returns how an announcement changes the previous one. After a takeover
// routing goes by the endpoint's entry.
func (e *endpoint) changeFor(t AnnounceUnits) Change {
	known := e.announced.Units
	if e.announcedAt.IsZero() {
		known = e.Member.Resident
	}
	units := setOf(t.Units)
	removed := slices.ContainsFunc(known, func(unit string) bool { return !units[unit] })
	switch {
	case removed || len(t.Draining) > 0:
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
