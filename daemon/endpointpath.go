package daemon

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"github.com/eiderspring/eiderspring/engine"
	"github.com/eiderspring/eiderspring/reach"
	"github.com/eiderspring/eiderspring/routing"
	"github.com/eiderspring/eiderspring/wait"
)

const (
	// pathTick is the time between two checks for silence.
	pathTick = 100 * time.Millisecond
	// probeDialTimeout bounds the opening of a probe's connection. An attempt to connect that was
	// given up earlier shows nothing.
	probeDialTimeout = 400 * time.Millisecond
)

// endpointPath opens the connections to endpoints and decides by them, and by probes, whether
// this instance has lost its path to all endpoints (package reach).
type endpointPath struct {
	// open opens a connection.
	open engine.Dialer
	// endpoints returns the endpoints that may be probed.
	endpoints func() *routing.View
	// onChange is called with whether this instance is now cut off; may be nil.
	onChange func(cutOff bool)
	log      logr.Logger
	now      func() time.Time

	// unansweredSince is when the first request was sent since an endpoint last sent anything, in
	// Unix nanoseconds; 0 if none was.
	unansweredSince atomic.Int64
	// cutOff and doubtful are the state of tracker, for readers that must not wait.
	cutOff, doubtful atomic.Bool
	// opened and failed count connections, suspicions and cutOffs how often the state was entered.
	opened, failed, suspicions, cutOffs atomic.Int64
	// closed counts the connections of opened that were closed since.
	closed atomic.Int64

	mu      sync.Mutex
	tracker *reach.Tracker
	// changedAt is when the state last changed.
	changedAt time.Time
	// settled is closed when a suspicion ends; nil if there is none.
	settled chan struct{}
	// ctx ends the probes.
	ctx context.Context
}

func newEndpointPath(ctx context.Context, open engine.Dialer, endpoints func() *routing.View, log logr.Logger, now func() time.Time) *endpointPath {
	return &endpointPath{open: open, endpoints: endpoints, log: log, now: now, tracker: reach.NewTracker(), changedAt: now(), ctx: ctx}
}

// DialContext opens a connection to an endpoint, as an engine.Dialer.
func (p *endpointPath) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	began := p.now()
	conn, err := p.open(ctx, network, address)
	if err != nil {
		p.dialFailed(ctx, address, began, err)
		return nil, err
	}
	p.opened.Add(1)
	p.markHeard()
	if p.state() == reach.Suspected {
		p.step(reach.Opened{})
	}
	return &watchedConn{Conn: conn, path: p}, nil
}

// dialFailed records a connection that could not be opened, unless it was given up too early to
// tell.
func (p *endpointPath) dialFailed(ctx context.Context, address string, began time.Time, err error) {
	timedOut := ctx.Err() != nil || errors.Is(err, context.DeadlineExceeded)
	if errors.Is(ctx.Err(), context.Canceled) || timedOut && p.now().Sub(began) < probeDialTimeout {
		return
	}
	p.failed.Add(1)
	p.step(reach.OpenFailed{Address: address})
}

// openConns returns the number of connections to endpoints.
func (p *endpointPath) openConns() int { return int(p.opened.Load() - p.closed.Load()) }

// markHeard records that an endpoint has sent something or accepted a connection.
func (p *endpointPath) markHeard() {
	if p.unansweredSince.Load() != 0 {
		p.unansweredSince.Store(0)
	}
}

// markSent records that something was sent to an endpoint.
func (p *endpointPath) markSent() {
	if p.unansweredSince.Load() == 0 {
		p.unansweredSince.CompareAndSwap(0, p.now().UnixNano())
	}
}

// isCutOff reports whether no endpoint can be reached from here. A nil endpointPath reaches all.
func (p *endpointPath) isCutOff() bool { return p != nil && p.cutOff.Load() }

// isDoubtful reports whether several endpoints could not be reached, so that a failure to reach
// one says nothing about it.
func (p *endpointPath) isDoubtful() bool { return p != nil && p.doubtful.Load() }

