package daemon

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"github.com/eiderspring/eiderspring/evacuation"
	"github.com/eiderspring/eiderspring/peer"
	"github.com/eiderspring/eiderspring/relay"
	"github.com/eiderspring/eiderspring/wait"
)

// relays asks other instances of a large fleet for the list of members, and tells it to those
// that ask this one.
type relays struct {
	instance, domain, address string
	// fleet is the instances that are listed, reached where a listed one answers questions;
	// empty if that is not known.
	fleet   func() []relay.Instance
	reached func(instance string) string
	// known tells whether the list of instances has been read.
	known func() bool
	// version reads a version of the store.
	version func(text string) (evacuation.Version, error)
	// stored is the members that are known here, asOf the version of the store that they are
	// as of, empty for none.
	stored func() relay.Snapshot
	asOf   func() string
	log    logr.Logger
	now    func() time.Time

	// mu guards server, client and told.
	mu     sync.Mutex
	server *peer.StreamServer
	client *peer.StreamClient
	// told is what was told last, packed, as of toldVersion.
	told        []byte
	toldVersion string

	// asked and unanswered count questions to others, answered those of others.
	asked, answered, unanswered atomic.Int64
}

const (
	// fleetKnown is for how long the list of instances, and the key, are waited for.
	fleetKnown = 3 * time.Second
	// relayTime is for how long one relay may take to answer: it may have to read the list
	// first.
	relayTime = 2500 * time.Millisecond
	// relayDial is for how long one may not be reached: it may be gone.
	relayDial = time.Second
	// relayLook is the time between two looks of a relay at whether it has a list.
	relayLook = 50 * time.Millisecond
)

// open begins to answer and to ask, or goes on with another key.
func (r *relays) open(key []byte) error {
	if r == nil || r.address == "" {
		return nil
	}
	id, err := peer.NewIdentity([][]byte{key}, time.Now())
	if err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.server != nil {
		r.server.SetIdentity(id)
		r.client.SetIdentity(id)
		return nil
	}
	r.server, err = peer.ListenStreams(r.address, id, r.answer)
	r.client = peer.NewStreamClient(id)
	return err
}

func (r *relays) close() {
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.server != nil {
		r.server.Close()
		r.client.Close()
	}
}

// tells tells whether others ask this instance.
func (r *relays) tells() bool {
	for _, name := range relay.Of(r.domain, r.fleet()) {
		if name == r.instance {
			return true
		}
	}
	return false
}

// ask asks those that tell this instance for a list that is newer than a version. It reports
// false where the store is to be asked.
func (r *relays) ask(ctx context.Context, after string) (s relay.Snapshot, told bool) {
	wait.While(ctx, fleetKnown, func() bool { return !r.known() || !r.isOpen() })
	for _, name := range relay.Order(r.instance, relay.Of(r.domain, r.fleet())) {
		began := r.now()
		s, err := r.askOne(ctx, name, after)
		if err == nil {
			r.asked.Add(1)
			r.log.Info("members told", "by", name, "members", len(s.Members), "version", s.Version, "took_ms", r.now().Sub(began).Milliseconds())
			return s, true
		}
		r.unanswered.Add(1)
		r.log.Info("members not told", "by", name, "took_ms", r.now().Sub(began).Milliseconds(), "error", err.Error())
		if ctx.Err() != nil {
			return s, false
		}
	}
	return relay.Snapshot{}, false
}

// isOpen tells whether others can be asked.
func (r *relays) isOpen() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.client != nil
}

// errNotOpen is an instance that cannot be asked yet.
var errNotOpen = errors.New("no stream to the instance")

func (r *relays) askOne(ctx context.Context, name, after string) (s relay.Snapshot, err error) {
	r.mu.Lock()
	client := r.client
	r.mu.Unlock()
	address := r.reached(name)
	if client == nil || address == "" {
		return s, errNotOpen
	}
	ctx, cancel := context.WithTimeout(ctx, relayTime)
	defer cancel()
	session, err := dialRelay(ctx, client, address)
	if err != nil {
		return s, err
	}
	defer session.Close()
	packed, err := session.Ask(ctx, peer.Question{Members: &peer.MembersQuestion{After: after}})
	if err != nil {
		return s, err
	}
	if s, err = relay.Decode(packed); err != nil {
		return s, err
	}
	_, err = r.version(s.Version)
	return s, err
}

func dialRelay(ctx context.Context, client *peer.StreamClient, address string) (*peer.Session, error) {
	ctx, cancel := context.WithTimeout(ctx, relayDial)
	defer cancel()
	return client.Dial(ctx, address)
}

// answer answers another instance, once there is a list that is newer than what it knows.
func (r *relays) answer(ctx context.Context, q peer.Question) peer.Reply {
	if q.Members == nil {
		return peer.Reply{}
	}
	for wait.For(ctx, 0) {
		if packed, newer := r.packed(q.Members.After); newer {
			r.answered.Add(1)
			return peer.Reply{Found: true, Data: packed}
		}
		if !wait.For(ctx, relayLook) {
			break
		}
	}
	return peer.Reply{}
}

// packed is the list that is known here, if it is newer than a version.
func (r *relays) packed(after string) (packed []byte, newer bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	version := r.asOf()
	if version == "" || !r.isNewer(version, after) {
		return nil, false
	}
	if version == r.toldVersion {
		return r.told, true
	}
	s := r.stored()
	packed, err := relay.Encode(s)
	if err != nil {
		r.log.Error(err, "members not packed")
		return nil, false
	}
	r.told, r.toldVersion = packed, s.Version
	return packed, true
}

func (r *relays) isNewer(version, than string) bool {
	if than == "" {
		return true
	}
	a, err := r.version(version)
	if err != nil {
		return false
	}
	b, err := r.version(than)
	return err == nil && a.Compare(b) > 0
}

// relayStats is what operators see of what is asked and told.
type relayStats struct {
	// Tells is whether others ask this instance; Asked and Unanswered count its own
	// questions, Answered those of others.
	Tells      bool  `json:"tells"`
	Asked      int64 `json:"asked"`
	Unanswered int64 `json:"unanswered"`
	Answered   int64 `json:"answered"`
}

func (r *relays) stats() relayStats {
	return relayStats{Tells: r.tells(), Asked: r.asked.Load(), Unanswered: r.unanswered.Load(), Answered: r.answered.Load()}
}
