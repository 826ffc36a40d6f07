package store

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/eiderspring/eiderspring/wait"
)

// Reflector keeps a handler up to date with the objects of a kind by listing
// and watching. It is the one watch of an instance on that kind.
type Reflector struct {
	client Client
	kind   Kind
	// replace gets the whole list after each (re)list.
	replace func(List)
	// apply gets each change that follows.
	apply func(Event)
	// fail gets each error that interrupts the watch.
	fail func(error)
	// jitter returns a number in [0,1); it spreads the reconnections of many
	// instances over the retry interval.
	jitter func() float64
}

// Bounds of the pause before a reflector lists again after a failure. With the
// jitter these are what keeps a returning store from meeting every instance
// at once.
const (
	reflectorMinPause = 200 * time.Millisecond
	reflectorMaxPause = 5 * time.Second
)

// NewReflector returns a reflector; Run starts it.
func NewReflector(c Client, kind Kind, replace func(List), apply func(Event), fail func(error)) *Reflector {
	return &Reflector{client: c, kind: kind, replace: replace, apply: apply, fail: fail, jitter: rand.Float64}
}

// Run lists and watches until ctx ends.
func (r *Reflector) Run(ctx context.Context) {
	pause := reflectorMinPause
	for ctx.Err() == nil {
		listed, err := r.listAndWatch(ctx)
		if ctx.Err() != nil {
			return
		}
		r.fail(err)
		if listed {
			pause = reflectorMinPause
		}
		if !wait.For(ctx, time.Duration(float64(pause)*(0.5+r.jitter()))) {
			return
		}
		pause = min(2*pause, reflectorMaxPause)
	}
}

// listAndWatch returns when the watch breaks; listed tells whether the store
// answered the list.
func (r *Reflector) listAndWatch(ctx context.Context) (listed bool, err error) {
	list, err := r.client.List(ctx, r.kind)
	if err != nil {
		return false, err
	}
	r.replace(list)
	version := list.ResourceVersion
	for {
		before := version
		err = r.client.Watch(ctx, r.kind, version, func(e Event) {
			version = e.Object.Metadata.ResourceVersion
			r.apply(e)
		})
		if IsExpired(err) || version == before {
			return true, err
		}
	}
}
