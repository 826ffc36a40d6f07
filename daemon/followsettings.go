package daemon

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"github.com/eiderspring/eiderspring/revision"
	"github.com/eiderspring/eiderspring/ring"
	"github.com/eiderspring/eiderspring/store"
	"github.com/eiderspring/eiderspring/wait"
)

// settingsWatch follows the one object that holds the settings, which an operator writes as a
// whole.
type settingsWatch struct {
	client store.Client
	kind   store.Kind
	name   string
	decode func(store.Object) (*revision.Accepted, error)
	// newer is signalled when another instance has newer settings in force.
	newer <-chan struct{}
	// allowStale reports whether another instance announces newer settings in time, so that
	// stale answers of the store suffice here.
	allowStale func() bool
	// hasNewest reports whether no instance is known to have newer settings; nil means that
	// this is not known.
	hasNewest func() bool
	// onConfirmed is called when a call to the store that was made at the given time has shown
	// a revision to be the newest; may be nil. now returns the time of calls.
	onConfirmed func(calledAt time.Time, revision int64)
	now         func() time.Time
	// watchHold returns how long the store may hold a fresh call; nil leaves it to the client.
	watchHold func() time.Duration
	events    *ring.Ring[event]
	storeLink *storeLink
	log       logr.Logger

	// version is the watch's position in the store, and newestRevision the newest revision
	// that was read; rejected is set while the settings read last cannot be used.
	version        atomic.Pointer[string]
	newestRevision atomic.Int64
	rejected       atomic.Bool
	// foundNone is set if there were no settings when the process first asked, although the store
	// has never come back from a copy that could lack them: the deployment began afterwards.
	foundNone atomic.Bool
	// era returns the era of the store; nil if it has none.
	era func() int64
}

// reportConfirmed reports that everything that the store had acknowledged when a call was made
// has been read.
func (d *settingsWatch) reportConfirmed(calledAt time.Time) {
	if d.onConfirmed == nil || calledAt.IsZero() || d.rejected.Load() {
		return
	}
	d.onConfirmed(calledAt, d.newestRevision.Load())
}

// checkStore asks the store whether there are newer settings, by the smallest call that shows
// it.
func (d *settingsWatch) checkStore(ctx context.Context) {
	version := d.version.Load()
	if version == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, checkStoreTimeout)
	defer cancel()
	var changes eventBatch
	options := store.WatchOptions{Wait: time.Millisecond, Now: d.now}
	err := d.client.Watch(ctx, d.kind, *version, options, func(e store.Event) {
		if e.Type != store.EventBookmark {
			changes.add(e)
			return
		}
		for _, e := range changes.take() {
			d.accept(e.Object, sourceWatch)
		}
		d.reportConfirmed(e.FreshAsOf)
		cancel()
	})
	if store.IsExpired(err) {
		err = d.readWhole(ctx)
	}
	if err != nil && ctx.Err() == nil {
		d.log.V(1).Info("settings not checked with the store", "error", err.Error())
	}
}

// readWhole reads the settings if the store no longer knows what has changed.
func (d *settingsWatch) readWhole(ctx context.Context) error {
	calledAt := d.now()
	o, err := d.client.Get(ctx, d.kind, d.name)
	if err != nil {
		return err
	}
	d.accept(o, sourceList)
	d.reportConfirmed(calledAt)
	return nil
}

// checkStoreTimeout bounds the call of checkStore, the first lists of the settings and of the
// instances, and the first read of newer settings: a slow store needs up to 0.4 s.
const checkStoreTimeout = 700 * time.Millisecond

// readNewer reads the settings when another instance is known to have newer ones: a watch may
// have broken unnoticed.
func (d *settingsWatch) readNewer(ctx context.Context) {
	failed := false
	for {
		select {
		case <-ctx.Done():
			return
		case <-d.newer:
		}
		if d.hasNewest != nil && (failed || wait.For(ctx, watchGrace)) && d.hasNewest() {
			// The watch has delivered them.
			failed = false
			continue
		}
		o, err := d.readOnce(ctx, failed)
		if failed = err != nil; failed {
			d.log.Info("newer settings not read", "error", err.Error())
			wait.For(ctx, jitter(settingsRetryDelay))
			// The watch may have delivered them meanwhile.
			failed = d.hasNewest == nil || !d.hasNewest()
			continue
		}
		d.accept(o, sourceRequest)
		// Until they are in force, every packet signals again that they are newer.
		wait.For(ctx, settingsApplyDelay)
		select {
		case <-d.newer:
		default:
		}
	}
}

