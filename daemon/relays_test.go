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
	blind, holderTells, storeAnswers atomic.Bool
}

// vouch adds what one who is asked says of itself.
func (s *relaySite) vouch(n *relay.Delta) {
	n.Current, n.FollowsStore, n.Revision = !s.blind.Load(), !s.blind.Load(), 7
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

func (s *relaySite) versionAt() evacuation.Version {
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
		instance: name, domain: "z", address: address, fleet: s.fleet, known: func() bool { return true }, listedVersion: func() int64 { return 1 },
		holds: func() bool { return false }, listing: s.listing, version: func() int64 { return s.listing().Version },
		vouch: s.vouch, holderTells: s.holderTells.Load, storeAnswers: s.storeAnswers.Load, heard: func(relay.Delta) {}, feed: relay.NewFeed("p-" + name),
		hold: func() time.Duration { return 100 * time.Millisecond }, lost: time.Second, log: logr.Discard(), now: time.Now,
		listedAt: s.versionAt, heardAt: func() evacuation.Version { return evacuation.Version{} },
		reached: func(name string) string {
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
			if at, told := e.(entriesAt); told {
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

const relayPatience = 20 * time.Second

// TestMembersAreToldByRelays follows a relay through changes. The relay that is asked first is
// gone; behind the end of the other one the store is to be asked.
func TestMembersAreToldByRelays(t *testing.T) {
	s := &relaySite{t: t, addresses: map[string]string{}}
	order := relay.Rank("i50", relay.Select("z", s.fleet()))
	require.Len(t, order, relay.RelaysPerDomain)
	teller := s.start(order[1])
	s.list("a", "b")
	f := s.follow("i50")
	require.Eventually(t, func() bool { return len(f.names()) == 2 }, relayPatience, 10*time.Millisecond)
	require.Eventually(t, f.tells, relayPatience, 10*time.Millisecond, "its word vouches")
	s.list("b", "c", "d")
	require.Eventually(t, func() bool {
		names := f.names()
		return len(names) == 3 && f.following.Load()
	}, relayPatience, 10*time.Millisecond)
	require.ElementsMatch(t, []string{"b", "c", "d"}, f.names())
	require.False(t, teller.worthAsking(), "a relay asks the store")
	teller.close()
	<-f.ended
	require.False(t, f.worthAsking(), "the store is asked for a while")
}

// TestNoneGoInCircles asks one that follows another itself.
func TestNoneGoInCircles(t *testing.T) {
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
func TestNewsIsPackedOnceForAll(t *testing.T) {
	s := &relaySite{t: t, addresses: map[string]string{}}
	r := s.start("i0")
	now := time.Unix(1000, 0)
	r.now = func() time.Time { return now }
	s.list("a")
	whole, told := r.news(peer.MembersRequest{}, false)
	require.True(t, told)
	again, _ := r.news(peer.MembersRequest{}, false)
	require.Same(t, &whole[0], &again[0])
	n, err := relay.Decode(whole)
	require.NoError(t, err)
	known := peer.MembersRequest{Process: n.Process, Seq: n.Seq}
	s.list("a", "b")
	_, told = r.news(known, false)
	require.False(t, told, "changes gather")
	now = now.Add(relayGather)
	first, told := r.news(known, false)
	require.True(t, told)
	second, _ := r.news(known, false)
	require.Same(t, &first[0], &second[0])
	now = now.Add(packedKept)
	later, _ := r.news(known, false)
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
	f.heardAt = func() evacuation.Version { return evacuation.Version{Revision: 2} }
	f.relays.follow(context.Background(), func(e membership.EntryEvent) { require.Fail(t, "older members", "%v", e) })
	require.EqualValues(t, mostRelaysAsked, f.unanswered.Load())
	s.list("stays")
	ctx, cancel := context.WithTimeout(context.Background(), relayPatience)
	defer cancel()
	told := evacuation.Version{}
	for ctx.Err() == nil {
		f.relays.follow(ctx, func(e membership.EntryEvent) {
			if at, whole := e.(entriesAt); whole {
				told = at.version
				cancel()
			}
		})
	}
	require.Equal(t, evacuation.Version{Revision: 2}, told)
}

// TestNewsTellsNoLaterVersionThanItsMembers changes the members of a relay that gathers changes:
// its news must not claim to be of the store as it is by then.
func TestNewsTellsNoLaterVersionThanItsMembers(t *testing.T) {
	s := &relaySite{t: t, addresses: map[string]string{}}
	r := s.start("i0")
	now := time.Unix(1000, 0)
	r.now = func() time.Time { return now }
	told := func() relay.Delta {
		packed, _ := r.news(peer.MembersRequest{}, true)
		n, err := relay.Decode(packed)
		require.NoError(t, err)
		return n
	}
	s.list("a")
	require.EqualValues(t, 1, told().StoreRevision)
	s.list("a", "b")
	now = now.Add(packedKept)
	n := told()
	require.EqualValues(t, 1, n.StoreRevision)
	require.Len(t, n.Members, 1)
	now = now.Add(relayGather)
	n = told()
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
				instance: name, domain: "z", address: "127.0.0.1:1", fleet: s.fleet, listedVersion: func() int64 { return 1 },
				known: func() bool { return time.Since(began) >= 100*time.Millisecond }, holds: func() bool { return false }, now: time.Now,
				heardAt: func() evacuation.Version { return evacuation.Version{} }, reached: func(string) string { return "" }, log: logr.Discard(),
			}
		}
		unopened(relay.Select("z", s.fleet())[0]).follow(t.Context(), nil)
		require.Less(t, time.Since(began), 200*time.Millisecond)
		unopened("i50").follow(t.Context(), func(membership.EntryEvent) {})
		require.GreaterOrEqual(t, time.Since(began), firstWait, "the others wait for relays")
	})
}

// TestRelaysLookCloselyFromTheirStart guards against endpoints that leave right behind a common
// start and are not known to for seconds: nobody vouches yet, and all others go by the relays.
func TestRelaysLookCloselyFromTheirStart(t *testing.T) {
	s := &relaySite{t: t}
	now := time.Now()
	for _, c := range []struct {
		instance string
		starting bool
	}{{relay.Select("z", s.fleet())[0], false}, {"i50", true}} {
		n := vouchingNode(&now)
		n.startedAt, n.mesh.holds = now, func() bool { return false }
		n.relays = &relays{
			instance: c.instance, domain: "z", address: "127.0.0.1:1", fleet: s.fleet, listedVersion: func() int64 { return 1 },
			known: func() bool { return true }, holds: func() bool { return false }, now: n.now,
		}
		require.Equal(t, c.starting, n.starting(), c.instance)
		require.Equal(t, c.starting, n.entriesMayBeBehind(), c.instance)
		require.Equal(t, c.starting, n.settingsMayBeBehind(), c.instance)
	}
	small := vouchingNode(&now)
	small.startedAt, small.mesh.holds = now, func() bool { return false }
	require.True(t, small.starting(), "in a small fleet nobody asks others")
}

// TestRelayThatDoesNotFollowTheStoreIsLeft cuts relays off from the store while nobody holds the
// lease: who went by them did not hear of endpoints that leave, though the store would have
// told it.
func TestRelayThatDoesNotFollowTheStoreIsLeft(t *testing.T) {
	s := &relaySite{t: t, addresses: map[string]string{}}
	for _, name := range relay.Select("z", s.fleet()) {
		s.start(name)
	}
	s.list("a")
	f := s.follow("i50")
	require.Eventually(t, f.tells, relayPatience, 10*time.Millisecond)
	s.holderTells.Store(true)
	s.blind.Store(true)
	require.Eventually(t, func() bool { return !f.tells() }, relayPatience, 10*time.Millisecond, "it does not vouch")
	require.True(t, f.following.Load(), "the holder's word tells who leaves")
	s.holderTells.Store(false)
	time.Sleep(2 * relayBlind)
	require.True(t, f.following.Load(), "the store is away for all")
	s.storeAnswers.Store(true)
	require.Eventually(t, func() bool {
		select {
		case <-f.ended:
			return true
		default:
			return false
		}
	}, relayPatience, 10*time.Millisecond)
	require.EqualValues(t, mostRelaysAsked, f.unanswered.Load(), "the store is asked")
}
