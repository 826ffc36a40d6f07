package store

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/eiderspring/eiderspring/wait"
)

// Reflector keeps a handler up to date with the objects of a kind by listing and watching
// them. An instance has one for each kind that it watches.
type Reflector struct {
	client Client
	kind   Kind
	// replace receives the complete list after each list or relist.
	replace func(List)
	// apply receives each subsequent change and bookmark.
	apply func(Event)
	// fail receives each error that interrupts the watch.
	fail func(error)
	// jitter returns a random number in [0,1), which spreads the reconnections of many
	// instances over the retry interval.
	jitter func() float64
	// options are the options of its watches.
	options WatchOptions
	// version is the resource version from which to watch; empty means that a list is needed.
	version string
	// newestVersion is the newest resource version received. It is kept when version is reset.
	newestVersion string
	// firstLists is the number of calls for the first list.
	firstLists int
}

// Bounds of the delay before a Reflector retries after a failure, before jitter. Together
// with the jitter they prevent all instances from reconnecting at once to a store that has
// recovered.
const (
	minRetryDelay = 200 * time.Millisecond
	maxRetryDelay = 600 * time.Millisecond
	// staleRelistDelay is the delay before a relist that may be stale.
	staleRelistDelay = 2 * time.Second
	// MaxFirstRetryDelay is the maximum delay, with jitter, before a broken watch resumes
	// while the store answers.
	MaxFirstRetryDelay = minRetryDelay * 3 / 2
	// MaxRetryDelay is the maximum delay, with jitter, while the store does not answer.
	MaxRetryDelay = maxRetryDelay * 3 / 2
	// WatchSlack is the time that the answer to a long poll may take beyond the time for
	// which the store may hold it: a slow store needs up to 0.4 s. It also bounds how long
	// a call lasts that is never answered because it was made while the store was silent
	// or on a connection that is.
	WatchSlack = 600 * time.Millisecond
)

// NewReflector returns a Reflector; Run starts it.
func NewReflector(c Client, kind Kind, o WatchOptions, replace func(List), apply func(Event), fail func(error)) *Reflector {
	return &Reflector{client: c, kind: kind, options: o, replace: replace, apply: apply, fail: fail, jitter: rand.Float64}
}

// Run lists and watches until ctx is done.
func (r *Reflector) Run(ctx context.Context) {
	delay := minRetryDelay
	for ctx.Err() == nil {
		progress, err := r.listAndWatch(ctx)
		if ctx.Err() != nil {
			return
		}
		r.fail(err)
		if progress || IsExpired(err) {
			// The store answers, so backing off further is not necessary.
			delay = minRetryDelay
		}
		if !r.backOff(ctx, err, delay) {
			return
		}
		delay = min(2*delay, maxRetryDelay)
	}
}

// backOff waits before the next attempt. When the store has dropped its history, all
// instances have to relist at the same time; those that accept stale answers wait longer,
// but only while stale answers are allowed. It reports false if ctx is done first.
func (r *Reflector) backOff(ctx context.Context, err error, delay time.Duration) bool {
	spread := 0.5 + r.jitter()
	if IsExpired(err) && r.options.StaleAllowed() {
		return wait.While(ctx, time.Duration(float64(staleRelistDelay)*spread), r.options.StaleAllowed)
	}
	return wait.For(ctx, time.Duration(float64(delay)*spread))
}

// listAndWatch lists, unless a version to watch from is known, and watches until the watch
// breaks. It reports whether the store has returned a list or an event. It resets a version
// that the store no longer keeps.
func (r *Reflector) listAndWatch(ctx context.Context) (progress bool, err error) {
	if r.version == "" {
		list, stale, err := r.list(ctx)
		if err != nil {
			return false, err
		}
		r.version, r.newestVersion = list.ResourceVersion, list.ResourceVersion
		r.replace(list)
		if !stale {
			r.options.confirm()
		}
		progress = true
	}
	err = r.client.Watch(ctx, r.kind, r.version, r.options, func(e Event) {
		progress = true
		r.version, r.newestVersion = e.Object.Metadata.ResourceVersion, e.Object.Metadata.ResourceVersion
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

// withFirstListTimeout bounds a call for the first list as the options say.
func (r *Reflector) withFirstListTimeout(ctx context.Context) (context.Context, context.CancelFunc) {
	if r.newestVersion != "" || r.options.FirstListTimeout == 0 {
		return ctx, func() {}
	}
	r.firstLists++
	if r.firstLists%2 == 0 {
		return ctx, func() {}
	}
	return context.WithTimeout(ctx, r.options.FirstListTimeout)
}

// list requests the complete list. It accepts a stale list if stale answers are allowed and
// the client offers them; if that list is older than what is known, it requests a list that
// is not stale.
func (r *Reflector) list(ctx context.Context) (l List, stale bool, err error) {
	ctx, cancel := r.withFirstListTimeout(ctx)
	defer cancel()
	reader, offered := r.client.(StaleReader)
	if offered && r.options.StaleAllowed() {
		requestedAt := r.options.CallTime()
		l, err = reader.ListStale(ctx, r.kind, r.newestVersion)
		l.RequestedAt = requestedAt
		if !errors.Is(err, ErrOlder) {
			return l, true, err
		}
	}
	requestedAt := r.options.CallTime()
	l, err = r.client.List(ctx, r.kind)
	l.FreshAsOf, l.RequestedAt = requestedAt, requestedAt
	return l, false, err
}
