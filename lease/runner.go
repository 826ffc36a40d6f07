package lease

import (
	"context"
	"encoding/json"
	"sync/atomic"
	"time"

	"github.com/eiderspring/eiderspring/commit"
	"github.com/eiderspring/eiderspring/store"
)

// Runner carries out a Machine's actions on a lease object.
type Runner struct {
	name    string
	machine *Machine
	client  store.Client
	now     func() time.Time
	// changed gets Acquired and Lost.
	changed func(Action)
	// campaign tells at each tick whether this instance wants the lease.
	campaign func() bool
	// look tells whether it is about to want it.
	look func() bool
	tick time.Duration
	hold atomic.Pointer[Hold]
	// era returns the store's era, which the machine knows as toldEra.
	era     func() int64
	toldEra int64
}

// Hold is a lease that is held until a moment of this instance's clock.
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
	// Changed gets Acquired and Lost, on the runner's goroutine.
	Changed func(Action)
	// Campaign tells whether this instance wants the lease now.
	Campaign func() bool
	// Observe tells whether it is about to; nil means never.
	Observe func() bool
	// Tick is the time between looks at the lease; 0 means the default.
	Tick time.Duration
	// Era returns the store's newest era; nil for a store that has none.
	Era func() int64
}

// NewRunner returns a runner; Run starts it.
func NewRunner(cfg RunnerConfig) *Runner {
	if cfg.Tick == 0 {
		cfg.Tick = tickEvery
	}
	if cfg.Observe == nil {
		cfg.Observe = func() bool { return false }
	}
	if cfg.Era == nil {
		cfg.Era = func() int64 { return 0 }
	}
	return &Runner{
		tick: cfg.Tick, era: cfg.Era,
		name: cfg.Name, machine: NewMachine(cfg.Lease), client: cfg.Client,
		now: cfg.Now, changed: cfg.Changed, campaign: cfg.Campaign, look: cfg.Observe,
	}
}

// tickEvery is the time between ticks of the machine.
const tickEvery = 400 * time.Millisecond

// releaseTimeout bounds the hand-over at the end of Run.
const releaseTimeout = 2 * time.Second

// Run campaigns until ctx ends, then hands the lease over if it is held.
func (r *Runner) Run(ctx context.Context) {
	ticker := time.NewTicker(r.tick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			r.release()
			return
		case <-ticker.C:
			r.step(ctx, Campaign{Want: r.campaign(), Observe: r.look()})
		}
	}
}

func (r *Runner) release() {
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	r.step(ctx, Campaign{Want: false})
}

// Hold returns the lease as it is held; false if it is not. It may be called
// from any goroutine.
func (r *Runner) Hold() (Hold, bool) {
	if h := r.hold.Load(); h != nil {
		return *h, true
	}
	return Hold{}, false
}

// note keeps what Hold returns.
func (r *Runner) note() {
	if !r.machine.held {
		r.hold.Store(nil)
		return
	}
	r.hold.Store(&Hold{Epoch: r.machine.epoch, Until: r.machine.validUntil})
}

// step runs an event and all that follows from it.
func (r *Runner) step(ctx context.Context, e Event) {
	if era := r.era(); era != r.toldEra {
		// What was read or written may be of the era before.
		r.toldEra = era
		r.carryOut(ctx, EraChanged{Era: era})
		switch e.(type) {
		case Seen, Missing:
			return
		}
	}
	r.carryOut(ctx, e)
}

func (r *Runner) carryOut(ctx context.Context, e Event) {
	actions := r.machine.Step(r.now(), e)
	r.note()
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

// write does not resolve a lost answer itself: the machine reads again.
func (r *Runner) write(ctx context.Context, w Write) Event {
	o, err := store.NewObject(store.KindLease, r.name, w.Record)
	if err != nil {
		return Wrote{Result: commit.Conflict}
	}
	o.Metadata.ResourceVersion = w.Version
	version, result := store.Put(ctx, r.client, o)
	return Wrote{Result: result, Version: version, Revision: store.RevisionOf(version)}
}
