package daemon

import (
	"maps"
	"slices"
	"sync"

	"github.com/eiderspring/eiderspring/placement/counted"
)

// placerNews holds what a placer is told from outside until it takes it: of each kind the last
// word counts. Those who tell never wait for the placer, whose plan may take long: behind one
// that did, duties of the whole instance stood still.
type placerNews struct {
	mu         sync.Mutex
	configured *counted.CellSettings
	listed     *counted.MemberList
	alone      *counted.IsolationChanged
	demanded   *counted.DemandReport
	// gone are endpoints, and when each was started; suspected are endpoints.
	gone      map[string]int64
	suspected map[string]bool
}

// tell adds news.
func (n *placerNews) tell(e counted.Event) {
	n.mu.Lock()
	defer n.mu.Unlock()
	switch e := e.(type) {
	case counted.CellSettings:
		n.configured = &e
	case counted.MemberList:
		n.listed = &e
	case counted.IsolationChanged:
		n.alone = &e
	case counted.DemandReport:
		n.demanded = &e
	case counted.EndpointsReplaced:
		n.addGone(e)
	case counted.RequestsFailed:
		if n.suspected == nil {
			n.suspected = map[string]bool{}
		}
		for _, name := range e.Endpoints {
			n.suspected[name] = true
		}
	}
}

func (n *placerNews) addGone(e counted.EndpointsReplaced) {
	if n.gone == nil {
		n.gone = map[string]int64{}
	}
	for _, name := range e.Endpoints {
		n.gone[name] = e.StartedAtMS[name]
	}
}

// take returns what was told since, in the order in which it is to be applied.
func (n *placerNews) take() []counted.Event {
	n.mu.Lock()
	defer n.mu.Unlock()
	var events []counted.Event
	if n.configured != nil {
		events = append(events, *n.configured)
	}
	if n.listed != nil {
		events = append(events, *n.listed)
	}
	if len(n.gone) > 0 {
		events = append(events, counted.EndpointsReplaced{Endpoints: slices.Sorted(maps.Keys(n.gone)), StartedAtMS: n.gone})
	}
	if len(n.suspected) > 0 {
		events = append(events, counted.RequestsFailed{Endpoints: slices.Sorted(maps.Keys(n.suspected))})
	}
	if n.alone != nil {
		events = append(events, *n.alone)
	}
	if n.demanded != nil {
		events = append(events, *n.demanded)
	}
	n.configured, n.listed, n.alone, n.demanded, n.gone, n.suspected = nil, nil, nil, nil, nil, nil
	return events
}
