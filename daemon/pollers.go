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

// membersPoller follows the platform's member list by long polls.
type membersPoller struct {
	source *membership.Source
	events *ring.Ring[event]
	log    logr.Logger
	// onListing, if not nil, is called with the version of each answer and with the
	// announced version that prompted the call, 0 if none did.
	onListing func(version, requested int64)
	// announcedVersion is a version that another instance has and that was not requested
	// yet, or 0.
	announcedVersion atomic.Int64
}

// membersRetryDelay is the mean delay before the next call after a failed one.
const membersRetryDelay = 300 * time.Millisecond

func (p *membersPoller) run(ctx context.Context) {
	var version int64
	for ctx.Err() == nil {
		after, requested := version, p.announcedVersion.Swap(0)
		if requested > version {
			// Version 0 makes the platform answer at once, whichever version it has.
			after = 0
		} else {
			requested = 0
		}
		listing, err := p.source.Next(ctx, after)
		if err != nil {
			p.handleFailure(ctx, err, version)
			continue
		}
		version = listing.Version
		_ = p.events.Put(ctx, membersListed{listing})
		if p.onListing != nil {
			p.onListing(version, requested)
		}
	}
}

// handleFailure logs a call without an answer and delays the next one, unless the call was
// cancelled in order to poll again at once.
func (p *membersPoller) handleFailure(ctx context.Context, err error, version int64) {
	if ctx.Err() != nil {
		return
	}
	if cancelled := (*membership.PollCancelledError)(nil); errors.As(err, &cancelled) {
		p.log.Info("long poll of the member list cancelled", "version", version, "told", p.announcedVersion.Load(), "waited_ms", cancelled.Waited.Milliseconds())
		return
	}
	p.log.Info("member list request failed", "error", err.Error())
	wait.For(ctx, jitter(membersRetryDelay))
}

// requestVersion cancels a pending long poll and polls again at once, as another instance
// has that version of the list.
func (p *membersPoller) requestVersion(version int64) {
	p.announcedVersion.Store(version)
	p.source.CancelPoll()
}

// loadPoller requests load reports from the engines in turn. Its rate does not grow
// with the number of endpoints; reports only become older. It polls less often while
// this instance gets no requests, as the reports are not used for routing then.
type loadPoller struct {
	// requestCount returns the number of requests received so far.
	requestCount func() int64
	// activeRate and idleRate are the polls per second with and without requests.
	activeRate, idleRate rate.Limit

	router  *routing.Router
	client  *engine.Client
	catalog func() *settings.Catalog
	events  *ring.Ring[event]
	limiter *rate.Limiter
	log     logr.Logger
}

// loadTimeout bounds the request for one report.
const loadTimeout = time.Second

// noEndpointsDelay is the delay before the next round while there is no endpoint to poll.
const noEndpointsDelay = 100 * time.Millisecond

func (p *loadPoller) run(ctx context.Context) {
	var before int64
	for ctx.Err() == nil {
		polled := 0
		now := p.requestCount()
		p.limiter.SetLimit(p.idleRate)
		if now != before {
			p.limiter.SetLimit(p.activeRate)
		}
		before = now
		for name, pool := range p.pools() {
			if pool.Kind != settings.KindEngine {
				continue
			}
			for _, e := range p.router.View().Pools[name] {
				if p.limiter.Wait(ctx) != nil {
					return
				}
				polled++
				go p.poll(ctx, e)
			}
		}
		if polled == 0 {
			wait.For(ctx, noEndpointsDelay)
		}
	}
}

func (p *loadPoller) pools() map[string]*settings.Pool {
	if c := p.catalog(); c != nil {
		return c.Tree.Pools
	}
	return nil
}

func (p *loadPoller) poll(ctx context.Context, e *routing.Endpoint) {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	own := e.OwnInFlight()
	report, err := p.client.Load(ctx, e.Name, e.Address)
	if err != nil {
		p.log.V(1).Info("load report request failed", "endpoint", e.Name, "error", err.Error())
		return
	}
	_ = p.events.Put(ctx, loadReported{endpoint: e.Name, ownInFlight: own, report: report})
}

// jitter returns a uniformly random duration between half and one and a half of d.
func jitter(d time.Duration) time.Duration { return time.Duration(float64(d) * (0.5 + rand.Float64())) }

// hashedNamePart hashes s to a text that is valid as part of an object's name.
func hashedNamePart(s string) string {
	return strconv.FormatUint(xxhash.Sum64String(s), 16)
}
