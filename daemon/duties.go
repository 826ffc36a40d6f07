package daemon

import (
	"context"
	"math/rand/v2"
	"strconv"
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
type membersDuty struct {
	source *membership.Source
	events *ring.Ring[event]
	log    logr.Logger
}

// membersPause is the pause after a failure to read the list.
const membersPause = 300 * time.Millisecond

func (d *membersDuty) run(ctx context.Context) {
	var version int64
	for ctx.Err() == nil {
		listing, err := d.source.Next(ctx, version)
		if err != nil {
			if ctx.Err() == nil {
				d.log.Info("members not read", "error", err.Error())
			}
			wait.For(ctx, jitter(membersPause))
			continue
		}
		version = listing.Version
		_ = d.events.Put(ctx, membersListed{listing})
	}
}

// loadDuty asks the engines for their load in turn. Its rate does not grow
// with the number of endpoints; reports only become older. While no requests
// come to this instance it asks less often, as nothing is routed by the answers.
type loadDuty struct {
	// requests returns the number of requests so far.
	requests func() int64
	// busy and idle are the reports a second with and without requests.
	busy, idle rate.Limit

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
const idlePause = 100 * time.Millisecond

func (d *loadDuty) run(ctx context.Context) {
	var before int64
	for ctx.Err() == nil {
		asked := 0
		now := d.requests()
		d.limiter.SetLimit(d.idle)
		if now != before {
			d.limiter.SetLimit(d.busy)
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
				go d.ask(ctx, e)
			}
		}
		if asked == 0 {
			wait.For(ctx, idlePause)
		}
	}
}

func (d *loadDuty) pools() map[string]*settings.Pool {
	if c := d.catalog(); c != nil {
		return c.Tree.Pools
	}
	return nil
}

func (d *loadDuty) ask(ctx context.Context, e *routing.Endpoint) {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	own := e.Own()
	report, err := d.client.Load(ctx, e.Name, e.Address)
	if err != nil {
		d.log.V(1).Info("load not reported", "endpoint", e.Name, "error", err.Error())
		return
	}
	_ = d.events.Put(ctx, loadReported{endpoint: e.Name, own: own, report: report})
}

// jitter spreads d by half to either side.
func jitter(d time.Duration) time.Duration { return time.Duration(float64(d) * (0.5 + rand.Float64())) }

// objectNamePart makes a text fit for a part of an object's name.
func objectNamePart(s string) string {
	return strconv.FormatUint(xxhash.Sum64String(s), 16)
}
