package daemon

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"

	"github.com/eiderspring/eiderspring/membership"
	"github.com/eiderspring/eiderspring/peer"
	"github.com/eiderspring/eiderspring/ring"
	"github.com/eiderspring/eiderspring/standin"
)

// These tests guard against hung polls of the platform's member list. A poll that begins while
// the list does not answer is never answered: an instance routed requests to an endpoint for up
// to half a minute after the list had said that it leaves, although the other instances had the
// newer list.

// hangingHandler never answers a call that begins while hanging is set, however long the
// caller waits.
type hangingHandler struct {
	next    http.Handler
	hanging atomic.Bool
	// hung counts the calls that are never answered, calls all of them.
	hung, calls atomic.Int64
}

func (h *hangingHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.calls.Add(1)
	if h.hanging.Load() {
		h.hung.Add(1)
		<-r.Context().Done()
		return
	}
	h.next.ServeHTTP(w, r)
}

// memoryTransport passes calls to a handler without a network. Like net/http's transport it
// abandons a call when its context ends. It counts the calls of CloseIdleConnections.
type memoryTransport struct {
	handler    http.Handler
	idleCloses atomic.Int64
}

func (t *memoryTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	answer := &recordedResponse{header: http.Header{}, status: http.StatusOK}
	done := make(chan struct{})
	go func() {
		defer close(done)
		t.handler.ServeHTTP(answer, r)
	}()
	select {
	case <-r.Context().Done():
		return nil, r.Context().Err()
	case <-done:
	}
	return &http.Response{StatusCode: answer.status, Header: answer.header, Body: io.NopCloser(&answer.body), Request: r}, nil
}

func (t *memoryTransport) CloseIdleConnections() { t.idleCloses.Add(1) }

type recordedResponse struct {
	header http.Header
	status int
	body   bytes.Buffer
}

func (r *recordedResponse) Header() http.Header         { return r.header }
func (r *recordedResponse) WriteHeader(status int)      { r.status = status }
func (r *recordedResponse) Write(b []byte) (int, error) { return r.body.Write(b) }

// membersWith returns a platform's member list that holds one endpoint.
func membersWith(endpoint standin.Member) *standin.Members {
	members := standin.NewMembers(0)
	members.Set(endpoint)
	return members
}

var deskMember = standin.Member{Name: "desk-0", Pool: "desk", Address: "127.0.0.1:1", FailureDomain: "a", Incarnation: "1", State: standin.MemberLive}

// listedLeaving reports whether the events contain, within a span of virtual time, a list on
// which the endpoint leaves.
func listedLeaving(events *ring.Ring[event], within time.Duration) bool {
	ctx, cancel := context.WithTimeout(context.Background(), within)
	defer cancel()
	for {
		e, err := events.Take(ctx)
		if err != nil {
			return false
		}
		for _, m := range e.(membersListed).listing.Members {
			if m.Name == deskMember.Name && m.State == membership.Leaving {
				return true
			}
		}
	}
}

// platformHold is how long the platform holds an unchanged list.
const platformHold = 10 * time.Second

// TestHungPollIsCancelledAfterThePlatformsHold has no other instance that could
// report the newer list.
func TestHungPollIsCancelledAfterThePlatformsHold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		members := membersWith(deskMember)
		list := &hangingHandler{next: members}
		p := &membersPoller{source: membership.NewSource("http://platform", &memoryTransport{handler: list}), events: ring.New[event](eventsCapacity, ring.Block), log: logr.Discard()}
		var running sync.WaitGroup
		list.hanging.Store(true)
		running.Go(func() { p.run(ctx) })
		synctest.Wait()
		list.hanging.Store(false)
		leaves := deskMember
		leaves.State = standin.MemberLeaving
		members.Set(leaves)
		require.True(t, listedLeaving(p.events, platformHold+3*time.Second))
		stop()
		running.Wait()
	})
}

// twoInstances is two instances with a common member list and store; the second one's calls to
// the list may hang.
type twoInstances struct {
	first, second *Instance
	members       *standin.Members
	secondList    *hangingHandler
}

func startTwo(t *testing.T) *twoInstances {
	t.Helper()
	two := &twoInstances{members: standin.NewMembers(0)}
	two.secondList = &hangingHandler{next: two.members}
	platform, secondPlatform := http.NewServeMux(), http.NewServeMux()
	platform.Handle("/apis/", standin.NewObjectAPI())
	platform.Handle("/members", two.members)
	secondPlatform.Handle("/members", two.secondList)
	objects, list := serve(t, platform), serve(t, secondPlatform)
	publishSettings(t, objects)
	two.members.Set(deskMember)
	two.first = startListed(t, two.members, "entry-0", Platform{ObjectAPI: objects, Members: objects})
	two.second = startListed(t, two.members, "entry-1", Platform{ObjectAPI: objects, Members: list})
	for _, i := range []*Instance{two.first, two.second} {
		two.eventually(t, func() bool {
			return i.Ready() && i.router.View().Instances == 2 && len(i.router.View().Pools["desk"]) == 1
		})
	}
	return two
}

