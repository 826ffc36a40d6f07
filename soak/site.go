package soak

import (
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/eiderspring/eiderspring/daemon"
	"github.com/eiderspring/eiderspring/platform/fake"
)

// Programs are the files of the programs that a site runs.
type Programs struct {
	// Node is eiderspring, Stand is eiderspring-soak with the stand-ins.
	Node, StandIns string
}

// Bounds that a site's instances are told.
const (
	orderLease   = 1500 * time.Millisecond
	settingsTime = 2 * time.Second
	graceTime    = 8 * time.Second
	// thawTime is for how long orders of an instance that woke do not count.
	thawTime = 300 * time.Millisecond
	// idleLimit is for how long callers' connections may rest; a NodeStandstill is
	// longer, also with the second that instances add to it.
	idleLimit = 2 * time.Second
)

// Memory of an engine, in MB, holds two of the models.
const (
	engineMB = 160.0
	modelMB  = 70.0
)

// Site is a store, endpoints and instances as processes, with proxies between.
type Site struct {
	dir   string
	size  Size
	store *process
	// registry is the store without a proxy.
	registry fake.RemoteRegistry
	control  string
	nodes    []*node
	workers  []*worker
	version  int64
	moved    bool

	mu      sync.Mutex
	records []Record
	// excused holds when each instance woke or got its links back.
	excused map[string][]time.Time
	// disturbances are those of callers' requests at each instance.
	disturbances map[string][]disturbance
}

// disturbance is a time in which an instance, or its callers' link, kept requests from
// their answers.
type disturbance struct {
	from, to time.Time
	action   Action
}

// excuses tells whether a request without an answer may be due to the disturbance. An
// instance that stands still ends no connection; one that is muted stays so.
func (d disturbance) excuses(a Result) bool {
	since := a.Sent
	if d.action == LinkMute {
		since = a.Dialed
	}
	stoodStill := d.action == NodePause || d.action == NodeStandstill
	return since.Before(d.to.Add(settleTime)) && a.Ended.After(d.from) && (a.TimedOut || !stoodStill)
}

type node struct {
	process
	// callers is where callers reach the instance, ready where it tells its
	// readiness.
	callers, ready string
	toStore        *Proxy
	fromCallers    *Proxy
}

type worker struct {
	process
	service string
	listen  string
	proxy   *Proxy
	// starting guards lives, which counts its incarnations: faults on one worker
	// overlap, and each starts it again.
	starting sync.Mutex
	lives    int
}

// Ports that a site uses lie below those that the system gives to connections that
// go out: one of these would else take the port of an instance that is down.
const (
	firstPort = 20_000
	lastPort  = 32_000
)

// nextPort is where this process looks for a free port; processes that run at the
// same time begin at different ones.
var nextPort atomic.Int64

func init() { nextPort.Store(int64(os.Getpid()) * 101) }

// freeAddress returns an address on loopback that nothing listens on.
func freeAddress() (string, error) {
	for range lastPort - firstPort {
		port := firstPort + nextPort.Add(1)%(lastPort-firstPort)
		address := net.JoinHostPort("127.0.0.1", strconv.FormatInt(port, 10))
		if unused(address) {
			return address, nil
		}
	}
	return "", errNoPort
}

var errNoPort = errors.New("no port is free on loopback")

// unused tells whether nothing listens at an address, by TCP or UDP.
func unused(address string) bool {
	tcp, err := net.Listen("tcp", address)
	if err != nil {
		return false
	}
	tcp.Close()
	udp, err := net.ListenPacket("udp", address)
	if err != nil {
		return false
	}
	udp.Close()
	return true
}

// addresses returns n free addresses.
func addresses(n int) ([]string, error) {
	out := make([]string, n)
	for i := range out {
		a, err := freeAddress()
		if err != nil {
			return nil, err
		}
		out[i] = a
	}
	return out, nil
}

// NewSite starts a site whose logs go to dir.
func NewSite(programs Programs, size Size, dir string) (*Site, error) {
	s := &Site{dir: dir, size: size, excused: map[string][]time.Time{}, disturbances: map[string][]disturbance{}}
	if err := s.start(programs); err != nil {
		s.Close()
		return nil, err
	}
	return s, nil
}

