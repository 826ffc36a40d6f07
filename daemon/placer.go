package daemon

import (
	"context"
	"errors"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/go-logr/logr"

	"github.com/eiderspring/eiderspring/broadcast"
	"github.com/eiderspring/eiderspring/lease"
	"github.com/eiderspring/eiderspring/membership"
	"github.com/eiderspring/eiderspring/peer"
	"github.com/eiderspring/eiderspring/placement/counted"
	"github.com/eiderspring/eiderspring/ring"
	"github.com/eiderspring/eiderspring/settings"
	"github.com/eiderspring/eiderspring/store"
	"github.com/eiderspring/eiderspring/wait"
)

// EngineControl reads reports of engines and sends them orders. Send's error is for the log; the result alone
// says what became of the order.
type EngineControl interface {
	Report(ctx context.Context, endpoint, address string) (*counted.Report, error)
	Send(ctx context.Context, endpoint, address string, o counted.Order) (counted.Result, error)
}

const (
	// placerEvents bounds the events that wait for a placer's controller.
	placerEventsCapacity = 1024
	// placerTick is the time between ticks of a controller that may order,
	// placerIdle that of one that may not.
	placerTick = 50 * time.Millisecond
	placerIdle = 500 * time.Millisecond
	// leaseDuration is how long a placer's lease lasts, leaseRenewal the time
	// between renewals. Short ones keep the time without a holder short.
	leaseDuration = 1800 * time.Millisecond
	leaseRenewal  = 500 * time.Millisecond
	// leaseDrift is what a challenger waits longer, and a holder stops earlier.
	leaseDrift = 200 * time.Millisecond
	// leaseLook is the time between two looks at the lease.
	leaseCheckInterval = 100 * time.Millisecond
	// orderMargin is how long before the end of its lease a holder stops to
	// order: an order takes a moment to arrive, and a successor waits from there.
	orderMargin = 300 * time.Millisecond
	// reportTimeout bounds one report.
	reportTimeout = time.Second
	// orderAnswer bounds the wait for the answer to an order, which comes within
	// milliseconds. Whatever becomes of one that was not answered, its count lets at
	// most one order take effect, so the next may be sent at once.
	orderReplyTimeout = 300 * time.Millisecond
)

// placer runs the controller of one pool of engines, and the lease by which at
// most one instance orders there.
type placer struct {
	pool       string
	controls   EngineControl
	controller *counted.Controller
	runner     *lease.Runner
	events     *ring.Ring[counted.Event]
	inputs     placerInputs
	log        logr.Logger
	now        func() time.Time
	// place tells all instances what endpoints hold.
	announce func([]outgoingPlacement)
	// orderLease is how long an endpoint must have had no order of another
	// holder.
	orderLease time.Duration
}

// put adds an event of the placer's own doing.
func (p *placer) put(e counted.Event) { _ = p.events.Put(context.Background(), e) }

// tell tells the placer news from outside, and never waits.
func (p *placer) notify(e counted.Event) {
	p.inputs.add(e)
	// A full ring means that the placer is busy and looks at its news next.
	p.events.Offer(counted.Tick{})
}

func (p *placer) leaseChanged(a lease.Action) {
	switch a := a.(type) {
	case lease.Acquired:
		p.log.Info("lease acquired", "epoch", a.Epoch)
		p.put(counted.LeaseAcquired{Epoch: a.Epoch, HasPredecessor: a.Epoch > 1, OrderDelay: p.takeoverWait(a.Expired)})
	case lease.Lost:
		p.log.Info("lease lost", "epoch", a.Epoch)
		p.put(counted.LeaseLost{})
	}
}

// orderFlight is how long an order may be on its way.
const maxOrderFlight = 200 * time.Millisecond

// takeoverWait is how long a successor waits with its first order, so that the
// former holder's last one is orderLease old. A lease that was handed over may
// have been used until then. One that lapsed was used for orders until
// orderMargin before its end, and was taken a drift of either clock behind it.
func (p *placer) takeoverWait(lapsed bool) time.Duration {
	wait := p.orderLease + maxOrderFlight
	if lapsed {
		wait -= orderMargin + 2*leaseDrift
	}
	return max(wait, 0)
}

func (p *placer) run(ctx context.Context) {
	go p.tick(ctx)
	for {
		e, err := p.events.Take(ctx)
		if err != nil {
			p.events.Close()
			return
		}
		for _, input := range p.inputs.take() {
			p.execute(ctx, p.controller.Step(p.now(), input))
		}
		p.execute(ctx, p.controller.Step(p.now(), e))
	}
}

