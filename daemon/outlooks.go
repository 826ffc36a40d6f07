package daemon

import (
	"expvar"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/eiderspring/eiderspring/outlook"
	"github.com/eiderspring/eiderspring/peer"
	"github.com/eiderspring/eiderspring/pipeline"
	"github.com/eiderspring/eiderspring/placement/counted"
)

// NodeOutlook configures whether requests that cannot start in their time are refused at once.
type NodeOutlook struct {
	// Enabled makes the lease holder forecast when requests can start, and all
	// instances refuse at once by its forecasts.
	Enabled bool `json:"enabled"`
	// Queues makes instances refuse at once also by the forecast of a queue. It is an estimate:
	// instances serve those that wait in no common order.
	Queues bool `json:"queues"`
	// PlacesPerReplica is how many callers are called back to a replica that has just been
	// loaded in each second.
	PlacesPerReplica int `json:"placesPerReplica"`
}

const (
	// loadsExpiry is for how long a forecast of loads by this instance's placer counts.
	loadsExpiry = 700 * time.Millisecond
	// maxPendingPromises bounds the promises that are still to be sent.
	maxPendingPromises = 256
	// returnSpread is the time over which an instance spreads the returns that it promises from
	// the first possible one on: until the lease holder has told the others of them, they
	// promise the same times.
	returnSpread = 300 * time.Millisecond
	// unplannedLoadTime is by how much later than possible a load ends that is not planned yet:
	// memory has to be freed first.
	unplannedLoadTime = time.Second
	// refusedDemandTime is for how long a request that was refused because its unit has no
	// replica is reported as waiting: placement loads what requests wait for.
	refusedDemandTime = time.Second
)

// outlooks runs the forecasts of one instance: it reports what they need, makes them while this
// instance holds the lease, and answers the pipeline. Its methods may be called on nil, which
// knows nothing.
type outlooks struct {
	cfg      NodeOutlook
	isHolder func() bool
	returns  *pipeline.Promises
	now      func() time.Time
	vars     *expvar.Map
	// promised holds the times after which refused callers were told to come back.
	promised *pipeline.Latencies

	// telling is set while this instance tells others its forecasts.
	telling atomic.Bool

	mu         sync.Mutex
	board      outlook.Board
	forecaster outlook.Forecaster
	loads      map[string]map[string]counted.LoadForecast
	loadsAt    time.Time
	// started counts the requests sent to endpoints since the process began, by unit.
	started map[string]int64
	// promises are those still to be reported, toForward those still to be forwarded.
	promises  []pendingPromise
	toForward []pendingPromise
	// refusedAt is when requests for units without a replica were refused.
	refusedAt map[string][]time.Time
}

// pendingPromise is a promise with its time on this instance's clock.
type pendingPromise struct {
	unit string
	who  outlook.Caller
	at   time.Time
}

func newOutlooks(cfg NodeOutlook, returns *pipeline.Promises, now func() time.Time, vars *expvar.Map) *outlooks {
	if !cfg.Enabled {
		return nil
	}
	o := &outlooks{
		cfg: cfg, returns: returns, now: now, vars: vars, promised: pipeline.NewLatencies(),
		loads: map[string]map[string]counted.LoadForecast{}, started: map[string]int64{}, refusedAt: map[string][]time.Time{},
	}
	vars.Set("promised_return_us", o.promised)
	return o
}

// connect makes the forecasts use the state of a mesh.
func (o *outlooks) connect(m *mesh) {
	if o != nil {
		o.isHolder = m.isHolder
	}
}

// forPipeline returns what the pipeline asks; nil if forecasts are off.
func (o *outlooks) forPipeline() pipeline.Outlook {
	if o == nil {
		return nil
	}
	return o
}

// loadsReceiver returns what placers give their forecasts to; nil if forecasts are off.
func (o *outlooks) loadsReceiver() func(pool string, loads map[string]counted.LoadForecast) {
	if o == nil {
		return nil
	}
	return o.setLoads
}

