package daemon

import (
	"context"
	"crypto/rand"
	"expvar"
	randv2 "math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/gravitational/trace"

	"github.com/eiderspring/eiderspring/admission"
	"github.com/eiderspring/eiderspring/authority"
	"github.com/eiderspring/eiderspring/broadcast"
	"github.com/eiderspring/eiderspring/clock"
	"github.com/eiderspring/eiderspring/engine"
	"github.com/eiderspring/eiderspring/evacuation"
	"github.com/eiderspring/eiderspring/handover"
	"github.com/eiderspring/eiderspring/membership"
	"github.com/eiderspring/eiderspring/peer"
	"github.com/eiderspring/eiderspring/pipeline"
	"github.com/eiderspring/eiderspring/quarantine"
	"github.com/eiderspring/eiderspring/relay"
	"github.com/eiderspring/eiderspring/revision"
	"github.com/eiderspring/eiderspring/ring"
	"github.com/eiderspring/eiderspring/routing"
	"github.com/eiderspring/eiderspring/settings"
	"github.com/eiderspring/eiderspring/store"
)

// PlatformAdapter holds what a node needs to run on a platform: the client of its object store,
// the kinds and decoders of its objects, and the dialects of callers and endpoints.
type PlatformAdapter struct {
	// Store returns a client of the platform's object store.
	Store func(store.Config) store.Client
	// SettingsKind and SettingsName identify the object that holds the settings, which
	// DecodeSettings decodes.
	SettingsKind   store.Kind
	SettingsName   string
	DecodeSettings func(store.Object) (*revision.Accepted, error)
	// MembersKind is the kind of the endpoints' entries, which DecodeMember decodes.
	MembersKind  store.Kind
	DecodeMember func(store.Object) (membership.Member, error)
	// EvacuationsKind is the kind of the objects by which the platform evacuates failure
	// domains; each object is named after its domain. StoreVersion parses a resource version
	// of the store.
	EvacuationsKind store.Kind
	StoreVersion    func(resourceVersion string) (evacuation.Version, error)
	// Callers returns the dialect of callers, which reads the settings in force from catalog.
	Callers func(catalog func() *settings.Catalog, auth pipeline.Authenticator) pipeline.Dialect
	// Endpoints is the dialect of endpoints.
	Endpoints engine.Dialect
	// Controls returns the interface that sends orders to engines on behalf of an instance.
	Controls func(c *engine.Client, instance string) EngineControl
	// ReadyPath is the path of the platform's readiness probe.
	ReadyPath string
	// DialEndpoint opens connections to endpoints; nil means TCP with keep-alive probes.
	DialEndpoint engine.Dialer
}

// Node is one instance on a platform that provides an object store, a list of endpoints and a
// complete configuration. It has no persistent state of its own: all that it knows comes from
// the platform and from other instances, and may be lost at any time.
type Node struct {
	cfg      NodeConfig
	platform PlatformAdapter
	log      logr.Logger
	// clock includes time for which the machine is suspended; now is its Now method.
	clock *clock.Clock
	now   func() time.Time
	// suspensions holds the lengths of detected suspensions that were not handled yet.
	suspensions *ring.Ring[time.Duration]
	// storeTransport carries the calls to the store; cancelOverdue cancels requests whose
	// deadline has passed.
	storeTransport *interruptibleTransport
	cancelOverdue  func()
	// endRequests ends all requests in progress.
	endRequests func()
	// startedAt is when the process started.
	startedAt time.Time
	vars      *expvar.Map
	router    *routing.Router
	gates     *pipeline.Gates
	retries   *pipeline.RetryBudgets
	engine    *engine.Client
	// quarantine holds back requests that terminate endpoints; unsavedReports are its reports
	// that are still to be written to the store.
	quarantine *quarantine.Manager
	// keyAuthority tracks whether the node may authenticate by the account keys that it knows;
	// allowances enforces what accounts may use across all nodes.
	keyAuthority *keyAuthority
	allowances   *allowances
	// permits enforces the limits that endpoints set for all nodes together.
	permits *permits
	streams *streamVersions
	// lending lends places of contended endpoints; nil if the configuration has none.
	lending *lending
	// conditions judges the endpoints.
	conditions     *conditions
	unsavedReports *ring.Ring[quarantine.Report]
	// holds is set once the store's client is there.
	holds atomic.Pointer[holdsTask]
	// outlooks forecasts when requests can start; nil if that is off.
	outlooks *outlooks
	// promises remembers when refused callers were told to come back.
	promises *pipeline.Promises
	// control carries reports and orders, separately from callers' requests.
	control *engine.Client
	// path opens the connections to endpoints and tells whether any can be reached from here.
	path *endpointPath
	// leadsCutOff is set if this instance has campaigned although it reaches no endpoint, as no
	// other instance did.
	leadsCutOff atomic.Bool
	// handovers hands requests over to other instances while no endpoint can be reached.
	handovers *handovers
	mesh      *mesh
	// relays requests the list of endpoints from other instances, and serves it to them.
	relays *relays
	// eras tracks the eras of the store; eraStarted signals that a new one has begun.
	eras       *store.Eras
	eraStarted chan struct{}
	placers    *placers
	presence   *presenceTask
	events     *ring.Ring[event]
	// eventsLag and entriesLag measure for how long answers of the store wait until they are
	// in the view and in the list of endpoints.
	eventsLag, entriesLag *lagTracker
	storeLink             *storeLink
	idle                  *idleConns
	catalog               atomic.Pointer[settings.Catalog]
	// retrySettings is the configuration in force, which a reload replaces. stopping is when
	// a planned stop began, or nil.
	retrySettings atomic.Pointer[NodeRetry]
	stopping      atomic.Pointer[time.Time]
	// ranks caches a poolRank for each pool.
	ranks sync.Map

	callerServer, readinessServer, operatorServer *nodeServer
	runCtx                                        context.Context
	stop                                          context.CancelFunc
	done                                          sync.WaitGroup
}

