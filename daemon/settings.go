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
type wanted struct {
	// root is the store's, or nil.
	root *revision.Root
	// stream is the address of a peer that has the revision, or empty.
	stream   string
	revision int64
}

// settingsDuty fetches each newer revision, from the store or from a peer. It
// never goes back to a lower one.
type settingsDuty struct {
	client  store.Client
	streams *peer.StreamClient
	fetcher *revision.Fetcher
	// wanted joins the watch, the polls and the gossip to this duty.
	wanted *ring.Ring[wanted]
	events *ring.Ring[event]
	heard  *freshness
	log    logr.Logger
	newest int64
}

// wantedCapacity bounds the revisions that wait to be fetched; an older one is
// of no use once a newer one is known.
const wantedCapacity = 8

func (d *settingsDuty) run(ctx context.Context) {
	for {
		w, err := d.wanted.Take(ctx)
		if err != nil {
			return
		}
		if w.revision <= d.newest {
			continue
		}
		if err := d.fetch(ctx, w); err != nil {
			d.log.Info("settings not fetched", "revision", w.revision, "from", w.stream, "error", err.Error())
		}
	}
}

func (d *settingsDuty) fetch(ctx context.Context, w wanted) error {
	var accepted *revision.Accepted
	var err error
	if w.root != nil {
		accepted, err = d.fetcher.Fetch(ctx, w.root.Current, w.root.InlineSource(revision.StoreSource(d.client)))
	} else {
		accepted, err = d.fetchFromPeer(ctx, w.stream)
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

func (d *settingsDuty) fetchFromPeer(ctx context.Context, address string) (*revision.Accepted, error) {
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
func (d *settingsDuty) watch(ctx context.Context) {
	r := watchLatest(d.client, store.KindSettings, store.WatchOptions{}, d.heard.storeAnswered,
		func(o store.Object) { d.found(ctx, o) },
		func(err error) { d.log.Info("settings watch interrupted", "error", err.Error()) })
	r.Run(ctx)
}

func (d *settingsDuty) found(ctx context.Context, o store.Object) {
	if o.Metadata.Name != revision.RootName {
		return
	}
	root, err := revision.DecodeRoot(o)
	if err != nil {
		d.log.Error(err, "settings root unreadable")
		return
	}
	_ = d.wanted.Put(ctx, wanted{root: &root, revision: root.Current.Revision})
}

// confirmTimeout bounds a read that confirms the revision in force.
const confirmTimeout = time.Second

// confirm reads the root from the store. It reports whether the store answered.
func (d *settingsDuty) confirm(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	o, err := d.client.Get(ctx, store.KindSettings, revision.RootName)
	if err != nil && !store.IsNotFound(err) {
		return false
	}
	d.heard.storeAnswered()
	if err == nil {
		d.found(ctx, o)
	}
	return true
}

// confirmShare is the time between polls of the root for each live instance:
// all instances together poll once in this time, whatever their number. What
// one of them finds, the gossip tells the others.
const confirmShare = 250 * time.Millisecond

// poll reads the root now and then, as a watch can be broken without notice.
// An instance that hears no peer polls by itself, to stay fresh.
func (d *settingsDuty) poll(ctx context.Context, instances func() int) {
	for ctx.Err() == nil {
		every := max(time.Duration(instances())*confirmShare, time.Second)
		if d.heard.peersSilent() {
			every = time.Second
		}
		wait.For(ctx, jitter(every))
		d.confirm(ctx)
	}
}
