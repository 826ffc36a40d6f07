package daemon

import (
	"context"
	"crypto/rand"
	"errors"
	"expvar"
	"fmt"
	randv2 "math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/gravitational/trace"
	"golang.org/x/time/rate"

	"github.com/eiderspring/eiderspring/admission"
	"github.com/eiderspring/eiderspring/allowance"
	"github.com/eiderspring/eiderspring/claim"
	"github.com/eiderspring/eiderspring/clock"
	"github.com/eiderspring/eiderspring/engine"
	"github.com/eiderspring/eiderspring/membership"
	"github.com/eiderspring/eiderspring/peer"
	"github.com/eiderspring/eiderspring/pipeline"
	"github.com/eiderspring/eiderspring/quarantine"
	"github.com/eiderspring/eiderspring/revision"
	"github.com/eiderspring/eiderspring/ring"
	"github.com/eiderspring/eiderspring/routing"
	"github.com/eiderspring/eiderspring/settings"
	"github.com/eiderspring/eiderspring/store"
	"github.com/eiderspring/eiderspring/wait"
)

// Deps holds the external dependencies of an instance, so that tests can replace them.
// Zero fields default to what the operating system provides.
type Deps struct {
	Callers, Operators net.Listener
	// Dial opens every connection to endpoints and to the platform.
	Dial engine.Dialer
	// Now is a clock that continues while the machine is suspended.
	Now func() time.Time
	Log logr.Logger
}

// Instance is one instance of the fleet: listeners, routing, and the links to the platform and
// to the other instances.
type Instance struct {
	cfg  Config
	deps Deps
	log  logr.Logger
	vars *expvar.Map
	// exactNow is the clock for leases and orders; suspensions queues the detected suspensions
	// of the machine that are not handled yet.
	exactNow    func() time.Time
	suspensions *ring.Ring[time.Duration]
	// cancelOverdue cancels requests whose deadline has passed, endRequests all in progress.
	cancelOverdue, endRequests func()
	engine                     *engine.Client
	// control carries reports and orders, on connections apart from callers' requests.
	control *engine.Client
	router  *routing.Router
	cells   *cells
	claims  *claim.Owner
	gates   *pipeline.Gates
	// quarantine holds back requests that terminate endpoints.
	quarantine *quarantine.Manager
	// holds claims trials of held parts of prompts at the store.
	holds *holdsTask
	// allowances enforces this instance's even share of the callers' allowances.
	allowances   *allowance.Limiter
	events       *ring.Ring[event]
	catalog      atomic.Pointer[settings.Catalog]
	current      atomic.Pointer[revision.Accepted]
	freshness    *freshness
	peers        *peersTask
	streams      *peer.StreamServer
	streamClient *peer.StreamClient
	// settings fetches settings revisions.
	settings *settingsFetcher
	// draining is set once a planned stop has begun.
	draining atomic.Bool
	// drainEnds is when a planned stop ends at the latest; nil until its listener closes.
	drainEnds atomic.Pointer[time.Time]
	// process distinguishes this process from any other of the same instance.
	process string

	callers, operators *http.Server
	idle               *idleConns
	// work ends when the instance stops; tasks stop with it.
	work context.Context
	stop context.CancelFunc
	done sync.WaitGroup
}

// eventsCapacity bounds the events queued for the view task.
const eventsCapacity = 1024

