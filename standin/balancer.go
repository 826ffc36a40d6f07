package standin

import (
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// Balancer is a stand-in for the platform's load balancer. It distributes TCP
// connections round-robin over the ready instances and does not inspect their
// contents.
type Balancer struct {
	listener net.Listener
	client   http.Client

	mu       sync.Mutex
	backends map[string]*backend
	next     int
	conns    map[net.Conn]bool
	closed   bool
}

type backend struct {
	address, readyURL string
	ready             bool
}

const (
	probeInterval = 250 * time.Millisecond
	probeTimeout  = 500 * time.Millisecond
	dialTimeout   = 500 * time.Millisecond
)

// NewBalancer returns a balancer that distributes the connections of l.
func NewBalancer(l net.Listener) *Balancer {
	b := &Balancer{listener: l, client: http.Client{Timeout: probeTimeout}, backends: map[string]*backend{}, conns: map[net.Conn]bool{}}
	go b.acceptLoop()
	go b.probeLoop()
	return b
}

// Add adds an instance, given its address for callers and its operator address, which
// serves readiness.
func (b *Balancer) Add(callers, operators string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.backends[callers] = &backend{address: callers, readyURL: "http://" + operators + "/readyz"}
}

// Close closes the listener and every open connection and ends the readiness probes.
func (b *Balancer) Close() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.closed = true
	b.listener.Close()
	for c := range b.conns {
		c.Close()
	}
}

// Ready returns the number of instances that are ready.
func (b *Balancer) Ready() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.readyBackends())
}

func (b *Balancer) readyBackends() []*backend {
	var ready []*backend
	for _, k := range sortedNames(b.backends) {
		if b.backends[k].ready {
			ready = append(ready, b.backends[k])
		}
	}
	return ready
}

func (b *Balancer) probeLoop() {
	for {
		b.mu.Lock()
		if b.closed {
			b.mu.Unlock()
			return
		}
		all := make([]*backend, 0, len(b.backends))
		for _, target := range b.backends {
			all = append(all, target)
		}
		b.mu.Unlock()
		var probes sync.WaitGroup
		for _, target := range all {
			probes.Go(func() { b.setReady(target, b.isReady(target.readyURL)) })
		}
		probes.Wait()
		time.Sleep(probeInterval)
	}
}

func (b *Balancer) isReady(url string) bool {
	resp, err := b.client.Get(url)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (b *Balancer) setReady(target *backend, ready bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	target.ready = ready
}

func (b *Balancer) acceptLoop() {
	for {
		conn, err := b.listener.Accept()
		if err != nil {
			return
		}
		go b.serve(conn)
	}
}

// serve connects a caller to the next ready instance that accepts a connection. It
// tries up to three instances.
func (b *Balancer) serve(caller net.Conn) {
	defer caller.Close()
	for range 3 {
		target := b.nextReady()
		if target == nil {
			return
		}
		instance, err := net.DialTimeout("tcp", target.address, dialTimeout)
		if err != nil {
			b.setReady(target, false)
			continue
		}
		b.splice(caller, instance)
		return
	}
}

func (b *Balancer) nextReady() *backend {
	b.mu.Lock()
	defer b.mu.Unlock()
	ready := b.readyBackends()
	if len(ready) == 0 {
		return nil
	}
	b.next++
	return ready[b.next%len(ready)]
}

func (b *Balancer) splice(caller, instance net.Conn) {
	b.track(caller, true)
	defer b.track(caller, false)
	go func() {
		_, _ = io.Copy(instance, caller)
		instance.Close()
	}()
	_, _ = io.Copy(caller, instance)
	instance.Close()
}

func (b *Balancer) track(c net.Conn, open bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if open {
		b.conns[c] = true
		return
	}
	delete(b.conns, c)
}
