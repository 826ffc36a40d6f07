package counted

import "time"

const (
	// maxOrderDelay is how long an order that was not answered may be in flight. Such
	// orders can be executed up to 12 s late.
	maxOrderDelay = 15 * time.Second
	// maxClockDifference is the maximum difference between the clocks of an endpoint and
	// of this instance: clocks are stepped by seconds now and then.
	maxClockDifference = 5 * time.Second
	// lateOrderPollInterval is the time between reports of an endpoint at which late
	// orders to its previous incarnation may arrive. A load takes longer than that, so
	// each one is noticed before the next can start.
	lateOrderPollInterval = 500 * time.Millisecond
)

// lateOrder is an order that was not answered, and the time until which it may arrive.
// The incarnation that it was sent to accepts it only at its expected count. A later
// incarnation counts from zero: there the order may take effect when the count reaches
// that value again.
type lateOrder struct {
	Order
	until time.Time
}

// addUnanswered records that an order may still arrive.
func (e *endpoint) addUnanswered(now time.Time, o Order) {
	e.unanswered = append(stillDue(now, e.unanswered), lateOrder{Order: o, until: now.Add(maxOrderDelay)})
}

// addInFlightToUnanswered records that the order in flight, if any, may arrive at any
// time.
func (e *endpoint) addInFlightToUnanswered(now time.Time) {
	if e.inFlight != nil {
		e.addUnanswered(now, *e.inFlight)
	}
}

// stillDue returns the orders that may still arrive.
func stillDue(now time.Time, orders []lateOrder) []lateOrder {
	var kept []lateOrder
	for _, o := range orders {
		if now.Before(o.until) {
			kept = append(kept, o)
		}
	}
	return kept
}

// restart resets the state of an endpoint that has restarted under the same name, except
// for the orders that may still arrive.
func (e *endpoint) restart(now time.Time, m Member) {
	e.addInFlightToUnanswered(now)
	unanswered := stillDue(now, e.unanswered)
	*e = *newEndpoint(m, now)
	e.unanswered, e.restartedAt = unanswered, now
}

// newMember returns the state of an endpoint that is newly listed.
func (c *Controller) newMember(now time.Time, m Member) *endpoint {
	e := newEndpoint(m, now)
	e.unanswered = stillDue(now, c.departed[m.Name])
	delete(c.departed, m.Name)
	return e
}

// removeMember removes an endpoint that is no longer listed, but keeps the orders that
// may still arrive: the endpoint may restart under the same name.
func (c *Controller) removeMember(now time.Time, e *endpoint) {
	e.addInFlightToUnanswered(now)
	delete(c.endpoints, e.Name)
	for name, orders := range c.departed {
		if len(stillDue(now, orders)) == 0 {
			delete(c.departed, name)
		}
	}
	if unanswered := stillDue(now, e.unanswered); len(unanswered) > 0 {
		c.departed[e.Name] = unanswered
	}
}

// lateOrders returns the orders to a previous incarnation of e that may still take
// effect at this one, at most one for each count.
func (c *Controller) lateOrders(now time.Time, e *endpoint) []Order {
	var late []Order
	counts := map[int64]int{}
	for _, o := range stillDue(now, e.unanswered) {
		if o.StartedAtMS == e.StartedAtMS || e.stateKnown && o.ExpectedCount < e.orderCount || o.Op != OpLoad {
			continue
		}
		at, counted := counts[o.ExpectedCount]
		switch {
		case !counted:
			counts[o.ExpectedCount] = len(late)
			late = append(late, o.Order)
		case c.units[o.Unit].MemoryMB > c.units[late[at].Unit].MemoryMB:
			late[at] = o.Order
		}
	}
	return late
}

// lateStoreLoads returns the late orders that load from the weight store.
func (c *Controller) lateStoreLoads(now time.Time, e *endpoint) []Order {
	var loads []Order
	for _, o := range c.lateOrders(now, e) {
		if c.units[o.Unit].Base == "" && e.needsStore(o.Unit) {
			loads = append(loads, o)
		}
	}
	return loads
}

// lateAdapters returns the number of adapter slots that late orders may take.
func (c *Controller) lateAdapters(now time.Time, e *endpoint) int {
	n := 0
	for _, o := range c.lateOrders(now, e) {
		if c.units[o.Unit].Base != "" {
			n++
		}
	}
	if c.predecessorOrdersMayArrive(now, e) {
		n++
	}
	return n
}

// freeMB returns the memory of an endpoint that a new order may use. Memory for late
// orders to a previous incarnation is reserved, as no room is made for them.
func (c *Controller) freeMB(now time.Time, e *endpoint) int64 {
	free := e.freeMB(c.units, c.settings.CapacityMB)
	for _, o := range c.lateOrders(now, e) {
		free -= c.units[o.Unit].MemoryMB
	}
	if c.predecessorOrdersMayArrive(now, e) {
		free -= c.largestMB
	}
	return free
}

// lateOrdersMayArrive reports whether orders to a previous incarnation may take effect
// at e.
func (c *Controller) lateOrdersMayArrive(now time.Time, e *endpoint) bool {
	return c.predecessorOrdersMayArrive(now, e) || len(c.lateOrders(now, e)) > 0
}

// predecessorOrdersMayArrive reports whether orders of a previous holder to a previous
// incarnation may arrive at e: the endpoint was started recently, and this controller
// has not been the only one to send orders since long before that.
func (c *Controller) predecessorOrdersMayArrive(now time.Time, e *endpoint) bool {
	if e.StartedAtMS == 0 || !now.Before(c.ownOrdersOnlyFrom) {
		return false
	}
	restartedRecently := !e.restartedAt.IsZero() && now.Sub(e.restartedAt) < maxOrderDelay
	age := time.Duration(now.UnixMilli()-e.StartedAtMS) * time.Millisecond
	return restartedRecently || age < maxOrderDelay+maxClockDifference
}
