package peer

import (
	"cmp"
	"time"

	"github.com/eiderspring/eiderspring/quarantine"
)

// Event is an input of Gossip.
type Event interface{ isEvent() }

// LiveInstances is the instances on the platform's list, this one included.
type LiveInstances struct{ Names []string }

// RevisionInForce is the revision in force here.
type RevisionInForce struct{ Revision int64 }

// ListReceived is the version of an answer of the platform's list, and the version on
// whose word it was asked for, 0 if on none.
type ListReceived struct{ Version, Asked int64 }

// StoreAnswered says that the object API has answered this instance.
type StoreAnswered struct{}

// Received is a hint that was opened, and when by the time of day; zero stands for the
// time of the step.
type Received struct {
	Hint Hint
	At   time.Time
	// Reply asks to tell the sender at once.
	Reply bool
}

// Leave says that this instance makes a planned stop.
type Leave struct{}

// SendNow asks to tell the neighbours at once, as there is news besides the revision.
type SendNow struct{}

// Tick lets time pass.
type Tick struct{}

func (LiveInstances) isEvent()   {}
func (RevisionInForce) isEvent() {}
func (ListReceived) isEvent()    {}
func (StoreAnswered) isEvent()   {}
func (Received) isEvent()        {}
func (Leave) isEvent()           {}
func (SendNow) isEvent()         {}
func (Tick) isEvent()            {}

// Action is an output of Gossip.
type Action interface{ isAction() }

// Send asks to send a hint to an instance.
type Send struct {
	To   string
	Hint Hint
}

// Fetch asks to fetch a newer revision, from the named instance or the store.
type Fetch struct {
	From     string
	Revision int64
}

// RefreshList asks to give up a call to the platform's list that waits, and to ask at once:
// an instance has that version, and this one has not.
type RefreshList struct{ Version int64 }

// PeerLeaving says that an instance makes a planned stop.
type PeerLeaving struct{ Name string }

// EndingsReceived are the words of a neighbour on requests under which endpoints ended.
type EndingsReceived struct{ Reports []quarantine.Report }

func (EndingsReceived) isAction() {}
func (Send) isAction()            {}
func (Fetch) isAction()           {}
func (RefreshList) isAction()     {}
func (PeerLeaving) isAction()     {}

// GossipConfig sets up a Gossip.
type GossipConfig struct {
	// Name and Process name this instance and its process.
	Name, Process string
	// Interval is the time between hints to each neighbour.
	Interval time.Duration
	// MinFetchInterval is the least time between two fetches of the same revision.
	MinFetchInterval time.Duration
	// ListGrace is how long the own call to the platform's list has to bring what
	// another instance has; MinListInterval is the least time between two asks for it.
	ListGrace, MinListInterval time.Duration
}

// Defaults of GossipConfig.
const (
	DefaultGossipInterval   = 500 * time.Millisecond
	DefaultMinFetchInterval = 300 * time.Millisecond
	// DefaultListGrace is many times what lies between the list's answers to two
	// calls that wait, so that an ask means that the own call hangs.
	DefaultListGrace = 250 * time.Millisecond
	// DefaultMinListInterval is half of the time that there is for a leaving endpoint.
	DefaultMinListInterval = time.Second
)

// mostListPause bounds the pause between asks that are not answered, in ListEvery.
const mostListPause = 4

// Gossip spreads the newest revision, the word that the store was heard, and how new
// the platform's list is that each instance has.
//
// Invariants: revision never falls; storeAt and peerAt never go back.
type Gossip struct {
	cfg        GossipConfig
	neighbours []string
	revision   int64
	seq        uint64
	sentAt     time.Time
	// storeAt is when the object API last answered any instance known of, by
	// this instance's clock; peerAt is when a peer was last heard.
	storeAt, peerAt time.Time
	leaving         bool
	guard           replayGuard
	fetching        int64
	fetchedAt       time.Time
	list            listWord
	// listNews says that the neighbours were not told yet of the list held here.
	listNews bool
}

