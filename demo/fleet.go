package demo

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/gravitational/trace"

	"github.com/eiderspring/eiderspring/daemon"
	"github.com/eiderspring/eiderspring/membership"
	"github.com/eiderspring/eiderspring/revision"
	"github.com/eiderspring/eiderspring/settings"
	"github.com/eiderspring/eiderspring/standin"
	"github.com/eiderspring/eiderspring/store"
)

// Fleet is a whole deployment in this process.
type Fleet struct {
	catalog     *settings.Catalog
	platform    *standin.Platform
	platformURL string
	engines     []*engineHost
	services    []*serviceHost
	instances   []*instanceHost
	balancer    *standin.Balancer
	balancerURL string
	closers     []func()
}

// endpointSpec is one endpoint before it is started.
type endpointSpec struct{ name, domain string }

// host is a stand-in behind a listener that can be cut.
type host struct {
	member standin.Member
	server *http.Server
	// gone is set once it was killed, leaving once it leaves.
	gone, leaving atomic.Bool
}

type engineHost struct {
	host
	engine *standin.Engine
}

type serviceHost struct {
	host
	service *standin.Service
}

type instanceHost struct {
	member   standin.Member
	instance *daemon.Instance
	freezer  *freezer
	stop     context.CancelFunc
	done     chan error
}

const firstIncarnation = "1"

// Start starts a deployment and waits until every instance is ready.
func Start(o Options) (*Fleet, error) {
	d, known := Deployments()[o.Deployment]
	if !known {
		return nil, trace.BadParameter("no deployment %q", o.Deployment)
	}
	return startFleet(d, o)
}

func startFleet(d Deployment, o Options) (*Fleet, error) {
	tree, err := settings.Load(d.Name, d.Settings)
	if err != nil {
		return nil, err
	}
	f := &Fleet{catalog: settings.NewCatalog(tree)}
	if err := f.start(d, o); err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}

func (f *Fleet) start(d Deployment, o Options) error {
	tree := f.catalog.Tree
	f.platform = standin.NewPlatform(listLag, standin.NewWeightStore(tree.WeightStore.LoadsPerSecond, tree.WeightStore.Concurrent))
	server, address, err := listenAndServe(f.platform)
	if err != nil {
		return trace.Wrap(err)
	}
	f.closers = append(f.closers, func() { server.Close() })
	f.platformURL = "http://" + address
	for _, name := range sortedPools(tree) {
		if err := f.startPool(name, tree.Pools[name], o); err != nil {
			return err
		}
	}
	publisher := revision.NewPublisher(store.NewHTTPClient(store.Config{URL: f.platformURL}), time.Now)
	if _, err := publisher.Publish(context.Background(), d.Name, d.Settings, "demo", 0); err != nil {
		return trace.Wrap(err)
	}
	if err := f.startInstances(o, tree.FailureDomains); err != nil {
		return err
	}
	return f.waitReady(o.Instances)
}

// Objects returns the object API's stand-in.
func (f *Fleet) Objects() *standin.ObjectAPI { return f.platform.Objects }

// PlatformURL returns the platform's URL.
func (f *Fleet) PlatformURL() string { return f.platformURL }

// Revisions returns the revision in force at each instance.
func (f *Fleet) Revisions() []int64 {
	revisions := make([]int64, len(f.instances))
	for i, h := range f.instances {
		revisions[i] = h.instance.Revision()
	}
	return revisions
}

// PeerBytes returns the bytes of datagrams that all instances have sent and
// received.
func (f *Fleet) PeerBytes() int64 {
	var n int64
	for _, h := range f.instances {
		n += h.instance.Counter("peer_bytes_in") + h.instance.Counter("peer_bytes_out")
	}
	return n
}

func listenAndServe(h http.Handler) (*http.Server, string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, "", err
	}
	s := &http.Server{Handler: h}
	go func() { _ = s.Serve(l) }()
	return s, l.Addr().String(), nil
}

func (f *Fleet) startPool(name string, p *settings.Pool, o Options) error {
	specs := make([]endpointSpec, p.Endpoints)
	for i := range specs {
		domains := f.catalog.Tree.FailureDomains
		specs[i] = endpointSpec{name: fmt.Sprintf("%s-%02d", name, i), domain: domains[i%len(domains)]}
	}
	held := map[string]map[string]int64{}
	if p.Kind == settings.KindEngine && !o.Cold {
		held = warmPlacement(f.catalog, name, specs)
	}
	for _, spec := range specs {
		var err error
		if p.Kind == settings.KindEngine {
			err = f.startEngine(name, p, spec, held[spec.name])
		} else {
			err = f.startService(name, spec)
		}
		if err != nil {
			return trace.Wrap(err)
		}
	}
	return nil
}

func (f *Fleet) startEngine(pool string, p *settings.Pool, spec endpointSpec, held map[string]int64) error {
	e := standin.NewEngine(standin.EngineConfig{
		Name: spec.name, MemoryMB: p.MemoryMB, Concurrency: p.Concurrency, ChecksFencing: p.ChecksFencing,
		Weights: f.platform.Weights, StepBase: stepBase, StepPerSequence: stepPerSequence,
		PrefillPerToken: prefillPerToken, MaxWaiting: engineWaiting, LoadLag: loadLag,
	}, firstIncarnation, held)
	server, address, err := listenAndServe(e)
	if err != nil {
		return err
	}
	h := &engineHost{engine: e}
	h.member, h.server = member(pool, spec, address), server
	f.engines = append(f.engines, h)
	f.closers = append(f.closers, func() { e.Close(); server.Close() })
	f.platform.Members.Set(h.member)
	return nil
}

