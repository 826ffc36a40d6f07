package daemon

import (
	"cmp"
	"maps"
	"slices"

	"github.com/eiderspring/eiderspring/routing"
)

// replicas is which endpoints serve each unit, kept from view to view: of hundreds of
// endpoints few change at a time, and to index all units anew took two thirds of an
// instance's own processor time with 245 endpoints.
//
// Invariant: a map or slice that a view was given is never changed.
type replicaIndex struct {
	byUnit map[string][]*routing.Endpoint
	// served is what each endpoint, by name, is entered with.
	served map[string]servedUnits
	// given is set while a view has byUnit.
	shared bool
}

// servedUnits is an endpoint with the units that it serves.
type servedUnits struct {
	endpoint *routing.Endpoint
	units    []string
}

// set enters an endpoint with the units that it serves, in place of what it had.
func (r *replicaIndex) set(e *routing.Endpoint, units []string) {
	previous := r.served[e.Name]
	if previous.endpoint == e && slices.Equal(previous.units, units) {
		return
	}
	r.remove(e.Name)
	r.makeWritable()
	for _, unit := range units {
		at, _ := slices.BinarySearchFunc(r.byUnit[unit], e.Name, byName)
		r.byUnit[unit] = slices.Insert(slices.Clone(r.byUnit[unit]), at, e)
	}
	r.served[e.Name] = servedUnits{endpoint: e, units: units}
}

func byName(e *routing.Endpoint, name string) int { return cmp.Compare(e.Name, name) }

// remove takes an endpoint out.
func (r *replicaIndex) remove(name string) {
	previous, known := r.served[name]
	if !known {
		return
	}
	r.makeWritable()
	for _, unit := range previous.units {
		left := slices.DeleteFunc(slices.Clone(r.byUnit[unit]), func(e *routing.Endpoint) bool { return e == previous.endpoint })
		if len(left) == 0 {
			delete(r.byUnit, unit)
			continue
		}
		r.byUnit[unit] = left
	}
	delete(r.served, name)
}

// keep takes all endpoints out that are not among those.
func (r *replicaIndex) retain(present map[string]*routing.Endpoint) {
	for name := range r.served {
		if present[name] == nil {
			r.remove(name)
		}
	}
}

// own makes sure that byUnit may be changed.
func (r *replicaIndex) makeWritable() {
	switch {
	case r.byUnit == nil:
		r.byUnit, r.served = map[string][]*routing.Endpoint{}, map[string]servedUnits{}
	case r.shared:
		r.byUnit = maps.Clone(r.byUnit)
	}
	r.shared = false
}

// give returns the index for a view.
func (r *replicaIndex) share() map[string][]*routing.Endpoint {
	if r.byUnit == nil {
		r.makeWritable()
	}
	r.shared = true
	return r.byUnit
}
