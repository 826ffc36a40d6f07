package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/eiderspring/eiderspring/platform/fake"
)

const (
	loopback = "127.0.0.1"
	// leaseMS, graceS and beat are those of a small deployment.
	leaseMS = 3000
	graceS  = 8
	beat    = 1200 * time.Millisecond
)

// bed is a deployment: a store, workers and instances.
type bed struct {
	program string
	trouble bool
	dir     string
	began   time.Time
	store   *fake.Store
	// storeAddress is where the store is served.
	storeAddress string
	nodes        []*instance

	mu     sync.Mutex
	record *os.File
	stops  []func()
}

func newBed(program, record string, trouble bool) (*bed, error) {
	if _, err := os.Stat(program); err != nil {
		return nil, err
	}
	file, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	b := &bed{program: program, trouble: trouble, dir: dir, began: time.Now(), record: file, store: fake.NewStoreHandler()}
	b.storeAddress, err = b.serve(b.store)
	return b, err
}

// note writes a line to the record.
func (b *bed) note(format string, args ...any) {
	b.mu.Lock()
	defer b.mu.Unlock()
	_, _ = fmt.Fprintf(b.record, "%8.3f  %s\n", time.Since(b.began).Seconds(), fmt.Sprintf(format, args...))
}

// atEnd registers a function that ends something which the case has started.
func (b *bed) atEnd(stop func()) { b.stops = append(b.stops, stop) }

func (b *bed) close() {
	for _, n := range b.nodes {
		n.kill()
	}
	for _, stop := range b.stops {
		stop()
	}
	os.RemoveAll(b.dir)
	b.record.Close()
}

