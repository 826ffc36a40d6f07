package placement

import (
	"time"

	"github.com/eiderspring/eiderspring/engine"
)

// requestInventories returns requests for the inventories that are due.
func (c *Controller) requestInventories(now time.Time) []Action {
	hasOpenOrder := map[string]bool{}
	for _, o := range c.orders {
		hasOpenOrder[o.endpoint] = true
	}
	var actions []Action
	for _, m := range c.members {
		interval := max(c.cfg.InventoryInterval, time.Duration(len(c.members))*c.cfg.InventorySpacing)
		if hasOpenOrder[m.Name] || !c.recordUsable(m.Name) {
			interval = c.cfg.OpenOrderInventoryInterval
		}
		if c.inventoryPending[m.Name] || now.Sub(c.inventoryRequestedAt[m.Name]) < interval {
			continue
		}
		c.inventoryPending[m.Name], c.inventoryRequestedAt[m.Name] = true, now
		actions = append(actions, RequestInventory{Endpoint: m.Name, Address: m.Address})
	}
	return actions
}

func (c *Controller) inventoryReceived(now time.Time, e InventoryReply) []Action {
	delete(c.inventoryPending, e.Endpoint)
	m, listed := c.member(e.Endpoint)
	if c.phase != phaseRunning || e.Report == nil || !listed || e.Report.Incarnation != m.Incarnation {
		return nil
	}
	if !e.RequestedAt.After(c.history.takenOverAt) {
		// The inventory may be older than what an earlier controller has recorded since.
		return nil
	}
	c.demand.observe(now, e.Endpoint, e.Report)
	record := c.working.Endpoints[e.Endpoint]
	if record == nil || record.Incarnation != m.Incarnation || c.mustAdopt(e) {
		return c.adopt(e)
	}
	if !c.recordUsable(e.Endpoint) {
		return nil
	}
	return c.reconcile(e, record)
}

// mustAdopt reports whether the inventory is the first since the endpoint was fenced. It
// then replaces the record, as no earlier order can still take effect.
func (c *Controller) mustAdopt(e InventoryReply) bool {
	f := c.fences[e.Endpoint]
	return c.settings.ChecksFencing && f != nil && !f.adopted && !f.acceptedAt.IsZero() && e.RequestedAt.After(f.acceptedAt)
}

// adopt replaces the record of an endpoint by an inventory. This is safe only if no
// order of this cell can still reach the endpoint: it is not on record, has a new
// incarnation, or was fenced.
func (c *Controller) adopt(e InventoryReply) []Action {
	f := c.fences[e.Endpoint]
	if c.settings.ChecksFencing && (f == nil || f.acceptedAt.IsZero() || !e.RequestedAt.After(f.acceptedAt)) {
		return nil
	}
	if f != nil {
		f.adopted = true
	}
	record := &EndpointRecord{
		Incarnation: e.Report.Incarnation, CapacityMB: min(c.settings.CapacityMB, e.Report.CapacityMB),
		ChecksFencing: c.settings.ChecksFencing, Units: map[string]*UnitRecord{},
	}
	for _, r := range e.Report.Units {
		record.Units[r.Name] = c.discoveredRecord(r)
	}
	c.working.Reset(e.Endpoint, record)
	c.dirty = true
	c.trackOrders()
	return []Action{LogEvent{Event: "adopted inventory", Endpoint: e.Endpoint}}
}

// discoveredRecord returns the record of a unit that an endpoint holds without an order
// on record. A unit that is still loading gets an order of this controller, which finds
// it loaded or loads it.
func (c *Controller) discoveredRecord(r engine.UnitReport) *UnitRecord {
	u := &UnitRecord{State: Ready, MemoryMB: r.MemoryMB, Base: c.baseOf(r.Name)}
	if !r.Ready {
		u.State, u.Order = Loading, c.newOrderID()
	}
	return u
}

func (c *Controller) baseOf(unit string) string {
	for i := range c.settings.Units {
		if c.settings.Units[i].Name == unit {
			return c.settings.Units[i].Base
		}
	}
	return ""
}

