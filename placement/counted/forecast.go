package counted

import (
	"cmp"
	"slices"
	"time"
)

const (
	// forecastInterval is the time between two forecasts of loads, and forecastPerEndpoint the
	// same for each endpoint if that is longer: each is looked at.
	forecastInterval    = 100 * time.Millisecond
	forecastPerEndpoint = 150 * time.Microsecond
	// forecastRequested is how long after its last request a unit without a replica is
	// forecast: until callers who were refused have come back.
	forecastRequested = 4 * time.Second
	// maxForecastVisits is the number of endpoint checks in one forecast: a few milliseconds. The
	// units that fewest requests wait for are left out.
	maxForecastVisits = 10_000
)

// ForecastLoads says when requested units that no endpoint serves can be served. A unit that is
// not among them is served, is not requested, or may be served at any time as far as the
// controller knows.
type ForecastLoads struct{ Loads map[string]LoadForecast }

// LoadForecast is when a unit can be served.
type LoadForecast struct {
	// ReadyAt is the earliest possible time.
	ReadyAt time.Time
	// ExpectedAt is the end of the load that is under way, or that memory is being freed for;
	// zero if there is none. While memory is being freed at one endpoint, another one may still
	// load the unit sooner.
	ExpectedAt time.Time
	// underWay is set if a load has begun.
	underWay bool
}

func (ForecastLoads) isAction() {}

// forecastLoads returns the forecast if one is due.
func (c *Controller) forecastLoads(now time.Time) []Action {
	if !c.cfg.ForecastLoads || now.Before(c.nextForecastAt) {
		return nil
	}
	c.nextForecastAt = now.Add(max(forecastInterval, time.Duration(len(c.endpoints))*forecastPerEndpoint))
	loads := map[string]LoadForecast{}
	missing := c.unservedUnits(now)
	visits := 0
	for _, unit := range c.mostWaitingFirst(missing) {
		if !c.demand.requestedWithin(now, unit, forecastRequested) {
			// The model of a requested adapter.
			continue
		}
		if visits += len(c.sortedEndpoints); visits > maxForecastVisits {
			break
		}
		if f, known := c.forecastLoad(now, unit, missing); known && f.ReadyAt.After(now) {
			loads[unit] = f
		}
	}
	return []Action{ForecastLoads{Loads: loads}}
}

// unservedUnits returns the requested units, with the models of adapters, that no endpoint serves,
// or may serve by its entry while its state is not known.
func (c *Controller) unservedUnits(now time.Time) map[string]bool {
	unserved := map[string]bool{}
	for unit := range c.demand.lastRequestAt {
		if c.demand.requestedWithin(now, unit, forecastRequested) {
			unserved[unit] = true
			if base := c.units[unit].Base; base != "" {
				unserved[base] = true
			}
		}
	}
	for _, e := range c.sortedEndpoints {
		if len(unserved) == 0 {
			break
		}
		if e.excluded() {
			continue
		}
		if !e.stateKnown {
			for _, unit := range e.Member.Resident {
				delete(unserved, unit)
			}
		}
		for unit := range e.resident {
			if e.serves(unit) {
				delete(unserved, unit)
			}
		}
	}
	return unserved
}

// mostWaitingFirst returns units in the order of the requests that wait for them.
func (c *Controller) mostWaitingFirst(units map[string]bool) []string {
	names := sortedNames(units)
	slices.SortStableFunc(names, func(a, b string) int {
		return cmp.Or(cmp.Compare(c.demand.waiting[b], c.demand.waiting[a]), cmp.Compare(c.tieBreaks[a], c.tieBreaks[b]))
	})
	return names
}

// forecastLoad returns when some endpoint can serve the unit at the earliest; false if that may be
// at any time. While a load of it is under way no other is begun, so that load alone counts.
func (c *Controller) forecastLoad(now time.Time, unit string, unserved map[string]bool) (f LoadForecast, known bool) {
	u, listed := c.units[unit]
	if u.Base != "" {
		if !unserved[u.Base] {
			return c.forecastAdapter(now, u.Base)
		}
		u, listed = c.units[u.Base]
	}
	if !listed {
		return f, false
	}
	for _, e := range c.sortedEndpoints {
		if e.excluded() {
			continue
		}
		if e.mayLoadUnnoticed(now, u.Name, c.ownOrdersOnlyFrom) {
			return f, false
		}
		left, bounded := c.timeToLoad(now, e, u)
		if !bounded {
			return f, false
		}
		f.add(now.Add(left), e.loads(u.Name), e.reservedFor(now) == u.Name)
		known = true
	}
	return f, known
}