// New returns an instance that has opened its listeners but does not serve yet; Run serves.
func New(cfg Config, deps Deps) (*Instance, error) {
	suspensions := ring.New[time.Duration](suspensionsCapacity, ring.DropOldest)
	exact := deps.Now
	if deps.Now == nil {
		c := clock.New(clock.System(), func(slept time.Duration) { _ = suspensions.Put(context.Background(), slept) })
		deps.Now, exact = c.Now, c.NowExact
	}
	if deps.Dial == nil {
		deps.Dial = (&net.Dialer{}).DialContext
	}
	var err error
	if deps.Callers, err = listen(deps.Callers, cfg.Callers); err != nil {
		return nil, trace.Wrap(err, "listen for callers")
	}
	if deps.Operators, err = listen(deps.Operators, cfg.Operators); err != nil {
		deps.Callers.Close()
		return nil, trace.Wrap(err, "listen for operators")
	}
	i := &Instance{
		cfg: cfg, deps: deps, exactNow: exact, suspensions: suspensions, log: deps.Log.WithValues("instance", cfg.Instance), vars: new(expvar.Map).Init(),
		engine: engine.NewClient(engine.Config{Dial: deps.Dial}),
		router: routing.NewRouter(routing.Policies()[cfg.RoutingPolicy], randv2.Float64),
		events: ring.New[event](eventsCapacity, ring.Block), process: rand.Text(), allowances: allowance.NewEvenLimiter(),
	}
	i.gates = pipeline.NewGates(admission.Limits{MaxWaiters: cfg.Limits.QueueRequests, MaxBytes: cfg.Limits.QueueBytes}, deps.Now)
	i.control = engine.NewClient(engine.Config{Dial: i.countingDialer("engine_control")})
	i.freshness = newFreshness(deps.Now, milliseconds(cfg.Limits.FreshnessMS), func() {
		_ = i.peers.events.Put(i.work, peer.StoreAnswered{})
	})
	i.work, i.stop = context.WithCancel(context.Background())
	i.quarantine = quarantine.NewManager(quarantine.Config{
		Limits: cfg.Quarantine.limits(), Now: deps.Now, Log: i.log,
		Wake: func() { _ = i.peers.events.Put(i.work, peer.SendNow{}) },
		Trials: quarantine.TrialsFunc(func(ctx context.Context, r quarantine.Report) (quarantine.TrialClaim, error) {
			return i.holds.Claim(ctx, r)
		}),
	})
	i.vars.Set("quarantine", expvar.Func(func() any { return i.quarantine.Stats() }))
	if err := i.openPeers(); err != nil {
		deps.Callers.Close()
		deps.Operators.Close()
		return nil, trace.Wrap(err, "open peer links")
	}
	i.build()
	return i, nil
}

// openPeers opens the link to the other instances.
func (i *Instance) openPeers() error {
	keys := i.peerKeys(nil)
	sealer, err := peer.NewSealer(keys)
	if err != nil {
		return err
	}
	identity, err := peer.NewIdentity(keys, i.deps.Now())
	if err != nil {
		return err
	}
	i.streamClient = peer.NewStreamClient(identity)
	i.peers = &peersTask{
		onLiveCount: i.allowances.SetInstanceCount,
		gossip:      peer.NewGossip(peer.GossipConfig{Name: i.cfg.Instance, Process: i.process}), sealer: sealer,
		events: ring.New[peer.Event](peerEventCapacity, ring.DropOldest), fetches: ring.New[settingsCandidate](candidatesCapacity, ring.DropOldest),
		freshness: i.freshness, quarantine: i.quarantine, log: i.log, now: i.deps.Now,
		onPeerLeaving: func(name string) { _ = i.events.Put(i.work, instanceLeaving{name}) },
		countSent:     func(n int) { i.vars.Add("peer_bytes_out", int64(n)) },
		countReceived: func(n int) { i.vars.Add("peer_bytes_in", int64(n)) },
	}
	if i.streams, err = peer.ListenStreams(i.cfg.Peers.Streams, identity, i.handlePeerRequest); err != nil {
		return err
	}
	if i.peers.datagrams, err = peer.ListenUDP(i.cfg.Peers.Datagrams, i.peers.receive); err != nil {
		i.streams.Close()
		return err
	}
	return nil
}

// peerKeys returns the peer keys of the settings, then those of the configuration. Both were
// validated where they were read, so keys that do not parse are skipped.
func (i *Instance) peerKeys(t *settings.Tree) [][]byte {
	var encoded []string
	if t != nil {
		encoded = append(encoded, t.PeerKeys...)
	}
	var keys [][]byte
	for _, text := range append(encoded, i.cfg.Peers.Keys...) {
		if key, err := peer.ParseKey(text); err == nil {
			keys = append(keys, key)
		}
	}
	return keys
}