// NewGossip returns a gossip that knows of nobody.
func NewGossip(cfg GossipConfig) *Gossip {
	if cfg.Interval == 0 {
		cfg.Interval = DefaultGossipInterval
	}
	if cfg.MinFetchInterval == 0 {
		cfg.MinFetchInterval = DefaultMinFetchInterval
	}
	if cfg.ListGrace == 0 {
		cfg.ListGrace = DefaultListGrace
	}
	if cfg.MinListInterval == 0 {
		cfg.MinListInterval = DefaultMinListInterval
	}
	return &Gossip{cfg: cfg, guard: newReplayGuard(), list: listWord{grace: cfg.ListGrace, every: cfg.MinListInterval}}
}

// Step applies an event and returns what to do.
func (g *Gossip) Step(now time.Time, e Event) []Action {
	switch e := e.(type) {
	case LiveInstances:
		g.live(e.Names)
	case RevisionInForce:
		if e.Revision > g.revision {
			g.revision = e.Revision
			return g.tell(now)
		}
	case StoreAnswered:
		g.storeAt = now
	case ListReceived:
		g.listNews = g.list.held(now, e.Version, e.Asked) || g.listNews
	case Leave:
		g.leaving = true
		return g.tell(now)
	case SendNow:
		return g.tell(now)
	case Received:
		return g.received(now, e)
	case Tick:
		return g.tick(now)
	}
	return nil
}

// tick tells the neighbours when it is time, or when there is a newer list; many
// changes of the list between two ticks are told once.
func (g *Gossip) tick(now time.Time) []Action {
	var actions []Action
	if g.list.due(now) {
		actions = append(actions, RefreshList{Version: g.list.told})
	}
	if g.listNews || now.Sub(g.sentAt) >= g.cfg.Interval {
		actions = append(actions, g.tell(now)...)
	}
	return actions
}

// LastPeerContact returns when a peer was last heard.
func (g *Gossip) LastPeerContact() time.Time { return g.peerAt }

// LastStoreAnswer returns when the object API last answered any instance known of.
func (g *Gossip) LastStoreAnswer() time.Time { return g.storeAt }

func (g *Gossip) live(names []string) {
	g.neighbours = Neighbours(g.cfg.Name, names)
	live := make(map[string]bool, len(names))
	for _, n := range names {
		live[n] = true
	}
	g.guard.forget(live)
}

func (g *Gossip) received(now time.Time, r Received) []Action {
	h := r.Hint
	if h.From == g.cfg.Name || !g.guard.fresh(cmp.Or(r.At, now), h) {
		return nil
	}
	g.peerAt = now
	if heard := now.Add(-time.Duration(h.StoreAgeMS) * time.Millisecond); h.StoreAgeMS >= 0 && heard.After(g.storeAt) {
		g.storeAt = heard
	}
	g.list.hear(now, h.List)
	var actions []Action
	if len(h.Endings) > 0 {
		actions = append(actions, EndingsReceived{Reports: h.Endings})
	}
	if h.Leaving {
		actions = append(actions, PeerLeaving{Name: h.From})
	}
	switch {
	case h.Revision > g.revision && (h.Revision > g.fetching || now.Sub(g.fetchedAt) >= g.cfg.MinFetchInterval):
		g.fetching, g.fetchedAt = h.Revision, now
		actions = append(actions, Fetch{From: h.From, Revision: h.Revision})
	case h.Revision < g.revision || r.Reply:
		// The sender is behind; tell it at once.
		actions = append(actions, g.send(now, h.From))
	}
	return actions
}

// tell sends a hint to every neighbour.
func (g *Gossip) tell(now time.Time) []Action {
	g.sentAt, g.listNews = now, false
	actions := make([]Action, 0, len(g.neighbours))
	for _, to := range g.neighbours {
		actions = append(actions, g.send(now, to))
	}
	return actions
}

func (g *Gossip) send(now time.Time, to string) Action {
	g.seq++
	age := int64(-1)
	if !g.storeAt.IsZero() {
		age = now.Sub(g.storeAt).Milliseconds()
	}
	return Send{To: to, Hint: Hint{
		Version: HintVersion, From: g.cfg.Name, Process: g.cfg.Process, Seq: g.seq, SentMS: now.UnixMilli(),
		Revision: g.revision, StoreAgeMS: age, Leaving: g.leaving,
		List: g.list.own,
	}}
}