// idlePerEndpoint is how many idle connections a node keeps to each endpoint. Endpoints limit
// the connections from all instances together (limits from 96 to 860 occur): connections in
// use are bounded by the endpoint's slots, idle ones by this constant.
const idlePerEndpoint = 8

// nodeServer is an HTTP server and its listener.
type nodeServer struct {
	listener net.Listener
	server   *http.Server
}

func (s *nodeServer) serve() error { return s.server.Serve(s.listener) }

// NewNode returns a node that listens but serves no requests until Run is called.
func NewNode(cfg NodeConfig, platform PlatformAdapter, log logr.Logger) (*Node, error) {
	n := &Node{
		cfg: cfg, platform: platform, log: log, vars: new(expvar.Map).Init(),
		router:         routing.NewRouter(routing.Policies()[cfg.RoutingPolicy], randv2.Float64),
		retries:        pipeline.NewRetryBudgets(cfg.Retries.instanceLimits(0)),
		events:         ring.New[event](eventsCapacity, ring.Block),
		suspensions:    ring.New[time.Duration](suspensionsCapacity, ring.DropOldest),
		unsavedReports: ring.New[quarantine.Report](pendingHoldsCapacity, ring.DropOldest),
		eras:           &store.Eras{}, eraStarted: make(chan struct{}, 1),
	}
	n.eras.OnBegin(n.onEraBegin)
	n.runCtx, n.stop = context.WithCancel(context.Background())
	n.clock = clock.New(clock.System(), func(slept time.Duration) { _ = n.suspensions.Put(n.runCtx, slept) })
	n.now = n.clock.Now
	n.vars.Set("suspensions", expvar.Func(func() any { return n.clock.Suspensions() }))
	n.retrySettings.Store(&cfg.Retries)
	n.startedAt = n.now()
	n.storeLink = &storeLink{log: log, now: n.now}
	n.idle = newIdleConns(log, n.now, n.idleLimit)
	n.gates = pipeline.NewGates(admission.Limits{MaxWaiters: cfg.Limits.QueueRequests, MaxBytes: cfg.Limits.QueueBytes}, n.now)
	n.path = n.newPath(platform.DialEndpoint)
	descriptors := descriptorLimit(cfg.Limits.Descriptors)
	n.idle.maxOpen = func() int { return maxCallerConns(descriptors, n.path.openConns()) }
	said := &statements{router: n.router, onLeaving: n.endpointSaidLeaving, vars: n.vars, log: log, now: n.now}
	n.engine = engine.NewClient(engine.Config{Dial: n.path.DialContext, IdlePerEndpoint: idlePerEndpoint, Dialect: platform.Endpoints, Statements: said})
	n.control = engine.NewClient(engine.Config{Dial: n.path.DialContext, Dialect: platform.Endpoints, IdlePerEndpoint: 1, Statements: said})
	n.quarantine = quarantine.NewManager(quarantine.Config{
		Limits: cfg.Quarantine.limits(), Now: n.now, Log: log, Wake: func() { n.mesh.sendSoon() },
		Persist: func(w quarantine.Report) { _ = n.unsavedReports.Put(n.runCtx, w) }, Trials: quarantine.TrialsFunc(n.claimTrial),
	})
	n.vars.Set("quarantine", expvar.Func(func() any { return n.quarantine.Stats() }))
	n.storeTransport = newInterruptibleTransport(&http.Transport{
		DialContext: newKeepAliveDialer().DialContext, MaxIdleConnsPerHost: platformConns, IdleConnTimeout: time.Minute,
		MaxResponseHeaderBytes: store.MaxHeadBytes,
	})
	n.permits = newPermits(cfg.Instance, n.router, log, n.now)
	n.router.SetPermits(n.permits.limiter)
	n.conditions = newConditions(cfg.Instance, n.router, n.vars, log, n.now)
	n.mesh = n.newMesh()
	n.conditions.instances, n.conditions.engines = n.mesh.instanceNames, n.enginePools
	n.permits.connect(n.mesh, n.gates.Wake)
	n.streams = newStreamVersions(n.mesh, n.vars, n.log, n.now)
	n.mesh.streams = n.streams
	if n.lending = newLending(cfg, n.mesh.process, n.router, n.gates, log, n.now); n.lending != nil {
		n.lending.fleet, n.lending.sendTo, n.mesh.lending = n.mesh.permitIssuers, n.mesh.sendTo, n.lending
		n.mesh.pools = &poolModes{router: n.router}
	}
	n.handovers = &handovers{
		instance: cfg.Instance, path: n.path, candidates: n.mesh.helperCandidates, address: n.mesh.streamAddress, revision: n.revision, stopping: func() bool { return n.stopping.Load() != nil },
		vars: n.vars, log: log, now: n.now, helpers: handover.NewHelpers(cfg.Instance),
	}
	n.relays = &relays{
		onOpen:   n.handovers.open,
		instance: n.cfg.Instance, failureDomain: n.cfg.FailureDomain, address: n.mesh.self.Streams,
		fleet: n.mesh.fleet, streamAddress: n.mesh.streamAddress, isHolder: n.mesh.isHolder, holderAttests: n.mesh.holderAttests, storeAnswers: n.storeAnswers, attest: n.addAttestation, onDelta: n.applyAttestation, feed: relay.NewFeed(n.mesh.process),
		holdTime: n.relayHold, attestationLifetime: n.cfg.Fresh.relayAttestationLifetime(), fleetVersion: n.mesh.knownVersion, log: n.log, now: n.now,
	}
	n.vars.Set("evacuated", expvar.Func(func() any { return n.evacuationStats() }))
	n.vars.Set("relays", expvar.Func(func() any { return n.relays.stats() }))
	n.vars.Set("endpoint_path", expvar.Func(func() any { return n.path.stats() }))
	n.vars.Set("handover", expvar.Func(func() any { return n.handovers.stats() }))
	n.vars.Set("conditions", expvar.Func(func() any { return n.conditions.stats() }))
	n.vars.Set("limits", expvar.Func(func() any { return n.permits.stats() }))
	n.vars.Set("lending", expvar.Func(func() any { return n.lending.stats() }))
	n.vars.Set("mesh", expvar.Func(func() any { return n.mesh.stats() }))
	n.vars.Set("keys_age_ms", expvar.Func(func() any { return n.keyAuthority.ageMS() }))
	n.vars.Set("allowances", expvar.Func(func() any { return n.allowances.stats(n.catalog.Load()) }))
	if err := n.listen(); err != nil {
		n.Kill()
		return nil, err
	}
	return n, nil
}

