package counted

import "time"

const (
	// maxOrderDelay is how long an order that was not answered may be on its way: such
	// orders were seen to be carried out up to 12 s late.
	maxOrderDelay = 15 * time.Second
	// maxClockDifference is by how much the clocks of an endpoint and of this instance may
	// differ: they are stepped by seconds now and then.
	maxClockDifference = 5 * time.Second
	// lateOrderPollInterval is the time between reports of an endpoint at which late orders of
	// its former start may arrive. A load takes longer than that, so each is noticed
	// before the next can begin.
	lateOrderPollInterval = 500 * time.Millisecond
)

// lateOrder is an order that was not answered, and until when it may arrive. The start
// that it was sent to takes it only at its count. A later start counts anew: there it
// may take effect when the count comes by again.
type lateOrder struct {
	Order
	until time.Time
}

// addUnanswered notes that an order may yet arrive.
func (e *endpoint) addUnanswered(now time.Time, o Order) {
	e.unanswered = append(stillDue(now, e.unanswered), lateOrder{Order: o, until: now.Add(maxOrderDelay)})
}

// addInFlightToUnanswered notes that the order on its way, if any, may arrive whenever.
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

// restart begins anew with an endpoint that has started again under its name: what was
// known of it holds no more, but for the orders that may yet arrive.
func (e *endpoint) restart(now time.Time, m Member) {
	e.addInFlightToUnanswered(now)
	unanswered := stillDue(now, e.unanswered)
	*e = *newEndpoint(m, now)
	e.unanswered, e.restartedAt = unanswered, now
}

// addMember returns the state of an endpoint that is listed now and was not before.
func (c *Controller) addMember(now time.Time, m Member) *endpoint {
	e := newEndpoint(m, now)
	e.unanswered = stillDue(now, c.departed[m.Name])
	delete(c.departed, m.Name)
	return e
}

// removeMember forgets an endpoint that is not listed any more, but for the orders that may
// yet arrive: it may start again under its name.
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

// lateOrders returns the orders to a former start of e that may yet take effect at this
// one, at most one for each count.
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

// lateStoreLoads are those of the late orders that draw on the weight store.
func (c *Controller) lateStoreLoads(now time.Time, e *endpoint) []Order {
	var loads []Order
	for _, o := range c.lateOrders(now, e) {
		if c.units[o.Unit].Base == "" && e.needsStore(o.Unit) {
			loads = append(loads, o)
		}
	}
	return loads
}

// lateAdapters is for how many adapters late orders may take slots.
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

// freeMB is the memory of an endpoint that an order of now may take: a late order to
// a former start, for which nobody makes room, must find some too.
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

// lateOrdersMayArrive tells whether orders to a former start may take effect at e.
func (c *Controller) lateOrdersMayArrive(now time.Time, e *endpoint) bool {
	return c.predecessorOrdersMayArrive(now, e) || len(c.lateOrders(now, e)) > 0
}

// predecessorOrdersMayArrive tells whether orders of a former holder to a former start may arrive
// at e: the endpoint was started lately, and this controller did not order alone since
// long before.
func (c *Controller) predecessorOrdersMayArrive(now time.Time, e *endpoint) bool {
	if e.StartedAtMS == 0 || !now.Before(c.ownOrdersOnlyFrom) {
		return false
	}
	noticed := !e.restartedAt.IsZero() && now.Sub(e.restartedAt) < maxOrderDelay
	age := time.Duration(now.UnixMilli()-e.StartedAtMS) * time.Millisecond
	return noticed || age < maxOrderDelay+maxClockDifference
}