func (f *Fleet) startService(pool string, spec endpointSpec) error {
	s := standin.NewService(serviceLatency)
	server, address, err := listenAndServe(s)
	if err != nil {
		return err
	}
	h := &serviceHost{service: s}
	h.member, h.server = member(pool, spec, address), server
	f.services = append(f.services, h)
	f.closers = append(f.closers, func() { server.Close() })
	f.platform.Members.Set(h.member)
	return nil
}

func member(pool string, spec endpointSpec, address string) standin.Member {
	return standin.Member{
		Name: spec.name, Pool: pool, Address: address, FailureDomain: spec.domain,
		Incarnation: firstIncarnation, State: standin.MemberLive,
	}
}

func (f *Fleet) startInstances(o Options, domains []string) error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return trace.Wrap(err)
	}
	if o.Listen != "" {
		l.Close()
		if l, err = net.Listen("tcp", o.Listen); err != nil {
			return trace.Wrap(err)
		}
	}
	f.balancer = standin.NewBalancer(l)
	f.balancerURL = "http://" + l.Addr().String()
	f.closers = append(f.closers, f.balancer.Close)
	for i := range o.Instances {
		spec := endpointSpec{name: fmt.Sprintf("entry-%02d", i), domain: domains[i%len(domains)]}
		if err := f.startInstance(spec, o); err != nil {
			return trace.Wrap(err)
		}
	}
	return nil
}

func (f *Fleet) startInstance(spec endpointSpec, o Options) error {
	cfg := daemon.DefaultConfig()
	cfg.Instance, cfg.Incarnation, cfg.FailureDomain = spec.name, firstIncarnation, spec.domain
	cfg.Platform = daemon.Platform{ObjectAPI: f.platformURL, Members: f.platformURL}
	peers, ports, err := peerAddresses()
	if err != nil {
		return err
	}
	cfg.Peers = peers
	if o.RoutingPolicy != "" {
		cfg.RoutingPolicy = o.RoutingPolicy
	}
	h := &instanceHost{freezer: newFreezer(), done: make(chan error, 1)}
	callers, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	operators, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	log := logr.Discard()
	if o.Log != nil {
		log = daemon.NewLogger(o.Log, "info")
	}
	h.instance, err = daemon.New(cfg, daemon.Deps{
		Callers: frozenListener{callers, h.freezer}, Operators: frozenListener{operators, h.freezer}, Dial: h.freezer.dial, Log: log,
	})
	if err != nil {
		return err
	}
	h.member = member(membership.InstancePool, spec, callers.Addr().String())
	h.member.PeerPort, h.member.StreamPort = ports[0], ports[1]
	var ctx context.Context
	ctx, h.stop = context.WithCancel(context.Background())
	go func() { h.done <- h.instance.Run(ctx) }()
	f.instances = append(f.instances, h)
	f.closers = append(f.closers, h.instance.Kill)
	f.platform.Members.Set(h.member)
	f.balancer.Add(callers.Addr().String(), operators.Addr().String())
	return nil
}

// demoPeerKey seals the link between the instances of a demo.
const demoPeerKey = "6569646572737072696e672064656d6f206b6579206f6e6c7920666f72206465"

// peerAddresses finds two free UDP ports.
func peerAddresses() (daemon.Peers, [2]int, error) {
	var ports [2]int
	for i := range ports {
		c, err := net.ListenPacket("udp", "127.0.0.1:0")
		if err != nil {
			return daemon.Peers{}, ports, err
		}
		defer c.Close()
		ports[i] = c.LocalAddr().(*net.UDPAddr).Port
	}
	address := func(port int) string { return net.JoinHostPort("127.0.0.1", strconv.Itoa(port)) }
	return daemon.Peers{Datagrams: address(ports[0]), Streams: address(ports[1]), Keys: []string{demoPeerKey}}, ports, nil
}

// startTimeout bounds the start of a fleet.
const startTimeout = 30 * time.Second

func (f *Fleet) waitReady(instances int) error {
	deadline := time.Now().Add(startTimeout)
	for time.Now().Before(deadline) {
		if f.balancer.Ready() == instances && f.routed() {
			return nil
		}
		time.Sleep(50 * time.Millisecond)
	}
	return trace.LimitExceeded("the fleet is not ready after %s", startTimeout)
}

// routed tells whether every instance knows of every unit that an engine holds.
func (f *Fleet) routed() bool {
	units := map[string]bool{}
	for _, e := range f.engines {
		for _, u := range e.engine.ReadyUnits() {
			units[u] = true
		}
	}
	for _, h := range f.instances {
		if h.instance.ReachableUnits() < len(units) {
			return false
		}
	}
	return true
}

// Close ends everything.
func (f *Fleet) Close() {
	for i := len(f.closers) - 1; i >= 0; i-- {
		f.closers[i]()
	}
}

// target returns the unit behind a name, as answers name it.
func (f *Fleet) target(name string) string { return f.catalog.Targets[name].Unit }

func (f *Fleet) String() string {
	return strconv.Itoa(len(f.instances)) + " instances, " + strconv.Itoa(len(f.engines)) + " engines, " +
		strconv.Itoa(len(f.services)) + " plain endpoints, " + strconv.Itoa(len(f.catalog.Units)) + " models and adapters"
}