// add takes one endpoint's time into account.
func (f *LoadForecast) add(ready time.Time, underWay, reserved bool) {
	sooner := f.ReadyAt.IsZero() || ready.Before(f.ReadyAt)
	if underWay && !f.underWay || underWay == f.underWay && sooner {
		f.ReadyAt, f.underWay = ready, underWay
	}
	if (underWay || reserved) && (f.ExpectedAt.IsZero() || ready.Before(f.ExpectedAt)) {
		f.ExpectedAt = ready
	}
}

// loads reports whether the endpoint is loading the model.
func (e *endpoint) loads(model string) bool {
	return e.modelMove != nil && e.modelMove.op == OpLoad && e.modelMove.unit == model
}

// forecastAdapter returns when some endpoint that serves the model can take an adapter of it at the
// earliest: an endpoint accepts no order for an adapter while it loads or unloads a model.
func (c *Controller) forecastAdapter(now time.Time, model string) (f LoadForecast, known bool) {
	for _, e := range c.sortedEndpoints {
		unsure := !e.stateKnown && !e.excluded() && slices.Contains(e.Member.Resident, model)
		if !e.serves(model) && !unsure {
			continue
		}
		if !e.stateKnown || e.modelMove == nil {
			return f, false
		}
		if ready := now.Add(c.moveLeft(now, e.modelMove, e)); !known || ready.Before(f.ReadyAt) {
			f, known = LoadForecast{ReadyAt: ready, ExpectedAt: ready}, true
		}
	}
	return f, known
}

// moveLeft returns how long a load or unload of a model takes yet; 0 if it is overdue.
func (c *Controller) moveLeft(now time.Time, m *modelMove, e *endpoint) time.Duration {
	return max(m.since.Add(c.duration(e, Order{Op: m.op, Unit: m.unit})).Sub(now), 0)
}

// mayLoadUnnoticed reports whether the endpoint may be executing an order to load the model that
// this controller has not sent or has no answer to.
func (e *endpoint) mayLoadUnnoticed(now time.Time, model string, ownOrdersOnlyFrom time.Time) bool {
	loads := func(o Order) bool { return o.Op == OpLoad && o.Unit == model }
	for _, o := range []*Order{e.inFlight, e.unresolved} {
		if o != nil && loads(*o) {
			return true
		}
	}
	if slices.ContainsFunc(stillDue(now, e.unanswered), func(o lateOrder) bool { return loads(o.Order) }) {
		return true
	}
	return (e.foreignMove || !e.stateKnown) && now.Before(ownOrdersOnlyFrom)
}

// timeToLoad returns the least time in which the endpoint can load the model, beginning with
// what it is doing now; false if the settings give no bound.
func (c *Controller) timeToLoad(now time.Time, e *endpoint, u Unit) (time.Duration, bool) {
	took, bounded := c.leastLoadTime(e, u)
	if !bounded {
		return 0, false
	}
	m := e.modelMove
	if m == nil {
		return took, true
	}
	left := c.moveLeft(now, m, e)
	if e.loads(u.Name) {
		return left, true
	}
	return left + took, true
}

// leastLoadTime returns the duration of a load from the copies that the endpoint may have; false
// if the settings do not give one.
func (c *Controller) leastLoadTime(e *endpoint, u Unit) (time.Duration, bool) {
	least := u.StoreLoadTime
	if u.DiskLoadTime > 0 && (e.onDisk[u.Name] || !e.stateKnown) {
		least = min(least, u.DiskLoadTime)
	}
	if u.MemoryLoadTime > 0 && (e.inMemory[u.Name] || !e.stateKnown) {
		least = min(least, u.MemoryLoadTime)
	}
	return least, least > 0
}

// requestedWithin reports whether the unit was requested less than the given time ago.
func (d *demand) requestedWithin(now time.Time, unit string, within time.Duration) bool {
	return d.idleTime(now, unit) < within
}
