package daemon

import (
	"maps"
	"slices"
	"sync"

	"github.com/eiderspring/eiderspring/placement/counted"
)

// placerInputs buffers events from outside, and changes of the lease, until a placer takes them,
// keeping the last of each kind. Senders never wait for the placer, whose planning may take long:
// a sender that waited blocked the tasks of the whole instance, or the renewal of the lease.
type placerInputs struct {
	mu        sync.Mutex
	settings  *counted.CellSettings
	members   *counted.MemberList
	isolation *counted.IsolationChanged
	demand    *counted.DemandReport
	// lease is the last change of the lease: LeaseAcquired or LeaseLost.
	lease counted.Event
	// replaced maps endpoints to the start time of the replaced incarnation, in Unix
	// milliseconds; failed holds the endpoints at which requests failed.
	replaced map[string]int64
	failed   map[string]bool
}

// add records an event, replacing an earlier one of its kind. Sets of endpoints are merged.
func (n *placerInputs) add(e counted.Event) {
	n.mu.Lock()
	defer n.mu.Unlock()
	switch e := e.(type) {
	case counted.CellSettings:
		n.settings = &e
	case counted.MemberList:
		n.members = &e
	case counted.IsolationChanged:
		n.isolation = &e
	case counted.DemandReport:
		n.demand = &e
	case counted.LeaseAcquired, counted.LeaseLost:
		n.lease = e
	case counted.EndpointsReplaced:
		n.addReplaced(e)
	case counted.RequestsFailed:
		if n.failed == nil {
			n.failed = map[string]bool{}
		}
		for _, name := range e.Endpoints {
			n.failed[name] = true
		}
	}
}

func (n *placerInputs) addReplaced(e counted.EndpointsReplaced) {
	if n.replaced == nil {
		n.replaced = map[string]int64{}
	}
	for _, name := range e.Endpoints {
		n.replaced[name] = e.StartedAtMS[name]
	}
}

// take returns the events added since the last call, in the order in which to apply them.
func (n *placerInputs) take() []counted.Event {
	n.mu.Lock()
	defer n.mu.Unlock()
	var events []counted.Event
	if n.settings != nil {
		events = append(events, *n.settings)
	}
	if n.members != nil {
		events = append(events, *n.members)
	}
	if len(n.replaced) > 0 {
		events = append(events, counted.EndpointsReplaced{Endpoints: slices.Sorted(maps.Keys(n.replaced)), StartedAtMS: n.replaced})
	}
	if len(n.failed) > 0 {
		events = append(events, counted.RequestsFailed{Endpoints: slices.Sorted(maps.Keys(n.failed))})
	}
	if n.isolation != nil {
		events = append(events, *n.isolation)
	}
	if n.lease != nil {
		events = append(events, n.lease)
	}
	if n.demand != nil {
		events = append(events, *n.demand)
	}
	n.settings, n.members, n.isolation, n.lease, n.demand, n.replaced, n.failed = nil, nil, nil, nil, nil, nil, nil
	return events
}
