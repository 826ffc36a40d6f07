package soak

import (
	"net"
	"sync"
	"time"
)

// Proxy forwards TCP connections and disturbs them.
type Proxy struct {
	listener net.Listener
	target   string

	mu          sync.Mutex
	mode        Action
	modeChanged *sync.Cond
	conns       map[*net.TCPConn]bool
	// muted are connections that stay open but whose data is dropped.
	muted map[*net.TCPConn]bool
	// dropped counts the chunks of data from callers that were dropped.
	dropped int
}

// proxyDelay is the delay of each chunk of data in the mode LinkDelay.
const proxyDelay = 150 * time.Millisecond

// NewProxy listens at an address and forwards connections to target.
func NewProxy(listen, target string) (*Proxy, error) {
	l, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, err
	}
	p := &Proxy{listener: l, target: target, conns: map[*net.TCPConn]bool{}, muted: map[*net.TCPConn]bool{}}
	p.modeChanged = sync.NewCond(&p.mu)
	go p.accept()
	return p, nil
}

// Set changes the mode of the proxy; the empty action forwards everything.
func (p *Proxy) Set(a Action) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = a
	if a == LinkReset {
		p.reset()
	}
	p.modeChanged.Broadcast()
}

// Mute drops all further data of the connections that are open now, without a reset.
// Either side notices only by a timeout of its own. New connections work.
func (p *Proxy) Mute() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		p.muted[c] = true
	}
}

// drops reports whether data from a connection is dropped, and counts that of callers.
func (p *Proxy) drops(c *net.TCPConn, forward bool) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.muted[c] && forward {
		p.dropped++
	}
	return p.muted[c]
}

// Dropped returns how many chunks of data that callers sent on muted connections were dropped.
func (p *Proxy) Dropped() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.dropped
}

// Close closes the listener and resets the connections.
func (p *Proxy) Close() {
	p.listener.Close()
	p.Set(LinkReset)
}

func (p *Proxy) reset() {
	for c := range p.conns {
		// With a linger time of zero, Close sends a reset.
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
	go p.pipe(target, caller, true)
	p.pipe(caller, target, false)
}

// pipe forwards data in one direction until either side ends, and then closes both
// connections: the protocols that pass here use no half-closed connections.
func (p *Proxy) pipe(to, from *net.TCPConn, forward bool) {
	defer p.closeConns(to, from)
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 && !p.drops(from, forward) {
			p.waitForMode(forward)
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			p.waitForMode(forward)
			return
		}
	}
}

// waitForMode delays a chunk of data, or blocks, as the mode requires.
func (p *Proxy) waitForMode(forward bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.mode == LinkDelay {
		p.mu.Unlock()
		time.Sleep(proxyDelay)
		p.mu.Lock()
	}
	for p.mode == LinkSilence || p.mode == LinkOneWay && !forward {
		p.modeChanged.Wait()
	}
}

func (p *Proxy) closeConns(conns ...*net.TCPConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range conns {
		c.Close()
		delete(p.conns, c)
		delete(p.muted, c)
	}
}

// Address returns the address on which the proxy listens.
func (p *Proxy) Address() string { return p.listener.Addr().String() }
