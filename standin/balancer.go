package standin

import (
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// Balancer is the platform's balancer: it spreads connections over the
// instances that are ready, and knows nothing of what they carry.
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
	readyEvery   = 250 * time.Millisecond
	readyTimeout = 500 * time.Millisecond
	dialTimeout  = 500 * time.Millisecond
)

// NewBalancer spreads the connections of a listener.
func NewBalancer(l net.Listener) *Balancer {
	b := &Balancer{listener: l, client: http.Client{Timeout: readyTimeout}, backends: map[string]*backend{}, conns: map[net.Conn]bool{}}
	go b.accept()
	go b.check()
	return b
}

// Add adds an instance by its callers' and operators' addresses.
func (b *Balancer) Add(callers, operators string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.backends[callers] = &backend{address: callers, readyURL: "http://" + operators + "/readyz"}
}

// Close ends the balancer and every connection.
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

func (b *Balancer) check() {
	for {
		b.mu.Lock()
		if b.closed {
			b.mu.Unlock()
			return
		}
		all := make([]*backend, 0, len(b.backends))
		for _, back := range b.backends {
			all = append(all, back)
		}
		b.mu.Unlock()
		var asked sync.WaitGroup
		for _, back := range all {
			asked.Go(func() { b.setReady(back, b.isReady(back.readyURL)) })
		}
		asked.Wait()
		time.Sleep(readyEvery)
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

func (b *Balancer) setReady(back *backend, ready bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	back.ready = ready
}

func (b *Balancer) accept() {
	for {
		conn, err := b.listener.Accept()
		if err != nil {
			return
		}
		go b.carry(conn)
	}
}

// carry connects a caller to the next ready instance that answers.
func (b *Balancer) carry(caller net.Conn) {
	defer caller.Close()
	for range 3 {
		back := b.pick()
		if back == nil {
			return
		}
		instance, err := net.DialTimeout("tcp", back.address, dialTimeout)
		if err != nil {
			b.setReady(back, false)
			continue
		}
		b.splice(caller, instance)
		return
	}
}

func (b *Balancer) pick() *backend {
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