// assumedInstances is the number of instances among which the common slack of retries is
// divided while their real number is not known.
const assumedInstances = 16

// instanceLimits returns one instance's share of the retries that all instances may make. A
// part stays unused, as a restarted instance starts a new budget, whatever retries it made
// before.
func (r NodeRetry) instanceLimits(instances int) pipeline.RetryLimits {
	const used = 0.8
	if instances == 0 {
		instances = assumedInstances
	}
	return pipeline.RetryLimits{Ratio: r.Ratio * used, Burst: max(1, r.Slack*used/float64(instances))}
}

// updateRetryLimits sets this instance's share of the common retries for a number of instances.
func (n *Node) updateRetryLimits(instances int) {
	n.retries.SetLimits(n.retrySettings.Load().instanceLimits(instances))
}

// setInstanceCount takes the number of listed instances.
func (n *Node) setInstanceCount(instances int) {
	n.updateRetryLimits(instances)
	n.allowances.limiter.SetInstanceCount(instances)
	n.router.SetInstances(instances)
}

func (n *Node) newMesh() *mesh {
	host, _, err := net.SplitHostPort(n.cfg.Callers)
	if err != nil {
		// The configuration was validated when it was read.
		host = ""
	}
	address, process := net.JoinHostPort(host, strconv.Itoa(n.cfg.PeerPorts[0])), rand.Text()
	holds := func() bool { return n.placers.holds() }
	n.keyAuthority = &keyAuthority{
		tracker: authority.NewTracker(n.cfg.Fresh.maxKeysAge()), now: n.now, exactNow: n.clock.NowExact, revision: n.revision, responds: holds,
		send: func(p peer.Packet, to []string) { n.mesh.send(n.mesh.stamp(p), to) }, log: n.log,
	}
	n.allowances = newAllowances(n.cfg.Allowances, process, holds, func() int { return n.mesh.listedCount() }, n.now)
	n.promises = &pipeline.Promises{}
	n.outlooks = newOutlooks(n.cfg.Outlook, n.promises, n.now, n.vars)
	m := &mesh{
		keyAuthority: n.keyAuthority, allowances: n.allowances, permits: n.permits, conditions: n.conditions, outlooks: n.outlooks, evacuations: n.newEvacuations(), eras: n.eras,
		instance: n.cfg.Instance, process: process, address: address,
		router: n.router, gates: n.gates, demand: &pipeline.Demand{}, quarantine: n.quarantine, log: n.log, now: n.now,
		onPlacements:   func(p []peer.Placement) { _ = n.events.Put(n.runCtx, placementsReceived{p}) },
		onDemand:       func(d map[string]peer.Demand) { n.placers.demandReported(d) },
		onSuspects:     func(endpoints []string) { n.placers.requestsFailed(endpoints) },
		onReplaced:     n.endpointsReplaced,
		onPartition:    func(alone bool) { n.placers.setIsolated(alone) },
		leaving:        func() bool { return n.stopping.Load() != nil },
		storeCurrent:   n.current,
		placesByPlaces: func() bool { return n.placers.byPlaces.Load() },
		inputs:         ring.New[receivedPacket](meshInputCapacity, ring.DropOldest), urgent: make(chan struct{}, 1),
		listed: map[string]presence{}, fleetView: peer.NewFleetView(),
		self: presence{
			Datagrams: address, Streams: n.streamsAddress(host), FailureDomain: n.cfg.FailureDomain, Cores: n.cfg.Limits.CPUShare * n.cfg.Limits.CoreSpeed,
		},
		regions:  n.cfg.Regions,
		revision: n.revision, newerSettings: make(chan struct{}, 1), withdrawn: map[string]withdrawal{}, saidLeaving: map[string]withdrawal{},
		onSaidLeaving:      n.othersHeardLeaving,
		onEndpointsLeaving: func(leaving []endpointIncarnation) { _ = n.events.Put(n.runCtx, endpointsWithdrawn{leaving}) },
		isHolder:           holds,
		onInstanceCount:    n.setInstanceCount,
		linkBytesPerSecond: n.cfg.Limits.LinkMbps * bytesPerMbit,
		totals:             totals{holderTimeout: n.cfg.Fresh.holderTimeout()},
	}
	n.outlooks.connect(m)
	m.outgoingTotals.Significant = broadcast.Significant(n.router.Concurrency, m.announceInterval)
	return m
}

