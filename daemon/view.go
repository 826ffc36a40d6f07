package daemon

import (
	"cmp"
	"context"
	"errors"
	"maps"
	"time"

	"github.com/go-logr/logr"

	"github.com/eiderspring/eiderspring/membership"
	"github.com/eiderspring/eiderspring/revision"
	"github.com/eiderspring/eiderspring/ring"
	"github.com/eiderspring/eiderspring/routing"
	"github.com/eiderspring/eiderspring/settings"
	"github.com/eiderspring/eiderspring/wait"
)

// viewTask builds the routing view from the events of the other tasks. It alone writes the
// fields below.
type viewTask struct {
	events *ring.Ring[event]
	router *routing.Router
	log    logr.Logger
	now    func() time.Time
	// lag measures for how long events wait until they are in force; may be nil.
	lag *lagTracker
	// sinceRevisionSeen returns how long ago another instance first reported this revision or
	// a later one, neverConfirmed if none has; nil means that this is not known.
	sinceRevisionSeen func(revision int64) time.Duration
	// resolve puts a revision in force and returns its catalog.
	resolve func(*revision.Accepted) *settings.Catalog
	// updateCells passes the settings and the list to the cells.
	updateCells func(*settings.Catalog, *membership.List)
	// updatePeers passes the list to the exchange with the other instances.
	updatePeers func(*membership.List)
	notify      func()
	// onLeaving is called for each endpoint that begins to leave; may be nil.
	onLeaving func(endpoint endpointIncarnation)
	// listDiffers reports whether the lease holder is known to list other endpoints than this
	// instance; nil means that this is not known.
	listDiffers func() bool
	// onDigest receives the digest of the list when it has changed; may be nil.
	onDigest func(digest uint64)

	// onCold is called for endpoints that are cold for some time; may be nil.
	onCold func(e *routing.Endpoint, perSecond float64, remaining time.Duration)

	// platformEvacuated holds the failure domains that the platform has evacuated, evacuated
	// these and the ones that the settings evacuate.
	platformEvacuated []string
	evacuated         map[string]bool
	// warming holds the failure domains whose evacuation has ended since the last view.
	warming map[string]bool
	// coldReported holds the endpoints that have been reported as cold by their entries since
	// the last view.
	coldReported map[string]int64

	accepted  *revision.Accepted
	resolved  *settings.Catalog
	list      *membership.List
	endpoints map[string]*routing.Endpoint
	// withdrawnUntil holds endpoints that another instance reports as accepting no more work.
	withdrawnUntil map[string]withdrawal
	// residency holds the units of each endpoint.
	residency residency
	// changedEndpoints holds the endpoints whose units have changed since the last view;
	// fullRebuild is set if anything else has.
	changedEndpoints []string
	fullRebuild      bool
	// replicas holds the endpoints that serve each unit.
	replicas replicaIndex
}

func (d *viewTask) run(ctx context.Context) {
	for {
		e, err := d.next(ctx)
		if err != nil {
			return
		}
		taken := int64(0)
		if e != nil {
			taken = 1
		}
		changed := d.apply(e)
		count, drained := d.drainEvents(ctx, e)
		changed = changed || drained
		if d.expireWithdrawals() || changed {
			d.rebuild()
		}
		d.lag.markProcessed(taken + count)
		d.notify()
	}
}

// placementBatchDelay is how long placements are batched before the view is rebuilt: they
// arrive in bursts of packets, and with 245 endpoints an instance spent two thirds of its own
// processor time on views that the next packet made obsolete.
const placementBatchDelay = 15 * time.Millisecond

// drainEvents applies the events that are queued after e, but not those that arrive meanwhile, as
// these may never end. It returns their number, and whether the view must be rebuilt for them.
func (d *viewTask) drainEvents(ctx context.Context, e event) (taken int64, changed bool) {
	if _, placed := e.(placementsReceived); placed {
		wait.For(ctx, placementBatchDelay)
	}
	for range d.events.Len() {
		if _, accepted := e.(settingsAccepted); accepted {
			// They are in force, so that the view must follow at once.
			break
		}
		var err error
		if e, err = d.events.Take(ctx); err != nil {
			return taken, changed
		}
		taken++
		changed = d.apply(e) || changed
	}
	return taken, changed
}

