package daemon

import (
	"context"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"

	"github.com/eiderspring/eiderspring/evacuation"
	"github.com/eiderspring/eiderspring/membership"
	"github.com/eiderspring/eiderspring/peer"
	"github.com/eiderspring/eiderspring/relay"
)

// relaySite is a large fleet in one failure domain, of which the first relay.PerDomain are
// strong. Only those that were started answer.
type relaySite struct {
	t  *testing.T
	mu sync.Mutex
	// addresses are where instances answer, members what those know that follow the store.
	addresses map[string]string
	members   membership.Listing
	// blind is set while those that are asked do not follow the store, holderTells while the
	// holder of the lease is heard, storeAnswers while the store answers the one that follows.
	notFollowing, holderTells, storeAnswers atomic.Bool
}

// vouch adds what one who is asked says of itself.
func (s *relaySite) attest(n *relay.Delta) {
	n.Current, n.FollowsStore, n.Revision = !s.notFollowing.Load(), !s.notFollowing.Load(), 7
}

func (s *relaySite) fleet() []relay.Instance {
	var instances []relay.Instance
	for i := range relay.MaxDirectReaders + 1 {
		cores := 0.2
		if i < relay.RelaysPerDomain {
			cores = 0.8
		}
		instances = append(instances, relay.Instance{Name: fmt.Sprintf("i%d", i), FailureDomain: "z", Cores: cores})
	}
	return instances
}

// list changes what the store tells.
func (s *relaySite) list(names ...string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.members.Version++
	s.members.Members = nil
	for _, name := range names {
		s.members.Members = append(s.members.Members, membership.Member{Name: name, Incarnation: name, State: membership.Live, Resident: []string{}})
	}
}

func (s *relaySite) listing() membership.Listing {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.members
}

func (s *relaySite) storeVersion() evacuation.Version {
	return evacuation.Version{Revision: s.listing().Version}
}

// start starts an instance's part.
func (s *relaySite) start(name string) *relays {
	s.t.Helper()
	conn, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	require.NoError(s.t, err)
	address := conn.LocalAddr().String()
	require.NoError(s.t, conn.Close())
	r := &relays{
		instance: name, failureDomain: "z", address: address, fleet: s.fleet, fleetKnown: func() bool { return true }, fleetVersion: func() int64 { return 1 },
		isHolder: func() bool { return false }, listing: s.listing, listingVersion: func() int64 { return s.listing().Version },
		attest: s.attest, holderAttests: s.holderTells.Load, storeAnswers: s.storeAnswers.Load, onDelta: func(relay.Delta) {}, feed: relay.NewFeed("p-" + name),
		holdTime: func() time.Duration { return 100 * time.Millisecond }, attestationLifetime: time.Second, log: logr.Discard(), now: time.Now,
		storeVersion: s.storeVersion, newestStoreVersion: func() evacuation.Version { return evacuation.Version{} },
		streamAddress: func(name string) string {
			s.mu.Lock()
			defer s.mu.Unlock()
			return s.addresses[name]
		},
	}
	require.NoError(s.t, r.open(make([]byte, peer.KeyBytes)))
	s.t.Cleanup(r.close)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.addresses[name] = address
	return r
}

// follower is an instance that follows relays, and what it knows by them.
type follower struct {
	*relays
	mu      sync.Mutex
	entries *membership.Entries
	stop    context.CancelFunc
	ended   chan struct{}
}

func (s *relaySite) follow(name string) *follower {
	f := &follower{relays: s.start(name), entries: membership.NewEntries(), ended: make(chan struct{})}
	ctx, cancel := context.WithCancel(context.Background())
	f.stop = cancel
	s.t.Cleanup(cancel)
	go func() {
		f.relays.follow(ctx, func(e membership.EntryEvent) {
			f.mu.Lock()
			defer f.mu.Unlock()
			if at, told := e.(versionedEvent); told {
				e = at.EntryEvent
			}
			f.entries.Step(time.Now(), e)
		})
		close(f.ended)
	}()
	return f
}

func (f *follower) names() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	names := []string{}
	for _, m := range f.entries.Listing().Members {
		names = append(names, m.Name)
	}
	return names
}

const relayTestTimeout = 20 * time.Second

