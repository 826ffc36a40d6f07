package placement

import (
	"errors"
	"slices"
	"time"

	"github.com/eiderspring/eiderspring/engine"
)

// plan computes a plan if one is due and applies it to the working ledger. The rules of
// the ledger check each move again, independently of the planner; a move that they
// refuse is dropped and planned again.
func (c *Controller) plan(now time.Time) []Action {
	if now.Before(c.nextPlanAt) || c.settings.Units == nil || c.members == nil {
		return nil
	}
	// With a list older than the ledger's, a replica on record may belong to an endpoint
	// that is known to be gone, so nothing is decided from the record.
	if !c.recordListVersion() {
		return nil
	}
	c.nextPlanAt = now.Add(c.cfg.PlanInterval)
	var actions []Action
	for _, m := range Plan(c.snapshot(now)) {
		if err := c.apply(now, m); err != nil {
			actions = append(actions, LogEvent{Event: "move refused", Endpoint: m.Endpoint, Unit: m.Unit, Detail: err.Error()})
			continue
		}
		c.dirty = true
		if m.Op == OpLoad {
			c.budget.spend()
		}
		actions = append(actions, LogMove{Move: m})
	}
	c.trackOrders()
	return actions
}

// errNotQuiescent refuses a load while copies of this controller's own unload may still
// arrive.
var errNotQuiescent = errors.New("an unload of the unit was sent too recently")

func (c *Controller) apply(now time.Time, m Move) error {
	if m.Op == OpLoad {
		if u := c.working.unit(m.Endpoint, m.Unit); u != nil && !c.history.quiescent(now, m.Endpoint, m.Unit, c.settings.MaxOrderDelay) {
			return &RuleError{Endpoint: m.Endpoint, Unit: m.Unit, Err: errNotQuiescent}
		}
		return c.working.IntendLoad(m.Endpoint, m.Unit, m.Base, c.newOrderID(), m.MemoryMB)
	}
	return c.working.IntendUnload(m.Endpoint, m.Unit, c.newOrderID(), m.Reason != ReasonUnwanted)
}

// snapshot returns the input of the planner.
func (c *Controller) snapshot(now time.Time) Snapshot {
	s := Snapshot{Units: slices.Clone(c.settings.Units), LoadBudget: c.loadsAllowed(now)}
	for i := range s.Units {
		s.Units[i].Demand = c.demand.estimate(s.Units[i].Name)
	}
	for _, m := range c.members {
		record := c.working.Endpoints[m.Name]
		if record == nil {
			continue
		}
		s.Endpoints = append(s.Endpoints, c.endpointState(now, m, record))
	}
	return s
}

func (c *Controller) endpointState(now time.Time, m Member, record *EndpointRecord) EndpointState {
	// A record of another incarnation does not describe this one.
	live := !m.Leaving && m.Incarnation == record.Incarnation
	e := EndpointState{
		Name: m.Name, FailureDomain: m.FailureDomain, CapacityMB: record.CapacityMB, FreeMB: record.FreeMB(),
		Concurrency: c.settings.Concurrency, AcceptsLoads: live && c.recordUsable(m.Name), Live: live,
		Units: make(map[string]PlacedUnit, len(record.Units)),
	}
	for name, u := range record.Units {
		hasLateOrders := len(u.LateLoads)+len(u.LateUnloads) > 0
		e.Units[name] = PlacedUnit{
			State: u.State, MemoryMB: u.MemoryMB, Base: u.Base, Stable: u.Stable(),
			Freeing: !hasLateOrders && (u.State == Absent || u.State == Unloading),
			Blocked: u.State == Absent && (len(u.LateUnloads) > 0 || !c.history.quiescent(now, m.Name, name, c.settings.MaxOrderDelay)),
		}
	}
	return e
}

// loadsAllowed returns how many loads may start now, within the weight store's rate and
// the number of loads that it serves at full speed.
func (c *Controller) loadsAllowed(now time.Time) int {
	openLoads := 0
	for _, o := range c.orders {
		if o.op == engine.OpLoad {
			openLoads++
		}
	}
	return max(0, min(c.budget.available(now), c.settings.ConcurrentLoads-openLoads))
}
