package daemon

import (
	"context"
	"errors"
	"slices"
	"sync"
	"sync/atomic"
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

// EngineControl reads reports of engines and sends orders to them. The error of Send is only
// for the log; the result alone tells what became of the order.
type EngineControl interface {
	Report(ctx context.Context, endpoint, address string) (*counted.Report, error)
	Send(ctx context.Context, endpoint, address string, o counted.Order) (counted.Result, error)
}

const (
	// placerEventsCapacity bounds the events queued for a placer's controller.
	placerEventsCapacity = 1024
	// placerTick is the tick interval of a controller that may send orders, placerIdle
	// that of one that may not.
	placerTick = 50 * time.Millisecond
	placerIdle = 500 * time.Millisecond
	// leaseDuration is how long a placer's lease lasts, leaseRenewal the time between
	// renewals. Both are short to keep the time without a holder short.
	leaseDuration = 1800 * time.Millisecond
	leaseRenewal  = 500 * time.Millisecond
	// leaseDrift bounds the clock drift: a challenger waits that much longer, and a holder
	// stops that much earlier.
	leaseDrift = 200 * time.Millisecond
	// leaseCheckInterval is the time between two checks of the lease.
	leaseCheckInterval = 100 * time.Millisecond
	// orderMargin is how long before the end of its lease a holder stops sending orders: an
	// order takes time to arrive, and a successor counts its delay from there.
	orderMargin = 300 * time.Millisecond
	// reportTimeout bounds one report request.
	reportTimeout = time.Second
	// orderReplyTimeout bounds the wait for the reply to an order, which usually takes
	// milliseconds. The next order may follow an unanswered one at once: the endpoint lets
	// at most one order with the same count take effect.
	orderReplyTimeout = 300 * time.Millisecond
)

// placer runs the controller of one pool of engines, and the lease that lets at most one
// instance send orders to it.
type placer struct {
	pool       string
	controls   EngineControl
	controller *counted.Controller
	runner     *lease.Runner
	events     *ring.Ring[counted.Event]
	inputs     placerInputs
	log        logr.Logger
	now        func() time.Time
	// announce announces to all instances which units endpoints hold.
	announce func([]outgoingPlacement)
	// onLoads receives when units that no endpoint serves can be served; nil if nobody asks.
	onLoads func(pool string, loads map[string]counted.LoadForecast)
	// orderLease is how long an endpoint must have received no order of another holder
	// before it gets the first of this one.
	orderLease time.Duration
}

// put queues an event that the placer itself caused, and blocks while the ring is full.
func (p *placer) put(e counted.Event) { _ = p.events.Put(context.Background(), e) }

// notify passes an event from outside, or a change of the lease, to the placer, and never blocks.
func (p *placer) notify(e counted.Event) {
	p.inputs.add(e)
	// If the ring is full, the placer is busy and takes its inputs with the next event.
	p.events.Offer(counted.Tick{})
}

// leaseChanged is called on the goroutine that renews the lease, which must not wait.
func (p *placer) leaseChanged(a lease.Action) {
	switch a := a.(type) {
	case lease.Acquired:
		p.log.Info("lease acquired", "epoch", a.Epoch)
		p.notify(counted.LeaseAcquired{Epoch: a.Epoch, HasPredecessor: a.Epoch > 1, OrderDelay: p.takeoverWait(a.Expired)})
	case lease.Lost:
		p.log.Info("lease lost", "epoch", a.Epoch)
		p.notify(counted.LeaseLost{})
	}
}

// maxOrderFlight bounds how long an order may be in flight.
const maxOrderFlight = 200 * time.Millisecond

// takeoverWait returns how long a successor delays its first order, so that the last order of
// the previous holder is orderLease old. A lease that was handed over may have been used until
// the handover. One that lapsed was used for orders until orderMargin before its end, and was
// acquired at least twice leaseDrift after its end, once for the drift of each clock.
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
		case counted.ForecastLoads:
			p.onLoads(p.pool, a.Loads)
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

// urgencyOf returns how soon the other instances must receive a change.
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
		p.log.V(1).Info("endpoint report failed", "endpoint", a.Endpoint, "error", err.Error())
	}
	p.put(counted.ReportReply{
		Endpoint: a.Endpoint, StartedAtMS: a.StartedAtMS, RequestedAt: requestedAt, Report: r, ConnectionRefused: errors.Is(err, syscall.ECONNREFUSED),
	})
}

// errLeaseEnding reports an order that was not sent because the lease is lost or ends too soon.
var errLeaseEnding = errors.New("lease lost or about to end")