func (s *Site) start(programs Programs) error {
	if err := s.startStore(programs); err != nil {
		return err
	}
	if err := s.configure(); err != nil {
		return err
	}
	for i := range s.size.Engines + s.size.Plain {
		if err := s.addWorker(programs, i); err != nil {
			return err
		}
	}
	for i := range s.size.Nodes {
		if err := s.addNode(programs, i); err != nil {
			return err
		}
	}
	return nil
}

func (s *Site) startStore(programs Programs) error {
	address, err := freeAddress()
	if err != nil {
		return err
	}
	s.registry = fake.RemoteRegistry{URL: "http://" + address}
	s.control = s.registry.URL + "/control/"
	s.store = &process{name: "store", logs: s.dir, command: []string{programs.StandIns, "store", "--listen", address}}
	return s.store.start()
}

// storePatience bounds the operator's writes.
const storePatience = 20 * time.Second

// configure writes the next configuration and waits until the store has it.
func (s *Site) configure() error {
	s.version++
	return s.write()
}

// write writes the newest configuration.
func (s *Site) write() error {
	routes := fake.StandardRoutes()
	for i := range routes {
		routes[i].TimeoutMS = 6000
		if s.moved && routes[i].PathPrefix == kindSafe.Path {
			routes[i].PathPrefix = kindMoved.Path
		}
	}
	write := &configWriter{registry: s.registry, until: time.Now().Add(storePatience)}
	fake.ConfigureWithIdleTimeout(write, s.version, routes, idleLimit)
	return write.err
}

// configWriter writes until the store has acknowledged.
type configWriter struct {
	registry fake.RemoteRegistry
	until    time.Time
	err      error
}