// openLinks opens the links to the other instances with key, or changes their key if they are
// open.
func (n *Node) openLinks(key []byte) error {
	if err := n.mesh.open(key); err != nil {
		return err
	}
	return n.relays.open(key)
}

// streamsAddress returns the address at which this node serves streams of other instances: the
// port after that for datagrams; empty if the port range ends there.
func (n *Node) streamsAddress(host string) string {
	port := n.cfg.PeerPorts[0] + 1
	if port > n.cfg.PeerPorts[1] {
		return ""
	}
	return net.JoinHostPort(host, strconv.Itoa(port))
}

// newEvacuations returns the record of evacuated failure domains; nil if the platform evacuates
// none.
func (n *Node) newEvacuations() *evacuations {
	if n.cfg.Fresh.EvacuateMS == 0 {
		return nil
	}
	return &evacuations{log: n.log, onChange: func(domains []string) {
		_ = n.events.Put(n.runCtx, domainsEvacuated{domains})
		n.mesh.sendSoon()
	}}
}

// holderID returns the identity of this process as a lease holder, unique among all processes.
func (n *Node) holderID() string { return n.cfg.Instance + "/" + n.mesh.process }

func (n *Node) listen() error {
	dialect := n.platform.Callers(n.catalog.Load, pipeline.Authenticator{TokensCurrent: n.keyAuthority.current})
	handler := pipeline.New(pipeline.Config{
		Handover: n.handovers,
		Outlook:  n.outlooks.forPipeline(),
		Dialect:  dialect, Catalog: n.catalog.Load, Router: n.router, Gates: n.gates, Engine: n.engine, Retries: n.retries,
		Demand: n.mesh.demand, Promises: n.promises, OnNoReplica: n.mesh.sendSoon,
		Metrics: pipeline.NewMetrics(n.vars), Log: n.log, Now: n.now, FailureDomain: n.cfg.FailureDomain,
		SettingsOutdated: n.mesh.outdated, Revisions: n.revisions, EndpointsAgeMS: n.endpointsAgeMS, Quarantine: n.quarantine, Allowances: n.allowances.limiter, Permits: n.permits.limiter,
		Conditions: n.conditions, StreamVersions: n.streams, Refuses: n.refusesUnsent,
	})
	n.cancelOverdue, n.endRequests = handler.CancelOverdue, handler.EndAll
	n.handovers.serve = handler.ServeHandedOver
	for _, s := range []struct {
		into    **nodeServer
		address string
		handler http.Handler
	}{
		{&n.callerServer, n.cfg.Callers, n.admit(dialect, handler)},
		{&n.readinessServer, n.cfg.Readiness, n.readiness()},
		{&n.operatorServer, n.cfg.Operators, n.metrics()},
	} {
		listener, err := net.Listen("tcp", s.address)
		if err != nil {
			return trace.Wrap(err)
		}
		read := milliseconds(n.cfg.Limits.ReadMS)
		*s.into = &nodeServer{listener: listener, server: &http.Server{
			Handler: s.handler, MaxHeaderBytes: n.cfg.Limits.HeaderBytes, ReadHeaderTimeout: read, ReadTimeout: read,
			// idleConns enforces the shorter limit of the settings in force on callers'
			// connections.
			IdleTimeout: maxConnIdle,
		}}
	}
	return nil
}

