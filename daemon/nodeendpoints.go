package daemon

import (
	"time"

	"github.com/eiderspring/eiderspring/engine"
	"github.com/eiderspring/eiderspring/routing"
)

// What a node does once it knows something new of an endpoint.

// newPath returns the path to the endpoints; dial is PlatformAdapter.DialEndpoint.
func (n *Node) newPath(dial engine.Dialer) *endpointPath {
	if dial == nil {
		dial = newKeepAliveDialer().DialContext
	}
	path := newEndpointPath(n.runCtx, dial, n.router.View, n.log, n.now)
	// Requests that wait for an endpoint leave at once.
	path.onChange = func(bool) { n.gates.Wake() }
	return path
}

// endpointCold records that an endpoint stays cold for the remaining time, in which it accepts
// perSecond requests per second from all instances together.
func (n *Node) endpointCold(e *routing.Endpoint, perSecond float64, remaining time.Duration) {
	if n.permits.limiter.RecordCold(n.now(), e.ColdPermitKey(), perSecond, remaining) {
		n.log.Info("endpoint cold", "endpoint", e.Name, "remaining_ms", remaining.Milliseconds(), "per_second", perSecond)
	}
	n.permits.signalRequest()
}

// endpointSaidLeaving passes on that an endpoint has said that it leaves. It is called on the
// goroutine of a request, which must not wait.
func (n *Node) endpointSaidLeaving(e *routing.Endpoint) {
	n.mesh.recordSaidLeaving(endpointIncarnation{e.Name, e.StartedAtMS})
	go func() { _ = n.events.Put(n.runCtx, endpointSaidLeaving{name: e.Name, incarnation: e.Incarnation}) }()
}

// othersHeardLeaving takes over that endpoints have said to other instances that they leave.
func (n *Node) othersHeardLeaving(incarnations []endpointIncarnation) {
	view := n.router.View()
	for _, s := range incarnations {
		e := view.ByName[s.name]
		if e != nil && s.includes(e.StartedAtMS) && e.SetSaidLeaving() {
			n.log.Info("endpoint leaves", "endpoint", e.Name, "by", "its answer to another instance")
			_ = n.events.Put(n.runCtx, endpointSaidLeaving{name: e.Name, incarnation: e.Incarnation})
		}
	}
}

// endpointsReplaced stops routing requests to, and placing units at, endpoints whose addresses
// are in use by other incarnations.
func (n *Node) endpointsReplaced(incarnations []endpointIncarnation) {
	replaced := make(map[string]endpointIncarnation, len(incarnations))
	for _, s := range incarnations {
		replaced[s.name] = s
	}
	for _, pool := range n.router.View().Pools {
		for _, e := range pool {
			s, reported := replaced[e.Name]
			if reported && s.includes(e.StartedAtMS) && !e.Replaced() {
				e.SetReplaced()
				n.log.Info("endpoint replaced", "endpoint", e.Name, "address", e.Address)
			}
		}
	}
	n.placers.endpointsReplaced(incarnations)
}
