package peer

import (
	"time"
)

// Event is an input of Gossip.
type Event interface{ isEvent() }

// Live is the instances on the platform's list, this one included.
type Live struct{ Names []string }

// InForce is the revision in force here.
type InForce struct{ Revision int64 }

// StoreHeard says that the object API has answered this instance.
type StoreHeard struct{}

// Received is a hint that was opened.
type Received struct{ Hint Hint }

// Leave says that this instance makes a planned stop.
type Leave struct{}

// Tick lets time pass.
type Tick struct{}

func (Live) isEvent()       {}
func (InForce) isEvent()    {}
func (StoreHeard) isEvent() {}
func (Received) isEvent()   {}
func (Leave) isEvent()      {}
func (Tick) isEvent()       {}

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

// PeerLeaving says that an instance makes a planned stop.
type PeerLeaving struct{ Name string }

func (Send) isAction()        {}
func (Fetch) isAction()       {}
func (PeerLeaving) isAction() {}

// GossipConfig sets up a Gossip.
type GossipConfig struct {
	// Name and Process name this instance and its process.
	Name, Process string
	// Every is the time between hints to each neighbour.
	Every time.Duration
	// FetchEvery is the least time between two fetches of the same revision.
	FetchEvery time.Duration
}

// Defaults of GossipConfig.
const (
	DefaultGossipEvery = 500 * time.Millisecond
	DefaultFetchEvery  = 300 * time.Millisecond
)

// Gossip spreads the newest revision and the word that the store was heard.
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
}

// NewGossip returns a gossip that knows of nobody.
func NewGossip(cfg GossipConfig) *Gossip {
	if cfg.Every == 0 {
		cfg.Every = DefaultGossipEvery
	}
	if cfg.FetchEvery == 0 {
		cfg.FetchEvery = DefaultFetchEvery
	}
	return &Gossip{cfg: cfg, guard: newReplayGuard()}
}

// Step applies an event and returns what to do.
func (g *Gossip) Step(now time.Time, e Event) []Action {
	switch e := e.(type) {
	case Live:
		g.live(e.Names)
	case InForce:
		if e.Revision > g.revision {
			g.revision = e.Revision
			return g.tell(now)
		}
	case StoreHeard:
		g.storeAt = now
	case Leave:
		g.leaving = true
		return g.tell(now)
	case Received:
		return g.received(now, e.Hint)
	case Tick:
		if now.Sub(g.sentAt) >= g.cfg.Every {
			return g.tell(now)
		}
	}
	return nil
}

// PeerHeard returns when a peer was last heard.
func (g *Gossip) PeerHeard() time.Time { return g.peerAt }

// StoreHeardAt returns when the object API last answered any instance known of.
func (g *Gossip) StoreHeardAt() time.Time { return g.storeAt }

func (g *Gossip) live(names []string) {
	g.neighbours = Neighbours(g.cfg.Name, names)
	live := make(map[string]bool, len(names))
	for _, n := range names {
		live[n] = true
	}
	g.guard.forget(live)
}

func (g *Gossip) received(now time.Time, h Hint) []Action {
	if h.From == g.cfg.Name || !g.guard.fresh(now, h) {
		return nil
	}
	g.peerAt = now
	if heard := now.Add(-time.Duration(h.StoreAgeMS) * time.Millisecond); h.StoreAgeMS >= 0 && heard.After(g.storeAt) {
		g.storeAt = heard
	}
	var actions []Action
	if h.Leaving {
		actions = append(actions, PeerLeaving{Name: h.From})
	}
	switch {
	case h.Revision > g.revision && (h.Revision > g.fetching || now.Sub(g.fetchedAt) >= g.cfg.FetchEvery):
		g.fetching, g.fetchedAt = h.Revision, now
		actions = append(actions, Fetch{From: h.From, Revision: h.Revision})
	case h.Revision < g.revision:
		// The sender is behind; tell it at once.
		actions = append(actions, g.send(now, h.From))
	}
	return actions
}

// tell sends a hint to every neighbour.
func (g *Gossip) tell(now time.Time) []Action {
	g.sentAt = now
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
	}}
}
