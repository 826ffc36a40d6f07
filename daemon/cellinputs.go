package daemon

import (
	"sync"

	"github.com/eiderspring/eiderspring/placement"
)

// cellInputs buffers settings, lists and changes of the lease until a cell takes them, keeping the
// last of each kind. Senders never wait for the cell: the view and the renewal of the lease would
// be late.
type cellInputs struct {
	mu       sync.Mutex
	settings *placement.CellSettings
	members  *placement.MemberList
	// lease is the last change of the lease: LeaseAcquired or LeaseLost.
	lease placement.Event
}

// add records an event, replacing an earlier one of its kind.
func (n *cellInputs) add(e placement.Event) {
	n.mu.Lock()
	defer n.mu.Unlock()
	switch e := e.(type) {
	case placement.CellSettings:
		n.settings = &e
	case placement.MemberList:
		n.members = &e
	case placement.LeaseAcquired, placement.LeaseLost:
		n.lease = e
	}
}

// take returns the events added since the last call, in the order in which to apply them.
func (n *cellInputs) take() []placement.Event {
	n.mu.Lock()
	defer n.mu.Unlock()
	var events []placement.Event
	if n.settings != nil {
		events = append(events, *n.settings)
	}
	if n.members != nil {
		events = append(events, *n.members)
	}
	if n.lease != nil {
		events = append(events, n.lease)
	}
	n.settings, n.members, n.lease = nil, nil, nil
	return events
}
