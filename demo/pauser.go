package demo

import (
	"context"
	"net"
	"sync"
)

// pauser blocks the connections of one instance, as if its process were paused:
// it neither sends nor receives anything until it is resumed.
type pauser struct {
	mu      sync.Mutex
	resumed chan struct{}
}

func newPauser() *pauser {
	p := &pauser{resumed: make(chan struct{})}
	close(p.resumed)
	return p
}

func (p *pauser) pause() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.resumed = make(chan struct{})
}

func (p *pauser) resume() {
	p.mu.Lock()
	defer p.mu.Unlock()
	close(p.resumed)
}

func (p *pauser) wait() {
	p.mu.Lock()
	resumed := p.resumed
	p.mu.Unlock()
	<-resumed
}

func (p *pauser) dial(ctx context.Context, network, address string) (net.Conn, error) {
	p.wait()
	conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return pausableConn{conn, p}, nil
}

type pausableListener struct {
	net.Listener
	pauser *pauser
}

// Accept implements net.Listener.
func (l pausableListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	l.pauser.wait()
	if err != nil {
		return nil, err
	}
	return pausableConn{conn, l.pauser}, nil
}

type pausableConn struct {
	net.Conn
	pauser *pauser
}

// Read implements net.Conn.
func (c pausableConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.pauser.wait()
	return n, err
}

// Write implements net.Conn.
func (c pausableConn) Write(b []byte) (int, error) {
	c.pauser.wait()
	return c.Conn.Write(b)
}