// withdrawalCheckInterval is the time between two checks for expired withdrawals.
const withdrawalCheckInterval = time.Second

// next returns the next event, or nil after a while if withdrawals may have expired.
func (d *viewTask) next(ctx context.Context) (event, error) {
	if len(d.withdrawnUntil) == 0 {
		return d.events.Take(ctx)
	}
	soon, cancel := context.WithTimeout(ctx, withdrawalCheckInterval)
	defer cancel()
	e, err := d.events.Take(soon)
	if err != nil && ctx.Err() == nil && errors.Is(soon.Err(), context.DeadlineExceeded) {
		return nil, nil
	}
	return e, err
}

// expireWithdrawals drops the expired withdrawals reported by other instances, and reports
// whether there were any: an endpoint whose entry had only lapsed accepts requests again.
//
// While the lease holder lists other endpoints than this instance, a withdrawal lasts longer
// by maxWithdrawalExtension: no list that would confirm or refute it has arrived since.
func (d *viewTask) expireWithdrawals() bool {
	known := len(d.withdrawnUntil)
	now := d.now()
	if d.listDiffers != nil && d.listDiffers() {
		now = now.Add(-maxWithdrawalExtension)
	}
	maps.DeleteFunc(d.withdrawnUntil, func(_ string, w withdrawal) bool { return !now.Before(w.at) })
	forgotten := len(d.withdrawnUntil) < known
	d.fullRebuild = d.fullRebuild || forgotten
	return forgotten
}

// maxWithdrawalExtension is for how much longer a withdrawal counts, at most, while no list
// arrives: longer than an instance is cut off from the store.
const maxWithdrawalExtension = 12 * time.Second

// apply applies an event and reports whether the view must be rebuilt.
func (d *viewTask) apply(e event) bool {
	switch e := e.(type) {
	case loadReported:
		return d.applyLoad(e)
	case placementsReceived:
		return d.applyPlacements(e)
	default:
		changed := d.applyMembers(e)
		d.fullRebuild = d.fullRebuild || changed
		return changed
	}
}

// applyMembers applies an event that changes the settings or the set of endpoints.
func (d *viewTask) applyMembers(e event) bool {
	switch e := e.(type) {
	case settingsAccepted:
		return d.accept(e) && d.informTasks()
	case domainsEvacuated:
		d.platformEvacuated = e.domains
		return d.applyEvacuations() && d.informTasks()
	case membersListed:
		changes := d.list.Step(d.now(), membership.Listed{Listing: e.listing})
		for _, c := range changes {
			d.reportLeaving(c)
			d.noteColdEntry(c)
			d.log.V(1).Info("member", "name", c.Member.Name, "pool", c.Member.Pool, "state", c.Member.State, "address", c.Member.Address)
		}
		if len(changes) > 0 && d.onDigest != nil {
			d.onDigest(d.list.Digest())
		}
		return len(changes) > 0 && d.informTasks()
	case instanceLeaving:
		m, known := d.list.Member(e.name)
		observed := membership.Observed{Name: e.name, Incarnation: m.Incarnation, State: membership.Leaving}
		return known && len(d.list.Step(d.now(), observed)) > 0 && d.informTasks()
	case endpointSaidLeaving:
		return d.applySaidLeaving(e)
	case endpointsWithdrawn:
		return d.applyWithdrawals(e.endpoints)
	default:
		return false
	}
}

// informTasks passes the settings and the list to the tasks that depend on them. It returns
// true.
func (d *viewTask) informTasks() bool {
	d.updatePeers(d.list)
	if d.resolved != nil {
		d.updateCells(d.resolved, d.list)
	}
	return true
}

