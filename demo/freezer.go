package demo

import (
	"context"
	"net"
	"sync"
)

// freezer holds up the network of one instance, as a paused process would:
// nothing goes in or out until it is thawed.
type freezer struct {
	mu     sync.Mutex
	thawed chan struct{}
}

func newFreezer() *freezer {
	f := &freezer{thawed: make(chan struct{})}
	close(f.thawed)
	return f
}

func (f *freezer) freeze() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.thawed = make(chan struct{})
}

func (f *freezer) thaw() {
	f.mu.Lock()
	defer f.mu.Unlock()
	close(f.thawed)
}

func (f *freezer) wait() {
	f.mu.Lock()
	thawed := f.thawed
	f.mu.Unlock()
	<-thawed
}

func (f *freezer) dial(ctx context.Context, network, address string) (net.Conn, error) {
	f.wait()
	conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return frozenConn{conn, f}, nil
}

type frozenListener struct {
	net.Listener
	freezer *freezer
}

// Accept implements net.Listener.
func (l frozenListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	l.freezer.wait()
	if err != nil {
		return nil, err
	}
	return frozenConn{conn, l.freezer}, nil
}

type frozenConn struct {
	net.Conn
	freezer *freezer
}

// Read implements net.Conn.
func (c frozenConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.freezer.wait()
	return n, err
}

// Write implements net.Conn.
func (c frozenConn) Write(b []byte) (int, error) {
	c.freezer.wait()
	return c.Conn.Write(b)
}
