package routing

// View is what an instance knows of the available endpoints. It is immutable; its
// endpoints are shared with earlier and later views.
type View struct {
	// Replicas lists, for each unit, the endpoints that hold it ready.
	Replicas map[string][]*Endpoint
	// Pools lists the endpoints of each pool.
	Pools map[string][]*Endpoint
	// ByName maps names to the endpoints of all pools.
	ByName map[string]*Endpoint
	// OpenRegions holds, for each pool, the regions with at least one endpoint that is not
	// evacuated. Nothing is known of a pool without an entry.
	OpenRegions map[string]map[string]bool
	// Instances is the number of live instances that share the endpoints.
	Instances int
}

// noOpenRegion reports whether no endpoint may serve the request, whatever units are
// loaded.
func (v *View) noOpenRegion(r *Request) bool {
	open, known := v.OpenRegions[r.Pool]
	if !known {
		return false
	}
	for region := range open {
		if r.allows(region) {
			return false
		}
	}
	return true
}

// onlyVersion reports whether all endpoints of the request's pool can continue its stream.
func (v *View) onlyVersion(r *Request) bool {
	endpoints := v.Pools[r.Pool]
	for _, e := range endpoints {
		if !(softwareFilter{}).Keep(r, e) {
			return false
		}
	}
	return len(endpoints) > 0
}

// Candidates returns the endpoints for a unit, or for a plain pool if unit is empty.
func (v *View) Candidates(unit, pool string) []*Endpoint {
	if unit == "" {
		return v.Pools[pool]
	}
	return v.Replicas[unit]
}