// applySettings puts a revision in force.
func (i *Instance) applySettings(a *revision.Accepted) *settings.Catalog {
	previous := i.current.Load()
	c := settings.NewCatalog(a.Tree)
	i.allowances.SetLimits(allowance.LimitsOf(a.Tree))
	i.catalog.Store(c)
	i.current.Store(a)
	if previous == nil || !slices.Equal(previous.Tree.PeerKeys, a.Tree.PeerKeys) {
		i.rotatePeerKeys(i.peerKeys(a.Tree))
	}
	_ = i.peers.events.Put(i.work, peer.RevisionInForce{Revision: a.Entry.Revision})
	return c
}

func (i *Instance) rotatePeerKeys(keys [][]byte) {
	identity, err := peer.NewIdentity(keys, i.deps.Now())
	if err == nil {
		err = i.peers.sealer.SetKeys(keys)
	}
	if err != nil {
		i.log.Error(err, "peer keys not changed")
		return
	}
	i.streams.SetIdentity(identity)
	i.streamClient.SetIdentity(identity)
}

func listen(given net.Listener, address string) (net.Listener, error) {
	if given != nil {
		return given, nil
	}
	return net.Listen("tcp", address)
}

func (i *Instance) build() {
	calls := new(expvar.Map).Init()
	i.vars.Set("store_calls", calls)
	i.vars.Set("queue_length", expvar.Func(func() any { return i.gates.Len() }))
	i.vars.Set("events_waiting", expvar.Func(func() any { return i.events.Len() }))
	i.vars.Set("settings_revision", expvar.Func(func() any { return i.Revision() }))
	platform := &http.Transport{
		DialContext: i.countingDialer("platform"), MaxIdleConnsPerHost: platformConns, IdleConnTimeout: time.Minute,
		MaxResponseHeaderBytes: store.MaxHeadBytes,
	}
	objects := store.NewHTTPClient(store.Config{URL: i.cfg.Platform.ObjectAPI, Calls: calls, Transport: platform})
	i.holds = &holdsTask{
		client: objects, writer: store.NewWriter(objects), retention: i.cfg.Quarantine.limits().Retention(), log: i.log, timeOfDay: time.Now,
	}
	i.claims = claim.NewOwner(i.work, objects, i.deps.Now, i.shardConfig)
	dialect := pipeline.NewOpenAI(i.catalog.Load, int64(i.cfg.Limits.BodyBytes))
	handler := pipeline.New(pipeline.Config{
		Dialect: dialect,
		Catalog: i.catalog.Load, Router: i.router, Gates: i.gates,
		Claims: claim.NewClaimer(i.claimSubmitter(i.claims), i.deps.Now),
		Engine: i.engine, Metrics: pipeline.NewMetrics(i.vars), Log: i.log, Now: i.deps.Now,
		FailureDomain: i.cfg.FailureDomain, Quarantine: i.quarantine, Allowances: i.allowances, Refuses: i.refusesUnsent,
	})
	i.cancelOverdue, i.endRequests = handler.CancelOverdue, handler.EndAll
	i.callers = i.newServer(i.closeWhileDraining(i.admit(dialect, dialect.WithModels(handler))))
	i.idle = newIdleConns(i.log, i.deps.Now, func() time.Duration { return milliseconds(i.cfg.Limits.IdleMS) })
	descriptors := descriptorLimit(0)
	i.idle.maxOpen = func() int { return maxCallerConns(descriptors, 0) }
	i.operators = i.newServer(i.operatorHandler())
	i.startTasks(objects, platform)
}

// platformConns bounds the idle connections to the platform.
const platformConns = 8

// countingDialer returns a dialer that counts the bytes of its connections in the metrics
// NAME_bytes_in and NAME_bytes_out.
func (i *Instance) countingDialer(name string) engine.Dialer {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := i.deps.Dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return countedConn{Conn: conn, vars: i.vars, name: name}, nil
	}
}