// accept puts a revision in force unless it is not newer than the current one.
func (d *viewTask) accept(e settingsAccepted) bool {
	a := e.accepted
	if d.accepted != nil && a.Entry.Revision <= d.accepted.Entry.Revision {
		return false
	}
	d.accepted = a
	d.resolved = d.resolve(a)
	d.applyEvacuations()
	values := []any{"revision", a.Entry.Revision, "author", a.Entry.Author}
	if !e.receivedAt.IsZero() {
		values = append(values, "by", e.source, "waited_ms", d.now().Sub(e.receivedAt).Milliseconds(), "heard_ms", d.revisionSeenMS(a.Entry.Revision))
	}
	d.log.Info("settings in force", values...)
	return true
}

// revisionSeenMS returns how long ago, in milliseconds, another instance first reported this
// revision or a later one; -1 if none has.
func (d *viewTask) revisionSeenMS(revision int64) int64 {
	if d.sinceRevisionSeen == nil {
		return -1
	}
	return ageMS(d.sinceRevisionSeen(revision))
}

func (d *viewTask) applyLoad(e loadReported) bool {
	endpoint, known := d.endpoints[e.endpoint]
	if !known || endpoint.Incarnation != e.report.Incarnation {
		return false
	}
	endpoint.SetReportedLoad(routing.Load{At: d.now(), Running: e.report.Running, Waiting: e.report.Waiting, OwnAtReport: e.ownInFlight})
	var ready []string
	for _, u := range e.report.Units {
		if u.Ready {
			ready = append(ready, u.Name)
		}
	}
	changed := d.residency.applyReport(e.endpoint, ready)
	if changed {
		d.changedEndpoints = append(d.changedEndpoints, e.endpoint)
	}
	return changed
}

// applySaidLeaving takes over that an endpoint has said that it leaves, which is newer than any entry
// of this incarnation.
func (d *viewTask) applySaidLeaving(e endpointSaidLeaving) bool {
	changes := d.list.Step(d.now(), membership.Observed{Name: e.name, Incarnation: e.incarnation, State: membership.Leaving})
	for _, c := range changes {
		d.announceLeaving(c)
	}
	return len(changes) > 0 && d.informTasks()
}

// withdrawalLifetime is for how long another instance's report that an endpoint leaves counts.
// By then this instance's own list shows it, even if it is seconds old; an endpoint whose
// entry had only lapsed is back.
const withdrawalLifetime = 4 * time.Second

// applyWithdrawals applies another instance's report of leaving endpoints. It also counts for
// an endpoint that is not listed yet: an older answer may still list it as live.
func (d *viewTask) applyWithdrawals(incarnations []endpointIncarnation) bool {
	changed := false
	for _, s := range incarnations {
		e, listed := d.endpoints[s.name]
		if listed && !s.includes(e.StartedAtMS) {
			// It has been restarted since.
			continue
		}
		if w, known := d.withdrawnUntil[s.name]; !known || w.startedAtMS < s.startedAtMS {
			changed = changed || listed
			d.log.Info("endpoint leaves", "endpoint", s.name, "by", "the lease holder", "listed", listed)
		}
		d.withdrawnUntil[s.name] = withdrawal{startedAtMS: s.startedAtMS, at: d.now().Add(withdrawalLifetime)}
	}
	return changed
}

// withheld reports whether another instance's report keeps requests from a member.
func (d *viewTask) withheld(m membership.Member) bool {
	w, known := d.withdrawnUntil[m.Name]
	return known && endpointIncarnation{m.Name, w.startedAtMS}.includes(m.StartedAtMS)
}

// reportLeaving reports an endpoint that has begun to leave or has gone.
func (d *viewTask) reportLeaving(c membership.Change) {
	if c.Member.State == membership.Live || c.Member.Pool == membership.InstancePool {
		return
	}
	d.log.Info("endpoint leaves", "endpoint", c.Member.Name, "by", "its entry", "state", c.Member.State)
	d.announceLeaving(c)
}

// announceLeaving passes on that an endpoint has begun to leave or has gone.
func (d *viewTask) announceLeaving(c membership.Change) {
	if d.onLeaving != nil {
		d.onLeaving(endpointIncarnation{c.Member.Name, c.Member.StartedAtMS})
	}
}

