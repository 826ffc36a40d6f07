package soak

import (
	"net"
	"sync"
	"time"
)

// Proxy passes TCP connections on and disturbs them.
type Proxy struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	mode  Action
	calm  *sync.Cond
	conns map[*net.TCPConn]bool
	// muted are connections that carry nothing any more, though they stay open.
	muted map[*net.TCPConn]bool
}

// proxyDelay is how late each piece comes under LinkDelay.
const proxyDelay = 150 * time.Millisecond

// NewProxy listens at an address and passes connections on to the target.
func NewProxy(listen, target string) (*Proxy, error) {
	l, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, err
	}
	p := &Proxy{listener: l, target: target, conns: map[*net.TCPConn]bool{}, muted: map[*net.TCPConn]bool{}}
	p.calm = sync.NewCond(&p.mu)
	go p.accept()
	return p, nil
}

// Set changes what the proxy does; an empty action passes all on.
func (p *Proxy) Set(a Action) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = a
	if a == LinkReset {
		p.reset()
	}
	p.calm.Broadcast()
}

// Mute silences the connections that are open now, for good and without a reset; new
// ones work. Only a timeout of its own tells either side.
func (p *Proxy) Mute() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		p.muted[c] = true
	}
}

// drops tells whether what comes from a connection goes nowhere.
func (p *Proxy) drops(c *net.TCPConn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.muted[c]
}

// Close ends the proxy and its connections.
func (p *Proxy) Close() {
	p.listener.Close()
	p.Set(LinkReset)
}

func (p *Proxy) reset() {
	for c := range p.conns {
		// Without lingering, a close resets.
		_ = c.SetLinger(0)
		c.Close()
	}
	clear(p.conns)
}

func (p *Proxy) accept() {
	for {
		conn, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.serve(conn.(*net.TCPConn))
	}
}

func (p *Proxy) serve(caller *net.TCPConn) {
	conn, err := net.DialTimeout("tcp", p.target, time.Second)
	if err != nil {
		_ = caller.SetLinger(0)
		caller.Close()
		return
	}
	target := conn.(*net.TCPConn)
	p.mu.Lock()
	p.conns[caller], p.conns[target] = true, true
	resets := p.mode == LinkReset
	if resets {
		p.reset()
	}
	p.mu.Unlock()
	go p.copy(target, caller, true)
	p.copy(caller, target, false)
}

// copy passes bytes on until either side ends. There is no half-open connection
// in what passes here.
func (p *Proxy) copy(to, from *net.TCPConn, forward bool) {
	defer p.forget(to, from)
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 && !p.drops(from) {
			p.hold(forward)
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			p.hold(forward)
			return
		}
	}
}

// hold waits as the mode says.
func (p *Proxy) hold(forward bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.mode == LinkDelay {
		p.mu.Unlock()
		time.Sleep(proxyDelay)
		p.mu.Lock()
	}
	for p.mode == LinkSilence || p.mode == LinkOneWay && !forward {
		p.calm.Wait()
	}
}

func (p *Proxy) forget(conns ...*net.TCPConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range conns {
		c.Close()
		delete(p.conns, c)
		delete(p.muted, c)
	}
}

// Address is where the proxy listens.
func (p *Proxy) Address() string { return p.listener.Addr().String() }
