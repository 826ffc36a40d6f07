package daemon

import (
	"context"
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
	// candidates are the revisions found by the watch, the polls and the gossip.
	candidates *ring.Ring[settingsCandidate]
	events     *ring.Ring[event]
	contact    *freshness
	log        logr.Logger
	newest     int64
}

// candidatesCapacity bounds the queue of revisions to fetch; an older one is of no use once a
// newer one is known.
const candidatesCapacity = 8

func (d *settingsFetcher) run(ctx context.Context) {
	for {
		w, err := d.candidates.Take(ctx)
		if err != nil {
			return
		}
		if w.revision <= d.newest {
			continue
		}
		if err := d.fetch(ctx, w); err != nil {
			d.log.Info("fetching settings failed", "revision", w.revision, "from", w.peerAddress, "error", err.Error())
		}
	}
}

func (d *settingsFetcher) fetch(ctx context.Context, w settingsCandidate) error {
	var accepted *revision.Accepted
	var err error
	if w.root != nil {
		accepted, err = d.fetcher.Fetch(ctx, w.root.Current, w.root.InlineSource(revision.StoreSource(d.client)))
	} else {
		accepted, err = d.fetchFromPeer(ctx, w.peerAddress)
	}
	if err != nil {
		return err
	}
	if accepted.Entry.Revision <= d.newest {
		return nil
	}
	d.newest = accepted.Entry.Revision
	return d.events.Put(ctx, settingsAccepted{accepted: accepted})
}

func (d *settingsFetcher) fetchFromPeer(ctx context.Context, address string) (*revision.Accepted, error) {
	session, err := d.streams.Dial(ctx, address)
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
	return d.fetcher.Fetch(ctx, entry, func(ctx context.Context, hash string) ([]byte, error) {
		return session.Call(ctx, peer.Request{Chunk: hash})
	})
}

// watch maintains this instance's only watch on the root object of the settings.
func (d *settingsFetcher) watch(ctx context.Context) {
	r := watchLatest(d.client, store.KindSettings, store.WatchOptions{}, d.contact.storeAnswered,
		func(o store.Object) { d.rootRead(ctx, o) },
		func(err error) { d.log.Info("settings watch interrupted", "error", err.Error()) })
	r.Run(ctx)
}

func (d *settingsFetcher) rootRead(ctx context.Context, o store.Object) {
	if o.Metadata.Name != revision.RootName {
		return
	}
	root, err := revision.DecodeRoot(o)
	if err != nil {
		d.log.Error(err, "settings root cannot be decoded")
		return
	}
	_ = d.candidates.Put(ctx, settingsCandidate{root: &root, revision: root.Current.Revision})
}

// confirmTimeout bounds a read of the root that confirms the revision in force.
const confirmTimeout = time.Second

// confirm reads the root from the store. It reports whether the store answered.
func (d *settingsFetcher) confirm(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	o, err := d.client.Get(ctx, store.KindSettings, revision.RootName)
	if err != nil && !store.IsNotFound(err) {
		return false
	}
	d.contact.storeAnswered()
	if err == nil {
		d.rootRead(ctx, o)
	}
	return true
}

// pollPeriodPerInstance, times the number of live instances, is the mean time between two
// polls of the root by one instance: all instances together poll about once in this time,
// whatever their number. The gossip spreads what one of them finds.
const pollPeriodPerInstance = 250 * time.Millisecond

// poll reads the root periodically, as a watch can break without notice. An instance without
// contact to any peer polls once a second, so that its settings stay confirmed.
func (d *settingsFetcher) poll(ctx context.Context, instances func() int) {
	for ctx.Err() == nil {
		every := max(time.Duration(instances())*pollPeriodPerInstance, time.Second)
		if d.contact.peersSilent() {
			every = time.Second
		}
		wait.For(ctx, jitter(every))
		d.confirm(ctx)
	}
}
