package settings

import (
	"cmp"
	"slices"
	"strings"
)

// Edge is the caller-facing configuration of a deployment that routes requests by host
// and path.
type Edge struct {
	// RequiresToken is set when requests need a token, except on public routes.
	RequiresToken bool
	Routes        []Route
	Limits        EdgeLimits
}

// EdgeLimits bounds the size of requests and the time that callers take.
type EdgeLimits struct {
	HeaderBytes int
	BodyBytes   int64
	// HeaderMS bounds the time to send a request's header, IdleMS the time for which a
	// connection may be idle between requests; both in milliseconds.
	HeaderMS, IdleMS int64
}

// Route directs the requests for a host and a path prefix to one of its pools.
type Route struct {
	Name string
	Host string
	// PathPrefix begins and ends with a slash.
	PathPrefix string
	// Streaming is set when answers are event streams.
	Streaming bool
	// Public is set when requests need no token.
	Public bool
	// Regions lists the regions in which requests may be served; empty means all.
	Regions []string
	// Shares lists the pools that serve the route, with their weights.
	Shares []RouteShare
	Policy Effective
}

// RouteShare is a pool of a route and its weight.
type RouteShare struct {
	Pool   string
	Weight int
}

// Pick selects the pool for a request at random by weight; random is in [0,1). It returns
// "" if the route has no pools.
func (r *Route) Pick(random float64) string {
	total := 0
	for _, s := range r.Shares {
		total += s.Weight
	}
	left := int(random * float64(total))
	for _, s := range r.Shares {
		if left -= s.Weight; left < 0 {
			return s.Pool
		}
	}
	return ""
}

// RouteTable finds the route of a request. The zero value has no routes.
type RouteTable struct {
	// byHost holds the routes of each host, longest prefix first.
	byHost map[string][]*Route
}

// NewRouteTable returns a table of the given routes, which it retains.
func NewRouteTable(routes []Route) RouteTable {
	t := RouteTable{byHost: make(map[string][]*Route)}
	for i := range routes {
		r := &routes[i]
		t.byHost[r.Host] = append(t.byHost[r.Host], r)
	}
	for _, list := range t.byHost {
		slices.SortStableFunc(list, func(a, b *Route) int {
			return cmp.Compare(len(b.PathPrefix), len(a.PathPrefix))
		})
	}
	return t
}

// Find returns the route of the host whose prefix is the longest that matches the path, or
// nil if none does.
func (t RouteTable) Find(host, path string) *Route {
	for _, r := range t.byHost[host] {
		if strings.HasPrefix(path, r.PathPrefix) {
			return r
		}
	}
	return nil
}