func (p *placer) tick(ctx context.Context) {
	for ctx.Err() == nil {
		pause := placerIdle
		if _, held := p.runner.Hold(); held {
			pause = placerTick
		}
		wait.For(ctx, pause)
		p.put(counted.Tick{})
	}
}

func (p *placer) execute(ctx context.Context, actions []counted.Action) {
	var announcements []outgoingPlacement
	for _, a := range actions {
		switch a := a.(type) {
		case counted.RequestReport:
			go p.requestReport(ctx, a)
		case counted.SendOrder:
			go p.send(ctx, a)
		case counted.AnnounceUnits:
			announcements = append(announcements, outgoingPlacement{
				Placement: peer.Placement{Epoch: p.heldEpoch(), Endpoint: a.Endpoint, StartedAtMS: a.StartedAtMS, Units: a.Units, Draining: a.Draining},
				urgency:   urgencyOf(a.Change),
			})
		case counted.LogMove:
			m := a.Move
			p.log.Info("place", "op", m.Op, "unit", m.Unit, "endpoint", m.Endpoint, "reason", m.Reason, "for", m.For,
				"replicas", m.Replicas, "share", m.Share, "waiting", m.Waiting)
		case counted.LogEvent:
			p.log.Info("placement", "event", a.Event, "endpoint", a.Endpoint, "unit", a.Unit, "detail", a.Detail)
		}
	}
	if len(announcements) > 0 {
		p.announce(announcements)
	}
}

// urgencyOf is how soon the others need to know.
func urgencyOf(change counted.Change) broadcast.Urgency {
	switch change {
	case counted.UnitsWithdrawn:
		return broadcast.Withdrawn
	case counted.UnitsAdded:
		return broadcast.Changed
	default:
		return broadcast.Refresh
	}
}

func (p *placer) heldEpoch() int64 {
	h, _ := p.runner.Hold()
	return h.Epoch
}

func (p *placer) requestReport(ctx context.Context, a counted.RequestReport) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	requestedAt := p.now()
	r, err := p.controls.Report(ctx, a.Endpoint, a.Address)
	if err != nil {
		p.log.V(1).Info("no report", "endpoint", a.Endpoint, "error", err.Error())
	}
	p.put(counted.ReportReply{
		Endpoint: a.Endpoint, StartedAtMS: a.StartedAtMS, RequestedAt: requestedAt, Report: r, ConnectionRefused: errors.Is(err, syscall.ECONNREFUSED),
	})
}

// errNotHeld keeps back an order for which the lease no longer stands.
var errLeaseEnding = errors.New("the lease does not last long enough")

// send sends an order if the lease stands, by this instance's clock right
// before the send: the process may have been paused since the decision.
func (p *placer) send(ctx context.Context, s counted.SendOrder) {
	result, err := counted.Refused, errLeaseEnding
	hold, held := p.runner.Hold()
	if held && hold.Epoch == s.Order.Epoch && p.now().Before(hold.Until.Add(-orderMargin)) {
		ctx, cancel := context.WithTimeout(ctx, orderReplyTimeout)
		defer cancel()
		result, err = p.controls.Send(ctx, s.Endpoint, s.Address, s.Order)
	}
	if err != nil {
		p.log.Info("order not confirmed", "op", s.Order.Op, "unit", s.Order.Unit, "endpoint", s.Endpoint, "error", err.Error())
	}
	p.put(counted.OrderEnded{Endpoint: s.Endpoint, Order: s.Order, Result: result})
}

// placers runs a placer for each pool of engines.
type placers struct {
	ctx      context.Context
	cfg      NodeOrders
	instance string
	holder   string
	client   store.Client
	controls EngineControl
	log      logr.Logger
	now      func() time.Time
	done     *sync.WaitGroup
	// campaigns tells whether this instance should hold the lease of a pool, which
	// it may hold already.
	campaigns func(pool string, held bool) bool
	// looks tells whether it is about to campaign for it.
	observes func(pool string) bool
	announce func([]outgoingPlacement)
	// era returns the store's newest era.
	era func() int64

	mu      sync.Mutex
	running map[string]*placer
	// isAlone is what alone was told last.
	isolated bool
}

// update gives the settings and the list to every placer, and starts placers of
// pools that are new.
func (p *placers) update(catalog *settings.Catalog, list *membership.List) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, pool := range enginePools(catalog) {
		if p.running[pool] == nil {
			p.running[pool] = p.start(pool)
		}
	}
	for pool, placer := range p.running {
		if catalog.Tree.Pools[pool] != nil {
			placer.notify(countedCellSettings(catalog, pool))
		}
		placer.notify(countedMembers(list, pool))
	}
}