// eventually waits for less than the time for which the platform holds an unchanged list, so
// that no poll that ends by itself makes found succeed.
func (two *twoInstances) eventually(t *testing.T, found func() bool) {
	t.Helper()
	require.Eventually(t, found, platformHold-2*time.Second, 5*time.Millisecond)
}

// startListed starts an instance and adds it to the member list.
func startListed(t *testing.T, members *standin.Members, name string, platform Platform) *Instance {
	t.Helper()
	cfg := DefaultConfig()
	cfg.Incarnation, cfg.Instance, cfg.FailureDomain = "1", name, "a"
	cfg.Callers, cfg.Operators = "127.0.0.1:0", "127.0.0.1:0"
	cfg.Peers = Peers{Datagrams: freeUDP(t), Streams: freeUDP(t), Keys: []string{strings.Repeat("01", 32)}}
	cfg.Platform, cfg.Limits.DrainGraceMS = platform, 1
	i, err := New(cfg, Deps{Log: logr.Discard()})
	require.NoError(t, err)
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- i.Run(ctx) }()
	t.Cleanup(func() { stop(); require.NoError(t, <-done) })
	members.Set(standin.Member{
		Name: name, Pool: membership.InstancePool, Address: i.CallersAddr(), FailureDomain: "a", Incarnation: "1",
		PeerPort: portOf(t, cfg.Peers.Datagrams), StreamPort: portOf(t, cfg.Peers.Streams), State: standin.MemberLive,
	})
	return i
}

func portOf(t *testing.T, address string) int {
	t.Helper()
	at, err := netip.ParseAddrPort(address)
	require.NoError(t, err)
	return int(at.Port())
}

// routesNothing reports whether an instance routes no requests to the endpoint.
func routesNothing(i *Instance) bool {
	for _, e := range i.router.View().Pools[deskMember.Pool] {
		if !e.Leaving() {
			return false
		}
	}
	return true
}

// TestInstanceWithAHungPollLearnsThatAnEndpointLeaves lets the second instance's poll hang; the
// first instance reports the newer version of the list.
func TestInstanceWithAHungPollLearnsThatAnEndpointLeaves(t *testing.T) {
	two := startTwo(t)
	two.secondList.hanging.Store(true)
	two.members.Set(standin.Member{Name: "desk-1", Pool: "other", Address: "127.0.0.1:1", Incarnation: "1", State: standin.MemberLive})
	two.eventually(t, func() bool { return two.secondList.hung.Load() > 0 })
	two.secondList.hanging.Store(false)
	leaves := deskMember
	leaves.State = standin.MemberLeaving
	two.members.Set(leaves)
	two.eventually(t, func() bool { return routesNothing(two.first) })
	two.eventually(t, func() bool { return routesNothing(two.second) })
}

// followedList is a membersPoller that follows a stand-in's member list without a network.
type followedList struct {
	*membersPoller
	members   *standin.Members
	list      *hangingHandler
	transport *memoryTransport
	answers   chan peer.ListReceived
}

// followList runs the poller until the returned function is called.
func followList(t *testing.T) (*followedList, func()) {
	t.Helper()
	f := &followedList{members: membersWith(deskMember), answers: make(chan peer.ListReceived, eventsCapacity)}
	f.list = &hangingHandler{next: f.members}
	f.transport = &memoryTransport{handler: f.list}
	f.membersPoller = &membersPoller{
		source: membership.NewSource("http://platform", f.transport), events: ring.New[event](eventsCapacity, ring.Block), log: logr.Discard(),
		onListing: func(version, requested int64) { f.answers <- peer.ListReceived{Version: version, Requested: requested} },
	}
	ctx, stop := context.WithCancel(t.Context())
	var running sync.WaitGroup
	running.Go(func() { f.run(ctx) })
	synctest.Wait()
	return f, func() { stop(); running.Wait(); synctest.Wait() }
}

// version returns the current version of the list.
func (f *followedList) version() int64 {
	answer := httptest.NewRecorder()
	f.members.ServeHTTP(answer, httptest.NewRequest(http.MethodGet, "/members?after=0", nil))
	var l membership.Listing
	_ = json.Unmarshal(answer.Body.Bytes(), &l)
	return l.Version
}

// hang lets the poller's next call hang, and lets the endpoint leave after that.
func (f *followedList) hang(t *testing.T) {
	t.Helper()
	f.list.hanging.Store(true)
	f.members.Set(deskMember)
	synctest.Wait()
	require.EqualValues(t, 1, f.list.hung.Load())
	f.list.hanging.Store(false)
	leaves := deskMember
	leaves.State = standin.MemberLeaving
	f.members.Set(leaves)
	synctest.Wait()
}

func TestHungPollIsCancelledOnReportOfANewerList(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, stop := followList(t)
		defer stop()
		f.hang(t)
		calls, closed := f.list.calls.Load(), f.transport.idleCloses.Load()
		f.requestVersion(f.version())
		require.True(t, listedLeaving(f.events, time.Millisecond))
		synctest.Wait()
		require.EqualValues(t, 2, f.list.calls.Load()-calls, "one that is answered at once, and one that waits for the next change")
		require.EqualValues(t, 1, f.transport.idleCloses.Load()-closed, "idle connections may hang too")
		for len(f.answers) > 1 {
			<-f.answers
		}
		require.Equal(t, peer.ListReceived{Version: f.version(), Requested: f.version()}, <-f.answers)
	})
}

