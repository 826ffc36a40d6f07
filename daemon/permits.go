package daemon

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/go-logr/logr"

	"github.com/eiderspring/eiderspring/peer"
	"github.com/eiderspring/eiderspring/permit"
	"github.com/eiderspring/eiderspring/routing"
)

// permits is a node's part in the limits that endpoints name for all nodes: it asks other
// instances for permits, and answers them. A nil one does nothing.
type permits struct {
	local *permit.Limiter
	// wake holds at most one wish for a permit.
	wake   chan struct{}
	router *routing.Router
	// fleet is what is known of the other instances.
	fleet func() permit.Fleet
	// tell sends a packet to an instance, by name, answer to an address.
	tell   func(p peer.Packet, instance string)
	answer func(p peer.Packet, address string)
	// kick lets requests go on that waited for a permit.
	kick func()
	log  logr.Logger
	now  func() time.Time
}

const (
	// permitTick is the time between two looks at what is to be asked.
	permitTick = 20 * time.Millisecond
	// permitForget is the time between two looks at what endpoints are gone.
	permitForget = 5 * time.Second
	// maxLimitsShown bounds the limits that the metrics list.
	maxLimitsShown = 100
	// maxLimitBytes bounds what one packet tells of limits.
	maxLimitBytes = 500
)

func newPermits(instance string, router *routing.Router, log logr.Logger, now func() time.Time) *permits {
	p := &permits{wake: make(chan struct{}, 1), router: router, log: log, now: now}
	p.local = permit.NewLimiter(instance, rand.Uint64(), p.wanted)
	return p
}

// connect joins the part to the link between instances.
func (p *permits) connect(m *mesh, kick func()) {
	p.fleet, p.tell, p.kick = m.permitIssuers, m.sendTo, kick
	p.answer = func(packet peer.Packet, address string) { m.send(m.stamp(packet), []string{address}) }
}

// wanted is told that a request wants a permit.
func (p *permits) wanted() {
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// run asks for what is wanted.
func (p *permits) run(ctx context.Context) {
	forgotten := p.now()
	for ctx.Err() == nil {
		p.await(ctx)
		p.local.SetFleet(p.fleet())
		warm := p.local.AdvanceWarmUp(p.now())
		for _, e := range warm {
			p.log.Info("endpoint warm", "endpoint", e.Name)
		}
		asks, got := p.local.PendingRequests(p.now())
		for _, a := range asks {
			p.tell(peer.Packet{PermitRequests: []permit.Request{a.Ask}, ConfirmReply: a.Ask.Seq | 1}, a.To)
		}
		if got || len(warm) > 0 {
			p.kick()
		}
		if p.now().Sub(forgotten) >= permitForget {
			forgotten = p.now()
			p.local.ForgetUnlisted(forgotten, p.listed)
		}
	}
}

// await returns when a permit is wanted, or after a while if one may have been.
func (p *permits) await(ctx context.Context) {
	if p.local.AnyLimit() {
		ctx, cancel := context.WithTimeout(ctx, permitTick)
		defer cancel()
		p.awaitWake(ctx)
		return
	}
	p.awaitWake(ctx)
}

func (p *permits) awaitWake(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-p.wake:
	}
}

// listed tells whether an endpoint is listed as it was started.
func (p *permits) listed(e permit.LimitKey) bool {
	known := p.router.View().ByName[e.Name]
	return known != nil && known.StartedAtMS == e.StartedAtMS
}

// heard takes what a packet of another instance asks, answers or tells of limits. It tells
// whether the packet was an ask or an answer, which tells nothing else.
func (p *permits) heard(packet peer.Packet) (done bool) {
	if p == nil {
		return false
	}
	p.local.RecordContact(packet.From, packet.Process)
	if len(packet.PermitRequests) == 0 && len(packet.Grants) == 0 {
		p.told(packet)
		return false
	}
	p.grant(packet)
	for _, g := range packet.Grants {
		if p.local.ReceiveGrant(p.now(), packet.From, g) {
			p.kick()
		}
	}
	return true
}

// told takes the words of another instance on limits.
func (p *permits) told(packet peer.Packet) {
	for _, w := range p.local.ReceiveReports(p.now(), packet.Limits) {
		if w.Ended {
			p.log.Info("endpoint limit ended", "endpoint", w.Endpoint, "by", packet.From)
			continue
		}
		p.log.Info("endpoint limit", "endpoint", w.Endpoint, "per_second", w.PerSecond, "by", packet.From)
	}
}

// grant answers what another instance asks.
func (p *permits) grant(packet peer.Packet) {
	var grants []permit.Grant
	for _, a := range packet.PermitRequests {
		if g, answered := p.local.HandleRequest(p.now(), a); answered {
			grants = append(grants, g)
		}
	}
	if len(grants) > 0 {
		p.answer(peer.Packet{Grants: grants, ConfirmReply: grants[0].Seq | 1}, packet.Address)
	}
}

// words returns what is to be told of limits, in so many bytes.
func (p *permits) words(room int) []permit.LimitReport {
	if p == nil {
		return nil
	}
	return p.local.PendingReports(p.now(), min(room, maxLimitBytes))
}

// stats returns the limits that are known here.
func (p *permits) stats() permit.Stats { return p.local.Stats(p.now(), maxLimitsShown) }
