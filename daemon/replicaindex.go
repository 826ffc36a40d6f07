package daemon

import (
	"cmp"
	"maps"
	"slices"

	"github.com/eiderspring/eiderspring/routing"
)

// replicaIndex maps each unit to the endpoints that serve it, and is updated from view to view:
// few of hundreds of endpoints change at a time, and rebuilding the index took two thirds of an
// instance's own processor time with 245 endpoints.
//
// Invariant: a map or slice shared with a view is never modified.
type replicaIndex struct {
	byUnit map[string][]*routing.Endpoint
	// served holds the units under which each endpoint is indexed, by endpoint name.
	served map[string]servedUnits
	// shared is set while a view refers to byUnit.
	shared bool
}

// servedUnits is an endpoint and the units that it serves.
type servedUnits struct {
	endpoint *routing.Endpoint
	units    []string
}

// set indexes an endpoint under the units that it serves, replacing its previous ones.
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

// remove removes an endpoint from the index.
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

// retain removes all endpoints that are not in present.
func (r *replicaIndex) retain(present map[string]*routing.Endpoint) {
	for name := range r.served {
		if present[name] == nil {
			r.remove(name)
		}
	}
}

// makeWritable copies byUnit if a view shares it, so that it may be modified.
func (r *replicaIndex) makeWritable() {
	switch {
	case r.byUnit == nil:
		r.byUnit, r.served = map[string][]*routing.Endpoint{}, map[string]servedUnits{}
	case r.shared:
		r.byUnit = maps.Clone(r.byUnit)
	}
	r.shared = false
}

// share returns the index for a view, which must not modify it.
func (r *replicaIndex) share() map[string][]*routing.Endpoint {
	if r.byUnit == nil {
		r.makeWritable()
	}
	r.shared = true
	return r.byUnit
}
