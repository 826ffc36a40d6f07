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

// Fleet is a whole deployment that runs in this process.
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

// endpointSpec describes an endpoint or instance to start.
type endpointSpec struct{ name, domain string }

// host is the HTTP server of a stand-in, which can be killed.
type host struct {
	member standin.Member
	server *http.Server
	// killed is set when it is killed, leaving when it starts to leave.
	killed, leaving atomic.Bool
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
	pauser   *pauser
	stop     context.CancelFunc
	done     chan error
}

const firstIncarnation = "1"

// Start starts a deployment and waits until every instance is ready.
func Start(o Options) (*Fleet, error) {
	d, known := Deployments()[o.Deployment]
	if !known {
		return nil, trace.BadParameter("unknown deployment %q", o.Deployment)
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
	for _, name := range sortedPoolNames(tree) {
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

// PeerBytes returns the total bytes of the datagrams that the instances have
// sent and received.
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
	resident := map[string]map[string]int64{}
	if p.Kind == settings.KindEngine && !o.Cold {
		resident = initialPlacement(f.catalog, name, specs)
	}
	for _, spec := range specs {
		var err error
		if p.Kind == settings.KindEngine {
			err = f.startEngine(name, p, spec, resident[spec.name])
		} else {
			err = f.startService(name, spec)
		}
		if err != nil {
			return trace.Wrap(err)
		}
	}
	return nil
}

func (f *Fleet) startEngine(pool string, p *settings.Pool, spec endpointSpec, resident map[string]int64) error {
	e := standin.NewEngine(standin.EngineConfig{
		Name: spec.name, MemoryMB: p.MemoryMB, Concurrency: p.Concurrency, ChecksFencing: p.ChecksFencing,
		Weights: f.platform.Weights, StepBase: stepBase, StepPerSequence: stepPerSequence,
		PrefillPerToken: prefillPerToken, MaxWaiting: engineQueueLimit, LoadLag: loadLag,
	}, firstIncarnation, resident)
	server, address, err := listenAndServe(e)
	if err != nil {
		return err
	}
	h := &engineHost{engine: e}
	h.member, h.server = newMember(pool, spec, address), server
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
	h.member, h.server = newMember(pool, spec, address), server
	f.services = append(f.services, h)
	f.closers = append(f.closers, func() { server.Close() })
	f.platform.Members.Set(h.member)
	return nil
}

func newMember(pool string, spec endpointSpec, address string) standin.Member {
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
	peers, ports, err := freePeerAddresses()
	if err != nil {
		return err
	}
	cfg.Peers = peers
	if o.RoutingPolicy != "" {
		cfg.RoutingPolicy = o.RoutingPolicy
	}
	h := &instanceHost{pauser: newPauser(), done: make(chan error, 1)}
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
		Callers: pausableListener{callers, h.pauser}, Operators: pausableListener{operators, h.pauser}, Dial: h.pauser.dial, Log: log,
	})
	if err != nil {
		return err
	}
	h.member = newMember(membership.InstancePool, spec, callers.Addr().String())
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

// demoPeerKey is the key with which the instances of a demo seal their messages.
const demoPeerKey = "6569646572737072696e672064656d6f206b6579206f6e6c7920666f72206465"

// freePeerAddresses returns peer addresses on two free UDP ports, and the ports.
func freePeerAddresses() (daemon.Peers, [2]int, error) {
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

// startTimeout bounds the wait until a fleet is ready.
const startTimeout = 30 * time.Second

func (f *Fleet) waitReady(instances int) error {
	deadline := time.Now().Add(startTimeout)
	for time.Now().Before(deadline) {
		if f.balancer.Ready() == instances && f.allUnitsReachable() {
			return nil
		}
		time.Sleep(50 * time.Millisecond)
	}
	return trace.LimitExceeded("the fleet is not ready after %s", startTimeout)
}

// allUnitsReachable reports whether every instance can reach as many units as the
// engines hold ready.
func (f *Fleet) allUnitsReachable() bool {
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

// Close stops the instances and the stand-ins, in reverse order of their start.
func (f *Fleet) Close() {
	for i := len(f.closers) - 1; i >= 0; i-- {
		f.closers[i]()
	}
}

// targetUnit returns the unit to which a name resolves, as responses name it.
func (f *Fleet) targetUnit(name string) string { return f.catalog.Targets[name].Unit }

func (f *Fleet) String() string {
	return strconv.Itoa(len(f.instances)) + " instances, " + strconv.Itoa(len(f.engines)) + " engines, " +
		strconv.Itoa(len(f.services)) + " plain endpoints, " + strconv.Itoa(len(f.catalog.Units)) + " models and adapters"
}
