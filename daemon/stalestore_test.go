package daemon

import (
	"context"
	"encoding/json"
	"errors"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"

	"github.com/eiderspring/eiderspring/membership"
	"github.com/eiderspring/eiderspring/peer"
	"github.com/eiderspring/eiderspring/ring"
	"github.com/eiderspring/eiderspring/routing"
	"github.com/eiderspring/eiderspring/store"
)

// staleStore holds entries of endpoints and serves watches by long polls, as the platform's
// store does. Watches that accept stale answers see the state of staleBy ago.
type staleStore struct {
	staleBy time.Duration

	mu       sync.Mutex
	revision int64
	history  []storeChange
	changed  chan struct{}
}

type storeChange struct {
	at       time.Time
	revision int64
	event    store.Event
}

const endpointsKind store.Kind = "endpoints"

func newStaleStore(staleBy time.Duration) *staleStore {
	return &staleStore{staleBy: staleBy, changed: make(chan struct{})}
}

func (s *staleStore) put(name string, state membership.State) { s.putSlots(name, state, 1) }

func (s *staleStore) putSlots(name string, state membership.State, slots int) {
	s.putMember(membership.Member{Name: name, Incarnation: name, Pool: "pool", State: state, Slots: slots})
}

func (s *staleStore) putMember(m membership.Member) {
	spec, err := json.Marshal(m)
	if err != nil {
		panic(err)
	}
	s.record(store.EventModified, store.Object{Kind: endpointsKind, Metadata: store.Metadata{Name: m.Name}, Spec: spec})
}

func (s *staleStore) remove(name string) {
	s.record(store.EventDeleted, store.Object{Kind: endpointsKind, Metadata: store.Metadata{Name: name}})
}

func (s *staleStore) record(what store.EventType, o store.Object) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	o.Metadata.ResourceVersion = strconv.FormatInt(s.revision, 10)
	s.history = append(s.history, storeChange{at: time.Now(), revision: s.revision, event: store.Event{Type: what, Object: o}})
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *staleStore) list() store.List {
	s.mu.Lock()
	defer s.mu.Unlock()
	items := map[string]store.Object{}
	for _, c := range s.history {
		if c.event.Type == store.EventDeleted {
			delete(items, c.event.Object.Metadata.Name)
			continue
		}
		items[c.event.Object.Metadata.Name] = c.event.Object
	}
	l := store.List{ResourceVersion: strconv.FormatInt(s.revision, 10)}
	for _, o := range items {
		l.Items = append(l.Items, o)
	}
	return l
}

// changesAfter returns the changes after a revision that a watch sees, and a channel that is
// closed at the next change.
func (s *staleStore) changesAfter(revision int64, stale bool) (events []store.Event, at int64, changed <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	at = revision
	for _, c := range s.history {
		if c.revision <= revision || stale && time.Since(c.at) < s.staleBy {
			continue
		}
		events, at = append(events, c.event), c.revision
	}
	return events, at, s.changed
}

// staleStoreClient is one instance's client of a staleStore.
type staleStoreClient struct {
	store.Client
	store     *staleStore
	storeLink *storeLink
	fresh     NodeFreshness

	mu sync.Mutex
	// calls counts the calls made, freshCalls those that do not accept stale answers.
	calls, freshCalls int
	// away makes calls fail; silent makes watches that start now get no answer.
	away, silent bool
	cut          chan struct{}
}

var errStoreAway = errors.New("the store does not answer")

// set changes how the store behaves towards this instance; cut ends its pending watch.
func (c *staleStoreClient) set(away, silent, cut bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.away, c.silent = away, silent
	if cut {
		close(c.cut)
		c.cut = make(chan struct{})
	}
}

func (c *staleStoreClient) state() (away, silent bool, cut <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.away, c.silent, c.cut
}

func (c *staleStoreClient) List(context.Context, store.Kind) (store.List, error) {
	if away, _, _ := c.state(); away {
		return store.List{}, errStoreAway
	}
	c.storeLink.callStarted(0)
	c.storeLink.callAnswered()
	return c.store.list(), nil
}

func (c *staleStoreClient) Watch(ctx context.Context, _ store.Kind, version string, o store.WatchOptions, handle func(store.Event)) error {
	revision, err := strconv.ParseInt(version, 10, 64)
	for err == nil {
		var events []store.Event
		stale := o.StaleAllowed()
		if events, revision, err = c.wait(ctx, revision, stale); err != nil {
			return err
		}
		at := strconv.FormatInt(revision, 10)
		for _, e := range append(events, bookmark(at)) {
			e.Object.Metadata.ResourceVersion, e.Stale = at, stale
			handle(e)
		}
	}
	return err
}

// wait makes one call of a watch.
func (c *staleStoreClient) wait(ctx context.Context, revision int64, stale bool) ([]store.Event, int64, error) {
	hold := c.fresh.entriesWatchHold()
	if stale {
		hold = c.fresh.staleWatchHold()
	}
	away, silent, cut := c.state()
	c.storeLink.callStarted(hold)
	c.count(stale)
	if away {
		return nil, 0, errStoreAway
	}
	over, timeout := time.NewTimer(hold), time.NewTimer(hold+store.WatchSlack)
	defer over.Stop()
	defer timeout.Stop()
	for {
		var changed <-chan struct{}
		var look <-chan time.Time
		if !silent {
			events, at, more := c.store.changesAfter(revision, stale)
			if len(events) > 0 {
				c.storeLink.callAnswered()
				return events, at, nil
			}
			changed = more
			if stale {
				// Changes become visible once they are old enough.
				look = time.After(10 * time.Millisecond)
			}
		}
		select {
		case <-changed:
		case <-look:
		case <-cut:
			return nil, 0, errStoreAway
		case <-over.C:
			if !silent {
				c.storeLink.callAnswered()
				return nil, revision, nil
			}
		case <-timeout.C:
			return nil, 0, context.DeadlineExceeded
		case <-ctx.Done():
			return nil, 0, ctx.Err()
		}
	}
}

