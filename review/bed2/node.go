package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"
)

// node is an instance: the program of the deploy file as a process of its own.
type node struct {
	rec                    *recorder
	name, callers, ready   string
	store                  *storePort
	program, settings, log string
	cmd                    *exec.Cmd
	exited                 chan struct{}
	// startedAt is when the process was last started or killed, in Unix nanoseconds; in is set while the
	// platform gives the instance new channels.
	startedAt atomic.Int64
	in        atomic.Bool
}

// since returns when the process was last started or killed.
func (n *node) since() time.Time { return time.Unix(0, n.startedAt.Load()) }

// probe asks all instances every second whether they are ready, as the platform does: two misses take one
// out, an answer brings it back.
func (b *bed) probe() {
	misses := map[*node]int{}
	for {
		for _, n := range b.nodes {
			if n.isReady() {
				misses[n] = 0
				n.in.Store(true)
			} else if misses[n]++; misses[n] >= 2 {
				n.in.Store(false)
			}
		}
		time.Sleep(time.Second)
	}
}

// nodeSettings is deploy/node.jsonc, filled in with the bounds of sites/rcgm-liege.toml.
const nodeSettings = `{
  "instance": %q, "failureDomain": %q, "regions": {"z1": "r1", "z2": "r1", "z3": "r1"},
  "callers": %q, "readiness": %q, "operators": %q, "objectStore": "http://%s", "peerPorts": [%d, %d],
  "retries": { "ratio": 0.2, "slack": 58 },
  "orders": { "leaseMS": 3000, "rateWindowS": 5, "rateOver": 1.1 },
  "fresh": { "leavingMS": 2000, "settingsMS": 2000, "contactMS": 3000 },
  "lending": { "instancesAbove": 16 },
  "limits": { "graceMS": 8000, "cpuShare": 0.4, "coreSpeed": 1, "linkMbps": 1000.0, "descriptors": 4100 },
  "outlook": { "enabled": true },
}
`

// newNode prepares an instance with an address of its own.
func newNode(rec *recorder, s *store, program, dir string, i int) *node {
	ip := fmt.Sprintf("127.0.%d.%d", 1+os.Getpid()%200, 10+i)
	n := &node{rec: rec, name: "edge-" + strconv.Itoa(i), program: program, store: newStorePort(s, ip)}
	n.callers, n.ready = freeAddress(ip), freeAddress(ip)
	peers := freePorts(ip)
	n.settings, n.log = filepath.Join(dir, n.name+".jsonc"), filepath.Join(dir, n.name+".log")
	text := fmt.Sprintf(nodeSettings, n.name, "z"+strconv.Itoa(1+i%3), n.callers, n.ready, freeAddress(ip), n.store.address, peers, peers+1)
	if err := os.WriteFile(n.settings, []byte(text), 0o600); err != nil {
		panic(err)
	}
	return n
}

func (n *node) start() {
	out, err := os.OpenFile(n.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		panic(err)
	}
	defer out.Close()
	cmd := exec.Command(n.program, "node")
	cmd.Env = append(os.Environ(), "EIDERSPRING_SETTINGS="+n.settings)
	cmd.Stdout, cmd.Stderr = out, out
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		unusable("instance not started: " + err.Error())
	}
	n.startedAt.Store(time.Now().UnixNano())
	n.cmd, n.exited = cmd, make(chan struct{})
	exited := n.exited
	go func() {
		_ = cmd.Wait()
		close(exited)
	}()
}

func (n *node) kill() {
	if n.cmd == nil {
		return
	}
	n.startedAt.Store(time.Now().UnixNano())
	_ = n.cmd.Process.Signal(syscall.SIGKILL)
	<-n.exited
}

func (n *node) isReady() bool {
	client := &http.Client{Timeout: time.Second}
	defer client.CloseIdleConnections()
	resp, err := client.Get("http://" + n.ready + "/eiderspring/readyz")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func awaitReady(nodes []*node) {
	deadline := time.Now().Add(15 * time.Second)
	for _, n := range nodes {
		for !n.isReady() {
			if time.Now().After(deadline) {
				unusable("instance " + n.name + " is not ready")
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
}

// Ports of what may start again lie below the ephemeral ones, so that no connection takes them meanwhile.
const (
	firstPort = 20_000
	lastPort  = 32_000
)

// freeAddress returns an address on which nothing listens, by TCP or UDP.
func freeAddress(ip string) string {
	for range 1000 {
		if port := firstPort + rand.IntN(lastPort-firstPort); isFree(ip, port) {
			return net.JoinHostPort(ip, strconv.Itoa(port))
		}
	}
	panic("no port is free")
}

// freePorts returns the first of two ports in a row that are free by TCP and UDP.
func freePorts(ip string) int {
	for range 200 {
		_, text, _ := strings.Cut(freeAddress(ip), ":")
		port, err := strconv.Atoi(text)
		if err == nil && isFree(ip, port) && isFree(ip, port+1) {
			return port
		}
	}
	panic("no two ports are free")
}

func isFree(ip string, port int) bool {
	address := net.JoinHostPort(ip, strconv.Itoa(port))
	t, err := net.Listen("tcp", address)
	if err != nil {
		return false
	}
	t.Close()
	u, err := net.ListenPacket("udp", address)
	if err != nil {
		return false
	}
	u.Close()
	return true
}
