package daemon

import (
	"context"
	"expvar"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"github.com/eiderspring/eiderspring/evacuation"
	"github.com/eiderspring/eiderspring/membership"
	"github.com/eiderspring/eiderspring/ring"
	"github.com/eiderspring/eiderspring/store"
	"github.com/eiderspring/eiderspring/wait"
)

// entriesTask follows the entries of members, through a relay or in the store.
type entriesTask struct {
	client store.Client
	kind   store.Kind
	decode func(store.Object) (membership.Member, error)
	// mu guards entries, which only run modifies.
	mu      sync.Mutex
	entries *membership.Entries
	// entriesVersion is the version of the store as of which entries are known, newestVersion
	// the newest version that was reported; mu guards both.
	entriesVersion, newestVersion evacuation.Version
	// parseVersion parses a version of the store; nil if versions are not compared.
	parseVersion func(resourceVersion string) (evacuation.Version, error)
	// relays lets this instance follow a relay; nil if there are none.
	relays    *relays
	inputs    *ring.Ring[membership.EntryEvent]
	events    *ring.Ring[event]
	storeLink *storeLink
	log       logr.Logger
	now       func() time.Time
	// lag measures for how long inputs wait until they are passed on; may be nil.
	lag *lagTracker
	// allowStale reports whether another instance announces leaving endpoints in time, so that
	// stale answers of the store suffice here.
	allowStale func() bool
	// matchesHolder reports whether this instance lists the same endpoints as the lease
	// holder; nil means that this is not known.
	matchesHolder func() bool
	// freshWatchHold is how long the store may hold a fresh watch.
	freshWatchHold time.Duration
	// holderStoreBackSince returns since when the store has answered the lease holder without
	// a break; zero if it does not attest that.
	holderStoreBackSince func() time.Time
	// refused holds the reason why each invalid entry was refused; only the watch uses it.
	// entriesRefused counts the refusals.
	refused        map[string]string
	entriesRefused expvar.Int
}

// maxRefusedEntries bounds the refused entries that are remembered so as to log each once.
const maxRefusedEntries = 1024

const (
	// entryInputCapacity bounds the queued inputs of the task.
	entryInputCapacity = 256
	// entriesBatchDelay is how long changes of endpoints are batched, staleBatchDelay the same
	// while another instance announces the urgent ones.
	entriesBatchDelay = 500 * time.Millisecond
	staleBatchDelay   = time.Second
	// entriesTick is the time between two checks for entries that are missing.
	entriesTick = 250 * time.Millisecond
)

// maxStalePause is the longest pause of a stale watch while another instance announces that
// nothing has changed: the platform's store keeps changes for 20 s.
const maxStalePause = 15 * time.Second

// watch follows the entries: through a relay, or else in the store.
func (d *entriesTask) watch(ctx context.Context) {
	var watch *store.Reflector
	var watchedAt time.Time
	watchCtx := ctx
	for ctx.Err() == nil {
		d.relays.follow(ctx, func(e membership.EntryEvent) { d.put(ctx, e) })
		if watch == nil || d.now().Sub(watchedAt) >= maxStalePause {
			// The store may not keep changes for longer.
			watch = d.newStoreWatch(ctx, func() context.Context { return watchCtx })
		}
		var cancel context.CancelFunc
		watchCtx, cancel = context.WithCancel(ctx)
		go d.cancelWhenCanFollow(watchCtx, cancel)
		watch.Run(watchCtx)
		watchedAt = d.now()
		cancel()
	}
}

// cancelWhenCanFollow calls cancel when a relay is to be followed, or ctx has ended.
func (d *entriesTask) cancelWhenCanFollow(ctx context.Context, cancel context.CancelFunc) {
	d.relays.awaitCanFollow(ctx)
	cancel()
}

// versionedEvent is an event with the version of the store as of which entries are known after
// it.
type versionedEvent struct {
	membership.EntryEvent
	version evacuation.Version
}

// put queues an event, and records the version of the store that it carries.
func (d *entriesTask) put(ctx context.Context, e membership.EntryEvent) {
	if at, ok := e.(versionedEvent); ok {
		d.mu.Lock()
		d.newestVersion = laterVersion(d.newestVersion, at.version)
		d.mu.Unlock()
	}
	_ = d.inputs.Put(ctx, e)
}

// withVersion adds the version of the store to an event from an answer of the store.
func (d *entriesTask) withVersion(resourceVersion string, e membership.EntryEvent) membership.EntryEvent {
	if d.parseVersion == nil {
		return e
	}
	version, err := d.parseVersion(resourceVersion)
	if err != nil {
		d.log.Error(err, "invalid version of the store", "version", resourceVersion)
		return e
	}
	return versionedEvent{EntryEvent: e, version: version}
}

func laterVersion(a, b evacuation.Version) evacuation.Version {
	if a.Compare(b) < 0 {
		return b
	}
	return a
}

// storeVersion returns the version of the store as of which the members are known here,
// newestStoreVersion the newest version that was reported.
func (d *entriesTask) storeVersion() evacuation.Version {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.entriesVersion
}

func (d *entriesTask) newestStoreVersion() evacuation.Version {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.newestVersion
}