// Put implements fake.Registry.
func (w *configWriter) Put(kind, name string, spec any) {
	for {
		w.err = w.registry.Write(kind, name, spec)
		if w.err == nil || time.Now().After(w.until) {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// Remove implements fake.Registry; a configuration is never removed.
func (w *configWriter) Remove(string, string) {}

func (s *Site) addWorker(programs Programs, i int) error {
	a, err := addresses(2)
	if err != nil {
		return err
	}
	proxy, err := NewProxy(a[1], a[0])
	if err != nil {
		return err
	}
	w := &worker{listen: a[0], proxy: proxy, service: fake.LLM}
	if i >= s.size.Engines {
		w.service = fake.Plain
	}
	w.process = process{name: "worker-" + strconv.Itoa(i), logs: s.dir, lines: s.note}
	s.workers = append(s.workers, w)
	return s.startWorker(programs.StandIns, w)
}

// id is the worker's name in its present incarnation.
func (w *worker) id() string { return fmt.Sprintf("%s-life-%d", w.name, w.lives) }

// startWorker starts a new incarnation of a worker, under a new id.
func (s *Site) startWorker(program string, w *worker) error { return s.startAgain(program, w, false) }

// startAgain starts a new incarnation of a worker, under the id that it had or a new one.
func (s *Site) startAgain(program string, w *worker, sameID bool) error {
	w.starting.Lock()
	defer w.starting.Unlock()
	if w.running() {
		return nil
	}
	if !sameID {
		w.lives++
	}
	w.command = []string{
		program, "worker", "--listen", w.listen, "--advertise", w.proxy.Address(), "--store", s.registry.URL,
		"--id", w.id(), "--service", w.service, "--capacity-mb", fmt.Sprint(engineMB), "--model-mb", fmt.Sprint(modelMB),
	}
	return w.start()
}

// spoilEntries leaves entries of another writer among those of workers, one of them under
// the id of a worker, which writes it again.
func (s *Site) spoilEntries(target int) {
	spoilt := map[string]any{
		"foreign-text": "not an entry", "foreign-list": []int{1}, "foreign-state": map[string]any{"service": fake.Plain, "state": "paused"},
		s.workers[target%len(s.workers)].id(): map[string]any{"service": fake.Plain, "address": "nowhere", "slots": "many", "born": 1.5},
	}
	for name, spec := range spoilt {
		s.registry.Put(fake.KindServers, name, spec)
	}
}

// happened tells whether something has happened at a worker.
func (s *Site) happened(id, what string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.ContainsFunc(s.records, func(r Record) bool { return r.Worker == id && r.What == what })
}

// note takes a line of a worker.
func (s *Site) note(line []byte) {
	r, err := recordLine(line)
	if err != nil {
		slog.Error("record unreadable", "line", string(line), "error", err.Error())
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.records = append(s.records, r)
}

func (s *Site) addNode(programs Programs, i int) error {
	// Front, readiness, operators, and the two proxies; peers use the front's port
	// by UDP.
	a, err := addresses(5)
	if err != nil {
		return err
	}
	toStore, err := NewProxy(a[3], s.registry.URL[len("http://"):])
	if err != nil {
		return err
	}
	fromCallers, err := NewProxy(a[4], a[0])
	if err != nil {
		return err
	}
	n := &node{callers: a[4], ready: a[1], toStore: toStore, fromCallers: fromCallers}
	n.name, n.logs = "node-"+strconv.Itoa(i), s.dir
	file, err := s.nodeConfig(n.name, a, toStore)
	if err != nil {
		return err
	}
	n.command = []string{programs.Node, "node"}
	n.env = append(os.Environ(), "EIDERSPRING_SETTINGS="+file)
	s.nodes = append(s.nodes, n)
	return n.start()
}

func (s *Site) nodeConfig(name string, a []string, toStore *Proxy) (string, error) {
	cfg := daemon.DefaultNodeConfig()
	cfg.Instance, cfg.FailureDomain = name, "z1"
	cfg.Callers, cfg.Readiness, cfg.Operators = a[0], a[1], a[2]
	cfg.ObjectStore = "http://" + toStore.Address()
	_, port, err := net.SplitHostPort(a[0])
	if err != nil {
		return "", err
	}
	first, err := strconv.Atoi(port)
	if err != nil {
		return "", err
	}
	cfg.PeerPorts = []int{first, first}
	cfg.Retries = daemon.NodeRetry{Ratio: 0.2, Slack: 20}
	cfg.Orders.LeaseMS = int(orderLease.Milliseconds())
	cfg.Limits.GraceMS = int(graceTime.Milliseconds())
	text, err := json.MarshalIndent(cfg, "", "  ")
	if err != nil {
		return "", err
	}
	file := filepath.Join(s.dir, name+".jsonc")
	return file, os.WriteFile(file, text, 0o644)
}

// excuse notes that orders of an instance do not count for a moment.
func (s *Site) excuse(n *node) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.excused[n.name] = append(s.excused[n.name], time.Now())
}

// excusedOrder tells whether an order came right after its sender woke or got a
// link back.
func (s *Site) excusedOrder(r Record) bool {
	return slices.ContainsFunc(s.excused[r.Holder], func(at time.Time) bool {
		since := r.At.Sub(at)
		return since >= 0 && since < thawTime
	})
}

// disturb notes a disturbance of an instance's callers that is over now.
func (s *Site) disturb(n *node, from time.Time, action Action) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.disturbances[n.name] = append(s.disturbances[n.name], disturbance{from: from, to: time.Now(), action: action})
}

// disturbed tells whether a request without an answer is excused.
func (s *Site) disturbed(a Result) bool {
	return slices.ContainsFunc(s.disturbances[s.nodes[a.Node].name], func(d disturbance) bool { return d.excuses(a) })
}

// tellStore changes how the store behaves.
func (s *Site) tellStore(path string) {
	resp, err := http.Post(s.control+path, "", nil)
	if err != nil {
		slog.Error("store not told", "path", path, "error", err.Error())
		return
	}
	resp.Body.Close()
}

// Close ends all processes that the site started.
func (s *Site) Close() {
	var wait sync.WaitGroup
	for _, n := range s.nodes {
		wait.Go(func() { n.signal(syscall.SIGCONT); n.end(syscall.SIGKILL, time.Second) })
		n.toStore.Close()
		n.fromCallers.Close()
	}
	for _, w := range s.workers {
		wait.Go(func() { w.signal(syscall.SIGCONT); w.end(syscall.SIGKILL, time.Second) })
		w.proxy.Close()
	}
	if s.store != nil {
		wait.Go(func() { s.store.end(syscall.SIGKILL, time.Second) })
	}
	wait.Wait()
}
