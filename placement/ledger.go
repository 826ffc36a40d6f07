package placement

import (
	"errors"
	"fmt"
	"maps"
	"slices"
)

// UnitState is the state of a unit at an endpoint according to the record.
type UnitState string

// States of a unit at an endpoint.
const (
	// Loading means that a load order is open.
	Loading UnitState = "loading"
	// Ready means that the unit was seen ready after its load was ordered.
	Ready UnitState = "ready"
	// Unloading means that an unload order is open.
	Unloading UnitState = "unloading"
	// Absent means that the unit was seen absent, but an order in flight may load it
	// again; its memory stays counted.
	Absent UnitState = "absent"
)

// Ledger is the record of one cell. It is stored as one object.
type Ledger struct {
	// Epoch is the fencing number of the newest controller.
	Epoch int64 `json:"epoch"`
	// Holder identifies that controller by instance and incarnation.
	Holder string `json:"holder"`
	// ListVersion is the newest version of the platform's list that any controller has
	// acted on. A controller with an older list must not conclude from it that anything
	// is gone.
	ListVersion int64                      `json:"listVersion"`
	Endpoints   map[string]*EndpointRecord `json:"endpoints"`
}

// EndpointRecord is the record of one endpoint.
type EndpointRecord struct {
	Incarnation   string                 `json:"incarnation"`
	CapacityMB    int64                  `json:"capacityMB"`
	ChecksFencing bool                   `json:"checksFencing,omitempty"`
	Units         map[string]*UnitRecord `json:"units"`
}

// UnitRecord is the record of one unit at one endpoint.
type UnitRecord struct {
	State    UnitState `json:"state"`
	MemoryMB int64     `json:"memoryMB"`
	// Base is the unit that must be resident with it, or empty.
	Base string `json:"base,omitempty"`
	// Order is the open order, if State is Loading or Unloading.
	Order string `json:"order,omitempty"`
	// LateLoads and LateUnloads are earlier controllers whose orders for this unit may
	// still arrive, however long those controllers were paused.
	LateLoads   []Sender `json:"lateLoads,omitempty"`
	LateUnloads []Sender `json:"lateUnloads,omitempty"`
}

