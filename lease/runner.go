package lease

import (
	"context"
	"encoding/json"
	"sync/atomic"
	"time"

	"github.com/eiderspring/eiderspring/commit"
	"github.com/eiderspring/eiderspring/store"
)

// Runner executes the actions of a Machine against a lease object.
type Runner struct {
	name    string
	machine *Machine
	client  store.Client
	now     func() time.Time
	// changed receives Acquired and Lost.
	changed func(Action)
	// campaign reports, at each tick, whether this instance wants the lease.
	campaign func() bool
	// observe reports whether it is about to want it.
	observe func() bool
	tick    time.Duration
	// callTimeout bounds each call to the store.
	callTimeout time.Duration
	hold        atomic.Pointer[Hold]
	// era returns the store's era; machineEra is the era that the machine was last given.
	era        func() int64
	machineEra int64
}

// Hold is a held lease. Until is a time of this instance's clock.
type Hold struct {
	Epoch int64
	Until time.Time
}

// RunnerConfig sets up a Runner.
type RunnerConfig struct {
	// Name is the lease object's name.
	Name   string
	Lease  Config
	Client store.Client
	Now    func() time.Time
	// Changed receives Acquired and Lost, on the runner's goroutine.
	Changed func(Action)
	// Campaign reports whether this instance wants the lease now.
	Campaign func() bool
	// Observe reports whether the instance is about to want the lease; nil means never.
	Observe func() bool
	// Tick is the time between steps of the machine; 0 means the default.
	Tick time.Duration
	// Era returns the store's newest era; nil for a store that has none.
	Era func() int64
}

// NewRunner returns a runner; Run starts it.
func NewRunner(cfg RunnerConfig) *Runner {
	if cfg.Tick == 0 {
		cfg.Tick = defaultTick
	}
	if cfg.Observe == nil {
		cfg.Observe = func() bool { return false }
	}
	if cfg.Era == nil {
		cfg.Era = func() int64 { return 0 }
	}
	return &Runner{
		tick: cfg.Tick, era: cfg.Era, callTimeout: callTimeout(cfg.Lease),
		name: cfg.Name, machine: NewMachine(cfg.Lease), client: cfg.Client,
		now: cfg.Now, changed: cfg.Changed, campaign: cfg.Campaign, observe: cfg.Observe,
	}
}

// callTimeout returns how long a call may take: a renewal that gets no answer, as on a connection
// that has become silent, is found out and repeated before the lease ends.
func callTimeout(c Config) time.Duration { return (c.Duration - c.ClockDrift - c.RenewEvery) / 2 }

// defaultTick is the default of RunnerConfig.Tick.
const defaultTick = 400 * time.Millisecond

// releaseTimeout bounds the release of the lease at the end of Run.
const releaseTimeout = 2 * time.Second

// Run campaigns until ctx ends, then releases the lease if it is held.
func (r *Runner) Run(ctx context.Context) {
	ticker := time.NewTicker(r.tick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			r.release()
			return
		case <-ticker.C:
			r.step(ctx, Campaign{Want: r.campaign(), Observe: r.observe()})
		}
	}
}

func (r *Runner) release() {
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	r.step(ctx, Campaign{Want: false})
}

// Hold returns the lease that is held, or false if none is. It is safe for concurrent use.
func (r *Runner) Hold() (Hold, bool) {
	if h := r.hold.Load(); h != nil {
		return *h, true
	}
	return Hold{}, false
}

// publishHold updates what Hold returns.
func (r *Runner) publishHold() {
	if !r.machine.held {
		r.hold.Store(nil)
		return
	}
	r.hold.Store(&Hold{Epoch: r.machine.epoch, Until: r.machine.validUntil})
}

// step applies an event and all events that follow from it.
func (r *Runner) step(ctx context.Context, e Event) {
	if era := r.era(); era != r.machineEra {
		// The event may report a read or write of the previous era.
		r.machineEra = era
		r.apply(ctx, EraChanged{Era: era})
		switch e.(type) {
		case Seen, Missing:
			return
		}
	}
	r.apply(ctx, e)
}

func (r *Runner) apply(ctx context.Context, e Event) {
	actions := r.machine.Step(r.now(), e)
	r.publishHold()
	for _, a := range actions {
		switch a := a.(type) {
		case Read:
			if next := r.read(ctx); next != nil {
				r.step(ctx, next)
			}
		case Write:
			r.step(ctx, r.write(ctx, a))
		default:
			r.changed(a)
		}
	}
}

func (r *Runner) read(ctx context.Context) Event {
	ctx, cancel := context.WithTimeout(ctx, r.callTimeout)
	defer cancel()
	o, err := r.client.Get(ctx, store.KindLease, r.name)
	if store.IsNotFound(err) {
		return Missing{}
	}
	var record Record
	if err != nil || json.Unmarshal(o.Spec, &record) != nil {
		return nil
	}
	return Seen{Record: record, Version: o.Metadata.ResourceVersion, Revision: store.RevisionOf(o.Metadata.ResourceVersion)}
}

// write does not resolve an unknown outcome itself: the machine reads the record again.
func (r *Runner) write(ctx context.Context, w Write) Event {
	o, err := store.NewObject(store.KindLease, r.name, w.Record)
	if err != nil {
		return Wrote{Result: commit.Conflict}
	}
	o.Metadata.ResourceVersion = w.Version
	ctx, cancel := context.WithTimeout(ctx, r.callTimeout)
	defer cancel()
	version, result := store.Put(ctx, r.client, o)
	return Wrote{Result: result, Version: version, Revision: store.RevisionOf(version)}
}
