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

// Programs are the files of the programs that a testbed runs.
type Programs struct {
	// Node is eiderspring. StandIns is eiderspring-soak, which contains the stand-ins.
	Node, StandIns string
}

// Bounds for the instances of a testbed. All but resumeGrace are in their configuration:
// leavingTime is the default of Fresh.LeavingMS, the time within which an endpoint that
// leaves must receive no more requests.
const (
	orderLease  = 1500 * time.Millisecond
	leavingTime = 2 * time.Second
	stopGrace   = 8 * time.Second
	// resumeGrace is how long orders are excused after their sender resumes or its
	// links recover.
	resumeGrace = 300 * time.Millisecond
	// idleTimeout is how long callers' connections may be idle. A NodeStandstill is
	// longer, even with the second that instances add to the timeout.
	idleTimeout = 2 * time.Second
)

// Memory of an engine and size of a model, in MB. An engine holds two models.
const (
	engineMB = 160.0
	modelMB  = 70.0
)

// Testbed runs a store, endpoints and instances as processes, connected through
// proxies.
type Testbed struct {
	dir   string
	size  Size
	store *process
	// registry accesses the store without a proxy.
	registry   fake.RemoteRegistry
	controlURL string
	nodes      []*node
	workers    []*worker
	version    int64
	routeMoved bool

	mu      sync.Mutex
	records []Record
	// excused holds the times at which each instance resumed or its links recovered.
	excused map[string][]time.Time
	// disturbances are, per instance, those that affect callers' requests.
	disturbances map[string][]disturbance
}

// disturbance is a period in which a fault of an instance, or of its link to callers,
// may prevent responses.
type disturbance struct {
	from, to time.Time
	action   Action
}

// excuses reports whether the disturbance may be the reason for a missing response. A
// paused instance closes no connection, so that it explains only timeouts. A muted
// connection stays muted, so that LinkMute affects all requests on connections from
// before it.
func (d disturbance) excuses(res Result) bool {
	since := res.Sent
	if d.action == LinkMute {
		since = res.Dialed
	}
	wasPaused := d.action == NodePause || d.action == NodeStandstill
	return since.Before(d.to.Add(settleTime)) && res.Ended.After(d.from) && (res.TimedOut || !wasPaused)
}

type node struct {
	process
	// callerAddress is where callers reach the instance, through a proxy.
	// readyAddress is where it serves its readiness.
	callerAddress, readyAddress string
	toStore                     *Proxy
	fromCallers                 *Proxy
}

type worker struct {
	process
	service string
	listen  string
	proxy   *Proxy
	// starting guards incarnations, the number of incarnations under ids of their own.
	// Faults of one worker overlap, and each restarts it.
	starting     sync.Mutex
	incarnations int
}

// Ports of a testbed lie below the ephemeral ports of the operating system: otherwise an
// outgoing connection could take the port of an instance that is down.
const (
	firstPort = 20_000
	lastPort  = 32_000
)

// nextPort is where this process next looks for a free port. Concurrent processes start
// at different ports.
var nextPort atomic.Int64

func init() { nextPort.Store(int64(os.Getpid()) * 101) }

// freeAddress returns a loopback address on which nothing listens.
func freeAddress() (string, error) {
	for range lastPort - firstPort {
		port := firstPort + nextPort.Add(1)%(lastPort-firstPort)
		address := net.JoinHostPort("127.0.0.1", strconv.FormatInt(port, 10))
		if isFree(address) {
			return address, nil
		}
	}
	return "", errNoPort
}

var errNoPort = errors.New("no port is free on loopback")

