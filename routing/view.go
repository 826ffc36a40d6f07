package routing

// View is what an instance knows of where requests can go. It is immutable;
// the endpoints in it are shared with the views before and after.
type View struct {
	// Replicas lists, for each unit, the endpoints that hold it ready.
	Replicas map[string][]*Endpoint
	// Pools lists the endpoints of each pool.
	Pools map[string][]*Endpoint
	// ByName holds the endpoints of all pools by name.
	ByName map[string]*Endpoint
	// OpenRegions holds, for each pool, the regions in which an endpoint is not evacuated. A pool
	// that it lacks is not known.
	OpenRegions map[string]map[string]bool
	// Instances is the number of live instances that share the endpoints.
	Instances int
}

// closed tells whether no endpoint may get the request, whatever is loaded where.
func (v *View) closed(r *Request) bool {
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

// Candidates returns the endpoints for a unit, or for a plain pool where unit
// is empty.
func (v *View) Candidates(unit, pool string) []*Endpoint {
	if unit == "" {
		return v.Pools[pool]
	}
	return v.Replicas[unit]
}
