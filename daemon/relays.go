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

// relays follows, in a large fleet, the members by the word of another instance of the own
// failure domain that follows the store, and tells them to those that ask this one. A nil one
// does neither.
type relays struct {
	instance, failureDomain string
	// address is where this instance answers; empty if it does not.
	address string
	// fleet is the instances that are listed, known tells whether that list has been read, and
	// reached is where a listed one answers; empty if that is not known.
	fleet         func() []relay.Instance
	fleetKnown    func() bool
	streamAddress func(instance string) string
	// listedVersion grows with each change of fleet.
	fleetVersion func() int64
	// holds tells whether this instance places units, and so looks itself.
	isHolder func() bool
	// listing is the members as this instance knows them, version grows with their changes.
	listing        func() membership.Listing
	listingVersion func() int64
	// listedAt is the version of the store as of which listing knows the members, heardAt the
	// newest version that was heard of, by the store or by others; zero for none.
	storeVersion, newestStoreVersion func() evacuation.Version
	// vouch adds to news what this instance knows besides, and whether that is current, heard
	// is told of what others add.
	attest  func(*relay.Delta)
	onDelta func(relay.Delta)
	// holderTells tells whether the holder of the lease tells this instance who leaves.
	holderAttests func() bool
	// storeAnswers tells whether the store answers close calls of this instance.
	storeAnswers func() bool
	// hold is for how long one who is asked may wait for news now, lost for how long a word that
	// vouches counts.
	holdTime            func() time.Duration
	attestationLifetime time.Duration
	log                 logr.Logger
	now                 func() time.Time

	// following is set while another instance tells this one.
	following atomic.Bool
	// vouchedAt is when another one last said that what it knows is current; nil for never.
	attestedAt atomic.Pointer[time.Time]
	// failedAt is when none could be asked last; nil for never.
	failedAt atomic.Pointer[time.Time]
	// answered counts questions of others, unanswered own ones.
	answered, unanswered atomic.Int64

	// mu guards the rest.
	mu     sync.Mutex
	server *peer.StreamServer
	client *peer.StreamClient
	feed   *relay.Feed
	// ranked is whom to ask, by what was listed at a version, isAsked whether this instance is
	// one of those who are asked.
	ranked             []string
	isRelay            bool
	rankedFleetVersion int64
	// fedAt is the version of the store as of which feed knows the members.
	feedStoreVersion evacuation.Version
	// takenAt is when feed took the listing last, packed what was told since packedAt, by the
	// change up to which the asker had been told; -1 stands for the whole.
	feedUpdatedAt time.Time
	encoded       map[int64][]byte
	encodedAt     time.Time
}

const (
	// relayDial is for how long a relay may not be reached, relayTime for how much longer
	// than it may hold a question its answer may take: it may be gone.
	relayDialTimeout  = 700 * time.Millisecond
	relayReplyTimeout = 700 * time.Millisecond
	// relayFirst is for how long a relay may take to have a list at all.
	relayInitialHold = 2 * time.Second
	// relayAgain is the same where the one who asks has a list.
	relayResumeHold = 400 * time.Millisecond
	// relayBlind is for how long a relay may follow neither the store nor the holder of the lease,
	// while this instance does not hear the holder and the store answers it: the relay may be cut
	// off. Behind the holder's end, or an outage, it looks closely some tenths of a second later
	// than others.
	relayStoreTimeout = 700 * time.Millisecond
	// relayLook is the time between two looks of a relay at whether there is news.
	relayPollInterval = 100 * time.Millisecond
	// relayGather is for how long changes gather, so that those who ask are told the same, and
	// it is packed once for all; what was packed is told again for packedKept.
	relayBatchDelay = 250 * time.Millisecond
	encodedLifetime = 100 * time.Millisecond
	// mostRelaysAsked is how many are tried before the store is asked.
	maxRelayAttempts = 2
	// relayRetry is for how long the store is asked behind a failure of all, worthLook the time
	// between two looks at whether others are worth asking.
	relayRetryDelay     = 5 * time.Second
	followCheckInterval = 250 * time.Millisecond
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
	}
	if r.client != nil {
		r.client.Close()
	}
}

// order is whom to ask, the first one first; nobody in a small fleet, and for one who is asked
// itself.
func (r *relays) candidates() []string {
	if r.isHolder() || !r.fleetKnown() {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.updateRanking()
	return r.ranked
}

// asked tells whether this instance is one of those that the others ask.
func (r *relays) servesFollowers() bool {
	if r == nil || r.address == "" || !r.fleetKnown() {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.updateRanking()
	return r.isRelay
}

// rank finds whom to ask, where another fleet is listed than before; mu must be held.
func (r *relays) updateRanking() {
	fleetVersion := r.fleetVersion()
	if fleetVersion == r.rankedFleetVersion {
		return
	}
	selected := relay.Select(r.failureDomain, r.fleet())
	r.ranked, r.rankedFleetVersion = relay.Rank(r.instance, selected), fleetVersion
	r.isRelay = slices.Contains(selected, r.instance)
}

// worthAsking tells whether another instance is to be asked.
func (r *relays) canFollow() bool {
	if at := r.failedAt.Load(); at != nil && r.now().Sub(*at) < relayRetryDelay {
		return false
	}
	return r.streamClient() != nil && len(r.candidates()) > 0
}

// awaitWorthAsking returns when another instance is to be asked, or ctx has ended.
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

// tells tells whether another instance has lately vouched for what it tells this one.
func (r *relays) attested() bool { return r != nil && r.attestationAge() < r.attestationLifetime }

// vouchedAge is how long ago another instance last vouched.
func (r *relays) attestationAge() time.Duration {
	if r == nil || r.attestedAt.Load() == nil {
		return neverConfirmed
	}
	at := r.attestedAt.Load()
	return r.now().Sub(*at)
}
