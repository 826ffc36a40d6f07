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
	limiter *permit.Limiter
	// wake holds at most one wish for a permit.
	requested chan struct{}
	router    *routing.Router
	// fleet is what is known of the other instances.
	fleet func() permit.Fleet
	// tell sends a packet to an instance, by name, answer to an address.
	sendTo func(p peer.Packet, instance string)
	reply  func(p peer.Packet, address string)
	// kick lets requests go on that waited for a permit.
	wakeWaiting func()
	log         logr.Logger
	now         func() time.Time
}

const (
	// permitTick is the time between two looks at what is to be asked.
	permitTick = 20 * time.Millisecond
	// permitForget is the time between two looks at what endpoints are gone.
	permitForgetInterval = 5 * time.Second
	// maxLimitsShown bounds the limits that the metrics list.
	maxLimitsShown = 100
	// maxLimitBytes bounds what one packet tells of limits.
	maxLimitBytes = 500
)

func newPermits(instance string, router *routing.Router, log logr.Logger, now func() time.Time) *permits {
	p := &permits{requested: make(chan struct{}, 1), router: router, log: log, now: now}
	p.limiter = permit.NewLimiter(instance, rand.Uint64(), p.signalRequest)
	return p
}

// connect joins the part to the link between instances.
func (p *permits) connect(m *mesh, wakeWaiting func()) {
	p.fleet, p.sendTo, p.wakeWaiting = m.permitIssuers, m.sendTo, wakeWaiting
	p.reply = func(packet peer.Packet, address string) { m.send(m.stamp(packet), []string{address}) }
}

// wanted is told that a request wants a permit.
func (p *permits) signalRequest() {
	select {
	case p.requested <- struct{}{}:
	default:
	}
}

// run asks for what is wanted.
func (p *permits) run(ctx context.Context) {
	prunedAt := p.now()
	for ctx.Err() == nil {
		p.awaitRequest(ctx)
		p.limiter.SetFleet(p.fleet())
		warm := p.limiter.AdvanceWarmUp(p.now())
		for _, e := range warm {
			p.log.Info("endpoint warm", "endpoint", e.Name)
		}
		requests, granted := p.limiter.PendingRequests(p.now())
		for _, request := range requests {
			p.sendTo(peer.Packet{PermitRequests: []permit.Request{request.Ask}, ConfirmReply: request.Ask.Seq | 1}, request.To)
		}
		if granted || len(warm) > 0 {
			p.wakeWaiting()
		}
		if p.now().Sub(prunedAt) >= permitForgetInterval {
			prunedAt = p.now()
			p.limiter.ForgetUnlisted(prunedAt, p.isListed)
		}
	}
}

// await returns when a permit is wanted, or after a while if one may have been.
func (p *permits) awaitRequest(ctx context.Context) {
	if p.limiter.AnyLimit() {
		ctx, cancel := context.WithTimeout(ctx, permitTick)
		defer cancel()
		p.awaitSignal(ctx)
		return
	}
	p.awaitSignal(ctx)
}

func (p *permits) awaitSignal(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-p.requested:
	}
}

// listed tells whether an endpoint is listed as it was started.
func (p *permits) isListed(e permit.LimitKey) bool {
	known := p.router.View().ByName[e.Name]
	return known != nil && known.StartedAtMS == e.StartedAtMS
}

// heard takes what a packet of another instance asks, answers or tells of limits. It tells
// whether the packet was an ask or an answer, which tells nothing else.
func (p *permits) receive(packet peer.Packet) (consumed bool) {
	if p == nil {
		return false
	}
	p.limiter.RecordContact(packet.From, packet.Process)
	if len(packet.PermitRequests) == 0 && len(packet.Grants) == 0 {
		p.receiveLimits(packet)
		return false
	}
	p.answerRequests(packet)
	for _, g := range packet.Grants {
		if p.limiter.ReceiveGrant(p.now(), packet.From, g) {
			p.wakeWaiting()
		}
	}
	return true
}

// told takes the words of another instance on limits.
func (p *permits) receiveLimits(packet peer.Packet) {
	for _, report := range p.limiter.ReceiveReports(p.now(), packet.Limits) {
		if report.Ended {
			p.log.Info("endpoint limit ended", "endpoint", report.Endpoint, "by", packet.From)
			continue
		}
		p.log.Info("endpoint limit", "endpoint", report.Endpoint, "per_second", report.PerSecond, "by", packet.From)
	}
}

// grant answers what another instance asks.
func (p *permits) answerRequests(packet peer.Packet) {
	var grants []permit.Grant
	for _, request := range packet.PermitRequests {
		if g, answered := p.limiter.HandleRequest(p.now(), request); answered {
			grants = append(grants, g)
		}
	}
	if len(grants) > 0 {
		p.reply(peer.Packet{Grants: grants, ConfirmReply: grants[0].Seq | 1}, packet.Address)
	}
}

// words returns what is to be told of limits, in so many bytes.
func (p *permits) pendingLimits(room int) []permit.LimitReport {
	if p == nil {
		return nil
	}
	return p.limiter.PendingReports(p.now(), min(room, maxLimitBytes))
}

// stats returns the limits that are known here.
func (p *permits) stats() permit.Stats { return p.limiter.Stats(p.now(), maxLimitsShown) }
