package broadcast

import (
	"slices"

	"github.com/eiderspring/eiderspring/peer"
)

// Urgency is how soon the others need to know what an endpoint holds.
type Urgency int

// Urgencies, the least first.
const (
	// Refresh: they know it, unless they have missed it.
	Refresh Urgency = iota
	// Changed: they would go on without a replica.
	Changed
	// Withdrawn: requests that go on there would be turned away.
	Withdrawn
	urgencies
)

// Residency queues what endpoints hold, by urgency. Of each endpoint only the last word
// counts; it goes as soon as the most urgent of those before it. The zero value is empty.
type Residency struct {
	waiting map[string]waitingPlacement
	// queues hold the endpoints of each urgency in the order in which they came. An entry
	// counts only while the endpoint waits with that urgency.
	queues [urgencies][]string
}

type waitingPlacement struct {
	peer.Placement
	urgency Urgency
}

// Put adds what an endpoint holds.
func (r *Residency) Put(p peer.Placement, u Urgency) {
	w, waits := r.waiting[p.Endpoint]
	if !waits || u > w.urgency {
		w.urgency = u
		r.append(u, p.Endpoint)
	}
	if r.waiting == nil {
		r.waiting = map[string]waitingPlacement{}
	}
	w.Placement = p
	r.waiting[p.Endpoint] = w
}

// append adds an endpoint to a queue, and drops entries that count no more where most do not.
func (r *Residency) append(u Urgency, endpoint string) {
	if len(r.queues[u]) > 2*len(r.waiting)+staleEntries {
		r.queues[u] = slices.DeleteFunc(r.queues[u], func(name string) bool {
			w, waits := r.waiting[name]
			return !waits || w.urgency != u
		})
	}
	r.queues[u] = append(r.queues[u], endpoint)
}

// staleEntries is how many entries of a queue may count no more, besides as many as wait.
const staleEntries = 64

// Len is how many endpoints wait.
func (r *Residency) Len() int { return len(r.waiting) }

// Next takes as many of the most urgent that are at least least as fit into so many bytes, and
// one at least.
func (r *Residency) Next(bytes int, least Urgency) []peer.Placement {
	var next []peer.Placement
	for u := Withdrawn; u >= least; u-- {
		for len(r.queues[u]) > 0 {
			name := r.queues[u][0]
			w, waits := r.waiting[name]
			if !waits || w.urgency != u {
				r.queues[u] = r.queues[u][1:]
				continue
			}
			bytes -= w.EncodedSize()
			if bytes < 0 && len(next) > 0 {
				return next
			}
			r.queues[u] = r.queues[u][1:]
			delete(r.waiting, name)
			next = append(next, w.Placement)
		}
	}
	return next
}