// readOnce reads the settings once. The first read ends early if it gets no answer: it may have
// been sent on a connection that has become silent, and the next one uses another. A repeated
// read has the client's whole timeout, as the store may just be slow.
func (d *settingsWatch) readOnce(ctx context.Context, repeated bool) (store.Object, error) {
	if !repeated {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, checkStoreTimeout)
		defer cancel()
	}
	return d.client.Get(ctx, d.kind, d.name)
}

// watchGrace is how long the watch may take to deliver newer settings, by an answer that may
// be stale and costs a tenth of a fresh read, before they are read.
const watchGrace = 250 * time.Millisecond

// settingsApplyDelay is how long settings that were read may take to be in force.
const settingsApplyDelay = 100 * time.Millisecond

// settingsRetryDelay is the pause after a read of newer settings has failed.
const settingsRetryDelay = 300 * time.Millisecond

func (d *settingsWatch) run(ctx context.Context) {
	var listed atomic.Bool
	// A new process must not begin with stale settings: all instances may have ended right
	// after newer ones were acknowledged.
	allowStale := func() bool { return listed.Load() && d.allowStale() }
	options := store.WatchOptions{AllowStale: allowStale, OnFresh: func() { d.storeLink.watchConfirmed(d.kind) }, Now: d.now, WaitNow: d.watchHold, FirstListTimeout: checkStoreTimeout}
	var changes eventBatch
	r := store.NewReflector(d.client, d.kind, options,
		func(l store.List) {
			d.storeLink.listReceived(d.kind, l)
			changes.take()
			if !listed.Swap(true) {
				d.foundNone.Store(len(l.Items) == 0 && (d.era == nil || d.era() <= firstEra))
			}
			d.version.Store(&l.ResourceVersion)
			for _, o := range l.Items {
				d.accept(o, sourceList)
			}
			d.reportConfirmed(l.FreshAsOf)
		},
		func(e store.Event) {
			switch e.Type {
			case store.EventBookmark:
				d.storeLink.markReachable()
				d.version.Store(&e.Object.Metadata.ResourceVersion)
				for _, e := range changes.take() {
					d.accept(e.Object, sourceWatch)
				}
				d.reportConfirmed(e.FreshAsOf)
				if e.Stale && d.hasNewest != nil {
					// There is nothing to ask for until another instance has newer settings.
					wait.While(ctx, maxStalePause, func() bool { return d.allowStale() && d.hasNewest() })
				}
			case store.EventDeleted:
				// Settings stay in force when their object is removed.
			default:
				changes.add(e)
			}
		},
		func(err error) { d.storeLink.watchFailed(d.kind, err) })
	r.Run(ctx)
}

// firstEra is the era of a store that has never come back from a copy.
const firstEra = 1

// timestamp returns the current time; zero if there is no clock.
func (d *settingsWatch) timestamp() time.Time {
	if d.now == nil {
		return time.Time{}
	}
	return d.now()
}

func (d *settingsWatch) accept(o store.Object, by settingsSource) {
	if o.Metadata.Name != d.name {
		return
	}
	accepted, err := d.decode(o)
	d.rejected.Store(err != nil)
	if err != nil {
		d.log.Error(err, "settings refused", "version", o.Metadata.ResourceVersion)
		return
	}
	for {
		known := d.newestRevision.Load()
		if accepted.Entry.Revision <= known || d.newestRevision.CompareAndSwap(known, accepted.Entry.Revision) {
			break
		}
	}
	// Whatever else is queued, settings must be in force in time.
	_ = d.events.PutFirst(settingsAccepted{accepted: accepted, source: by, receivedAt: d.timestamp()})
}