// configure writes the operator's config, with limits like those of a small deployment.
func (b *bed) configure(routes []fake.Route, services ...map[string]any) {
	b.store.Put("config", "main", map[string]any{
		"version": 1, "routes": routes, "services": services,
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
}

// addInstances starts an instance in each of three zones, and waits until they are ready.
func (b *bed) addInstances() error {
	for _, zone := range []string{"z1", "z2", "z3"} {
		if _, err := b.addInstance(zone); err != nil {
			return err
		}
	}
	for _, n := range b.nodes {
		if err := n.awaitReady(); err != nil {
			return err
		}
	}
	return nil
}

// checkInUntilEnd calls a worker's check-in now and every beat.
func (b *bed) checkInUntilEnd(checkIn func()) {
	stop := make(chan struct{})
	b.atEnd(func() { close(stop) })
	checkIn()
	go func() {
		ticker := time.NewTicker(beat)
		defer ticker.Stop()
		for {
			select {
			case <-stop:
				return
			case <-ticker.C:
				checkIn()
			}
		}
	}()
}

// acceptUntilEnd serves the connections to a free port, and returns its address.
func (b *bed) acceptUntilEnd(serve func(net.Conn)) (string, error) {
	l, err := listen()
	if err != nil {
		return "", err
	}
	b.atEnd(func() { l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go serve(conn)
		}
	}()
	return l.Addr().String(), nil
}

// listen opens a free port on loopback.
func listen() (net.Listener, error) { return net.Listen("tcp", loopback+":0") }

// serve serves a handler on a free port, and returns its address.
func (b *bed) serve(h http.Handler) (string, error) {
	l, err := listen()
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: h}
	go func() { _ = server.Serve(l) }()
	b.atEnd(func() { server.Close() })
	return l.Addr().String(), nil
}

// instance is a process of eiderspring.
type instance struct {
	name, settings, callers, ready string
	bed                            *bed
	cmd                            *exec.Cmd
	exited                         chan struct{}
}

// freePorts returns two adjacent ports that are free for UDP, and addresses that are free for TCP.
func freePorts() (first int, addresses []string, err error) {
	for range 3 {
		l, err := listen()
		if err != nil {
			return 0, nil, err
		}
		defer l.Close()
		addresses = append(addresses, l.Addr().String())
	}
	for range 100 {
		conn, err := net.ListenPacket("udp", loopback+":0")
		if err != nil {
			return 0, nil, err
		}
		first := conn.LocalAddr().(*net.UDPAddr).Port
		next, nextErr := net.ListenPacket("udp", net.JoinHostPort(loopback, strconv.Itoa(first+1)))
		conn.Close()
		if nextErr == nil {
			next.Close()
			return first, addresses, nil
		}
	}
	return 0, nil, errors.New("no two adjacent free ports")
}

// addInstance writes the settings of an instance, as the platform fills in deploy/node.jsonc for a small
// deployment, and starts it.
func (b *bed) addInstance(zone string) (*instance, error) {
	first, addresses, err := freePorts()
	if err != nil {
		return nil, err
	}
	n := &instance{name: fmt.Sprintf("edge-%d", len(b.nodes)+1), bed: b, callers: addresses[0], ready: addresses[1]}
	settings := map[string]any{
		"instance": n.name, "failureDomain": zone, "regions": map[string]string{"z1": "r1", "z2": "r1", "z3": "r1"},
		"callers": n.callers, "readiness": n.ready, "operators": addresses[2], "objectStore": "http://" + b.storeAddress,
		"peerPorts": []int{first, first + 1}, "retries": map[string]any{"ratio": 0.2, "slack": 58},
		"orders": map[string]any{"leaseMS": leaseMS, "rateWindowS": 5, "rateOver": 1.1},
		"fresh":  map[string]any{"leavingMS": 2000, "settingsMS": 2000, "contactMS": 3000}, "lending": map[string]any{"instancesAbove": 16},
		"limits":  map[string]any{"graceMS": graceS * 1000, "cpuShare": 0.4, "coreSpeed": 1, "linkMbps": 1000, "descriptors": 4100},
		"outlook": map[string]any{"enabled": true},
	}
	text, err := json.MarshalIndent(settings, "", "  ")
	if err != nil {
		return nil, err
	}
	n.settings = filepath.Join(b.dir, n.name+".jsonc")
	if err := os.WriteFile(n.settings, text, 0o600); err != nil {
		return nil, err
	}
	b.nodes = append(b.nodes, n)
	return n, n.start()
}

func (n *instance) start() error {
	log, err := os.OpenFile(n.settings+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	n.cmd = exec.Command(n.bed.program, "node")
	n.cmd.Env = append(os.Environ(), "EIDERSPRING_SETTINGS="+n.settings)
	n.cmd.Stdout, n.cmd.Stderr = log, log
	if err := n.cmd.Start(); err != nil {
		return err
	}
	n.exited = make(chan struct{})
	go func(cmd *exec.Cmd, exited chan struct{}) {
		_ = cmd.Wait()
		close(exited)
	}(n.cmd, n.exited)
	n.bed.note("started %s", n.name)
	return nil
}

func (n *instance) kill() {
	if n.cmd != nil && n.cmd.Process != nil {
		_ = n.cmd.Process.Kill()
		<-n.exited
	}
}

// signal sends a signal to the process.
func (n *instance) signal(s syscall.Signal) {
	n.bed.note("%s to %s", unix.SignalName(s), n.name)
	_ = n.cmd.Process.Signal(s)
}

// awaitEnd waits until the process has ended, and kills it when the platform's grace is over.
func (n *instance) awaitEnd(since time.Time) {
	select {
	case <-n.exited:
	case <-time.After(graceS*time.Second - time.Since(since)):
		n.kill()
	}
	n.bed.note("%s has ended %d ms after SIGTERM: %v", n.name, time.Since(since).Milliseconds(), n.cmd.ProcessState)
}

// awaitReady waits until the instance says that it is ready.
func (n *instance) awaitReady() error {
	for range 200 {
		resp, err := http.Get("http://" + n.ready + fake.ReadyPath)
		if err == nil {
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return nil
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	return errors.New(n.name + " is not ready")
}
