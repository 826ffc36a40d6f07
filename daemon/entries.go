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

// entriesDuty follows the entries of members in the store.
type entriesDuty struct {
	client store.Client
	kind   store.Kind
	decode func(store.Object) (membership.Member, error)
	// mu guards entries, which run alone changes.
	mu      sync.Mutex
	entries *membership.Entries
	// listed is the version of the store as of which entries are known, heard the newest one
	// that was heard of; mu guards both.
	entriesVersion, newestVersion evacuation.Version
	// parse reads a version of the store; nil where versions are not compared.
	parseVersion func(resourceVersion string) (evacuation.Version, error)
	// relays asks another instance for the list; nil where none tells it.
	relays *relays
	inputs *ring.Ring[membership.EntryEvent]
	events *ring.Ring[event]
	link   *storeLink
	log    logr.Logger
	now    func() time.Time
	// applied is told of inputs that have been passed on; nil tells nobody.
	applied *applied
	// behind tells whether another instance tells in time which endpoints leave.
	allowStale func() bool
	// same tells whether this instance lists the same endpoints as the one that tells;
	// nil means that nobody knows.
	matchesHolder func() bool
	// closeWait is how long the store may hold a close watch.
	freshWatchHold time.Duration
	// storeThere is since when the store has been there by another instance's word;
	// zero if none tells.
	holderStoreBackSince func() time.Time
	// refused holds why each entry was refused that cannot be used; the watch alone
	// uses it. entriesRefused counts how often that was.
	refused        map[string]string
	entriesRefused expvar.Int
}

// maxRefusedEntries bounds the refused entries that are known, so as to log each once.
const maxRefusedEntries = 1024

const (
	// entryInputs bounds the changes that wait for the duty.
	entryInputCapacity = 256
	// entriesGather is how long changes of endpoints gather, behindGather that where
	// another instance tells of those that matter.
	entriesBatchDelay = 500 * time.Millisecond
	staleBatchDelay   = time.Second
	// entriesTick is the time between two looks at entries that are missing.
	entriesTick = 250 * time.Millisecond
)

// untilTold is for how long a watch that may be behind rests, at most, while nothing is
// new by another instance's word: the platform's store keeps changes for 20 s.
const maxStalePause = 15 * time.Second

