package settings

import (
	"cmp"
	"slices"
	"strings"
)

// Edge is the callers' side of a deployment whose callers are told apart by
// host and path.
type Edge struct {
	// RequiresToken tells that requests need a token, but on public routes.
	RequiresToken bool
	Routes        []Route
	Limits        EdgeLimits
}

// EdgeLimits bound what a caller may send and how long it may rest.
type EdgeLimits struct {
	HeaderBytes int
	BodyBytes   int64
	// HeaderMS bounds the time to send a request's head, IdleMS that for which
	// a connection may rest between requests; both in milliseconds.
	HeaderMS, IdleMS int64
}

// Route sends the requests for a host below a path to a pool.
type Route struct {
	Name string
	Host string
	// PathPrefix begins and ends with a slash.
	PathPrefix string
	// Streaming tells that answers are event streams.
	Streaming bool
	// Public tells that requests need no token.
	Public bool
	// Regions are those in which requests may be served; empty means all.
	Regions []string
	// Shares are the pools that serve the route, by weight.
	Shares []RouteShare
	Policy Effective
}

// RouteShare is a pool's share of a route.
type RouteShare struct {
	Pool   string
	Weight int
}

// Pick returns the pool for a request; random is in [0,1).
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

// RouteTable finds the route of a request. The zero value has none.
type RouteTable struct {
	// byHost holds the routes of each host, the longest prefix first.
	byHost map[string][]*Route
}

// NewRouteTable returns a table of the routes.
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

// Find returns the route of the host with the longest prefix that begins the
// path, or nil.
func (t RouteTable) Find(host, path string) *Route {
	for _, r := range t.byHost[host] {
		if strings.HasPrefix(path, r.PathPrefix) {
			return r
		}
	}
	return nil
}