// maxConnIdle is how long a connection may be idle whatever the settings say.
const maxConnIdle = time.Hour

func (n *Node) idleLimit() time.Duration {
	c := n.catalog.Load()
	if c == nil || c.Tree.Edge == nil {
		return 0
	}
	return time.Duration(c.Tree.Edge.Limits.IdleMS) * time.Millisecond
}

// Ready reports whether the node accepts requests of callers.
func (n *Node) Ready() bool {
	c := n.catalog.Load()
	if c == nil || len(n.router.View().Pools) == 0 || n.stopping.Load() != nil {
		return false
	}
	// While the account keys may not be used, the node would reject callers with keys.
	return !c.Tree.Edge.RequiresToken || n.keyAuthority.current(c.Revision)
}

// CallersAddr, ReadinessAddr and OperatorsAddr return the addresses that the node listens on.
func (n *Node) CallersAddr() string   { return n.callerServer.listener.Addr().String() }
func (n *Node) ReadinessAddr() string { return n.readinessServer.listener.Addr().String() }
func (n *Node) OperatorsAddr() string { return n.operatorServer.listener.Addr().String() }

func (n *Node) readiness() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+n.platform.ReadyPath, func(w http.ResponseWriter, _ *http.Request) {
		if !n.Ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	return mux
}

// Publish adds a metric to those that the operators' listener serves.
func (n *Node) Publish(name string, v expvar.Var) { n.vars.Set(name, v) }

func (n *Node) metrics() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /debug/vars", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json; charset=utf-8")
		_, _ = w.Write(append(encodeMetrics(n.vars), '\n'))
	})
	return mux
}

func (n *Node) revision() int64 {
	if c := n.catalog.Load(); c != nil {
		return c.Revision
	}
	return 0
}

// revisions returns the revision of the settings in force and the newest that any instance is
// known to have.
func (n *Node) revisions() pipeline.Revisions {
	inForce := n.revision()
	return pipeline.Revisions{InForce: inForce, Newest: max(inForce, n.mesh.newestRevision.Load())}
}

// applySettings puts accepted settings in force.
func (n *Node) applySettings(a *revision.Accepted) *settings.Catalog {
	a.Tree.Regions = n.cfg.Regions
	c := settings.NewCatalog(a.Tree)
	c.Revision = a.Entry.Revision
	n.allowances.setLimits(a.Tree)
	n.catalog.Store(c)
	n.log.V(1).Info("settings", "routes", len(a.Tree.Edge.Routes), "pools", len(a.Tree.Pools))
	return c
}