// send sends an order if the lease still allows it. It checks this instance's clock right
// before sending, as the process may have been paused since the decision.
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
	// campaigns tells whether this instance should hold the lease of a pool; held is whether
	// it does already.
	campaigns func(pool string, held bool) bool
	// observes tells whether this instance should watch a lease for which it will soon campaign.
	observes func(pool string) bool
	announce func([]outgoingPlacement)
	// onLoads receives the forecasts of loads; nil if there are to be none.
	onLoads func(pool string, loads map[string]counted.LoadForecast)
	// era returns the newest era of the store.
	era func() int64

	mu      sync.Mutex
	running map[string]*placer
	// isolated is the state that setIsolated set last.
	isolated bool
	// runners holds the leases of the running placers. It is read without mu, which is held
	// while lists are copied: each packet and each call to the store asks for the holder.
	runners atomic.Pointer[[]*lease.Runner]
	// byPlaces is set if the models of some pool load fast enough for placement by places.
	byPlaces atomic.Bool
}

// update passes the settings and the member list to every placer, and starts the placers of
// new pools.
func (p *placers) update(catalog *settings.Catalog, list *membership.List) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, pool := range enginePools(catalog) {
		if p.running[pool] == nil {
			p.add(pool, p.start(pool))
		}
	}
	byPlaces := false
	for pool, placer := range p.running {
		if catalog.Tree.Pools[pool] != nil {
			cell := countedCellSettings(catalog, pool)
			byPlaces = byPlaces || counted.LoadsAreFast(cell.Units)
			placer.notify(cell)
		}
		placer.notify(countedMembers(list, pool))
	}
	p.byPlaces.Store(byPlaces)
}

// add adds the placer of a pool; mu must be held.
func (p *placers) add(pool string, started *placer) {
	p.running[pool] = started
	runners := make([]*lease.Runner, 0, len(p.running))
	for _, placer := range p.running {
		runners = append(runners, placer.runner)
	}
	p.runners.Store(&runners)
}

// holds tells whether this instance holds the lease of any pool. It never waits.
func (p *placers) holds() bool {
	runners := p.runners.Load()
	if runners == nil {
		return false
	}
	for _, r := range *runners {
		if _, held := r.Hold(); held {
			return true
		}
	}
	return false
}

// holdsPool tells whether this instance holds the lease of a pool.
func (p *placers) holdsPool(pool string) bool {
	p.mu.Lock()
	placer := p.running[pool]
	p.mu.Unlock()
	if placer == nil {
		return false
	}
	_, held := placer.runner.Hold()
	return held
}

// requestsFailed passes on the endpoints at which requests have failed.
func (p *placers) requestsFailed(endpoints []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, placer := range p.running {
		placer.notify(counted.RequestsFailed{Endpoints: endpoints})
	}
}

// setIsolated passes on whether this instance has contact with none of the others.
func (p *placers) setIsolated(isolated bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if isolated == p.isolated {
		return
	}
	p.isolated = isolated
	p.log.Info("contact with other instances", "any", !isolated)
	for _, placer := range p.running {
		placer.notify(counted.IsolationChanged{Isolated: isolated})
	}
}

// endpointsReplaced passes on the endpoints at whose addresses other incarnations have answered.
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

// demandReported passes on the demand of all instances.
func (p *placers) demandReported(demands map[string]peer.Demand) {
	report := counted.DemandReport{Rate: map[string]float64{}, Waiting: map[string]int{}, LastRequestAt: map[string]time.Time{}}
	for unit, d := range demands {
		report.Rate[unit], report.Waiting[unit], report.LastRequestAt[unit] = d.WorkPerSecond, d.Waiting, d.LastRequestAt
		if d.Running > 0 {
			if report.Running == nil {
				report.Running = map[string]int{}
			}
			report.Running[unit] = d.Running
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, placer := range p.running {
		placer.notify(report)
	}
}

func (p *placers) start(pool string) *placer {
	pl := &placer{
		pool: pool, controls: p.controls, now: p.now, log: p.log.WithValues("pool", pool), announce: p.announce, onLoads: p.onLoads,
		events: ring.New[counted.Event](placerEventsCapacity, ring.Block), orderLease: milliseconds(p.cfg.LeaseMS),
		controller: counted.NewController(counted.Config{
			ByPlaces:   true,
			RateFactor: p.cfg.RateOver, ForecastLoads: p.onLoads != nil,
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

// countedCellSettings returns the controller settings of a pool.
func countedCellSettings(catalog *settings.Catalog, pool string) counted.CellSettings {
	t := catalog.Tree.Pools[pool]
	c := counted.CellSettings{
		CapacityMB: t.MemoryMB, Concurrency: t.Concurrency, KVTokens: t.KVTokens, AdapterSlots: t.AdapterSlots, LoadsPerSecond: catalog.Tree.WeightStore.LoadsPerSecond,
	}
	for name, u := range catalog.Units {
		if u.Pool != pool {
			continue
		}
		unit := counted.Unit{Name: name, Base: u.Base, MemoryMB: u.MemoryMB}
		if m := t.Models[name]; m != nil {
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
