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

// permits enforces at one node the rate limits that endpoints set for all nodes together: it
// requests permits from other instances and grants permits to them. A nil value does nothing.
type permits struct {
	limiter *permit.Limiter
	// requested holds at most one signal that a request needs a permit.
	requested chan struct{}
	router    *routing.Router
	// fleet returns what is known of the other instances.
	fleet func() permit.Fleet
	// sendTo sends a packet to an instance by name, reply to an address.
	sendTo func(p peer.Packet, instance string)
	reply  func(p peer.Packet, address string)
	// wakeWaiting wakes the requests that wait for a permit.
	wakeWaiting func()
	log         logr.Logger
	now         func() time.Time
}

const (
	// permitTick is the longest time between two checks for permits to request.
	permitTick = 20 * time.Millisecond
	// permitForgetInterval is the time between two removals of limits of unlisted endpoints.
	permitForgetInterval = 5 * time.Second
	// maxLimitsShown bounds the limits listed in the metrics.
	maxLimitsShown = 100
	// maxLimitBytes bounds the limit reports in one packet.
	maxLimitBytes = 500
)

func newPermits(instance string, router *routing.Router, log logr.Logger, now func() time.Time) *permits {
	p := &permits{requested: make(chan struct{}, 1), router: router, log: log, now: now}
	p.limiter = permit.NewLimiter(instance, rand.Uint64(), p.signalRequest)
	return p
}

// connect sets the mesh over which p exchanges packets with other instances.
func (p *permits) connect(m *mesh, wakeWaiting func()) {
	p.fleet, p.sendTo, p.wakeWaiting = m.permitIssuers, m.sendTo, wakeWaiting
	p.reply = func(packet peer.Packet, address string) { m.send(m.stamp(packet), []string{address}) }
}

// signalRequest wakes run because a request needs a permit. It never blocks.
func (p *permits) signalRequest() {
	select {
	case p.requested <- struct{}{}:
	default:
	}
}

// run requests the permits that requests wait for, and advances the warm-up of cold endpoints.
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
			p.sendTo(peer.Packet{PermitRequests: []permit.Request{request.Request}, ConfirmReply: request.Request.Seq | 1}, request.To)
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

// awaitRequest returns when a request needs a permit, or after permitTick while any limit is
// known.
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

// isListed tells whether the view lists this incarnation of an endpoint.
func (p *permits) isListed(e permit.LimitKey) bool {
	known := p.router.View().ByName[e.Name]
	return known != nil && known.StartedAtMS == e.StartedAtMS
}

// receive handles the permit requests, grants and limit reports in a packet of another
// instance. It reports whether the packet held requests or grants, and so nothing else.
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

// receiveLimits applies another instance's limit reports.
func (p *permits) receiveLimits(packet peer.Packet) {
	for _, report := range p.limiter.ReceiveReports(p.now(), packet.Limits) {
		if report.Ended {
			p.log.Info("endpoint limit ended", "endpoint", report.Endpoint, "by", packet.From)
			continue
		}
		p.log.Info("endpoint limit", "endpoint", report.Endpoint, "per_second", report.PerSecond, "by", packet.From)
	}
}

// answerRequests grants the permits that another instance requests.
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

// pendingLimits returns the limit reports to send, in at most room bytes.
func (p *permits) pendingLimits(room int) []permit.LimitReport {
	if p == nil {
		return nil
	}
	return p.limiter.PendingReports(p.now(), min(room, maxLimitBytes))
}

// stats returns the limits known to this instance, at most maxLimitsShown.
func (p *permits) stats() permit.Stats { return p.limiter.Stats(p.now(), maxLimitsShown) }
