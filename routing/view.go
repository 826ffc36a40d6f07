package routing

// View is what an instance knows of where requests can go. It is immutable;
// the endpoints in it are shared with the views before and after.
type View struct {
	// Replicas lists, for each unit, the endpoints that hold it ready.
	Replicas map[string][]*Endpoint
	// Pools lists the endpoints of each pool.
	Pools map[string][]*Endpoint
	// Named holds the endpoints of all pools by name.
	Named map[string]*Endpoint
	// Instances is the number of live instances that share the endpoints.
	Instances int
}

// Candidates returns the endpoints for a unit, or for a plain pool where unit
// is empty.
func (v *View) Candidates(unit, pool string) []*Endpoint {
	if unit == "" {
		return v.Pools[pool]
	}
	return v.Replicas[unit]
}
