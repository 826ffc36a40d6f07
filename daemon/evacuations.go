package daemon

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"github.com/eiderspring/eiderspring/evacuation"
	"github.com/eiderspring/eiderspring/peer"
	"github.com/eiderspring/eiderspring/store"
	"github.com/eiderspring/eiderspring/wait"
)

// evacuations is what this instance knows of the failure domains that the platform has
// evacuated. A nil one knows of none.
type evacuations struct {
	// changed is told, in order, of the domains that are evacuated from now on.
	onChange func(domains []string)
	log      logr.Logger

	mu      sync.Mutex
	tracker evacuation.Tracker
}

// step passes an event on.
func (s *evacuations) step(e evacuation.Event, by string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.tracker.Step(e) {
		return
	}
	set := s.tracker.InForce()
	s.log.Info("evacuations", "failure_domains", set.Domains, "era", set.Version.Era, "revision", set.Version.Revision, "by", by)
	s.onChange(set.Domains)
}

// inForce returns the domains that are evacuated.
func (s *evacuations) inForce() []string {
	if s == nil {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.tracker.InForce().Domains)
}

// maxEvacuatedBytes bounds what one packet tells of evacuated domains.
const maxEvacuatedBytes = 300

// tell adds what is known to a packet. It reports false if that does not fit, so that the
// others must look themselves.
func (s *evacuations) addTo(p *peer.Packet) bool {
	if s == nil {
		return true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	set := s.tracker.InForce()
	bytes := 0
	for _, d := range set.Domains {
		bytes += len(d) + 2
	}
	if bytes > maxEvacuatedBytes {
		return false
	}
	p.Evacuated, p.EvacuatedEra, p.EvacuatedRevision = set.Domains, set.Version.Era, set.Version.Revision
	return true
}

// heard takes the word of another instance.
func (s *evacuations) receive(p peer.Packet) {
	if s == nil || p.EvacuatedRevision == 0 {
		return
	}
	version := evacuation.Version{Era: p.EvacuatedEra, Revision: p.EvacuatedRevision}
	s.step(evacuation.Announced{Set: evacuation.Set{Version: version, Domains: p.Evacuated}}, p.From)
}

// evacuationsDuty follows the objects of evacuated failure domains in the store, unless the
// holder of the lease tells.
type evacuationsDuty struct {
	client store.Client
	kind   store.Kind
	// version reads a version of the store.
	version     func(resourceVersion string) (evacuation.Version, error)
	evacuations *evacuations
	// told tells whether the holder of the lease tells what is new in time.
	announced func() bool
	// wait is how long the store may hold a call.
	wait func() time.Duration
	now  func() time.Time
	link *storeLink
	log  logr.Logger
}

// byStore names the own watch in the log.
const byStore = "the store"

func (d *evacuationsDuty) run(ctx context.Context) {
	if !d.waitWhileAnnounced(ctx) {
		return
	}
	changes := map[string]bool{}
	options := store.WatchOptions{OnFresh: func() { d.link.watchConfirmed(d.kind) }, Now: d.now, WaitNow: d.wait}
	r := store.NewReflector(d.client, d.kind, options,
		func(l store.List) {
			d.link.markReachable()
			clear(changes)
			d.handleList(l)
		},
		func(e store.Event) {
			switch e.Type {
			case store.EventBookmark:
				d.link.markReachable()
				d.handleBookmark(e.Object.Metadata.ResourceVersion, changes)
				clear(changes)
				d.waitWhileAnnounced(ctx)
			default:
				changes[e.Object.Metadata.Name] = e.Type != store.EventDeleted
			}
		},
		func(err error) { d.link.watchFailed(d.kind, err) })
	r.Run(ctx)
}

// rest waits for as long as there is nothing to ask for. It reports false if ctx ended.
func (d *evacuationsDuty) waitWhileAnnounced(ctx context.Context) bool {
	for ctx.Err() == nil && d.announced() {
		wait.While(ctx, maxStalePause, d.announced)
	}
	return ctx.Err() == nil
}

func (d *evacuationsDuty) handleList(l store.List) {
	version, err := d.version(l.ResourceVersion)
	if err != nil {
		d.log.Error(err, "evacuations not read")
		return
	}
	domains := map[string]bool{}
	for _, o := range l.Items {
		domains[o.Metadata.Name] = true
	}
	d.evacuations.step(evacuation.Listed{Set: evacuation.Set{Version: version, Domains: slices.Sorted(maps.Keys(domains))}}, byStore)
}

func (d *evacuationsDuty) handleBookmark(resourceVersion string, changes map[string]bool) {
	version, err := d.version(resourceVersion)
	if err != nil {
		d.log.Error(err, "evacuations not read")
		return
	}
	d.evacuations.step(evacuation.Changed{Version: version, Domains: maps.Clone(changes)}, byStore)
}