// TestMembersAreToldByRelays follows a relay through changes. The relay that is asked first is
// gone; behind the end of the other one the store is to be asked.
func TestMembersAreFollowedFromRelays(t *testing.T) {
	s := &relaySite{t: t, addresses: map[string]string{}}
	order := relay.Rank("i50", relay.Select("z", s.fleet()))
	require.Len(t, order, relay.RelaysPerDomain)
	server := s.start(order[1])
	s.list("a", "b")
	f := s.follow("i50")
	require.Eventually(t, func() bool { return len(f.names()) == 2 }, relayTestTimeout, 10*time.Millisecond)
	require.Eventually(t, f.attested, relayTestTimeout, 10*time.Millisecond, "its word vouches")
	s.list("b", "c", "d")
	require.Eventually(t, func() bool {
		names := f.names()
		return len(names) == 3 && f.following.Load()
	}, relayTestTimeout, 10*time.Millisecond)
	require.ElementsMatch(t, []string{"b", "c", "d"}, f.names())
	require.False(t, server.canFollow(), "a relay asks the store")
	server.close()
	<-f.ended
	require.False(t, f.canFollow(), "the store is asked for a while")
}

// TestNoneGoInCircles asks one that follows another itself.
func TestFollowerServesNobody(t *testing.T) {
	s := &relaySite{t: t, addresses: map[string]string{}}
	order := relay.Rank("i50", relay.Select("z", s.fleet()))
	s.list("a")
	s.start(order[0]).following.Store(true)
	f := s.follow("i50")
	<-f.ended
	require.Empty(t, f.names())
}

// TestNewsIsPackedOnceForAll has many instances ask for the same news: 65 of them each had a
// packing of its own of every change, more than a relay's processor bears while entries come in.
func TestDeltaIsEncodedOnceForAll(t *testing.T) {
	s := &relaySite{t: t, addresses: map[string]string{}}
	r := s.start("i0")
	now := time.Unix(1000, 0)
	r.now = func() time.Time { return now }
	s.list("a")
	full, ok := r.encodedDelta(peer.MembersRequest{}, false)
	require.True(t, ok)
	again, _ := r.encodedDelta(peer.MembersRequest{}, false)
	require.Same(t, &full[0], &again[0])
	n, err := relay.Decode(full)
	require.NoError(t, err)
	known := peer.MembersRequest{Process: n.Process, Seq: n.Seq}
	s.list("a", "b")
	_, ok = r.encodedDelta(known, false)
	require.False(t, ok, "changes gather")
	now = now.Add(relayBatchDelay)
	first, ok := r.encodedDelta(known, false)
	require.True(t, ok)
	second, _ := r.encodedDelta(known, false)
	require.Same(t, &first[0], &second[0])
	now = now.Add(encodedLifetime)
	later, _ := r.encodedDelta(known, false)
	require.NotSame(t, &first[0], &later[0], "what vouches is not told for long")
}

// TestOlderMembersOfARelayAreNotTaken has an instance know by the store that an endpoint has
// left, and a relay that is behind: the endpoint took requests again.
func TestOlderMembersOfARelayAreNotTaken(t *testing.T) {
	s := &relaySite{t: t, addresses: map[string]string{}}
	s.list("leaves", "stays")
	for _, name := range relay.Select("z", s.fleet()) {
		s.start(name)
	}
	f := &follower{relays: s.start("i50"), entries: membership.NewEntries()}
	f.newestStoreVersion = func() evacuation.Version { return evacuation.Version{Revision: 2} }
	f.relays.follow(context.Background(), func(e membership.EntryEvent) { require.Fail(t, "older members", "%v", e) })
	require.EqualValues(t, maxRelayAttempts, f.unanswered.Load())
	s.list("stays")
	ctx, cancel := context.WithTimeout(context.Background(), relayTestTimeout)
	defer cancel()
	version := evacuation.Version{}
	for ctx.Err() == nil {
		f.relays.follow(ctx, func(e membership.EntryEvent) {
			if at, whole := e.(versionedEvent); whole {
				version = at.version
				cancel()
			}
		})
	}
	require.Equal(t, evacuation.Version{Revision: 2}, version)
}