func (c *staleStoreClient) count(stale bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.calls++
	if !stale {
		c.freshCalls++
	}
}

// callCounts returns the number of calls made, and how many of them did not accept stale
// answers.
func (c *staleStoreClient) callCounts() (all, closely int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.calls, c.freshCalls
}

// entriesInstance is the part of an instance that learns which endpoints leave.
type entriesInstance struct {
	client      *staleStoreClient
	storeLink   *storeLink
	mesh        *mesh
	entriesTask *entriesTask
	list        *membership.List

	mu sync.Mutex
	// left is when the instance learned that an endpoint accepts no more requests.
	left map[string]time.Time
}

func newEntriesInstance(s *staleStore, name string, holds func() bool) *entriesInstance {
	fresh := DefaultNodeConfig().Fresh
	link := &storeLink{log: logr.Discard(), now: time.Now}
	i := &entriesInstance{
		storeLink: link, list: membership.NewList(), left: map[string]time.Time{},
		client: &staleStoreClient{store: s, storeLink: link, fresh: fresh, cut: make(chan struct{})},
	}
	sealer, err := peer.NewSealer([][]byte{make([]byte, peer.KeyBytes)})
	if err != nil {
		panic(err)
	}
	i.mesh = &mesh{
		instance: name, now: time.Now, log: logr.Discard(), sealer: sealer, isHolder: holds,
		storeCurrent: func() bool { return link.settled() && link.confirmedAge(endpointsKind) < fresh.maxAttestedAge() },
		listed:       map[string]presence{}, withdrawn: map[string]withdrawal{}, onInstanceCount: func(int) {},
		router: routing.NewRouter(routing.Policies()[routing.PolicyTimely], nil), revision: func() int64 { return 1 },
	}
	i.entriesTask = &entriesTask{
		client: i.client, kind: endpointsKind, entries: membership.NewEntries(), storeLink: link, log: logr.Discard(), now: time.Now,
		decode: func(o store.Object) (m membership.Member, err error) { return m, json.Unmarshal(o.Spec, &m) },
		inputs: ring.New[membership.EntryEvent](entryInputCapacity, ring.Block), events: ring.New[event](eventsCapacity, ring.Block),
		allowStale:           func() bool { return i.mesh.holderAttests() && link.settled() },
		matchesHolder:        i.mesh.listMatchesHolder,
		holderStoreBackSince: func() time.Time { return i.mesh.totals.storeBackSince(time.Now()) },
	}
	return i
}

// follow starts the tasks that follow the store.
func (i *entriesInstance) follow(ctx context.Context) {
	go i.entriesTask.watch(ctx)
	go i.entriesTask.run(ctx)
	go i.applyListings(ctx)
}

// applyListings applies member lists as the view does.
func (i *entriesInstance) applyListings(ctx context.Context) {
	for {
		e, err := i.entriesTask.events.Take(ctx)
		if err != nil {
			return
		}
		if l, ok := e.(membersListed); ok {
			changes := i.list.Step(time.Now(), membership.Listed{Listing: l.listing})
			i.mesh.endpointsDigest.Store(i.list.Digest())
			for _, c := range changes {
				if c.Member.State != membership.Live {
					i.mesh.recordWithdrawal(endpointIncarnation{name: c.Member.Name})
					i.markLeaving(c.Member.Name)
				}
			}
		}
	}
}

func (i *entriesInstance) markLeaving(name string) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if _, known := i.left[name]; !known {
		i.left[name] = time.Now()
	}
}

// lateness returns how long after began the instance learned that the endpoint leaves.
func (i *entriesInstance) lateness(t *testing.T, name string, began time.Time) time.Duration {
	t.Helper()
	i.mu.Lock()
	defer i.mu.Unlock()
	at, known := i.left[name]
	require.True(t, known, "the instance has not learned that %s leaves", name)
	return at.Sub(began)
}

// wire delivers the packets of one instance to the only other one.
type wire struct {
	from, to *entriesInstance
}

func (w wire) Send(_ string, sealed []byte) {
	plain, err := w.from.mesh.sealer.Open(sealed)
	if err != nil {
		panic(err)
	}
	p, err := peer.DecodePacket(plain)
	if err != nil {
		panic(err)
	}
	w.to.mesh.totals.receive(time.Now(), time.Now(), p)
	for _, name := range p.Withdrawn {
		w.to.markLeaving(name)
	}
}

func (wire) Close() {}

// announceTo lets a lease holder renew its lease and announce what it knows to the other instance.
func (i *entriesInstance) announceTo(ctx context.Context, to *entriesInstance) {
	i.mesh.datagrams = wire{from: i, to: to}
	i.mesh.listed[to.mesh.instance] = presence{Datagrams: "10.0.0.2:1"}
	go func() {
		for ctx.Err() == nil {
			i.storeLink.callStarted(0)
			if away, _, _ := i.client.state(); !away {
				i.storeLink.callAnswered()
			}
			time.Sleep(leaseRenewal)
		}
	}()
	go func() {
		for ctx.Err() == nil {
			if i.mesh.isHolder() {
				i.mesh.announceTotals()
			}
			time.Sleep(minAnnounceInterval)
		}
	}()
}

// churn keeps changing another endpoint, as units are loaded and unloaded.
func (s *staleStore) churn(ctx context.Context) {
	for n := 1; ctx.Err() == nil; n++ {
		s.putSlots("busy", membership.Live, n)
		time.Sleep(50 * time.Millisecond)
	}
}
