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

// wanted is a revision that may be newer than the one in force.
type settingsCandidate struct {
	// root is the store's, or nil.
	root *revision.Root
	// stream is the address of a peer that has the revision, or empty.
	peerAddress string
	revision    int64
}

// settingsDuty fetches each newer revision, from the store or from a peer. It
// never goes back to a lower one.
type settingsFetcher struct {
	client  store.Client
	streams *peer.StreamClient
	fetcher *revision.Fetcher
	// wanted joins the watch, the polls and the gossip to this duty.
	candidates *ring.Ring[settingsCandidate]
	events     *ring.Ring[event]
	contact    *freshness
	log        logr.Logger
	newest     int64
}

// wantedCapacity bounds the revisions that wait to be fetched; an older one is
// of no use once a newer one is known.
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
			d.log.Info("settings not fetched", "revision", w.revision, "from", w.peerAddress, "error", err.Error())
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

// watch keeps the one watch of this instance on the settings' root.
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
		d.log.Error(err, "settings root unreadable")
		return
	}
	_ = d.candidates.Put(ctx, settingsCandidate{root: &root, revision: root.Current.Revision})
}

// confirmTimeout bounds a read that confirms the revision in force.
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

// confirmShare is the time between polls of the root for each live instance:
// all instances together poll once in this time, whatever their number. What
// one of them finds, the gossip tells the others.
const pollPeriodPerInstance = 250 * time.Millisecond

// poll reads the root now and then, as a watch can be broken without notice.
// An instance that hears no peer polls by itself, to stay fresh.
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