// reconcile updates the record of an endpoint from an inventory.
func (c *Controller) reconcile(e InventoryReply, record *EndpointRecord) []Action {
	var actions []Action
	seen := make(map[string]engine.UnitReport, len(e.Report.Units))
	for _, r := range e.Report.Units {
		seen[r.Name] = r
		if record.Units[r.Name] == nil {
			c.working.AddDiscovered(e.Endpoint, r.Name, *c.discoveredRecord(r))
			c.dirty = true
			actions = append(actions, LogEvent{Event: "unrecorded unit found", Endpoint: e.Endpoint, Unit: r.Name})
		}
	}
	for _, unit := range record.UnitNames() {
		r, resident := seen[unit]
		if change := c.reconcileUnit(e, unit, record.Units[unit], resident, r.Ready); change != "" {
			c.dirty = true
			actions = append(actions, LogEvent{Event: change, Endpoint: e.Endpoint, Unit: unit})
		}
	}
	c.trackOrders()
	return actions
}

// reconcileUnit updates the record of one unit from an inventory and returns what
// changed, or "". An order is resolved only when none of its sendings is in flight, so
// that a paused sender cannot send it after its resolution.
func (c *Controller) reconcileUnit(e InventoryReply, unit string, u *UnitRecord, resident, ready bool) string {
	o := c.orders[u.Order]
	switch {
	case u.Order != "" && (o == nil || !o.sent || !c.history.idle(e.Endpoint, unit)):
		return ""
	case u.State == Loading && ready:
		c.working.ConfirmLoaded(e.Endpoint, unit)
		return "loaded"
	case o != nil && o.accepted && e.RequestedAt.After(o.endedAt) && o.effectMissing(resident, ready):
		// The endpoint accepted the order, but its effect is missing: it was lost, or a
		// late copy of an earlier order reverted it. The order is sent again.
		o.accepted = false
		return ""
	case u.State == Unloading && o.accepted && e.RequestedAt.After(o.endedAt) && !resident:
		c.working.ConfirmUnloaded(e.Endpoint, unit)
		return "unloaded"
	case u.State == Absent && !resident && c.confirmedAbsent(e, unit) && c.working.Free(e.Endpoint, unit):
		return "memory freed"
	case c.working.Observe(e.Endpoint, unit, resident, ready):
		return "changed without an order"
	default:
		return ""
	}
}

// confirmedAbsent reports whether the inventory was requested after every order that
// could load the unit again has arrived or can no longer arrive. An earlier inventory
// proves nothing: the last copy may have arrived after it.
func (c *Controller) confirmedAbsent(e InventoryReply, unit string) bool {
	return e.RequestedAt.After(c.predecessorSettledAt) && c.history.quiescent(e.RequestedAt, e.Endpoint, unit, c.settings.MaxOrderDelay)
}

// reconcileMembers removes endpoints that are gone from the record. An endpoint listed
// with a new incarnation is removed at once, as no order to the old incarnation takes
// effect there. An endpoint that is no longer listed may be listed again with the same
// incarnation, so its record stays until no order can reach it.
func (c *Controller) reconcileMembers(now time.Time) []Action {
	if c.members == nil || !c.recordListVersion() {
		return nil
	}
	var actions []Action
	for _, name := range sortedKeys(c.working.Endpoints) {
		m, listed := c.member(name)
		record := c.working.Endpoints[name]
		if listed && m.Incarnation == record.Incarnation {
			delete(c.unlistedSince, name)
			continue
		}
		if !listed && !c.noOrderCanArrive(now, name, record) {
			continue
		}
		c.working.Forget(name)
		delete(c.fences, name)
		delete(c.unlistedSince, name)
		c.dirty = true
		actions = append(actions, LogEvent{Event: "endpoint gone", Endpoint: name})
	}
	if len(actions) > 0 {
		c.trackOrders()
	}
	return actions
}

// noOrderCanArrive reports whether no order can still reach an endpoint that is no
// longer listed. It also discards the endpoint's demand and records since when it has
// been missing.
func (c *Controller) noOrderCanArrive(now time.Time, name string, record *EndpointRecord) bool {
	c.demand.forget(name)
	since, known := c.unlistedSince[name]
	if !known {
		c.unlistedSince[name] = now
		return false
	}
	if now.Sub(since) < c.settings.MaxOrderDelay {
		return false
	}
	for unit, u := range record.Units {
		if len(u.LateLoads) > 0 || len(u.LateUnloads) > 0 || !c.history.idle(name, unit) {
			return false
		}
	}
	return true
}