// holds tells whether this instance places units of some pool.
func (p *placers) holds() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, placer := range p.running {
		if _, held := placer.runner.Hold(); held {
			return true
		}
	}
	return false
}

// suspected passes endpoints on at which requests have failed.
func (p *placers) requestsFailed(endpoints []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, placer := range p.running {
		placer.notify(counted.RequestsFailed{Endpoints: endpoints})
	}
}

// alone passes on whether this instance hears none of the others.
func (p *placers) setIsolated(isolated bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if isolated == p.isolated {
		return
	}
	p.isolated = isolated
	p.log.Info("others heard", "any", !isolated)
	for _, placer := range p.running {
		placer.notify(counted.IsolationChanged{Isolated: isolated})
	}
}

// gone passes endpoints on at whose addresses others have answered.
func (p *placers) endpointsReplaced(incarnations []endpointIncarnation) {
	replaced := counted.EndpointsReplaced{StartedAtMS: map[string]int64{}}
	for _, s := range incarnations {
		replaced.Endpoints = append(replaced.Endpoints, s.name)
		replaced.StartedAtMS[s.name] = s.startedAtMS
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, placer := range p.running {
		placer.notify(replaced)
	}
}

// demanded passes the demand of all instances on.
func (p *placers) demandReported(demands map[string]peer.Demand) {
	report := counted.DemandReport{Rate: map[string]float64{}, Waiting: map[string]int{}, LastRequestAt: map[string]time.Time{}}
	for unit, d := range demands {
		report.Rate[unit], report.Waiting[unit], report.LastRequestAt[unit] = d.WorkPerSecond, d.Waiting, d.AskedAt
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, placer := range p.running {
		placer.notify(report)
	}
}

func (p *placers) start(pool string) *placer {
	pl := &placer{
		pool: pool, controls: p.controls, now: p.now, log: p.log.WithValues("pool", pool), announce: p.announce,
		events: ring.New[counted.Event](placerEventsCapacity, ring.Block), orderLease: milliseconds(p.cfg.LeaseMS),
		controller: counted.NewController(counted.Config{
			RateFactor: p.cfg.RateOver,
			RateWindow: time.Duration(p.cfg.RateWindowS * float64(time.Second)),
		}),
	}
	pl.runner = lease.NewRunner(lease.RunnerConfig{
		Name: "cell-" + pool, Client: p.client, Now: p.now, Changed: pl.leaseChanged, Tick: leaseCheckInterval, Era: p.era,
		Campaign: func() bool {
			_, held := pl.runner.Hold()
			return p.campaigns(pool, held)
		},
		Observe: func() bool { return p.observes(pool) },
		Lease:   lease.Config{Holder: p.holder, Duration: leaseDuration, RenewEvery: leaseRenewal, ClockDrift: leaseDrift},
	})
	pl.notify(counted.IsolationChanged{Isolated: p.isolated})
	p.done.Go(func() { pl.run(p.ctx) })
	p.done.Go(func() { pl.runner.Run(p.ctx) })
	return pl
}

// countedCell is what the settings say of a pool.
func countedCellSettings(catalog *settings.Catalog, pool string) counted.CellSettings {
	t := catalog.Tree.Pools[pool]
	c := counted.CellSettings{
		CapacityMB: t.MemoryMB, KVTokens: t.KVTokens, AdapterSlots: t.AdapterSlots, LoadsPerSecond: catalog.Tree.WeightStore.LoadsPerSecond,
	}
	for name, u := range catalog.Units {
		if u.Pool != pool {
			continue
		}
		unit := counted.Unit{Name: name, Base: u.Base, MemoryMB: u.MemoryMB}
		if m := t.Models[name]; m != nil {
			unit.Rank = m.Rank
			unit.StoreLoadTime = time.Duration(m.LoadMS) * time.Millisecond
			unit.DiskLoadTime = time.Duration(m.DiskMS) * time.Millisecond
			unit.MemoryLoadTime = time.Duration(m.WarmMS) * time.Millisecond
		}
		c.Units = append(c.Units, unit)
	}
	return c
}

func countedMembers(list *membership.List, pool string) counted.MemberList {
	var l counted.MemberList
	for _, m := range list.Pool(pool) {
		l.Members = append(l.Members, counted.Member{
			Name: m.Name, StartedAtMS: m.StartedAtMS, Address: m.Address, FailureDomain: m.FailureDomain,
			Leaving: !m.AcceptsWork(), Resident: slices.Clone(m.Resident),
		})
	}
	return l
}
