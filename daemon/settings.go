package daemon

import (
	"context"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-logr/logr"

	"github.com/eiderspring/eiderspring/peer"
	"github.com/eiderspring/eiderspring/revision"
	"github.com/eiderspring/eiderspring/ring"
	"github.com/eiderspring/eiderspring/store"
	"github.com/eiderspring/eiderspring/wait"
)

// settingsCandidate is a revision that may be newer than the one in force.
type settingsCandidate struct {
	// root is the root object read from the store, or nil.
	root *revision.Root
	// peerAddress is the stream address of a peer that has the revision, or empty.
	peerAddress string
	revision    int64
}

// settingsFetcher fetches each newer revision, from the store or from a peer. It never goes
// back to a lower one.
type settingsFetcher struct {
	client  store.Client
	streams *peer.StreamClient
	fetcher *revision.Fetcher
	// roots are the revisions found by the watch and the polls, candidates those found by the
	// gossip. A peer that is gone must not delay what the store has delivered.
	roots, candidates *ring.Ring[settingsCandidate]
	events            *ring.Ring[event]
	contact           *freshness
	log               logr.Logger

	mu sync.Mutex
	// newest is the newest revision fetched; mu guards it.
	newest int64
}

// candidatesCapacity bounds the queue of revisions to fetch; an older one is of no use once a
// newer one is known.
const candidatesCapacity = 8

func (f *settingsFetcher) run(ctx context.Context) {
	var both sync.WaitGroup
	both.Go(func() { f.fetchEach(ctx, f.roots) })
	both.Go(func() { f.fetchEach(ctx, f.candidates) })
	both.Wait()
}

// fetchEach fetches the revisions of a ring that are newer than the newest one fetched.
func (f *settingsFetcher) fetchEach(ctx context.Context, candidates *ring.Ring[settingsCandidate]) {
	for {
		w, err := candidates.Take(ctx)
		if err != nil {
			return
		}
		if !f.isNewer(w.revision) {
			continue
		}
		if err := f.fetch(ctx, w); err != nil {
			f.log.Info("fetching settings failed", "revision", w.revision, "from", w.peerAddress, "error", err.Error())
		}
	}
}

func (f *settingsFetcher) fetch(ctx context.Context, w settingsCandidate) error {
	var accepted *revision.Accepted
	var err error
	if w.root != nil {
		accepted, err = f.fetcher.Fetch(ctx, w.root.Current, w.root.InlineSource(revision.StoreSource(f.client)))
	} else {
		accepted, err = f.fetchFromPeer(ctx, w.peerAddress)
	}
	if err != nil {
		return err
	}
	if !f.recordNewer(accepted.Entry.Revision) {
		return nil
	}
	return f.events.Put(ctx, settingsAccepted{accepted: accepted})
}

// isNewer reports whether a revision is newer than the newest one fetched.
func (f *settingsFetcher) isNewer(revision int64) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return revision > f.newest
}

// recordNewer records a revision that was fetched, and reports whether it is the newest.
func (f *settingsFetcher) recordNewer(revision int64) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if revision <= f.newest {
		return false
	}
	f.newest = revision
	return true
}

func (f *settingsFetcher) fetchFromPeer(ctx context.Context, address string) (*revision.Accepted, error) {
	session, err := f.streams.Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	defer session.Close()
	data, err := session.Call(ctx, peer.Request{Root: true})
	if err != nil {
		return nil, err
	}
	var entry revision.Entry
	if err := cbor.Unmarshal(data, &entry); err != nil {
		return nil, err
	}
	return f.fetcher.Fetch(ctx, entry, func(ctx context.Context, hash string) ([]byte, error) {
		return session.Call(ctx, peer.Request{Chunk: hash})
	})
}

// watch maintains this instance's only watch on the root object of the settings.
func (f *settingsFetcher) watch(ctx context.Context) {
	r := watchLatest(f.client, store.KindSettings, store.WatchOptions{}, f.contact.storeAnswered,
		func(o store.Object) { f.rootRead(ctx, o) },
		func(err error) { f.log.Info("settings watch interrupted", "error", err.Error()) })
	r.Run(ctx)
}

func (f *settingsFetcher) rootRead(ctx context.Context, o store.Object) {
	if o.Metadata.Name != revision.RootName {
		return
	}
	root, err := revision.DecodeRoot(o)
	if err != nil {
		f.log.Error(err, "settings root cannot be decoded")
		return
	}
	_ = f.roots.Put(ctx, settingsCandidate{root: &root, revision: root.Current.Revision})
}

// confirmTimeout bounds a read of the root that confirms the revision in force.
const confirmTimeout = time.Second

// confirm reads the root from the store. It reports whether the store answered.
func (f *settingsFetcher) confirm(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	o, err := f.client.Get(ctx, store.KindSettings, revision.RootName)
	if err != nil && !store.IsNotFound(err) {
		return false
	}
	f.contact.storeAnswered()
	if err == nil {
		f.rootRead(ctx, o)
	}
	return true
}

// pollPeriodPerInstance, times the number of live instances, is the mean time between two
// polls of the root by one instance: all instances together poll about once in this time,
// whatever their number. The gossip spreads what one of them finds.
const pollPeriodPerInstance = 250 * time.Millisecond

// poll reads the root periodically, as a watch can break without notice. An instance without
// contact to any peer polls once a second, so that its settings stay confirmed.
func (f *settingsFetcher) poll(ctx context.Context, instances func() int) {
	for ctx.Err() == nil {
		every := max(time.Duration(instances())*pollPeriodPerInstance, time.Second)
		if f.contact.peersSilent() {
			every = time.Second
		}
		wait.For(ctx, jitter(every))
		f.confirm(ctx)
	}
}