// Look implements pipeline.Outlook.
func (o *outlooks) Look(now time.Time, unit string, priority int) (outlook.Forecast, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	f, known := o.board.Look(now, unit, priority)
	return f, known && (f.NoReplica || o.cfg.Queues)
}

// Reserve implements pipeline.Outlook.
func (o *outlooks) Reserve(now time.Time, unit string, who outlook.Caller, latest time.Time) (time.Time, bool) {
	shift := time.Duration(rand.Float64() * float64(returnSpread))
	o.mu.Lock()
	defer o.mu.Unlock()
	at, ok := o.board.Reserve(now, unit, shift, latest)
	switch {
	case ok:
		o.addPromise(now, unit, who, at)
	case !at.IsZero():
		o.vars.Add("returns_without_slot", 1)
	}
	return at, ok
}

// Promise implements pipeline.Outlook.
func (o *outlooks) Promise(now time.Time, unit string, who outlook.Caller, at time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.addPromise(now, unit, who, at)
}

// addPromise counts a promise and keeps it for the next report; mu must be held.
func (o *outlooks) addPromise(now time.Time, unit string, who outlook.Caller, at time.Time) {
	o.promised.Record(at.Sub(now))
	o.vars.Add("returns_promised", 1)
	o.promises = appendBounded(o.promises, pendingPromise{unit: unit, who: who, at: at})
}

// CountStart implements pipeline.Outlook.
func (o *outlooks) CountStart(unit string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.started[unit]++
}

// CountRefusal implements pipeline.Outlook.
func (o *outlooks) CountRefusal(now time.Time, unit string, f outlook.Forecast) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !f.NoReplica {
		o.vars.Add("refused_at_once_queue", 1)
		return
	}
	o.vars.Add("refused_at_once_load", 1)
	o.refusedAt[unit] = append(o.refusedAt[unit], now)
}

// addRefused adds the requests that were recently refused because their units have no replica
// to the counts of those that wait.
func (o *outlooks) addRefused(waiting map[string]int) {
	if o == nil {
		return
	}
	now := o.now()
	o.mu.Lock()
	defer o.mu.Unlock()
	for unit, times := range o.refusedAt {
		for len(times) > 0 && now.Sub(times[0]) >= refusedDemandTime {
			times = times[1:]
		}
		if len(times) == 0 {
			delete(o.refusedAt, unit)
			continue
		}
		o.refusedAt[unit] = times
		waiting[unit] += len(times)
	}
}

// setLoads takes the placer's forecast of when the units of a pool that no endpoint serves can be
// served.
func (o *outlooks) setLoads(pool string, loads map[string]counted.LoadForecast) {
	if o == nil {
		return
	}
	now := o.now()
	o.mu.Lock()
	defer o.mu.Unlock()
	o.loads[pool], o.loadsAt = loads, now
}

// report adds to a summary, as far as it has room, what the lease holder needs: starts of the
// units that are contended, and new promises.
func (o *outlooks) report(p *peer.Packet, waiting map[string]map[int]int) {
	if o == nil {
		return
	}
	now := o.now()
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(waiting)+len(o.promises) == 0 && !o.board.AnyContended(now) {
		return
	}
	room := remainingBytes(*p) - fieldOverhead
	for unit, started := range o.started {
		if waiting[unit] == nil && !o.board.Contended(now, unit) {
			continue
		}
		s := outlook.Starts{Unit: unit, Started: started, Waiting: waiting[unit]}
		if room -= s.EncodedSize(); room < 0 {
			return
		}
		p.Starts = append(p.Starts, s)
	}
	for unit, counts := range waiting {
		if _, started := o.started[unit]; started {
			continue
		}
		s := outlook.Starts{Unit: unit, Waiting: counts}
		if room -= s.EncodedSize(); room < 0 {
			return
		}
		p.Starts = append(p.Starts, s)
	}
	for len(o.promises) > 0 {
		next := o.promises[0]
		if room -= next.message(now).EncodedSize(); room < 0 {
			return
		}
		p.Promises = append(p.Promises, next.message(now))
		o.promises = o.promises[1:]
	}
}

