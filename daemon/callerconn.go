package daemon

import (
	"errors"
	"net"
	"sync"
	"syscall"

	"golang.org/x/sys/unix"
)

// callerConn is a caller's connection that can be closed at rest without cutting a
// request. net/http counts a connection as idle until it has read the whole head of
// the next request, so its word is not enough: by it, a request that was being read
// was served and its answer lost.
//
// A connection is at rest from its last answer, or its beginning, until the first
// byte behind that is taken from the system.
type callerConn struct {
	net.Conn
	// raw is nil for a connection that is no socket, of which nothing tells whether
	// bytes wait unread.
	raw syscall.RawConn

	mu   sync.Mutex
	idle bool
}

// callerListener accepts connections as callerConns.
type callerListener struct{ net.Listener }

// Accept implements net.Listener.
func (l callerListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &callerConn{Conn: conn, idle: true}
	if system, ok := conn.(syscall.Conn); ok {
		if c.raw, err = system.SyscallConn(); err != nil {
			conn.Close()
			return nil, err
		}
	}
	return c, nil
}

// Read implements net.Conn. It ends the rest before it takes the first byte: until
// then the byte shows to unread.
func (c *callerConn) Read(p []byte) (int, error) {
	if c.raw == nil {
		n, err := c.Conn.Read(p)
		c.markActive()
		return n, err
	}
	if c.isIdle() {
		// Whatever it fails by, the read below fails by too.
		_ = c.raw.Read(func(fd uintptr) bool {
			_, err := peek(fd)
			return !errors.Is(err, unix.EAGAIN)
		})
		c.markActive()
	}
	return c.Conn.Read(p)
}

func (c *callerConn) isIdle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.idle
}

// rest begins a rest: the server has answered and reads nothing.
func (c *callerConn) markIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle = true
}

func (c *callerConn) markActive() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle = false
}

// closeAtRest closes the connection, unless the first byte of a request has arrived.
func (c *callerConn) closeIfIdle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.idle || c.hasUnread() {
		return false
	}
	c.Conn.Close()
	return true
}

// unread tells whether bytes wait to be read.
func (c *callerConn) hasUnread() bool {
	if c.raw == nil {
		return false
	}
	var n int
	err := c.raw.Control(func(fd uintptr) { n, _ = peek(fd) })
	return err == nil && n > 0
}

// CloseWrite lets net/http end its side first, so that a caller that is still sending
// reads the answer.
func (c *callerConn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// peek returns how many bytes, of one, could be read without waiting.
func peek(fd uintptr) (int, error) {
	var first [1]byte
	for {
		n, _, err := unix.Recvfrom(int(fd), first[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		if !errors.Is(err, unix.EINTR) {
			return n, err
		}
	}
}