// isFree reports whether nothing listens at an address, by TCP or UDP.
func isFree(address string) bool {
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

// freeAddresses returns n free addresses.
func freeAddresses(n int) ([]string, error) {
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

// NewTestbed starts a testbed whose logs go to dir.
func NewTestbed(programs Programs, size Size, dir string) (*Testbed, error) {
	t := &Testbed{dir: dir, size: size, excused: map[string][]time.Time{}, disturbances: map[string][]disturbance{}}
	if err := t.start(programs); err != nil {
		t.Close()
		return nil, err
	}
	return t, nil
}

func (t *Testbed) start(programs Programs) error {
	if err := t.startStore(programs); err != nil {
		return err
	}
	if err := t.configure(); err != nil {
		return err
	}
	for i := range t.size.Engines + t.size.Plain {
		if err := t.addWorker(programs, i); err != nil {
			return err
		}
	}
	for i := range t.size.Nodes {
		if err := t.addNode(programs, i); err != nil {
			return err
		}
	}
	return nil
}

func (t *Testbed) startStore(programs Programs) error {
	address, err := freeAddress()
	if err != nil {
		return err
	}
	t.registry = fake.RemoteRegistry{URL: "http://" + address}
	t.controlURL = t.registry.URL + "/control/"
	t.store = &process{name: "store", logDir: t.dir, command: []string{programs.StandIns, "store", "--listen", address}}
	return t.store.start()
}

// writeTimeout bounds the retries of an operator's write.
const writeTimeout = 20 * time.Second

// configure writes the next configuration and waits until the store acknowledges it.
func (t *Testbed) configure() error {
	t.version++
	return t.write()
}

// write writes the current configuration.
func (t *Testbed) write() error {
	routes := fake.StandardRoutes()
	for i := range routes {
		routes[i].TimeoutMS = 6000
		if t.routeMoved && routes[i].PathPrefix == kindSafe.Path {
			routes[i].PathPrefix = kindMoved.Path
		}
	}
	write := &configWriter{registry: t.registry, deadline: time.Now().Add(writeTimeout)}
	fake.ConfigureWithIdleTimeout(write, t.version, routes, idleTimeout)
	return write.err
}

// configWriter retries a write until the store acknowledges it or deadline passes.
type configWriter struct {
	registry fake.RemoteRegistry
	deadline time.Time
	err      error
}

// Put implements fake.Registry.
func (w *configWriter) Put(kind, name string, spec any) {
	for {
		w.err = w.registry.Write(kind, name, spec)
		if w.err == nil || time.Now().After(w.deadline) {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// Remove implements fake.Registry; a configuration is never removed.
func (w *configWriter) Remove(string, string) {}

func (t *Testbed) addWorker(programs Programs, i int) error {
	a, err := freeAddresses(2)
	if err != nil {
		return err
	}
	proxy, err := NewProxy(a[1], a[0])
	if err != nil {
		return err
	}
	w := &worker{listen: a[0], proxy: proxy, service: fake.LLM}
	if i >= t.size.Engines {
		w.service = fake.Plain
	}
	w.process = process{name: "worker-" + strconv.Itoa(i), logDir: t.dir, onLine: t.addRecord}
	t.workers = append(t.workers, w)
	return t.startWorker(programs.StandIns, w)
}

// id returns the worker's id in its current incarnation.
func (w *worker) id() string { return fmt.Sprintf("%s-life-%d", w.name, w.incarnations) }

// startWorker starts a new incarnation of a worker under a new id.
func (t *Testbed) startWorker(program string, w *worker) error {
	return t.startIncarnation(program, w, false)
}

// startIncarnation starts a new incarnation of a worker, under the same id or a new
// one, unless the worker is running.
func (t *Testbed) startIncarnation(program string, w *worker, sameID bool) error {
	w.starting.Lock()
	defer w.starting.Unlock()
	if w.running() {
		return nil
	}
	if !sameID {
		w.incarnations++
	}
	w.command = []string{
		program, "worker", "--listen", w.listen, "--advertise", w.proxy.Address(), "--store", t.registry.URL,
		"--id", w.id(), "--service", w.service, "--capacity-mb", fmt.Sprint(engineMB), "--model-mb", fmt.Sprint(modelMB),
	}
	return w.start()
}

// writeForeignEntries writes entries of a foreign writer among those of the workers. One
// of them replaces the entry of a worker, which then renews it.
func (t *Testbed) writeForeignEntries(target int) {
	entries := map[string]any{
		"foreign-text": "not an entry", "foreign-list": []int{1}, "foreign-state": map[string]any{"service": fake.Plain, "state": "paused"},
		t.workers[target%len(t.workers)].id(): map[string]any{"service": fake.Plain, "address": "nowhere", "slots": "many", "born": 1.5},
	}
	for name, spec := range entries {
		t.registry.Put(fake.KindServers, name, spec)
	}
}

// hasRecord reports whether an event has been recorded at a worker.
func (t *Testbed) hasRecord(id, what string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.ContainsFunc(t.records, func(r Record) bool { return r.Worker == id && r.What == what })
}

// addRecord parses and adds a line of a worker's output.
func (t *Testbed) addRecord(line []byte) {
	r, err := parseRecord(line)
	if err != nil {
		slog.Error("record unreadable", "line", string(line), "error", err.Error())
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.records = append(t.records, r)
}

func (t *Testbed) addNode(programs Programs, i int) error {
	// The addresses for callers, readiness, operators and the two proxies. Peers use
	// the port for callers by UDP.
	a, err := freeAddresses(5)
	if err != nil {
		return err
	}
	toStore, err := NewProxy(a[3], t.registry.URL[len("http://"):])
	if err != nil {
		return err
	}
	fromCallers, err := NewProxy(a[4], a[0])
	if err != nil {
		return err
	}
	n := &node{callerAddress: a[4], readyAddress: a[1], toStore: toStore, fromCallers: fromCallers}
	n.name, n.logDir, n.maxDescriptors = "node-"+strconv.Itoa(i), t.dir, nodeDescriptors
	file, err := t.nodeConfig(n.name, a, toStore)
	if err != nil {
		return err
	}
	n.command = []string{programs.Node, "node"}
	n.env = append(os.Environ(), "EIDERSPRING_SETTINGS="+file)
	t.nodes = append(t.nodes, n)
	return n.start()
}

func (t *Testbed) nodeConfig(name string, a []string, toStore *Proxy) (string, error) {
	cfg := daemon.DefaultNodeConfig()
	cfg.Instance, cfg.FailureDomain = name, "z1"
	cfg.Callers, cfg.Readiness, cfg.Operators = a[0], a[1], a[2]
	cfg.ObjectStore = "http://" + toStore.Address()
	_, port, err := net.SplitHostPort(a[0])
	if err != nil {
		return "", err
	}
	callerPort, err := strconv.Atoi(port)
	if err != nil {
		return "", err
	}
	cfg.PeerPorts = []int{callerPort, callerPort}
	cfg.Retries = daemon.NodeRetry{Ratio: 0.2, Slack: 20}
	cfg.Orders.LeaseMS = int(orderLease.Milliseconds())
	cfg.Limits.Descriptors = nodeDescriptors
	cfg.Limits.GraceMS = int(stopGrace.Milliseconds())
	text, err := json.MarshalIndent(cfg, "", "  ")
	if err != nil {
		return "", err
	}
	file := filepath.Join(t.dir, name+".jsonc")
	return file, os.WriteFile(file, text, 0o644)
}

// excuseOrders excuses the orders of an instance for resumeGrace from now.
func (t *Testbed) excuseOrders(n *node) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.excused[n.name] = append(t.excused[n.name], time.Now())
}

// excusedOrder reports whether an order arrived within resumeGrace after its sender
// resumed or its links recovered.
func (t *Testbed) excusedOrder(r Record) bool {
	return slices.ContainsFunc(t.excused[r.Holder], func(at time.Time) bool {
		since := r.At.Sub(at)
		return since >= 0 && since < resumeGrace
	})
}

// addDisturbance records a disturbance of an instance's callers that ends now.
func (t *Testbed) addDisturbance(n *node, from time.Time, action Action) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.disturbances[n.name] = append(t.disturbances[n.name], disturbance{from: from, to: time.Now(), action: action})
}

// excusedResult reports whether a missing response is excused by a disturbance.
func (t *Testbed) excusedResult(res Result) bool {
	return slices.ContainsFunc(t.disturbances[t.nodes[res.Node].name], func(d disturbance) bool { return d.excuses(res) })
}

// controlStore sends a control request to the stand-in for the store.
func (t *Testbed) controlStore(path string) {
	resp, err := http.Post(t.controlURL+path, "", nil)
	if err != nil {
		slog.Error("store control request failed", "path", path, "error", err.Error())
		return
	}
	resp.Body.Close()
}

// Close kills all processes of the testbed and closes its proxies.
func (t *Testbed) Close() {
	var wait sync.WaitGroup
	for _, n := range t.nodes {
		wait.Go(func() { n.signal(syscall.SIGCONT); n.stop(syscall.SIGKILL, time.Second) })
		n.toStore.Close()
		n.fromCallers.Close()
	}
	for _, w := range t.workers {
		wait.Go(func() { w.signal(syscall.SIGCONT); w.stop(syscall.SIGKILL, time.Second) })
		w.proxy.Close()
	}
	if t.store != nil {
		wait.Go(func() { t.store.stop(syscall.SIGKILL, time.Second) })
	}
	wait.Wait()
}