// holder returns a name that no other process ever has: the instance and the incarnation as
// the platform lists them, and a random part.
func (i *Instance) holder() string {
	return i.cfg.Instance + "/" + i.cfg.Incarnation + "/" + i.process
}

func (i *Instance) newServer(h http.Handler) *http.Server {
	return &http.Server{
		Handler: h, MaxHeaderBytes: i.cfg.Limits.HeaderBytes,
		ReadHeaderTimeout: milliseconds(i.cfg.Limits.ReadMS), ReadTimeout: milliseconds(i.cfg.Limits.ReadMS),
		// idleConns closes idle connections of callers earlier.
		IdleTimeout: maxConnIdle,
	}
}

// admit refuses callers while there are no settings in force, or none known to be current. An
// instance that resumes from a pause must not serve by stale settings, so it confirms them
// first.
func (i *Instance) admit(d pipeline.Dialect, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		current := i.freshness.fresh() || i.settings.confirm(r.Context())
		if i.catalog.Load() == nil || !current {
			pipeline.WriteNotRun(d, w, "the instance has no current settings")
			return
		}
		next.ServeHTTP(w, r)
	})
}

// closeWhileDraining closes connections after their responses once the instance drains, or while
// callers have opened too many.
func (i *Instance) closeWhileDraining(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		next.ServeHTTP(&closingWriter{ResponseWriter: w, ends: func() bool { return i.draining.Load() || i.idle.crowded() }}, r)
	})
}

func (i *Instance) startTasks(objects store.Client, platform http.RoundTripper) {
	i.cells = &cells{
		ctx: i.work, name: i.cfg.Instance, holder: i.holder(), client: objects, engine: i.control, log: i.log, now: i.exactNow,
		done: &i.done, stopping: i.draining.Load, running: map[string]*cellTask{},
	}
	view := &viewTask{
		events: i.events, router: i.router, log: i.log, now: i.deps.Now, notify: i.gates.Wake, updateCells: i.cells.update,
		list: membership.NewList(), endpoints: map[string]*routing.Endpoint{}, residency: newResidency(i.deps.Now), withdrawnUntil: map[string]withdrawal{},
		resolve: i.applySettings, updatePeers: i.peers.updateMembers,
	}
	i.settings = &settingsFetcher{
		client: objects, streams: i.streamClient, fetcher: revision.NewFetcher(), candidates: i.peers.fetches,
		roots:  ring.New[settingsCandidate](candidatesCapacity, ring.DropOldest),
		events: i.events, contact: i.freshness, log: i.log,
	}
	members := &membersPoller{
		source: membership.NewSource(i.cfg.Platform.Members, platform), events: i.events, log: i.log, onListing: i.peers.listReceived,
	}
	i.peers.refreshList = members.requestVersion
	load := &loadPoller{
		router: i.router, client: i.control, catalog: i.catalog.Load, events: i.events, log: i.log,
		limiter:    rate.NewLimiter(rate.Limit(i.cfg.Limits.LoadPollsPerSecond), 1),
		activeRate: rate.Limit(i.cfg.Limits.LoadPollsPerSecond), idleRate: rate.Limit(i.cfg.Limits.LoadPollsPerSecond) / idleLoadPollDivisor,
		requestCount: func() int64 { return i.Counter("requests") },
	}
	poll := func(ctx context.Context) {
		i.settings.poll(ctx, func() int { return i.router.View().Instances })
	}
	for _, run := range []func(context.Context){
		view.run, i.settings.run, i.settings.watch, poll, members.run, load.run, i.peers.run, i.pollGates, i.idle.run, i.handleSuspensions,
	} {
		i.done.Go(func() { run(i.work) })
	}
}

// idleLoadPollDivisor divides the rate of load polls while no requests arrive.
const idleLoadPollDivisor = 4

// waitingPollInterval is how often waiting requests are offered to the router, besides after the
// events known to free capacity.
const waitingPollInterval = 50 * time.Millisecond

func (i *Instance) pollGates(ctx context.Context) { pollWaiting(ctx, i.gates) }