// TestNewsTellsNoLaterVersionThanItsMembers changes the members of a relay that gathers changes:
// its news must not claim to be of the store as it is by then.
func TestDeltaCarriesNoLaterVersionThanItsMembers(t *testing.T) {
	s := &relaySite{t: t, addresses: map[string]string{}}
	r := s.start("i0")
	now := time.Unix(1000, 0)
	r.now = func() time.Time { return now }
	delta := func() relay.Delta {
		data, _ := r.encodedDelta(peer.MembersRequest{}, true)
		n, err := relay.Decode(data)
		require.NoError(t, err)
		return n
	}
	s.list("a")
	require.EqualValues(t, 1, delta().StoreRevision)
	s.list("a", "b")
	now = now.Add(encodedLifetime)
	n := delta()
	require.EqualValues(t, 1, n.StoreRevision)
	require.Len(t, n.Members, 1)
	now = now.Add(relayBatchDelay)
	n = delta()
	require.EqualValues(t, 2, n.StoreRevision)
	require.Len(t, n.Members, 2)
}

// TestRelayReadsTheStoreBeforeItsLinkOpens starts a relay that does not know the key of the link
// yet: it read the list only behind that, and behind a common start all others waited for it.
func TestRelayReadsTheStoreBeforeItsLinkOpens(t *testing.T) {
	s := &relaySite{t: t, addresses: map[string]string{}}
	synctest.Test(t, func(t *testing.T) {
		began := time.Now()
		unopened := func(name string) *relays {
			return &relays{
				instance: name, failureDomain: "z", address: "127.0.0.1:1", fleet: s.fleet, fleetVersion: func() int64 { return 1 },
				fleetKnown: func() bool { return time.Since(began) >= 100*time.Millisecond }, isHolder: func() bool { return false }, now: time.Now,
				newestStoreVersion: func() evacuation.Version { return evacuation.Version{} }, streamAddress: func(string) string { return "" }, log: logr.Discard(),
			}
		}
		unopened(relay.Select("z", s.fleet())[0]).follow(t.Context(), nil)
		require.Less(t, time.Since(began), 200*time.Millisecond)
		unopened("i50").follow(t.Context(), func(membership.EntryEvent) {})
		require.GreaterOrEqual(t, time.Since(began), initialFollowWait, "the others wait for relays")
	})
}

// TestRelaysLookCloselyFromTheirStart guards against endpoints that leave right behind a common
// start and are not known to for seconds: nobody vouches yet, and all others go by the relays.
func TestRelaysFollowTheStoreFromTheirStart(t *testing.T) {
	s := &relaySite{t: t}
	now := time.Now()
	for _, c := range []struct {
		instance string
		starting bool
	}{{relay.Select("z", s.fleet())[0], false}, {"i50", true}} {
		n := attestingNode(&now)
		n.startedAt, n.mesh.isHolder = now, func() bool { return false }
		n.relays = &relays{
			instance: c.instance, failureDomain: "z", address: "127.0.0.1:1", fleet: s.fleet, fleetVersion: func() int64 { return 1 },
			fleetKnown: func() bool { return true }, isHolder: func() bool { return false }, now: n.now,
		}
		require.Equal(t, c.starting, n.starting(), c.instance)
		require.Equal(t, c.starting, n.entriesMayBeBehind(), c.instance)
		require.Equal(t, c.starting, n.settingsMayBeBehind(), c.instance)
	}
	small := attestingNode(&now)
	small.startedAt, small.mesh.isHolder = now, func() bool { return false }
	require.True(t, small.starting(), "in a small fleet nobody asks others")
}

// TestRelayThatDoesNotFollowTheStoreIsLeft cuts relays off from the store while nobody holds the
// lease: who went by them did not hear of endpoints that leave, though the store would have
// told it.
func TestRelayThatDoesNotFollowTheStoreIsDropped(t *testing.T) {
	s := &relaySite{t: t, addresses: map[string]string{}}
	for _, name := range relay.Select("z", s.fleet()) {
		s.start(name)
	}
	s.list("a")
	f := s.follow("i50")
	require.Eventually(t, f.attested, relayTestTimeout, 10*time.Millisecond)
	s.holderTells.Store(true)
	s.notFollowing.Store(true)
	require.Eventually(t, func() bool { return !f.attested() }, relayTestTimeout, 10*time.Millisecond, "it does not vouch")
	require.True(t, f.following.Load(), "the holder's word tells who leaves")
	s.holderTells.Store(false)
	time.Sleep(2 * relayStoreTimeout)
	require.True(t, f.following.Load(), "the store is away for all")
	s.storeAnswers.Store(true)
	require.Eventually(t, func() bool {
		select {
		case <-f.ended:
			return true
		default:
			return false
		}
	}, relayTestTimeout, 10*time.Millisecond)
	require.EqualValues(t, maxRelayAttempts, f.unanswered.Load(), "the store is asked")
}