func (p pendingPromise) message(now time.Time) outlook.Promise {
	r := p.forwarded(now)
	return outlook.Promise{Unit: p.unit, Request: r.Request, InMS: r.InMS, WaitedMS: r.WaitedMS}
}

// forwarded returns the promise as the holder forwards it.
func (p pendingPromise) forwarded(now time.Time) outlook.Return {
	return outlook.Return{Request: p.who.Request, InMS: max(p.at.Sub(now).Milliseconds(), 0), WaitedMS: max(now.Sub(p.who.Since).Milliseconds(), 0)}
}

// received returns the promise that a message states.
func received(now time.Time, m outlook.Return) pendingPromise {
	since := now.Add(-time.Duration(m.WaitedMS) * time.Millisecond)
	return pendingPromise{who: outlook.Caller{Request: m.Request, Since: since}, at: now.Add(time.Duration(m.InMS) * time.Millisecond)}
}

// receive takes the forecasts and reports in a packet.
func (o *outlooks) receive(p peer.Packet, own bool) {
	if o == nil {
		return
	}
	now := o.now()
	o.mu.Lock()
	defer o.mu.Unlock()
	if !own {
		o.board.Receive(now, p.Outlook)
		for _, r := range p.Returns {
			promise := received(now, r)
			o.returns.Record(now, promise.who, promise.at)
		}
	}
	if !o.isHolder() || p.Instances > 0 || len(p.Placements) > 0 || p.Aggregator != 0 {
		return
	}
	o.forecaster.ReceiveStarts(now, p.From, p.Process, p.Starts)
	o.forecaster.ReceivePromises(now, p.Promises)
	for _, promise := range p.Promises {
		made := received(now, outlook.Return{Request: promise.Request, InMS: promise.InMS, WaitedMS: promise.WaitedMS})
		o.returns.Record(now, made.who, made.at)
		o.toForward = appendBounded(o.toForward, made)
	}
}

// announcement fills a packet to all instances with the forecasts, and reports whether there is
// anything to send.
func (o *outlooks) announcement(p *peer.Packet) (told bool) {
	if o == nil || !o.isHolder() {
		return false
	}
	defer func() { o.telling.Store(told) }()
	now := o.now()
	o.mu.Lock()
	defer o.mu.Unlock()
	entries := o.forecaster.Forecast(now, o.currentLoads(now))
	o.board.Receive(now, entries)
	if len(entries)+len(o.toForward) == 0 {
		return false
	}
	room := remainingBytes(*p) - fieldOverhead
	for _, r := range o.toForward {
		m := r.forwarded(now)
		if size := m.EncodedSize(); size <= room && len(p.Returns) < maxForwardedReturns {
			room -= size
			p.Returns = append(p.Returns, m)
		}
	}
	o.toForward = o.toForward[len(p.Returns):]
	for _, e := range entries {
		if room -= e.EncodedSize(); room < 0 {
			break
		}
		p.Outlook = append(p.Outlook, e)
	}
	return len(p.Outlook)+len(p.Returns) > 0
}

// packets returns how many packets the forecasts take in each announcement.
func (o *outlooks) packets() int {
	if o == nil || !o.telling.Load() {
		return 0
	}
	return 1
}

// currentLoads returns the placers' forecasts if they are recent.
func (o *outlooks) currentLoads(now time.Time) map[string]outlook.Load {
	loads := map[string]outlook.Load{}
	if now.Sub(o.loadsAt) >= loadsExpiry {
		return loads
	}
	for _, pool := range o.loads {
		for unit, f := range pool {
			l := outlook.Load{Ready: f.ReadyAt, Expected: f.ExpectedAt, Places: o.cfg.PlacesPerReplica}
			if l.Expected.IsZero() {
				l.Expected = l.Ready.Add(unplannedLoadTime)
			}
			loads[unit] = l
		}
	}
	return loads
}

func appendBounded(list []pendingPromise, p pendingPromise) []pendingPromise {
	if len(list) >= maxPendingPromises {
		return list
	}
	return append(list, p)
}