// newStoreWatch returns a watch on the entries in the store. Its pauses end with the context
// that following returns.
func (d *entriesTask) newStoreWatch(ctx context.Context, following func() context.Context) *store.Reflector {
	put := func(e membership.EntryEvent) { d.put(ctx, e) }
	var changes eventBatch
	options := store.WatchOptions{AllowStale: d.allowStale, Wait: d.freshWatchHold, OnFresh: func() { d.storeLink.watchConfirmed(d.kind) }, Now: d.now}
	return store.NewReflector(d.client, d.kind, options,
		func(l store.List) {
			d.storeLink.listReceived(d.kind, l)
			changes.take()
			put(membership.StoreAnswered{Since: d.storeBackSince()})
			put(d.withVersion(l.ResourceVersion, membership.EntriesListed{Members: d.members(l.Items)}))
		},
		func(e store.Event) {
			switch e.Type {
			case store.EventBookmark:
				d.storeLink.markReachable()
				put(membership.StoreAnswered{Since: d.storeBackSince()})
				put(d.withVersion(e.Object.Metadata.ResourceVersion, membership.EntriesChanged{Changes: d.changes(changes.take())}))
				// Endpoints change many times a second as they load and unload units, and each
				// answer of the store costs a call: changes are batched meanwhile.
				d.pauseForBatch(following(), e.Stale)
			default:
				changes.add(e)
			}
		},
		func(err error) {
			d.storeLink.watchFailed(d.kind, err)
			if !store.IsExpired(err) {
				put(membership.StoreUnreachable{})
			}
		})
}

// storeBackSince returns since when the store is reachable again: by its answers to this
// instance, or by the lease holder's attestations if that is earlier, as this instance alone
// may have been cut off. Entries lapse only while their members cannot reach the store.
func (d *entriesTask) storeBackSince() time.Time {
	own, holder := d.storeLink.availableSince(), d.holderStoreBackSince()
	if !holder.IsZero() && holder.Before(own) {
		return holder
	}
	return own
}

// pauseForBatch pauses before the next call, so that changes are batched: each answer of the
// store costs a call and wakes the instance. After a stale answer the pause lasts only as long
// as another instance announces the urgent changes.
func (d *entriesTask) pauseForBatch(ctx context.Context, stale bool) {
	if stale {
		wait.While(ctx, staleBatchDelay, d.allowStale)
		if d.matchesHolder != nil {
			// There is nothing to ask for until the lists differ.
			wait.While(ctx, maxStalePause, func() bool { return d.allowStale() && d.matchesHolder() })
		}
		return
	}
	wait.For(ctx, entriesBatchDelay)
}

// listing returns the members as this instance knows them.
func (d *entriesTask) listing() membership.Listing {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.entries.Listing()
}

// listingVersion grows with each change of the members; 0 means that none are known.
func (d *entriesTask) listingVersion() int64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.entries.Version()
}

// step applies an event to the entries.
func (d *entriesTask) step(e membership.EntryEvent) (membership.Listing, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if at, ok := e.(versionedEvent); ok {
		d.entriesVersion = laterVersion(d.entriesVersion, at.version)
		e = at.EntryEvent
	}
	return d.entries.Step(d.now(), e)
}

// changes decodes the events of an answer of the store.
func (d *entriesTask) changes(events []store.Event) []membership.EntryChange {
	var changes []membership.EntryChange
	for _, e := range events {
		if e.Type == store.EventDeleted {
			changes = append(changes, membership.EntryChange{Name: e.Object.Metadata.Name})
			continue
		}
		change := membership.EntryChange{Name: e.Object.Metadata.Name}
		// An entry overwritten by another writer with an invalid one no longer names a member.
		if m, ok := d.member(e.Object); ok {
			change.Member = &m
		}
		changes = append(changes, change)
	}
	return changes
}

func (d *entriesTask) members(objects []store.Object) []membership.Member {
	members := make([]membership.Member, 0, len(objects))
	for _, o := range objects {
		if m, ok := d.member(o); ok {
			members = append(members, m)
		}
	}
	return members
}

// member decodes an entry. An invalid one is counted, and logged if its error is new.
func (d *entriesTask) member(o store.Object) (membership.Member, bool) {
	m, err := d.decode(o)
	if err == nil {
		delete(d.refused, o.Metadata.Name)
		return m, true
	}
	d.entriesRefused.Add(1)
	if d.refused[o.Metadata.Name] == err.Error() {
		return m, false
	}
	if d.refused == nil || len(d.refused) >= maxRefusedEntries {
		d.refused = map[string]string{}
	}
	d.refused[o.Metadata.Name] = err.Error()
	d.log.Info("entry refused", "name", o.Metadata.Name, "error", err.Error())
	return m, false
}

func (d *entriesTask) run(ctx context.Context) {
	go d.tick(ctx)
	for {
		e, err := d.inputs.Take(ctx)
		if err != nil {
			return
		}
		if listing, changed := d.step(e); changed {
			_ = d.events.Put(ctx, membersListed{listing})
		}
		d.lag.markProcessed(1)
	}
}

func (d *entriesTask) tick(ctx context.Context) {
	for wait.For(ctx, entriesTick) {
		_ = d.inputs.Put(ctx, membership.EntriesTick{})
	}
}