// watch follows the entries: by the word of another instance that tells them, or else by the
// store.
func (d *entriesDuty) watch(ctx context.Context) {
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

// cancelWhenTold calls cancel when another instance is to be asked, or ctx has ended.
func (d *entriesDuty) cancelWhenCanFollow(ctx context.Context, cancel context.CancelFunc) {
	d.relays.awaitCanFollow(ctx)
	cancel()
}

// entriesAt is an event behind which entries are known as of a version of the store.
type versionedEvent struct {
	membership.EntryEvent
	version evacuation.Version
}

// put passes on an event, and notes of which version of the store it tells.
func (d *entriesDuty) put(ctx context.Context, e membership.EntryEvent) {
	if at, ok := e.(versionedEvent); ok {
		d.mu.Lock()
		d.newestVersion = laterVersion(d.newestVersion, at.version)
		d.mu.Unlock()
	}
	_ = d.inputs.Put(ctx, e)
}

// at adds the version of the store to an event that an answer of the store has brought.
func (d *entriesDuty) withVersion(resourceVersion string, e membership.EntryEvent) membership.EntryEvent {
	if d.parseVersion == nil {
		return e
	}
	version, err := d.parseVersion(resourceVersion)
	if err != nil {
		d.log.Error(err, "version of the store unreadable", "version", resourceVersion)
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

// listedAt is the version of the store as of which the members are known here, heardAt the
// newest one that was heard of.
func (d *entriesDuty) storeVersion() evacuation.Version {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.entriesVersion
}

func (d *entriesDuty) newestStoreVersion() evacuation.Version {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.newestVersion
}

// storeWatch returns what follows the entries in the store, and pauses for as long as the
// context lasts in which it does.
func (d *entriesDuty) newStoreWatch(ctx context.Context, following func() context.Context) *store.Reflector {
	put := func(e membership.EntryEvent) { d.put(ctx, e) }
	var changes batch
	options := store.WatchOptions{AllowStale: d.allowStale, Wait: d.freshWatchHold, OnFresh: func() { d.link.confirmed(d.kind) }, Now: d.now}
	return store.NewReflector(d.client, d.kind, options,
		func(l store.List) {
			d.link.listed(d.kind, l)
			changes.take()
			put(membership.StoreAnswered{Since: d.storeBackSince()})
			put(d.withVersion(l.ResourceVersion, membership.EntriesListed{Members: d.members(l.Items)}))
		},
		func(e store.Event) {
			switch e.Type {
			case store.EventBookmark:
				d.link.heard()
				put(membership.StoreAnswered{Since: d.storeBackSince()})
				put(d.withVersion(e.Object.Metadata.ResourceVersion, membership.EntriesChanged{Changes: d.changes(changes.take())}))
				// Endpoints change many times a second as units come and go, and
				// each answer of the store costs a call: changes gather meanwhile.
				d.batchDelay(following(), e.Stale)
			default:
				changes.add(e)
			}
		},
		func(err error) {
			d.link.failed(d.kind, err)
			if !store.IsExpired(err) {
				put(membership.StoreUnreachable{})
			}
		})
}

// returned is since when the store is back: by its answers to this instance, or by the
// word of another, if that is earlier, as this one may have been cut off alone. Entries
// lapse only while members cannot reach the store.
func (d *entriesDuty) storeBackSince() time.Time {
	own, holder := d.link.returned(), d.holderStoreBackSince()
	if !holder.IsZero() && holder.Before(own) {
		return holder
	}
	return own
}

// gather lets changes gather before they are asked for: each answer of the store
// costs a call, and wakes the instance. Behind an answer that may be old it goes on
// only for as long as another instance tells what matters.
func (d *entriesDuty) batchDelay(ctx context.Context, stale bool) {
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
func (d *entriesDuty) listing() membership.Listing {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.entries.Listing()
}

// version grows with each change of the members; 0 means that nothing is known.
func (d *entriesDuty) listingVersion() int64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.entries.Version()
}

// step passes an event on to the entries.
func (d *entriesDuty) step(e membership.EntryEvent) (membership.Listing, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if at, ok := e.(versionedEvent); ok {
		d.entriesVersion = laterVersion(d.entriesVersion, at.version)
		e = at.EntryEvent
	}
	return d.entries.Step(d.now(), e)
}

// changes decodes what an answer of the store brings.
func (d *entriesDuty) changes(events []store.Event) []membership.EntryChange {
	var changes []membership.EntryChange
	for _, e := range events {
		if e.Type == store.EventDeleted {
			changes = append(changes, membership.EntryChange{Name: e.Object.Metadata.Name})
			continue
		}
		change := membership.EntryChange{Name: e.Object.Metadata.Name}
		// An entry that another writer has spoilt names no member any more.
		if m, ok := d.member(e.Object); ok {
			change.Member = &m
		}
		changes = append(changes, change)
	}
	return changes
}

func (d *entriesDuty) members(objects []store.Object) []membership.Member {
	members := make([]membership.Member, 0, len(objects))
	for _, o := range objects {
		if m, ok := d.member(o); ok {
			members = append(members, m)
		}
	}
	return members
}

// member decodes an entry. One that is refused is counted, and logged when it is new.
func (d *entriesDuty) member(o store.Object) (membership.Member, bool) {
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

func (d *entriesDuty) run(ctx context.Context) {
	go d.tick(ctx)
	for {
		e, err := d.inputs.Take(ctx)
		if err != nil {
			return
		}
		if listing, changed := d.step(e); changed {
			_ = d.events.Put(ctx, membersListed{listing})
		}
		d.applied.finished(1)
	}
}

func (d *entriesDuty) tick(ctx context.Context) {
	for wait.For(ctx, entriesTick) {
		_ = d.inputs.Put(ctx, membership.EntriesTick{})
	}
}
