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
	instance, domain string
	// address is where this instance answers; empty if it does not.
	address string
	// fleet is the instances that are listed, known tells whether that list has been read, and
	// reached is where a listed one answers; empty if that is not known.
	fleet   func() []relay.Instance
	known   func() bool
	reached func(instance string) string
	// listedVersion grows with each change of fleet.
	listedVersion func() int64
	// holds tells whether this instance places units, and so looks itself.
	holds func() bool
	// listing is the members as this instance knows them, version grows with their changes.
	listing func() membership.Listing
	version func() int64
	// listedAt is the version of the store as of which listing knows the members, heardAt the
	// newest version that was heard of, by the store or by others; zero for none.
	listedAt, heardAt func() evacuation.Version
	// vouch adds to news what this instance knows besides, and whether that is current, heard
	// is told of what others add.
	vouch func(*relay.Delta)
	heard func(relay.Delta)
	// holderTells tells whether the holder of the lease tells this instance who leaves.
	holderTells func() bool
	// storeAnswers tells whether the store answers close calls of this instance.
	storeAnswers func() bool
	// hold is for how long one who is asked may wait for news now, lost for how long a word that
	// vouches counts.
	hold func() time.Duration
	lost time.Duration
	log  logr.Logger
	now  func() time.Time

	// following is set while another instance tells this one.
	following atomic.Bool
	// vouchedAt is when another one last said that what it knows is current; nil for never.
	vouchedAt atomic.Pointer[time.Time]
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
	ranked        []string
	isAsked       bool
	rankedVersion int64
	// fedAt is the version of the store as of which feed knows the members.
	fedAt evacuation.Version
	// takenAt is when feed took the listing last, packed what was told since packedAt, by the
	// change up to which the asker had been told; -1 stands for the whole.
	takenAt  time.Time
	packed   map[int64][]byte
	packedAt time.Time
}

const (
	// relayDial is for how long a relay may not be reached, relayTime for how much longer
	// than it may hold a question its answer may take: it may be gone.
	relayDial = 700 * time.Millisecond
	relayTime = 700 * time.Millisecond
	// relayFirst is for how long a relay may take to have a list at all.
	relayFirst = 2 * time.Second
	// relayAgain is the same where the one who asks has a list.
	relayAgain = 400 * time.Millisecond
	// relayBlind is for how long a relay may follow neither the store nor the holder of the lease,
	// while this instance does not hear the holder and the store answers it: the relay may be cut
	// off. Behind the holder's end, or an outage, it looks closely some tenths of a second later
	// than others.
	relayBlind = 700 * time.Millisecond
	// relayLook is the time between two looks of a relay at whether there is news.
	relayLook = 100 * time.Millisecond
	// relayGather is for how long changes gather, so that those who ask are told the same, and
	// it is packed once for all; what was packed is told again for packedKept.
	relayGather = 250 * time.Millisecond
	packedKept  = 100 * time.Millisecond
	// mostRelaysAsked is how many are tried before the store is asked.
	mostRelaysAsked = 2
	// relayRetry is for how long the store is asked behind a failure of all, worthLook the time
	// between two looks at whether others are worth asking.
	relayRetry = 5 * time.Second
	worthLook  = 250 * time.Millisecond
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
func (r *relays) order() []string {
	if r.holds() || !r.known() {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rank()
	return r.ranked
}

// asked tells whether this instance is one of those that the others ask.
func (r *relays) asked() bool {
	if r == nil || r.address == "" || !r.known() {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rank()
	return r.isAsked
}

// rank finds whom to ask, where another fleet is listed than before; mu must be held.
func (r *relays) rank() {
	version := r.listedVersion()
	if version == r.rankedVersion {
		return
	}
	asked := relay.Select(r.domain, r.fleet())
	r.ranked, r.rankedVersion = relay.Rank(r.instance, asked), version
	r.isAsked = slices.Contains(asked, r.instance)
}

// worthAsking tells whether another instance is to be asked.
func (r *relays) worthAsking() bool {
	if at := r.failedAt.Load(); at != nil && r.now().Sub(*at) < relayRetry {
		return false
	}
	return r.streams() != nil && len(r.order()) > 0
}

// awaitWorthAsking returns when another instance is to be asked, or ctx has ended.
func (r *relays) awaitWorthAsking(ctx context.Context) {
	if r == nil {
		<-ctx.Done()
		return
	}
	for wait.For(ctx, worthLook) && !r.worthAsking() {
	}
}

func (r *relays) streams() *peer.StreamClient {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.client
}

// tells tells whether another instance has lately vouched for what it tells this one.
func (r *relays) tells() bool { return r != nil && r.vouchedAge() < r.lost }

// vouchedAge is how long ago another instance last vouched.
func (r *relays) vouchedAge() time.Duration {
	if r == nil || r.vouchedAt.Load() == nil {
		return neverConfirmed
	}
	at := r.vouchedAt.Load()
	return r.now().Sub(*at)
}
