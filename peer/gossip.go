package peer

import (
	"cmp"
	"time"

	"github.com/eiderspring/eiderspring/quarantine"
)

// Event is an input of Gossip.
type Event interface{ isEvent() }

// LiveInstances carries the names on the platform's list, this instance included.
type LiveInstances struct{ Names []string }

// RevisionInForce carries the settings revision in force at this instance.
type RevisionInForce struct{ Revision int64 }

// ListReceived reports an answer of the platform's list. Version is the version of the
// answer. Requested is the version reported by another instance that caused the call, 0 if
// none did.
type ListReceived struct{ Version, Requested int64 }

// StoreAnswered reports that the object API has answered this instance.
type StoreAnswered struct{}

// Received is a decrypted hint. At is the wall-clock time of its receipt; zero means the
// time passed to Step.
type Received struct {
	Hint Hint
	At   time.Time
	// Reply requests an immediate hint to the sender.
	Reply bool
}

// Leave reports that this instance has begun a planned stop.
type Leave struct{}

// SendNow requests immediate hints to all neighbours, because something besides the
// revision has changed.
type SendNow struct{}

// Tick is sent periodically so that Gossip can act on the passage of time.
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

// Send requests that a hint be sent to an instance.
type Send struct {
	To   string
	Hint Hint
}

// Fetch requests that a newer settings revision be fetched, from the named instance or
// the store.
type Fetch struct {
	From     string
	Revision int64
}

// RefreshList requests that the pending call to the platform's list be abandoned and a
// new one be made at once, because another instance has this version of the list and this
// one does not.
type RefreshList struct{ Version int64 }

// PeerLeaving reports that another instance has begun a planned stop.
type PeerLeaving struct{ Name string }

// EndingsReceived carries a neighbour's reports of requests during which endpoints ended.
type EndingsReceived struct{ Reports []quarantine.Report }

func (EndingsReceived) isAction() {}
func (Send) isAction()            {}
func (Fetch) isAction()           {}
func (RefreshList) isAction()     {}
func (PeerLeaving) isAction()     {}

// GossipConfig configures a Gossip. A zero duration means its default.
type GossipConfig struct {
	// Name identifies this instance, Process its current process.
	Name, Process string
	// Interval is the time between periodic hints to each neighbour.
	Interval time.Duration
	// MinFetchInterval is the minimum time between two fetches of the same revision.
	MinFetchInterval time.Duration
	// ListGrace is the time in which this instance's pending call to the platform's
	// list should return the version that another instance has. MinListInterval is
	// the minimum time between two RefreshList actions.
	ListGrace, MinListInterval time.Duration
}

// Defaults of GossipConfig.
const (
	DefaultGossipInterval   = 500 * time.Millisecond
	DefaultMinFetchInterval = 300 * time.Millisecond
	// DefaultListGrace is many times the usual difference between the answers to two
	// pending calls of the list, so that a RefreshList means that this instance's call hangs.
	DefaultListGrace = 250 * time.Millisecond
	// DefaultMinListInterval is half of the time in which all instances must stop
	// routing to a leaving endpoint.
	DefaultMinListInterval = time.Second
)

// maxListBackoff bounds the backoff between unanswered refreshes, as a multiple of
// MinListInterval.
const maxListBackoff = 4

// Gossip propagates the newest settings revision, the time of the object API's last
// answer, and the version of the platform's list that each instance has.
//
// Invariants: revision, storeAnsweredAt and peerContactAt never decrease.
type Gossip struct {
	cfg        GossipConfig
	neighbours []string
	revision   int64
	seq        uint64
	sentAt     time.Time
	// storeAnsweredAt is when the object API last answered any known instance, by this
	// instance's clock; peerContactAt is when the last hint of a peer was received.
	storeAnsweredAt, peerContactAt time.Time
	leaving                        bool
	guard                          replayGuard
	fetching                       int64
	fetchedAt                      time.Time
	list                           listTracker
	// listChanged is set while the neighbours have not been sent the list's version.
	listChanged bool
}

// NewGossip returns a Gossip without neighbours.
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
	return &Gossip{cfg: cfg, guard: newReplayGuard(), list: listTracker{grace: cfg.ListGrace, minInterval: cfg.MinListInterval}}
}

// Step applies an event and returns the actions to take.
func (g *Gossip) Step(now time.Time, e Event) []Action {
	switch e := e.(type) {
	case LiveInstances:
		g.setLive(e.Names)
	case RevisionInForce:
		if e.Revision > g.revision {
			g.revision = e.Revision
			return g.sendAll(now)
		}
	case StoreAnswered:
		g.storeAnsweredAt = now
	case ListReceived:
		g.listChanged = g.list.received(now, e.Version, e.Requested) || g.listChanged
	case Leave:
		g.leaving = true
		return g.sendAll(now)
	case SendNow:
		return g.sendAll(now)
	case Received:
		return g.received(now, e)
	case Tick:
		return g.tick(now)
	}
	return nil
}

// tick sends hints when the interval has passed or the list has changed. Several
// changes of the list between two ticks cause only one round of hints.
func (g *Gossip) tick(now time.Time) []Action {
	var actions []Action
	if g.list.refreshDue(now) {
		actions = append(actions, RefreshList{Version: g.list.newestReported})
	}
	if g.listChanged || now.Sub(g.sentAt) >= g.cfg.Interval {
		actions = append(actions, g.sendAll(now)...)
	}
	return actions
}

// LastPeerContact returns when the last hint of a peer was received.
func (g *Gossip) LastPeerContact() time.Time { return g.peerContactAt }

// LastStoreAnswer returns when the object API last answered any known instance.
func (g *Gossip) LastStoreAnswer() time.Time { return g.storeAnsweredAt }

func (g *Gossip) setLive(names []string) {
	g.neighbours = Neighbours(g.cfg.Name, names)
	live := make(map[string]bool, len(names))
	for _, n := range names {
		live[n] = true
	}
	g.guard.retain(live)
}

func (g *Gossip) received(now time.Time, r Received) []Action {
	h := r.Hint
	if h.From == g.cfg.Name || !g.guard.fresh(cmp.Or(r.At, now), h) {
		return nil
	}
	g.peerContactAt = now
	if answered := now.Add(-time.Duration(h.StoreAgeMS) * time.Millisecond); h.StoreAgeMS >= 0 && answered.After(g.storeAnsweredAt) {
		g.storeAnsweredAt = answered
	}
	g.list.observeReport(now, h.List)
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
		// The sender has an older revision, or a reply is requested.
		actions = append(actions, g.send(now, h.From))
	}
	return actions
}

// sendAll sends a hint to every neighbour.
func (g *Gossip) sendAll(now time.Time) []Action {
	g.sentAt, g.listChanged = now, false
	actions := make([]Action, 0, len(g.neighbours))
	for _, to := range g.neighbours {
		actions = append(actions, g.send(now, to))
	}
	return actions
}

func (g *Gossip) send(now time.Time, to string) Action {
	g.seq++
	age := int64(-1)
	if !g.storeAnsweredAt.IsZero() {
		age = now.Sub(g.storeAnsweredAt).Milliseconds()
	}
	return Send{To: to, Hint: Hint{
		Version: HintVersion, From: g.cfg.Name, Process: g.cfg.Process, Seq: g.seq, SentMS: now.UnixMilli(),
		Revision: g.revision, StoreAgeMS: age, Leaving: g.leaving,
		List: g.list.ownVersion,
	}}
}
