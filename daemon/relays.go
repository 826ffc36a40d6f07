package daemon

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"github.com/eiderspring/eiderspring/evacuation"
	"github.com/eiderspring/eiderspring/membership"
	"github.com/eiderspring/eiderspring/peer"
	"github.com/eiderspring/eiderspring/relay"
	"github.com/eiderspring/eiderspring/wait"
)

// relays lets an instance of a large fleet follow the members through a relay, which is
// another instance of its failure domain that follows the store, and serves them to followers
// if this instance is a relay. A nil relays does neither.
type relays struct {
	instance, failureDomain string
	// address is where this instance accepts streams; empty if it does not.
	address string
	// fleet returns the listed instances, fleetKnown whether that list has been read, and
	// streamAddress where a listed instance accepts streams; empty if that is not known.
	fleet         func() []relay.Instance
	fleetKnown    func() bool
	streamAddress func(instance string) string
	// fleetVersion grows with each change of fleet.
	fleetVersion func() int64
	// isHolder reports whether this instance holds the lease, and so follows the store itself.
	isHolder func() bool
	// listing returns the members as this instance knows them, listingVersion grows with their
	// changes.
	listing        func() membership.Listing
	listingVersion func() int64
	// storeVersion is the version of the store as of which listing knows the members,
	// newestStoreVersion the newest version that the store or another instance has reported;
	// zero for none.
	storeVersion, newestStoreVersion func() evacuation.Version
	// attest adds to a delta what else this instance knows, and whether that is current;
	// onDelta receives what other instances add.
	attest  func(*relay.Delta)
	onDelta func(relay.Delta)
	// holderAttests reports whether the lease holder announces leaving endpoints to this
	// instance.
	holderAttests func() bool
	// storeAnswers reports whether the store answers the fresh calls of this instance.
	storeAnswers func() bool
	// holdTime returns for how long a relay may hold a request now until there is a change,
	// attestationLifetime is for how long an attestation counts.
	holdTime            func() time.Duration
	attestationLifetime time.Duration
	// onOpen receives the server and the client of streams once they are
	// open; may be nil.
	onOpen func(*peer.StreamServer, *peer.StreamClient)
	log    logr.Logger
	now    func() time.Time

	// following is set while this instance follows a relay.
	following atomic.Bool
	// attestedAt is when another instance last attested that what it knows is current; nil if
	// never.
	attestedAt atomic.Pointer[time.Time]
	// failedAt is when following relays last failed; nil if never.
	failedAt atomic.Pointer[time.Time]
	// answered counts answered requests of others, unanswered those of this instance that
	// failed.
	answered, unanswered atomic.Int64

	// mu guards the fields below.
	mu     sync.Mutex
	server *peer.StreamServer
	client *peer.StreamClient
	feed   *relay.Feed
	// ranked holds the relays to try, in order, as of rankedFleetVersion; isRelay is whether
	// this instance is a relay.
	ranked             []string
	isRelay            bool
	rankedFleetVersion int64
	// feedStoreVersion is the version of the store as of which feed knows the members.
	feedStoreVersion evacuation.Version
	// feedUpdatedAt is when feed last took over the listing. encoded holds the deltas encoded
	// since encodedAt, by the sequence number that the follower has; fullKey stands for the
	// full list.
	feedUpdatedAt time.Time
	encoded       map[int64][]byte
	encodedAt     time.Time
}

const (
	// relayDialTimeout bounds connecting to a relay, relayReplyTimeout how much longer a reply
	// may take than the relay may hold the request: the relay may be gone.
	relayDialTimeout  = 700 * time.Millisecond
	relayReplyTimeout = 700 * time.Millisecond
	// relayInitialHold is for how long a relay may hold a request until it has a list at all.
	relayInitialHold = 2 * time.Second
	// relayResumeHold is the same if the follower already has a list.
	relayResumeHold = 400 * time.Millisecond
	// relayStoreTimeout is for how long a relay may follow neither the store nor the lease
	// holder, while this instance has no attestation of the holder and the store answers it:
	// the relay may be cut off. After the end of the holder, or an outage, a relay starts to
	// use fresh watches some tenths of a second later than others.
	relayStoreTimeout = 700 * time.Millisecond
	// relayPollInterval is the time between two checks of a relay for changes.
	relayPollInterval = 100 * time.Millisecond
	// relayBatchDelay is for how long changes are batched, so that all followers get the same
	// delta and it is encoded once; it is reused for encodedLifetime.
	relayBatchDelay = 250 * time.Millisecond
	encodedLifetime = 100 * time.Millisecond
	// maxRelayAttempts is how many relays are tried before the store is read.
	maxRelayAttempts = 2
	// relayRetryDelay is for how long the store is read after all attempts have failed,
	// followCheckInterval the time between two checks whether a relay can be followed.
	relayRetryDelay     = 5 * time.Second
	followCheckInterval = 250 * time.Millisecond
)

// open starts to serve and to connect, or switches to another key.
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
	if err == nil && r.onOpen != nil {
		r.onOpen(r.server, r.client)
	}
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
	}
	if r.client != nil {
		r.client.Close()
	}
}

// candidates returns the relays to follow, in order of preference; none in a small fleet, and
// for an instance that is a relay itself.
func (r *relays) candidates() []string {
	if r.isHolder() || !r.fleetKnown() {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.updateRanking()
	return r.ranked
}

// servesFollowers reports whether this instance is one of the relays.
func (r *relays) servesFollowers() bool {
	if r == nil || r.address == "" || !r.fleetKnown() {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.updateRanking()
	return r.isRelay
}

// updateRanking selects and ranks the relays if the fleet has changed; mu must be held.
func (r *relays) updateRanking() {
	fleetVersion := r.fleetVersion()
	if fleetVersion == r.rankedFleetVersion {
		return
	}
	selected := relay.Select(r.failureDomain, r.fleet())
	r.ranked, r.rankedFleetVersion = relay.Rank(r.instance, selected), fleetVersion
	r.isRelay = slices.Contains(selected, r.instance)
}

// canFollow reports whether a relay is to be followed.
func (r *relays) canFollow() bool {
	if at := r.failedAt.Load(); at != nil && r.now().Sub(*at) < relayRetryDelay {
		return false
	}
	return r.streamClient() != nil && len(r.candidates()) > 0
}

// awaitCanFollow returns when a relay is to be followed, or ctx has ended.
func (r *relays) awaitCanFollow(ctx context.Context) {
	if r == nil {
		<-ctx.Done()
		return
	}
	for wait.For(ctx, followCheckInterval) && !r.canFollow() {
	}
}

func (r *relays) streamClient() *peer.StreamClient {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.client
}

// attested reports whether a relay has recently attested that what it serves to this instance
// is current.
func (r *relays) attested() bool { return r != nil && r.attestationAge() < r.attestationLifetime }

// attestationAge returns how long ago a relay last attested; neverConfirmed if none has.
func (r *relays) attestationAge() time.Duration {
	if r == nil || r.attestedAt.Load() == nil {
		return neverConfirmed
	}
	at := r.attestedAt.Load()
	return r.now().Sub(*at)
}