// cutOffFor returns for how long this instance has been cut off; 0 if it is not.
func (p *endpointPath) cutOffFor() time.Duration {
	if !p.isCutOff() {
		return 0
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.now().Sub(p.changedAt)
}

// awaitKnown waits while the path is suspected, and reports whether it is there.
func (p *endpointPath) awaitKnown(ctx context.Context) bool {
	if p == nil {
		return true
	}
	p.mu.Lock()
	settled := p.settled
	p.mu.Unlock()
	if settled != nil {
		select {
		case <-settled:
		case <-ctx.Done():
		}
	}
	return p.state() == reach.Reachable
}

func (p *endpointPath) state() reach.State {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.tracker.State()
}

// run checks for silence.
func (p *endpointPath) run(ctx context.Context) {
	for wait.For(ctx, pathTick) {
		p.step(reach.Tick{Unanswered: p.unanswered()})
	}
}

// unanswered returns for how long requests have been without an answer while no endpoint has
// sent anything; 0 if none waits.
func (p *endpointPath) unanswered() time.Duration {
	since := p.unansweredSince.Load()
	if since == 0 {
		return 0
	}
	return p.now().Sub(time.Unix(0, since))
}

// step applies an event and carries out what follows from it.
func (p *endpointPath) step(e reach.Event) {
	p.mu.Lock()
	actions := p.tracker.Step(p.now(), e)
	p.doubtful.Store(p.tracker.Doubtful())
	var notify *bool
	for _, a := range actions {
		switch a := a.(type) {
		case reach.Probe:
			go p.probe(a)
		case reach.Changed:
			notify = p.changed(a)
		}
	}
	p.mu.Unlock()
	if notify != nil && p.onChange != nil {
		p.onChange(*notify)
	}
}

// changed takes over a change of the state, and returns whether this instance is cut off if that
// has changed; mu must be held.
func (p *endpointPath) changed(c reach.Changed) *bool {
	if c.To == reach.Suspected {
		p.settled = make(chan struct{})
		p.suspicions.Add(1)
	} else if p.settled != nil {
		close(p.settled)
		p.settled = nil
	}
	lasted := p.now().Sub(p.changedAt)
	p.changedAt = p.now()
	cutOff := c.To == reach.CutOff
	if cutOff == p.cutOff.Load() {
		p.log.V(1).Info("path to endpoints", "state", c.To, "before", c.From)
		return nil
	}
	if cutOff {
		p.cutOffs.Add(1)
	}
	p.cutOff.Store(cutOff)
	p.log.Info("path to endpoints", "state", c.To, "before", c.From, "lasted_ms", lasted.Milliseconds(),
		"opened", p.opened.Load(), "failed", p.failed.Load(), "unanswered_ms", p.unanswered().Milliseconds())
	return &cutOff
}

// probe carries out a round of probes.
func (p *endpointPath) probe(a reach.Probe) {
	ctx, cancel := context.WithTimeout(p.ctx, probeDialTimeout)
	defer cancel()
	addresses := p.probeTargets(a.Count, a.Except)
	reached := make(chan bool, len(addresses))
	for _, address := range addresses {
		go func() { reached <- p.accepts(ctx, address) }()
	}
	// A cut shows only in endpoints other than the one that failed.
	result := len(addresses) == 0
	for range addresses {
		if result = <-reached; result {
			break
		}
	}
	if p.ctx.Err() != nil {
		// The instance stops, which ends its probes.
		return
	}
	if result {
		p.markHeard()
	}
	p.step(reach.ProbesEnded{Round: a.Round, Reached: result})
}

// accepts reports whether an endpoint accepts a connection.
func (p *endpointPath) accepts(ctx context.Context, address string) bool {
	conn, err := p.open(ctx, "tcp", address)
	if err != nil {
		p.log.V(1).Info("probe of an endpoint failed", "address", address, "error", err.Error())
		return false
	}
	conn.Close()
	return true
}

// minEndpoints is how many endpoints must be known for a cut to show: one that fails may have
// terminated.
const minEndpoints = 2

// probeTargets returns the addresses of n endpoints to probe other than except, in different failure
// domains if possible; none if too few are known. Endpoints to which a connection could not be opened
// recently come last.
func (p *endpointPath) probeTargets(n int, except string) []string {
	known := p.endpoints().ByName
	if len(known) < minEndpoints {
		return nil
	}
	now := p.now()
	var good, rest []*routing.Endpoint
	for _, e := range known {
		if e.Address == except {
			continue
		}
		if e.Replaced() || e.Unreachable(now) {
			rest = append(rest, e)
		} else {
			good = append(good, e)
		}
	}
	domains := map[string]bool{}
	var addresses, others []string
	for _, list := range [][]*routing.Endpoint{good, rest} {
		rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
		for _, e := range list {
			if domains[e.FailureDomain] {
				others = append(others, e.Address)
				continue
			}
			domains[e.FailureDomain] = true
			addresses = append(addresses, e.Address)
		}
	}
	addresses = append(addresses, others...)
	return addresses[:min(n, len(addresses))]
}

// endpointPathStats is what operators see of the path to the endpoints.
type endpointPathStats struct {
	State reach.State `json:"state"`
	// Opened and Failed count connections to endpoints, Suspicions and CutOffs how often the
	// path was suspected and found to be lost.
	Opened int64 `json:"opened"`
	// Open is how many of them are open.
	Open       int   `json:"open"`
	Failed     int64 `json:"failed"`
	Suspicions int64 `json:"suspicions"`
	CutOffs    int64 `json:"cut_offs"`
	// CutOffMS is for how long this instance has been cut off.
	CutOffMS int64 `json:"cut_off_ms"`
}

func (p *endpointPath) stats() endpointPathStats {
	return endpointPathStats{
		State: p.state(), Opened: p.opened.Load(), Open: p.openConns(), Failed: p.failed.Load(), Suspicions: p.suspicions.Load(), CutOffs: p.cutOffs.Load(),
		CutOffMS: p.cutOffFor().Milliseconds(),
	}
}

// watchedConn is a connection to an endpoint that tells endpointPath what is sent and received.
type watchedConn struct {
	net.Conn
	path   *endpointPath
	closed atomic.Bool
}

// Read implements net.Conn.
func (c *watchedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.path.markHeard()
	}
	return n, err
}

// Close implements net.Conn.
func (c *watchedConn) Close() error {
	if !c.closed.Swap(true) {
		c.path.closed.Add(1)
	}
	return c.Conn.Close()
}

// Write implements net.Conn.
func (c *watchedConn) Write(b []byte) (int, error) {
	c.path.markSent()
	return c.Conn.Write(b)
}