// applyPlacements applies placements of the instance that places units.
func (d *viewTask) applyPlacements(e placementsReceived) bool {
	known := len(d.changedEndpoints)
	for _, p := range e.placements {
		if _, listed := d.endpoints[p.Endpoint]; listed && d.residency.applyPlacement(p) {
			d.changedEndpoints = append(d.changedEndpoints, p.Endpoint)
		}
	}
	return len(d.changedEndpoints) > known
}

// rebuild gives routing a view with all changes.
func (d *viewTask) rebuild() {
	if d.resolved == nil {
		return
	}
	if d.fullRebuild {
		d.rebuildAll()
	} else {
		d.rebuildChanged()
	}
	d.fullRebuild, d.changedEndpoints = false, nil
}

// rebuildChanged gives routing a view in which only the units of some endpoints differ: with
// thousands of endpoints, a full rebuild for each burst of placements took most of an
// instance's processor time.
func (d *viewTask) rebuildChanged() {
	for _, name := range d.changedEndpoints {
		d.replicas.set(d.endpoints[name], d.residency.serving(name))
	}
	v := *d.router.View()
	v.Replicas = d.replicas.share()
	d.router.SetView(&v)
}

// rebuildAll gives routing a view built from scratch.
func (d *viewTask) rebuildAll() {
	members := d.list.Members()
	v := &routing.View{
		Pools: map[string][]*routing.Endpoint{}, ByName: make(map[string]*routing.Endpoint, len(members)), OpenRegions: map[string]map[string]bool{},
	}
	for _, m := range members {
		if m.Pool == membership.InstancePool {
			if m.State == membership.Live {
				v.Instances++
			}
			continue
		}
		pool := d.resolved.Tree.Pools[m.Pool]
		if pool == nil {
			continue
		}
		e := d.endpoint(m, pool)
		v.ByName[m.Name] = e
		d.residency.applyEntry(m)
		v.Pools[m.Pool] = append(v.Pools[m.Pool], e)
		noteOpenRegion(v, m, e)
		d.reportCold(m, e, pool)
		d.replicas.set(e, d.residency.serving(m.Name))
	}
	for name := range d.endpoints {
		if v.ByName[name] == nil {
			delete(d.endpoints, name)
			delete(d.withdrawnUntil, name)
			d.residency.forget(name)
		}
	}
	d.warming, d.coldReported = nil, nil
	d.replicas.retain(v.ByName)
	v.Replicas = d.replicas.share()
	if len(d.router.View().ByName) == 0 && len(v.ByName) > 0 {
		d.log.Info("endpoints known", "endpoints", len(v.ByName), "units", len(v.Replicas))
	}
	d.router.SetView(v)
}

// endpoint returns the endpoint of a member of a pool. A new incarnation is a new endpoint: nothing
// counted for the previous one applies to it.
func (d *viewTask) endpoint(m membership.Member, pool *settings.Pool) *routing.Endpoint {
	e := d.endpoints[m.Name]
	previous, concurrency, isEngine := e, cmp.Or(m.Slots, pool.Concurrency), pool.Kind == settings.KindEngine
	if e == nil || e.Incarnation != m.Incarnation || e.Address != m.Address || e.Concurrency != concurrency || e.SoftwareVersion != m.SoftwareVersion || e.Engine != isEngine {
		e = &routing.Endpoint{
			Name: m.Name, Address: m.Address, Pool: m.Pool, FailureDomain: m.FailureDomain,
			Region: d.resolved.Tree.Regions[m.FailureDomain], Incarnation: m.Incarnation, StartedAtMS: m.StartedAtMS, Concurrency: concurrency,
			SoftwareVersion: m.SoftwareVersion, Engine: isEngine,
		}
		e.AdoptStatements(previous)
		d.logRestart(previous, e)
		d.endpoints[m.Name] = e
		d.residency.startIncarnation(m)
	}
	e.SetLeaving(!m.AcceptsWork() || d.withheld(m))
	return e
}

// logRestart logs that an endpoint has been restarted under its name.
func (d *viewTask) logRestart(previous, e *routing.Endpoint) {
	if previous != nil && previous.Incarnation != e.Incarnation {
		d.log.Info("endpoint started again", "endpoint", e.Name, "former", previous.Incarnation, "incarnation", e.Incarnation)
	}
}