// pollWaiting offers waiting requests to the router until ctx ends.
func pollWaiting(ctx context.Context, gates *pipeline.Gates) {
	for ctx.Err() == nil {
		if gates.Len() == 0 {
			select {
			case <-ctx.Done():
			case <-gates.BeganWaiting():
			}
			continue
		}
		wait.For(ctx, waitingPollInterval)
		gates.Wake()
	}
}

// Run serves until ctx ends, then makes a planned stop: the instance is not ready from then on,
// takes no new work, and finishes everything in progress.
func (i *Instance) Run(ctx context.Context) error {
	failed := make(chan error, 2)
	for _, serve := range []func() error{
		func() error { return i.idle.serve(i.callers, i.deps.Callers) },
		func() error { return i.operators.Serve(i.deps.Operators) },
	} {
		i.done.Go(func() {
			if err := serve(); !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
				failed <- err
			}
		})
	}
	i.log.Info("serving", "callers", i.deps.Callers.Addr().String(), "operators", i.deps.Operators.Addr().String())
	var err error
	select {
	case <-ctx.Done():
		err = i.drain()
	case err = <-failed:
	case <-i.work.Done():
	}
	i.Kill()
	i.done.Wait()
	return trace.Wrap(err)
}

// drain makes a planned stop. The instance first reports not ready; callers that the balancer
// still sends are served for DrainGraceMS, on connections that close after their response.
// Then the listener closes, and requests in progress finish within DrainMS; those that nobody has
// sent yet are refused if they may last longer.
func (i *Instance) drain() error {
	i.draining.Store(true)
	_ = i.peers.events.Put(i.work, peer.Leave{})
	i.log.Info("draining", "waiting", i.gates.Len())
	wait.For(context.Background(), milliseconds(i.cfg.Limits.DrainGraceMS))
	timeout := milliseconds(i.cfg.Limits.DrainMS)
	ends := i.deps.Now().Add(timeout)
	i.drainEnds.Store(&ends)
	if err := i.awaitRequests(timeout); err != nil {
		i.endRequests()
		return fmt.Errorf("drain: %w", errors.Join(err, i.awaitRequests(lastAnswers)))
	}
	i.log.Info("drained")
	return nil
}

// awaitRequests returns once no request is in progress, or with an error after a time.
func (i *Instance) awaitRequests(timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	return i.idle.drain(ctx)
}

// refusesUnsent implements pipeline.Config.Refuses.
func (i *Instance) refusesUnsent(deadline time.Time) bool {
	ends := i.drainEnds.Load()
	return ends != nil && deadline.After(*ends)
}

// Kill stops at once and closes all connections, as a crash would.
func (i *Instance) Kill() {
	i.stop()
	i.callers.Close()
	i.operators.Close()
	i.engine.Close()
	i.control.Close()
	i.peers.datagrams.Close()
	i.streams.Close()
	i.streamClient.Close()
}

// Ready tells whether the instance accepts callers.
func (i *Instance) Ready() bool {
	return i.catalog.Load() != nil && i.router.View().Instances > 0 && !i.draining.Load() && i.freshness.fresh()
}

// Revision returns the revision of the settings in force; 0 if there are none.
func (i *Instance) Revision() int64 {
	if a := i.current.Load(); a != nil {
		return a.Entry.Revision
	}
	return 0
}

// CallersAddr returns the address for callers.
func (i *Instance) CallersAddr() string { return i.deps.Callers.Addr().String() }

// OperatorsAddr returns the address for operators.
func (i *Instance) OperatorsAddr() string { return i.deps.Operators.Addr().String() }

// ReachableUnits returns the number of units for which this instance knows an endpoint.
func (i *Instance) ReachableUnits() int { return len(i.router.View().Replicas) }

// Counter returns the value of a counter of the instance; 0 if it does not exist yet.
func (i *Instance) Counter(name string) int64 {
	if v, ok := i.vars.Get(name).(*expvar.Int); ok {
		return v.Value()
	}
	return 0
}
