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

// evacuations tracks the failure domains that the platform has evacuated. A nil value has
// none.
type evacuations struct {
	// onChange is called with each new set of evacuated domains, in order, with mu held.
	onChange func(domains []string)
	log      logr.Logger

	mu      sync.Mutex
	tracker evacuation.Tracker
}

// step applies an event from a source, which the log names.
func (s *evacuations) step(e evacuation.Event, source string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.tracker.Step(e) {
		return
	}
	set := s.tracker.InForce()
	s.log.Info("evacuations", "failure_domains", set.Domains, "era", set.Version.Era, "revision", set.Version.Revision, "by", source)
	s.onChange(set.Domains)
}

// inForce returns the evacuated domains.
func (s *evacuations) inForce() []string {
	if s == nil {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.tracker.InForce().Domains)
}

// maxEvacuatedBytes bounds the encoded domain names in one packet.
const maxEvacuatedBytes = 300

// addTo adds the set in force to a packet. It reports false if the set does not fit; the
// other instances must then watch the store themselves.
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

// receive applies the set announced in another instance's packet.
func (s *evacuations) receive(p peer.Packet) {
	if s == nil || p.EvacuatedRevision == 0 {
		return
	}
	version := evacuation.Version{Era: p.EvacuatedEra, Revision: p.EvacuatedRevision}
	s.step(evacuation.Announced{Set: evacuation.Set{Version: version, Domains: p.Evacuated}}, p.From)
}

// evacuationsTask watches the objects of evacuated failure domains in the store while the
// holder of the lease does not announce them.
type evacuationsTask struct {
	client store.Client
	kind   store.Kind
	// version parses a resource version of the store.
	version     func(resourceVersion string) (evacuation.Version, error)
	evacuations *evacuations
	// announced tells whether the holder of the lease announces changes in time.
	announced func() bool
	// wait returns how long the store may hold a watch call open.
	wait      func() time.Duration
	now       func() time.Time
	storeLink *storeLink
	log       logr.Logger
}

// byStore names this instance's own watch as the source in the log.
const byStore = "the store"

func (d *evacuationsTask) run(ctx context.Context) {
	if !d.waitWhileAnnounced(ctx) {
		return
	}
	changes := map[string]bool{}
	options := store.WatchOptions{OnFresh: func() { d.storeLink.watchConfirmed(d.kind) }, Now: d.now, WaitNow: d.wait}
	r := store.NewReflector(d.client, d.kind, options,
		func(l store.List) {
			d.storeLink.markReachable()
			clear(changes)
			d.handleList(l)
		},
		func(e store.Event) {
			switch e.Type {
			case store.EventBookmark:
				d.storeLink.markReachable()
				d.handleBookmark(e.Object.Metadata.ResourceVersion, changes)
				clear(changes)
				d.waitWhileAnnounced(ctx)
			default:
				changes[e.Object.Metadata.Name] = e.Type != store.EventDeleted
			}
		},
		func(err error) { d.storeLink.watchFailed(d.kind, err) })
	r.Run(ctx)
}

// waitWhileAnnounced waits for as long as the holder of the lease announces changes. It
// reports false if ctx ended.
func (d *evacuationsTask) waitWhileAnnounced(ctx context.Context) bool {
	for ctx.Err() == nil && d.announced() {
		wait.While(ctx, maxStalePause, d.announced)
	}
	return ctx.Err() == nil
}

func (d *evacuationsTask) handleList(l store.List) {
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

func (d *evacuationsTask) handleBookmark(resourceVersion string, changes map[string]bool) {
	version, err := d.version(resourceVersion)
	if err != nil {
		d.log.Error(err, "evacuations not read")
		return
	}
	d.evacuations.step(evacuation.Changed{Version: version, Domains: maps.Clone(changes)}, byStore)
}
