package broadcast

import (
	"slices"

	"github.com/eiderspring/eiderspring/peer"
)

// Urgency is how soon the receivers need to know the residency of an endpoint.
type Urgency int

// Urgencies, in increasing order.
const (
	// Refresh: the receivers know it, unless they missed a message.
	Refresh Urgency = iota
	// Changed: the receivers would not use a replica that is there.
	Changed
	// Withdrawn: requests that are still routed to a removed replica would be rejected.
	Withdrawn
	urgencies
)

// Residency queues what endpoints hold, by urgency. Only the last state of each endpoint is
// kept, with the highest urgency since the endpoint was queued. The zero value is empty.
type Residency struct {
	queued map[string]queuedPlacement
	// queues hold the endpoints of each urgency in order of arrival. An entry is valid only
	// while the endpoint is queued with that urgency.
	queues [urgencies][]string
}

type queuedPlacement struct {
	peer.Placement
	urgency Urgency
}

// Put queues the state of an endpoint.
func (r *Residency) Put(p peer.Placement, u Urgency) {
	w, found := r.queued[p.Endpoint]
	if !found || u > w.urgency {
		w.urgency = u
		r.append(u, p.Endpoint)
	}
	if r.queued == nil {
		r.queued = map[string]queuedPlacement{}
	}
	w.Placement = p
	r.queued[p.Endpoint] = w
}

// append adds an endpoint to a queue, and compacts the queue if most of its entries are stale.
func (r *Residency) append(u Urgency, endpoint string) {
	if len(r.queues[u]) > 2*len(r.queued)+maxStaleEntries {
		r.queues[u] = slices.DeleteFunc(r.queues[u], func(name string) bool {
			w, found := r.queued[name]
			return !found || w.urgency != u
		})
	}
	r.queues[u] = append(r.queues[u], endpoint)
}

// maxStaleEntries is how many stale entries a queue may have in addition to one for each queued
// endpoint.
const maxStaleEntries = 64

// Len returns the number of queued endpoints.
func (r *Residency) Len() int { return len(r.queued) }

// Next removes and returns the most urgent states of at least minUrgency: as many as fit into
// the given number of bytes, and at least one.
func (r *Residency) Next(bytes int, minUrgency Urgency) []peer.Placement {
	var next []peer.Placement
	for u := Withdrawn; u >= minUrgency; u-- {
		for len(r.queues[u]) > 0 {
			name := r.queues[u][0]
			w, found := r.queued[name]
			if !found || w.urgency != u {
				r.queues[u] = r.queues[u][1:]
				continue
			}
			bytes -= w.EncodedSize()
			if bytes < 0 && len(next) > 0 {
				return next
			}
			r.queues[u] = r.queues[u][1:]
			delete(r.queued, name)
			next = append(next, w.Placement)
		}
	}
	return next
}
