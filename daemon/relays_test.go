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

// relayFleet is a large fleet in one failure domain, of which the first relay.RelaysPerDomain
// instances are strong. Only the started ones answer.
type relayFleet struct {
	t  *testing.T
	mu sync.Mutex
	// addresses are where instances accept streams, members what those that follow the store
	// know.
	addresses map[string]string
	members   membership.Listing
	// notFollowing is set while the relays do not follow the store, holderAttests while the
	// lease holder attests, storeAnswers while the store answers the follower.
	notFollowing, holderAttests, storeAnswers atomic.Bool
}

// attest adds what a relay reports of itself.
func (s *relayFleet) attest(n *relay.Delta) {
	n.Current, n.FollowsStore, n.Revision = !s.notFollowing.Load(), !s.notFollowing.Load(), 7
}

func (s *relayFleet) fleet() []relay.Instance {
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

// list changes the members in the store.
func (s *relayFleet) list(names ...string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.members.Version++
	s.members.Members = nil
	for _, name := range names {
		s.members.Members = append(s.members.Members, membership.Member{Name: name, Incarnation: name, State: membership.Live, Resident: []string{}})
	}
}

func (s *relayFleet) listing() membership.Listing {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.members
}

func (s *relayFleet) storeVersion() evacuation.Version {
	return evacuation.Version{Revision: s.listing().Version}
}

// start starts the relaying of an instance.
func (s *relayFleet) start(name string) *relays {
	s.t.Helper()
	conn, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	require.NoError(s.t, err)
	address := conn.LocalAddr().String()
	require.NoError(s.t, conn.Close())
	r := &relays{
		instance: name, failureDomain: "z", address: address, fleet: s.fleet, fleetKnown: func() bool { return true }, fleetVersion: func() int64 { return 1 },
		isHolder: func() bool { return false }, listing: s.listing, listingVersion: func() int64 { return s.listing().Version },
		attest: s.attest, holderAttests: s.holderAttests.Load, storeAnswers: s.storeAnswers.Load, onDelta: func(relay.Delta) {}, feed: relay.NewFeed("p-" + name),
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

// follower is an instance that follows relays, and the members that it knows from them.
type follower struct {
	*relays
	mu      sync.Mutex
	entries *membership.Entries
	stop    context.CancelFunc
	ended   chan struct{}
}

func (s *relayFleet) follow(name string) *follower {
	f := &follower{relays: s.start(name), entries: membership.NewEntries(), ended: make(chan struct{})}
	ctx, cancel := context.WithCancel(context.Background())
	f.stop = cancel
	s.t.Cleanup(cancel)
	go func() {
		f.relays.follow(ctx, func(e membership.EntryEvent) {
			f.mu.Lock()
			defer f.mu.Unlock()
			if at, ok := e.(versionedEvent); ok {
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

// TestMembersAreFollowedFromRelays follows a relay through changes. The preferred relay is
// gone; after the end of the other one, the store is to be read.
func TestMembersAreFollowedFromRelays(t *testing.T) {
	s := &relayFleet{t: t, addresses: map[string]string{}}
	order := relay.Rank("i50", relay.Select("z", s.fleet()))
	require.Len(t, order, relay.RelaysPerDomain)
	server := s.start(order[1])
	s.list("a", "b")
	f := s.follow("i50")
	require.Eventually(t, func() bool { return len(f.names()) == 2 }, relayTestTimeout, 10*time.Millisecond)
	require.Eventually(t, f.attested, relayTestTimeout, 10*time.Millisecond, "the relay attests")
	s.list("b", "c", "d")
	require.Eventually(t, func() bool {
		names := f.names()
		return len(names) == 3 && f.following.Load()
	}, relayTestTimeout, 10*time.Millisecond)
	require.ElementsMatch(t, []string{"b", "c", "d"}, f.names())
	require.False(t, server.canFollow(), "a relay reads the store")
	server.close()
	<-f.ended
	require.False(t, f.canFollow(), "the store is read for a while")
}

// TestFollowerServesNobody follows an instance that follows a relay itself.
func TestFollowerServesNobody(t *testing.T) {
	s := &relayFleet{t: t, addresses: map[string]string{}}
	order := relay.Rank("i50", relay.Select("z", s.fleet()))
	s.list("a")
	s.start(order[0]).following.Store(true)
	f := s.follow("i50")
	<-f.ended
	require.Empty(t, f.names())
}

// TestDeltaIsEncodedOnceForAll has many instances request the same delta: encoding every
// change separately for each of 65 followers takes more processor time than a relay has while
// entries arrive.
func TestDeltaIsEncodedOnceForAll(t *testing.T) {
	s := &relayFleet{t: t, addresses: map[string]string{}}
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
	require.False(t, ok, "changes are batched")
	now = now.Add(relayBatchDelay)
	first, ok := r.encodedDelta(known, false)
	require.True(t, ok)
	second, _ := r.encodedDelta(known, false)
	require.Same(t, &first[0], &second[0])
	now = now.Add(encodedLifetime)
	later, _ := r.encodedDelta(known, false)
	require.NotSame(t, &first[0], &later[0], "an attestation is not reused for long")
}

// TestOlderMembersOfARelayAreNotTaken guards against an endpoint that receives requests again
// although it has left: the instance knows from the store that it has, and follows a lagging
// relay.
func TestOlderMembersOfARelayAreNotTaken(t *testing.T) {
	s := &relayFleet{t: t, addresses: map[string]string{}}
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
			if at, ok := e.(versionedEvent); ok {
				version = at.version
				cancel()
			}
		})
	}
	require.Equal(t, evacuation.Version{Revision: 2}, version)
}

// TestDeltaCarriesNoLaterVersionThanItsMembers changes the members of a relay that batches
// changes: its delta must not claim the version that the store has by then.
func TestDeltaCarriesNoLaterVersionThanItsMembers(t *testing.T) {
	s := &relayFleet{t: t, addresses: map[string]string{}}
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

// TestRelayReadsTheStoreBeforeItsLinkOpens starts a relay that does not know the key of the
// datagrams yet: if it read the list only after that, all followers would wait for it at a
// common start.
func TestRelayReadsTheStoreBeforeItsLinkOpens(t *testing.T) {
	s := &relayFleet{t: t, addresses: map[string]string{}}
	synctest.Test(t, func(t *testing.T) {
		began := time.Now()
		withoutKey := func(name string) *relays {
			return &relays{
				instance: name, failureDomain: "z", address: "127.0.0.1:1", fleet: s.fleet, fleetVersion: func() int64 { return 1 },
				fleetKnown: func() bool { return time.Since(began) >= 100*time.Millisecond }, isHolder: func() bool { return false }, now: time.Now,
				newestStoreVersion: func() evacuation.Version { return evacuation.Version{} }, streamAddress: func(string) string { return "" }, log: logr.Discard(),
			}
		}
		withoutKey(relay.Select("z", s.fleet())[0]).follow(t.Context(), nil)
		require.Less(t, time.Since(began), 200*time.Millisecond)
		withoutKey("i50").follow(t.Context(), func(membership.EntryEvent) {})
		require.GreaterOrEqual(t, time.Since(began), initialFollowWait, "followers wait for relays")
	})
}

// TestRelaysFollowTheStoreFromTheirStart guards against endpoints that leave right after a
// common start and are not known to leave for seconds: nobody attests yet, and all other
// instances rely on the relays.
func TestRelaysFollowTheStoreFromTheirStart(t *testing.T) {
	s := &relayFleet{t: t}
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
		require.Equal(t, c.starting, n.allowStaleEntries(), c.instance)
		require.Equal(t, c.starting, n.allowStaleSettings(), c.instance)
	}
	small := attestingNode(&now)
	small.startedAt, small.mesh.isHolder = now, func() bool { return false }
	require.True(t, small.starting(), "in a small fleet there are no relays")
}

// TestRelayThatDoesNotFollowTheStoreIsDropped cuts relays off from the store while there is no
// lease holder: their followers would not learn of leaving endpoints, although the store would
// report them.
func TestRelayThatDoesNotFollowTheStoreIsDropped(t *testing.T) {
	s := &relayFleet{t: t, addresses: map[string]string{}}
	for _, name := range relay.Select("z", s.fleet()) {
		s.start(name)
	}
	s.list("a")
	f := s.follow("i50")
	require.Eventually(t, f.attested, relayTestTimeout, 10*time.Millisecond)
	s.holderAttests.Store(true)
	s.notFollowing.Store(true)
	require.Eventually(t, func() bool { return !f.attested() }, relayTestTimeout, 10*time.Millisecond, "the relay does not attest")
	require.True(t, f.following.Load(), "the holder announces leaving endpoints")
	s.holderAttests.Store(false)
	time.Sleep(2 * relayStoreTimeout)
	require.True(t, f.following.Load(), "the store is unreachable for all")
	s.storeAnswers.Store(true)
	require.Eventually(t, func() bool {
		select {
		case <-f.ended:
			return true
		default:
			return false
		}
	}, relayTestTimeout, 10*time.Millisecond)
	require.EqualValues(t, maxRelayAttempts, f.unanswered.Load(), "the store is read")
}

// TestAttestationOfARelayCountsFromItsReceipt guards against a follower that rests by the
// attestation of a relay for longer because the members that came with it waited in a full queue;
// newer settings that the relay reports must not wait there either.
func TestAttestationOfARelayCountsFromItsReceipt(t *testing.T) {
	const waited = 5 * time.Second
	s := &relayFleet{t: t, addresses: map[string]string{}}
	s.list("e1")
	for i := range relay.RelaysPerDomain {
		s.start(fmt.Sprintf("i%d", i))
	}
	f := s.start("i50")
	var passed atomic.Int64
	f.now = func() time.Time { return time.Unix(1000+passed.Load(), 0) }
	var reported, reportedBefore int64
	f.onDelta = func(d relay.Delta) { reported = d.Revision }
	ctx, cancel := context.WithCancel(t.Context())
	for ctx.Err() == nil {
		f.follow(ctx, func(membership.EntryEvent) {
			passed.Add(int64(waited / time.Second))
			reportedBefore = reported
			cancel()
		})
	}
	require.GreaterOrEqual(t, f.attestationAge(), waited)
	require.EqualValues(t, 7, reportedBefore, "the revision that the relay reports")
}