// Sender is an earlier controller, identified by its holder and its last epoch.
type Sender struct {
	Holder string `json:"holder"`
	Epoch  int64  `json:"epoch"`
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger { return &Ledger{Endpoints: map[string]*EndpointRecord{}} }

// Clone returns a deep copy.
func (l *Ledger) Clone() *Ledger {
	c := &Ledger{Epoch: l.Epoch, Holder: l.Holder, ListVersion: l.ListVersion, Endpoints: make(map[string]*EndpointRecord, len(l.Endpoints))}
	for name, e := range l.Endpoints {
		record := *e
		record.Units = make(map[string]*UnitRecord, len(e.Units))
		for unit, u := range e.Units {
			copied := *u
			copied.LateLoads, copied.LateUnloads = slices.Clone(u.LateLoads), slices.Clone(u.LateUnloads)
			record.Units[unit] = &copied
		}
		c.Endpoints[name] = &record
	}
	return c
}

// CountedMB returns the memory that the endpoint may come to use by anything on record.
func (e *EndpointRecord) CountedMB() int64 {
	var mb int64
	for _, u := range e.Units {
		mb += u.MemoryMB
	}
	return mb
}

// FreeMB returns the memory that is available for loads.
func (e *EndpointRecord) FreeMB() int64 { return e.CapacityMB - e.CountedMB() }

// UnitNames returns the names of the units on record in sorted order.
func (e *EndpointRecord) UnitNames() []string { return slices.Sorted(maps.Keys(e.Units)) }

// Errors of the ledger's rules.
var (
	ErrNoEndpoint  = errors.New("no such endpoint")
	ErrNoUnit      = errors.New("the unit is not on record at the endpoint")
	ErrMemory      = errors.New("counted use would exceed the endpoint's memory")
	ErrBusy        = errors.New("an order for the unit is open")
	ErrLateUnload  = errors.New("an earlier unload of the unit may still arrive")
	ErrNoBase      = errors.New("the base unit is not ready at the endpoint")
	ErrBaseInUse   = errors.New("adapters of the unit are on record at the endpoint")
	ErrLastReplica = errors.New("no other replica is stable")
)

// RuleError reports a change that a rule of the ledger refused.
type RuleError struct {
	Endpoint, Unit string
	Err            error
}

// Error returns the unit, the endpoint and the violated rule.
func (e *RuleError) Error() string {
	return fmt.Sprintf("%s at %s: %v", e.Unit, e.Endpoint, e.Err)
}

// Unwrap returns the error of the violated rule.
func (e *RuleError) Unwrap() error { return e.Err }

// Stable reports whether the unit is a replica that no order in flight can remove.
func (u *UnitRecord) Stable() bool { return u.State == Ready && len(u.LateUnloads) == 0 }

// Replicas returns the endpoints at which the unit is stable in sorted order.
func (l *Ledger) Replicas(unit string) []string {
	var names []string
	for name, e := range l.Endpoints {
		if u := e.Units[unit]; u != nil && u.Stable() {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// IntendLoad records a load order if the rules allow it, and returns a RuleError
// otherwise.
func (l *Ledger) IntendLoad(endpoint, unit, base, order string, memoryMB int64) error {
	refuse := func(err error) error { return &RuleError{Endpoint: endpoint, Unit: unit, Err: err} }
	e := l.Endpoints[endpoint]
	if e == nil {
		return refuse(ErrNoEndpoint)
	}
	free := e.FreeMB()
	u := e.Units[unit]
	if u != nil {
		if u.State != Absent {
			return refuse(ErrBusy)
		}
		if len(u.LateUnloads) > 0 {
			return refuse(ErrLateUnload)
		}
		free += u.MemoryMB
	}
	if memoryMB > free {
		return refuse(ErrMemory)
	}
	if b := e.Units[base]; base != "" && (b == nil || !b.Stable()) {
		return refuse(ErrNoBase)
	}
	next := &UnitRecord{State: Loading, MemoryMB: memoryMB, Base: base, Order: order}
	if u != nil {
		next.LateLoads = u.LateLoads
	}
	e.Units[unit] = next
	return nil
}

// IntendUnload records an unload order if the rules allow it, and returns a RuleError
// otherwise. If wanted is set, the unit must stay reachable, which takes another stable
// replica.
func (l *Ledger) IntendUnload(endpoint, unit, order string, wanted bool) error {
	refuse := func(err error) error { return &RuleError{Endpoint: endpoint, Unit: unit, Err: err} }
	e := l.Endpoints[endpoint]
	if e == nil {
		return refuse(ErrNoEndpoint)
	}
	u := e.Units[unit]
	if u == nil || u.State == Absent {
		return refuse(ErrNoUnit)
	}
	if u.State != Ready {
		return refuse(ErrBusy)
	}
	for _, other := range e.Units {
		if other.Base == unit && other.State != Absent {
			return refuse(ErrBaseInUse)
		}
	}
	if wanted && !l.stableElsewhere(endpoint, unit) {
		return refuse(ErrLastReplica)
	}
	u.State, u.Order = Unloading, order
	return nil
}

func (l *Ledger) stableElsewhere(endpoint, unit string) bool {
	for name, e := range l.Endpoints {
		if u := e.Units[unit]; name != endpoint && u != nil && u.Stable() {
			return true
		}
	}
	return false
}

// ConfirmLoaded records that the unit was seen ready after its load order.
func (l *Ledger) ConfirmLoaded(endpoint, unit string) {
	if u := l.unit(endpoint, unit); u != nil && u.State == Loading {
		u.State, u.Order = Ready, ""
	}
}

// ConfirmUnloaded records that the unit was seen absent after its unload order was
// accepted. Its memory stays counted until Free.
func (l *Ledger) ConfirmUnloaded(endpoint, unit string) {
	if u := l.unit(endpoint, unit); u != nil && u.State == Unloading {
		u.State, u.Order = Absent, ""
	}
}

// Observe updates the record of a unit without an open order from an inventory. A
// replica that is absent stays counted until Free; one that an earlier controller's
// order loaded again becomes a replica again. It reports whether anything changed.
func (l *Ledger) Observe(endpoint, unit string, resident, ready bool) bool {
	u := l.unit(endpoint, unit)
	switch {
	case u == nil:
		return false
	case u.State == Ready && !resident:
		u.State = Absent
		return true
	case u.State == Absent && ready:
		u.State = Ready
		return true
	default:
		return false
	}
}

// AddDiscovered records a unit that an inventory shows and that is not on record.
func (l *Ledger) AddDiscovered(endpoint, unit string, found UnitRecord) {
	l.Endpoints[endpoint].Units[unit] = &found
}

// Free removes an absent unit unless an earlier controller's orders for it may still
// arrive. The caller must have seen it absent after the last of its own orders could
// arrive.
func (l *Ledger) Free(endpoint, unit string) bool {
	u := l.unit(endpoint, unit)
	if u == nil || u.State != Absent || len(u.LateLoads) > 0 || len(u.LateUnloads) > 0 {
		return false
	}
	delete(l.Endpoints[endpoint].Units, unit)
	return true
}

// RemoveSenders removes the senders whose orders can no longer arrive. It reports
// whether anything changed.
func (l *Ledger) RemoveSenders(gone func(Sender) bool) bool {
	changed := false
	for _, e := range l.Endpoints {
		for _, u := range e.Units {
			before := len(u.LateLoads) + len(u.LateUnloads)
			u.LateLoads = slices.DeleteFunc(u.LateLoads, gone)
			u.LateUnloads = slices.DeleteFunc(u.LateUnloads, gone)
			changed = changed || before != len(u.LateLoads)+len(u.LateUnloads)
		}
	}
	return changed
}

// LateHolders returns the holders of the senders on record in sorted order.
func (l *Ledger) LateHolders() []string {
	holders := map[string]bool{}
	for _, e := range l.Endpoints {
		for _, u := range e.Units {
			for _, s := range append(slices.Clone(u.LateLoads), u.LateUnloads...) {
				holders[s.Holder] = true
			}
		}
	}
	return slices.Sorted(maps.Keys(holders))
}

// TakeOver raises the epoch for a new controller. Every open order stays open under a
// new id. Where the endpoint does not check fencing numbers, the earlier controller is
// recorded as a sender whose copy of the order may arrive at any time. newOrder returns
// a new order id.
func (l *Ledger) TakeOver(epoch int64, holder string, newOrder func() string) {
	previous := Sender{Holder: l.Holder, Epoch: l.Epoch}
	l.Epoch, l.Holder = epoch, holder
	for _, name := range slices.Sorted(maps.Keys(l.Endpoints)) {
		e := l.Endpoints[name]
		for _, unit := range e.UnitNames() {
			u := e.Units[unit]
			if u.Order == "" {
				continue
			}
			u.Order = newOrder()
			if e.ChecksFencing || previous.Holder == holder {
				continue
			}
			if u.State == Loading {
				u.LateLoads = appendUnique(u.LateLoads, previous)
			} else {
				u.LateUnloads = appendUnique(u.LateUnloads, previous)
			}
		}
	}
}

// Reset replaces the record of an endpoint that is new, has a new incarnation, or was
// fenced and has returned its inventory.
func (l *Ledger) Reset(endpoint string, record *EndpointRecord) { l.Endpoints[endpoint] = record }

// Forget removes the record of an endpoint that is gone.
func (l *Ledger) Forget(endpoint string) { delete(l.Endpoints, endpoint) }

func (l *Ledger) unit(endpoint, unit string) *UnitRecord {
	if e := l.Endpoints[endpoint]; e != nil {
		return e.Units[unit]
	}
	return nil
}

func appendUnique(list []Sender, s Sender) []Sender {
	if slices.Contains(list, s) {
		return list
	}
	return append(list, s)
}
