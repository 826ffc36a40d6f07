package daemon

import (
	"context"
	"expvar"
	"time"

	"github.com/eiderspring/eiderspring/membership"
	"github.com/eiderspring/eiderspring/ring"
	"github.com/eiderspring/eiderspring/routing"
	"github.com/eiderspring/eiderspring/store"
)

// startTasks starts the goroutines that follow the store, exchange data with other instances and
// build the view.
func (n *Node) startTasks() {
	calls := new(expvar.Map).Init()
	n.vars.Set("store_calls", calls)
	n.vars.Set("queue_length", expvar.Func(func() any { return n.gates.Len() }))
	n.vars.Set("endpoints_age_ms", expvar.Func(func() any { return n.endpointsAgeMS() }))
	n.vars.Set("settings_revision", expvar.Func(func() any { return n.revision() }))
	objects := n.platform.Store(store.Config{URL: n.cfg.ObjectStore, Calls: calls, Phase: n.phase, WatchWait: n.cfg.Fresh.settingsWatchHold(), StaleWait: n.cfg.Fresh.staleWatchHold(), OnCall: n.storeLink.callStarted, OnAnswer: n.storeLink.callAnswered, Transport: n.storeTransport, Eras: n.eras})
	n.placers = &placers{
		ctx: n.runCtx, cfg: n.cfg.Orders, instance: n.cfg.Instance, holder: n.holderID(), client: objects, log: n.log, now: n.clock.NowExact, done: &n.done,
		controls: n.platform.Controls(n.control, n.cfg.Instance), campaigns: n.campaigns, observes: n.observesLease, announce: n.mesh.publishPlacements, running: map[string]*placer{}, era: n.eras.Newest, onLoads: n.outlooks.loadsReceiver(),
	}
	n.presence = &presenceTask{
		client: objects, writer: store.NewWriter(objects), instance: n.cfg.Instance, storeLink: n.storeLink, log: n.log,
		self: n.mesh.self, onKey: n.openLinks, onInstance: n.mesh.updateInstance,
	}
	n.relays.fleetKnown = n.presence.initialListRead.Load
	n.eventsLag = newLagTracker(n.events.Added, n.now)
	entryInputs := ring.New[membership.EntryEvent](entryInputCapacity, ring.Block)
	n.entriesLag = newLagTracker(entryInputs.Added, n.now)
	view := &viewTask{
		lag:    n.eventsLag,
		events: n.events, router: n.router, log: n.log, now: n.now, notify: n.gates.Wake,
		updateCells: n.placers.update, updatePeers: func(*membership.List) {},
		list: membership.NewList(), endpoints: map[string]*routing.Endpoint{}, residency: newResidency(n.now), withdrawnUntil: map[string]withdrawal{},
		resolve: n.applySettings, onLeaving: n.mesh.recordWithdrawal, onDigest: n.mesh.endpointsDigest.Store, listDiffers: n.mesh.listDiffersFromHolder,
		onCold: n.endpointCold, sinceRevisionSeen: n.mesh.sinceRevisionSeen,
	}
	config := &settingsWatch{
		client: objects, kind: n.platform.SettingsKind, name: n.platform.SettingsName, decode: n.platform.DecodeSettings,
		newer: n.mesh.newerSettings, allowStale: n.allowStaleSettings, hasNewest: n.mesh.hasNewestSettings, events: n.events, storeLink: n.storeLink, log: n.log,
		onConfirmed: n.keyAuthority.storeConfirmed, now: n.now, watchHold: n.settingsWait, era: n.eras.Newest,
	}
	entries := &entriesTask{
		client: objects, kind: n.platform.MembersKind, decode: n.platform.DecodeMember, entries: membership.NewEntries(), parseVersion: n.platform.StoreVersion,
		inputs: entryInputs, lag: n.entriesLag, events: n.events, storeLink: n.storeLink, log: n.log, now: n.now,
		allowStale: n.allowStaleEntries, matchesHolder: n.mesh.listMatchesHolder, freshWatchHold: n.cfg.Fresh.entriesWatchHold(),
		relays:               n.relays,
		holderStoreBackSince: func() time.Time { return n.mesh.totals.storeBackSince(n.now()) },
	}
	n.relays.listing, n.relays.listingVersion, n.relays.storeVersion, n.relays.newestStoreVersion = entries.listing, entries.listingVersion, entries.storeVersion, entries.newestStoreVersion
	evacuations := &evacuationsTask{
		client: objects, kind: n.platform.EvacuationsKind, version: n.platform.StoreVersion, evacuations: n.mesh.evacuations, announced: n.evacuationsAnnounced,
		wait: n.settingsWait, now: n.now, storeLink: n.storeLink, log: n.log,
	}
	n.vars.Set("entries_refused", &entries.entriesRefused)
	holds := &holdsTask{
		client: objects, writer: store.NewWriter(objects), manager: n.quarantine, reports: n.unsavedReports, isolated: n.mesh.isolated, retention: n.cfg.Quarantine.limits().Retention(),
		log: n.log, timeOfDay: time.Now,
	}
	n.holds.Store(holds)
	renew := func(ctx context.Context) { n.rewriteOnEra(ctx, entries) }
	keys := func(ctx context.Context) { n.keyAuthority.monitor(ctx, n.cfg.Fresh.maxKeysAge(), config.checkStore) }
	register := newVersionRegister(objects, n.log, n.now)
	register.holds, register.follows = n.placers.holdsPool, n.knowsEndpoints
	register.first, register.era = config.foundNone.Load, n.eras.Newest
	register.view = n.router.View
	n.streams.register.Store(register)
	records := newStreamRecords(n.streams, register, objects)
	n.streams.records.Store(records)
	n.streams.recorded.Store(newRecordReader(objects, n.log))
	for _, run := range []func(context.Context){
		view.run, config.run, config.readNewer, entries.watch, entries.run, n.idle.run, n.wakeWaiters, n.mesh.run, n.presence.run, n.presence.watch, n.handleSuspensions, holds.run, holds.write, keys, renew,
		n.permits.run, n.lending.run, n.conditions.run, n.path.run, register.run, records.run,
	} {
		n.done.Go(func() { run(n.runCtx) })
	}
	if n.mesh.evacuations != nil {
		n.done.Go(func() { evacuations.run(n.runCtx) })
	}
}

// wakeWaiters periodically offers waiting requests to the router.
func (n *Node) wakeWaiters(ctx context.Context) { pollWaiting(ctx, n.gates) }
