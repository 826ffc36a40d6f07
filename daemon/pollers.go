package daemon

import (
	"context"
	"errors"
	"math/rand/v2"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-logr/logr"
	"golang.org/x/time/rate"

	"github.com/eiderspring/eiderspring/engine"
	"github.com/eiderspring/eiderspring/membership"
	"github.com/eiderspring/eiderspring/ring"
	"github.com/eiderspring/eiderspring/routing"
	"github.com/eiderspring/eiderspring/settings"
	"github.com/eiderspring/eiderspring/wait"
)

// membersDuty follows the platform's list.
type membersPoller struct {
	source *membership.Source
	events *ring.Ring[event]
	log    logr.Logger
	// held is told of each answer's version, and of the version on whose word it was
	// asked for, 0 if on none; nil tells nobody.
	onListing func(version, asked int64)
	// told is a version that another instance has and that was not asked for yet.
	announcedVersion atomic.Int64
}

// membersPause is the pause after a failure to read the list.
const membersRetryDelay = 300 * time.Millisecond

func (d *membersPoller) run(ctx context.Context) {
	var version int64
	for ctx.Err() == nil {
		after, asked := version, d.announcedVersion.Swap(0)
		if asked > version {
			// Any list is asked for, so that it answers at once whichever it has.
			after = 0
		} else {
			asked = 0
		}
		listing, err := d.source.Next(ctx, after)
		if err != nil {
			d.handleFailure(ctx, err, version)
			continue
		}
		version = listing.Version
		_ = d.events.Put(ctx, membersListed{listing})
		if d.onListing != nil {
			d.onListing(version, asked)
		}
	}
}

// failed tells of a call without an answer, and pauses unless it was given up to ask
// at once.
func (d *membersPoller) handleFailure(ctx context.Context, err error, version int64) {
	if ctx.Err() != nil {
		return
	}
	if givenUp := (*membership.PollCancelledError)(nil); errors.As(err, &givenUp) {
		d.log.Info("poll given up", "version", version, "told", d.announcedVersion.Load(), "waited_ms", givenUp.Waited.Milliseconds())
		return
	}
	d.log.Info("members not read", "error", err.Error())
	wait.For(ctx, jitter(membersRetryDelay))
}

// ask gives up a call that waits and asks at once, as another instance has that version.
func (d *membersPoller) requestVersion(version int64) {
	d.announcedVersion.Store(version)
	d.source.CancelPoll()
}

// loadDuty asks the engines for their load in turn. Its rate does not grow
// with the number of endpoints; reports only become older. While no requests
// come to this instance it asks less often, as nothing is routed by the answers.
type loadPoller struct {
	// requests returns the number of requests so far.
	requestCount func() int64
	// busy and idle are the reports a second with and without requests.
	activeRate, idleRate rate.Limit

	router  *routing.Router
	client  *engine.Client
	catalog func() *settings.Catalog
	events  *ring.Ring[event]
	limiter *rate.Limiter
	log     logr.Logger
}

// loadTimeout bounds one report.
const loadTimeout = time.Second

// idlePause is the pause while there is no endpoint to ask.
const noEndpointsDelay = 100 * time.Millisecond

func (d *loadPoller) run(ctx context.Context) {
	var before int64
	for ctx.Err() == nil {
		asked := 0
		now := d.requestCount()
		d.limiter.SetLimit(d.idleRate)
		if now != before {
			d.limiter.SetLimit(d.activeRate)
		}
		before = now
		for name, pool := range d.pools() {
			if pool.Kind != settings.KindEngine {
				continue
			}
			for _, e := range d.router.View().Pools[name] {
				if d.limiter.Wait(ctx) != nil {
					return
				}
				asked++
				go d.poll(ctx, e)
			}
		}
		if asked == 0 {
			wait.For(ctx, noEndpointsDelay)
		}
	}
}

func (d *loadPoller) pools() map[string]*settings.Pool {
	if c := d.catalog(); c != nil {
		return c.Tree.Pools
	}
	return nil
}

func (d *loadPoller) poll(ctx context.Context, e *routing.Endpoint) {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	own := e.OwnInFlight()
	report, err := d.client.Load(ctx, e.Name, e.Address)
	if err != nil {
		d.log.V(1).Info("load not reported", "endpoint", e.Name, "error", err.Error())
		return
	}
	_ = d.events.Put(ctx, loadReported{endpoint: e.Name, ownInFlight: own, report: report})
}

// jitter spreads d by half to either side.
func jitter(d time.Duration) time.Duration { return time.Duration(float64(d) * (0.5 + rand.Float64())) }

// objectNamePart makes a text fit for a part of an object's name.
func hashedNamePart(s string) string {
	return strconv.FormatUint(xxhash.Sum64String(s), 16)
}
