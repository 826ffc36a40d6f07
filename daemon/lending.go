package daemon

import (
	"context"
	"slices"
	"time"

	"github.com/go-logr/logr"

	"github.com/eiderspring/eiderspring/credit"
	"github.com/eiderspring/eiderspring/peer"
	"github.com/eiderspring/eiderspring/pipeline"
	"github.com/eiderspring/eiderspring/routing"
)

// lending lends places of contended endpoints to other nodes, and borrows them for this one. A
// nil value does nothing.
type lending struct {
	instance string
	lender   *credit.Lender
	// changed holds at most one signal that there may be messages to send.
	changed chan struct{}
	gates   *pipeline.Gates
	router  *routing.Router
	// fleet returns what is known of the other instances; sendTo sends a packet to one of them.
	fleet  func() credit.Fleet
	sendTo func(p peer.Packet, instance string)
	log    logr.Logger
	now    func() time.Time

	// The fields below belong to the goroutine of run: when the last signal came, when the fleet
	// and the contended endpoints were last looked at, and which were contended then.
	signalledAt, fleetAt, loggedAt time.Time
	contended                      map[string]credit.EndpointStats
	// lentPools are the pools whose places were lent then.
	lentPools map[string]bool
	// seq numbers the packets with messages.
	seq uint64
}

const (
	// lendingIdleTick is the longest time between two ticks of the lender after no message has
	// passed for lendingIdleAfter.
	lendingIdleTick  = 50 * time.Millisecond
	lendingIdleAfter = 5 * time.Second
	// lendingFleetInterval is the time between two looks at which instances may lend.
	lendingFleetInterval = 200 * time.Millisecond
	// lendingLogInterval is the time between two looks for endpoints to log.
	lendingLogInterval = 500 * time.Millisecond
	// maxContendedLogged bounds the endpoints whose contention is logged, maxContendedShown those
	// in the metrics.
	maxContendedLogged = 1000
	maxContendedShown  = 100
)

// newLending returns the lending of a node; nil if its configuration has none.
func newLending(cfg NodeConfig, process string, router *routing.Router, gates *pipeline.Gates, log logr.Logger, now func() time.Time) *lending {
	if cfg.Lending.InstancesAbove == 0 {
		return nil
	}
	l := &lending{instance: cfg.Instance, changed: make(chan struct{}, 1), gates: gates, router: router, log: log, now: now,
		contended: map[string]credit.EndpointStats{}, lentPools: map[string]bool{}}
	l.lender = credit.NewLender(credit.Config{Self: cfg.Instance, Process: process, OnWant: l.signal, Running: router.Running, MayQueue: router.MayQueue})
	router.SetLending(routing.Lending{Lender: l.lender, InstancesAbove: cfg.Lending.InstancesAbove, Now: now})
	return l
}

// signal wakes run. It never blocks.
func (l *lending) signal() {
	select {
	case l.changed <- struct{}{}:
	default:
	}
}

// run exchanges asks and grants with the other instances until ctx ends.
func (l *lending) run(ctx context.Context) {
	if l == nil {
		return
	}
	for ctx.Err() == nil {
		l.await(ctx)
		l.tick()
	}
}

// await returns after a signal, or when the next tick is due.
func (l *lending) await(ctx context.Context) {
	interval := credit.TickInterval
	if l.now().Sub(l.signalledAt) >= lendingIdleAfter {
		interval = lendingIdleTick
	}
	timer := time.NewTimer(interval)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-l.changed:
		l.signalledAt = l.now()
	}
}

// tick sends what the lender has to send, wakes the requests that may start, and refuses those
// that cannot.
func (l *lending) tick() {
	now := l.now()
	if now.Sub(l.fleetAt) >= lendingFleetInterval {
		l.fleetAt = now
		f := l.fleet()
		slices.Sort(f.Members)
		l.lender.SetFleet(f)
	}
	out, wake, verdicts := l.lender.Tick(now)
	for _, message := range out {
		l.send(message)
	}
	for _, v := range verdicts {
		l.refuse(v)
	}
	if wake {
		l.gates.Wake()
	}
	if now.Sub(l.loggedAt) >= lendingLogInterval {
		l.loggedAt = now
		l.logContended(now)
		l.logPools(now)
	}
}

// send sends a message to its instance. The ConfirmReply makes releases that know of no credits
// ignore the packet.
func (l *lending) send(message credit.Outgoing) {
	l.seq++
	p := peer.Packet{ConfirmReply: l.seq | 1}
	if message.Ask != nil {
		p.CreditAsks = []credit.Ask{*message.Ask}
	}
	if message.Grant != nil {
		p.CreditGrants = []credit.Grant{*message.Grant}
	}
	l.sendTo(p, message.To)
}

// refuse ends the wait of a request that cannot start in its time.
func (l *lending) refuse(v credit.Verdict) {
	if !l.gates.Refuse(v.ID, v.RetryAfter, v.Issuer) {
		return
	}
	l.log.V(1).Info("wait ended by lender", "number", v.ID, "endpoint", v.Endpoint, "lender", v.Issuer, "retry_after_ms", v.RetryAfter.Milliseconds())
}

// receive handles the asks and grants in a packet of another instance. It reports whether the
// packet held any, and so nothing else.
func (l *lending) receive(p peer.Packet) (consumed bool) {
	if len(p.CreditAsks) == 0 && len(p.CreditGrants) == 0 {
		return false
	}
	if l == nil {
		return true
	}
	for _, ask := range p.CreditAsks {
		l.lender.ReceiveAsk(l.now(), p.From, p.Process, ask)
	}
	for _, grant := range p.CreditGrants {
		l.lender.ReceiveGrant(l.now(), p.From, grant)
	}
	l.signal()
	return true
}

// logContended logs which endpoints have begun or ceased to be contended: those that this instance
// lends, and those at which it has requests.
func (l *lending) logContended(now time.Time) {
	contended := map[string]credit.EndpointStats{}
	for name, e := range l.lender.Stats(now, maxContendedLogged).Endpoints {
		_, logged := l.contended[name]
		concerned := logged || e.Issuer == l.instance || e.Running+e.Waiting > 0
		if e.Contended && concerned {
			contended[name] = e
		}
	}
	for name, e := range contended {
		if before, known := l.contended[name]; !known || before.Issuer != e.Issuer {
			l.log.Info("endpoint contended", "endpoint", name, "lender", e.Issuer, "running", e.Running, "waiting", e.Waiting)
		}
	}
	for name := range l.contended {
		if _, still := contended[name]; !still {
			l.log.Info("endpoint contention ended", "endpoint", name)
		}
	}
	l.contended = contended
}

// logPools logs of which pools this instance has begun or ceased to count places as lent.
func (l *lending) logPools(now time.Time) {
	for pool := range l.router.View().Pools {
		lent := l.router.LendsPlaces(now, pool)
		if lent != l.lentPools[pool] {
			l.log.Info("lending of pool", "pool", pool, "lent", lent, "service_ms", l.router.MeanServiceTime(now, pool).Milliseconds())
		}
		l.lentPools[pool] = lent
	}
}

// stats returns the places that this instance borrows and lends.
func (l *lending) stats() credit.Stats {
	if l == nil {
		return credit.Stats{}
	}
	return l.lender.Stats(l.now(), maxContendedShown)
}