// TestReportOfAnUnknownListVersionIsAnswered has a list whose versions were reset, so that
// another instance reports a version that the list will not reach for long.
func TestReportOfAnUnknownListVersionIsAnswered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, stop := followList(t)
		defer stop()
		<-f.answers
		f.requestVersion(100)
		synctest.Wait()
		require.Len(t, f.answers, 1, "answered at once")
		require.Equal(t, peer.ListReceived{Version: f.version(), Requested: 100}, <-f.answers)
	})
}

// TestUnchangedListCostsOneCallPerHold counts the calls of a poller without failures.
func TestUnchangedListCostsOneCallPerHold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, stop := followList(t)
		defer stop()
		time.Sleep(time.Minute - time.Second)
		require.EqualValues(t, 1+6, f.list.calls.Load())
		require.Zero(t, f.transport.idleCloses.Load(), "no call was cancelled")
	})
}

// memoryDatagrams delivers datagrams in memory to the receiver at each address.
type memoryDatagrams struct {
	mu        sync.Mutex
	receivers map[string]*peersTask
}

func (d *memoryDatagrams) Send(address string, data []byte) {
	d.mu.Lock()
	to := d.receivers[address]
	d.mu.Unlock()
	if to != nil {
		to.receive(data)
	}
}

func (d *memoryDatagrams) Close() {}

// slowHandler delays each answer by a random time below a bound. It is not safe for concurrent
// use.
type slowHandler struct {
	next  http.Handler
	bound time.Duration
	rand  *rand.Rand
}

func (h slowHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.next.ServeHTTP(w, r)
	time.Sleep(time.Duration(h.rand.Int64N(int64(h.bound))))
}

// TestVersionReportsCostNoCallsWhileAllPollsWork has instances that report the versions of their
// lists to each other, and a list whose answers reach them at different times.
func TestVersionReportsCostNoCallsWhileAllPollsWork(t *testing.T) {
	const instances, changes, latest = 6, 50, 200 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		defer func() { stop(); time.Sleep(latest) }()
		members, w := membersWith(deskMember), &memoryDatagrams{receivers: map[string]*peersTask{}}
		sealer, err := peer.NewSealer([][]byte{make([]byte, peer.KeyBytes)})
		require.NoError(t, err)
		var lists []*hangingHandler
		for at := range instances {
			name := fmt.Sprintf("i%d", at)
			members.Set(standin.Member{Name: name, Pool: membership.InstancePool, Address: "10.0.0.1:1", PeerPort: at + 1, StreamPort: at + 1, Incarnation: "1", State: standin.MemberLive})
			peers := &peersTask{
				gossip: peer.NewGossip(peer.GossipConfig{Name: name, Process: "p"}), sealer: sealer, datagrams: w,
				events: ring.New[peer.Event](peerEventCapacity, ring.DropOldest), log: logr.Discard(), now: time.Now,
				freshness: newFreshness(time.Now, time.Second, func() {}), onPeerLeaving: func(string) {}, countSent: func(int) {}, countReceived: func(int) {},
			}
			w.receivers[fmt.Sprintf("10.0.0.1:%d", at+1)] = peers
			list := &hangingHandler{next: slowHandler{members, latest, rand.New(rand.NewPCG(uint64(at), 0))}}
			lists = append(lists, list)
			poller := &membersPoller{
				source: membership.NewSource("http://platform", &memoryTransport{handler: list}), events: ring.New[event](eventsCapacity, ring.Block),
				log: logr.Discard(), onListing: peers.listReceived,
			}
			peers.refreshList = poller.requestVersion
			// The ticks of the instances are spread over time.
			time.Sleep(peerTickInterval / instances)
			go peers.run(ctx)
			go poller.run(ctx)
			go func() {
				known := membership.NewList()
				for {
					e, err := poller.events.Take(ctx)
					if err != nil {
						return
					}
					known.Step(time.Now(), membership.Listed{Listing: e.(membersListed).listing})
					peers.updateMembers(known)
				}
			}()
		}
		time.Sleep(3 * time.Second)
		before := make([]int64, instances)
		for i, list := range lists {
			before[i] = list.calls.Load()
		}
		for range changes {
			members.Set(deskMember)
			time.Sleep(900 * time.Millisecond)
		}
		for i, list := range lists {
			require.EqualValues(t, changes, list.calls.Load()-before[i])
		}
	})
}

// TestNewerListIsInTimeAcrossTwoInstances adds up the longest delays until an instance with a hung
// poll has the list, if the instance that reports it had to receive a report too.
func TestNewerListIsInTimeAcrossTwoInstances(t *testing.T) {
	const inTime = 2 * time.Second
	reported := peerTickInterval
	requested := peer.DefaultListGrace + peerTickInterval
	require.LessOrEqual(t, 2*(reported+requested+storeAnswerTime), inTime)
}
