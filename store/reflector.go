package store

import (
	"context"
	"errors"
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
	// apply gets each change that follows, and bookmarks.
	apply func(Event)
	// fail gets each error that interrupts the watch.
	fail func(error)
	// jitter returns a number in [0,1); it spreads the reconnections of many
	// instances over the retry interval.
	jitter func() float64
	// options are those of its watches.
	options WatchOptions
	// version is where the watch goes on; empty means that a list is needed.
	version string
	// least is the newest version that was known.
	least string
}

// Bounds of the pause before a reflector lists again after a failure. With the
// jitter these are what keeps a returning store from meeting every instance
// at once.
const (
	reflectorMinPause = 200 * time.Millisecond
	reflectorMaxPause = 600 * time.Millisecond
	// reflectorBehindPause is that before a list that may come late.
	reflectorBehindPause = 2 * time.Second
	// MaxFirstRetryDelay is the longest pause before a broken watch goes on while the
	// store answers.
	MaxFirstRetryDelay = reflectorMinPause * 3 / 2
	// MaxRetryDelay is that while it does not.
	MaxRetryDelay = reflectorMaxPause * 3 / 2
	// WatchSlack is how much longer than the store was told to hold a watch its
	// answer may take: a slow store needs up to 0.4 s. A call that nobody answers, as it
	// began while the store was silent or its connection is, is given up then.
	WatchSlack = 600 * time.Millisecond
)

// NewReflector returns a reflector; Run starts it.
func NewReflector(c Client, kind Kind, o WatchOptions, replace func(List), apply func(Event), fail func(error)) *Reflector {
	return &Reflector{client: c, kind: kind, options: o, replace: replace, apply: apply, fail: fail, jitter: rand.Float64}
}

// Run lists and watches until ctx ends.
func (r *Reflector) Run(ctx context.Context) {
	pause := reflectorMinPause
	for ctx.Err() == nil {
		progress, err := r.listAndWatch(ctx)
		if ctx.Err() != nil {
			return
		}
		r.fail(err)
		if progress || IsExpired(err) {
			// The store answers, so there is no outage to spare it in.
			pause = reflectorMinPause
		}
		if !r.pause(ctx, err, pause) {
			return
		}
		pause = min(2*pause, reflectorMaxPause)
	}
}

// pause waits before the next try. Where history is gone all instances have to list
// at once; those that may be behind leave themselves more time, for as long as they
// may be. It reports false if ctx ended first.
func (r *Reflector) pause(ctx context.Context, err error, pause time.Duration) bool {
	spread := 0.5 + r.jitter()
	if IsExpired(err) && r.options.StaleAllowed() {
		return wait.While(ctx, time.Duration(float64(reflectorBehindPause)*spread), r.options.StaleAllowed)
	}
	return wait.For(ctx, time.Duration(float64(pause)*spread))
}

// listAndWatch lists unless a version to go on from is known, and watches until
// the watch breaks. It tells whether the store has answered anything. A version
// that the store no longer keeps is forgotten.
func (r *Reflector) listAndWatch(ctx context.Context) (progress bool, err error) {
	if r.version == "" {
		list, behind, err := r.list(ctx)
		if err != nil {
			return false, err
		}
		r.version, r.least = list.ResourceVersion, list.ResourceVersion
		r.replace(list)
		if !behind {
			r.options.confirm()
		}
		progress = true
	}
	err = r.client.Watch(ctx, r.kind, r.version, r.options, func(e Event) {
		progress = true
		r.version, r.least = e.Object.Metadata.ResourceVersion, e.Object.Metadata.ResourceVersion
		if !e.Stale {
			r.options.confirm()
		}
		r.apply(e)
	})
	if IsExpired(err) {
		r.version = ""
	}
	return progress, err
}

// list asks for the whole list, which may be behind where changes may be and the store
// knows such reads. One that is older than what is known is asked for again, not behind.
func (r *Reflector) list(ctx context.Context) (l List, behind bool, err error) {
	reader, offered := r.client.(StaleReader)
	if offered && r.options.StaleAllowed() {
		asked := r.options.CallTime()
		l, err = reader.ListStale(ctx, r.kind, r.least)
		l.RequestedAt = asked
		if !errors.Is(err, ErrOlder) {
			return l, true, err
		}
	}
	asked := r.options.CallTime()
	l, err = r.client.List(ctx, r.kind)
	l.FreshAsOf, l.RequestedAt = asked, asked
	return l, false, err
}
