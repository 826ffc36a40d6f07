package counted

import "time"

const (
	// lateOrderTime is how long an order that was not answered may be on its way: such
	// orders were seen to be carried out up to 12 s late.
	lateOrderTime = 15 * time.Second
	// clockSlack is by how much the clocks of an endpoint and of this instance may
	// differ: they are stepped by seconds now and then.
	clockSlack = 5 * time.Second
	// lateOrderPoll is the time between reports of an endpoint at which late orders of
	// its former start may arrive. A load takes longer than that, so each is noticed
	// before the next can begin.
	lateOrderPoll = 500 * time.Millisecond
)

// lateOrder is an order that was not answered, and until when it may arrive. The start
// that it was sent to takes it only at its count. A later start counts anew: there it
// may take effect when the count comes by again.
type lateOrder struct {
	Order
	until time.Time
}

// mayArrive notes that an order may yet arrive.
func (e *endpoint) mayArrive(now time.Time, o Order) {
	e.unanswered = append(pending(now, e.unanswered), lateOrder{Order: o, until: now.Add(lateOrderTime)})
}

// sendingIsLate notes that the order on its way, if any, may arrive whenever.
func (e *endpoint) sendingIsLate(now time.Time) {
	if e.sending != nil {
		e.mayArrive(now, *e.sending)
	}
}

// pending returns the orders that may still arrive.
func pending(now time.Time, orders []lateOrder) []lateOrder {
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
	e.sendingIsLate(now)
	unanswered := pending(now, e.unanswered)
	*e = *newEndpoint(m, now)
	e.unanswered, e.restartedAt = unanswered, now
}

// join returns the state of an endpoint that is listed now and was not before.
func (c *Controller) join(now time.Time, m Member) *endpoint {
	e := newEndpoint(m, now)
	e.unanswered = pending(now, c.departed[m.Name])
	delete(c.departed, m.Name)
	return e
}

// leave forgets an endpoint that is not listed any more, but for the orders that may
// yet arrive: it may start again under its name.
func (c *Controller) leave(now time.Time, e *endpoint) {
	e.sendingIsLate(now)
	delete(c.endpoints, e.Name)
	for name, orders := range c.departed {
		if len(pending(now, orders)) == 0 {
			delete(c.departed, name)
		}
	}
	if unanswered := pending(now, e.unanswered); len(unanswered) > 0 {
		c.departed[e.Name] = unanswered
	}
}

// lateOrders returns the orders to a former start of e that may yet take effect at this
// one, at most one for each count.
func (c *Controller) lateOrders(now time.Time, e *endpoint) []Order {
	var late []Order
	counts := map[int64]int{}
	for _, o := range pending(now, e.unanswered) {
		if o.StartedAtMS == e.StartedAtMS || e.known && o.ExpectedCount < e.count || o.Op != OpLoad {
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

// lateLoads are those of the late orders that draw on the weight store.
func (c *Controller) lateLoads(now time.Time, e *endpoint) []Order {
	var loads []Order
	for _, o := range c.lateOrders(now, e) {
		if c.units[o.Unit].Base == "" && e.fromStore(o.Unit) {
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
	if c.othersMayArrive(now, e) {
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
	if c.othersMayArrive(now, e) {
		free -= c.largestMB
	}
	return free
}

// mayMeetLateOrders tells whether orders to a former start may take effect at e.
func (c *Controller) mayMeetLateOrders(now time.Time, e *endpoint) bool {
	return c.othersMayArrive(now, e) || len(c.lateOrders(now, e)) > 0
}

// othersMayArrive tells whether orders of a former holder to a former start may arrive
// at e: the endpoint was started lately, and this controller did not order alone since
// long before.
func (c *Controller) othersMayArrive(now time.Time, e *endpoint) bool {
	if e.StartedAtMS == 0 || !now.Before(c.knowsOrdersFrom) {
		return false
	}
	noticed := !e.restartedAt.IsZero() && now.Sub(e.restartedAt) < lateOrderTime
	age := time.Duration(now.UnixMilli()-e.StartedAtMS) * time.Millisecond
	return noticed || age < lateOrderTime+clockSlack
}
