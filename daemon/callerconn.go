package daemon

import (
	"errors"
	"net"
	"sync"
	"syscall"

	"golang.org/x/sys/unix"
)

// callerConn is a caller's connection that can be closed while idle without cutting off a
// request. The state that net/http reports is not enough: it counts a connection as idle
// until it has read the whole header of the next request, so that closing by that state
// lets a request that is being read be served and its response be lost.
//
// A callerConn is idle from its last response, or from its start, until the first byte
// after that is read from the kernel.
type callerConn struct {
	net.Conn
	// raw is nil for a connection that is not a socket, where unread bytes cannot be
	// detected.
	raw syscall.RawConn

	mu   sync.Mutex
	idle bool
}

// callerListener wraps the connections that it accepts in callerConn.
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

// Read implements net.Conn. It marks the connection as active before it reads the first
// byte: until then hasUnread detects the byte.
func (c *callerConn) Read(p []byte) (int, error) {
	if c.raw == nil {
		n, err := c.Conn.Read(p)
		c.markActive()
		return n, err
	}
	if c.isIdle() {
		// An error here recurs in the read below, which reports it.
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

// markIdle is called when the server has sent its response and is not reading.
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

// closeIfIdle closes the connection unless the first byte of a request has arrived, and
// reports whether it did.
func (c *callerConn) closeIfIdle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.idle || c.hasUnread() {
		return false
	}
	c.Conn.Close()
	return true
}

// hasUnread reports whether received bytes have not been read yet.
func (c *callerConn) hasUnread() bool {
	if c.raw == nil {
		return false
	}
	var n int
	err := c.raw.Control(func(fd uintptr) { n, _ = peek(fd) })
	return err == nil && n > 0
}

// CloseWrite lets net/http close its direction first, so that a caller that is still
// sending can read the response.
func (c *callerConn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// SetLinger sets what becomes of unsent bytes when the connection is closed, as for net.TCPConn: 0
// drops them and sends a reset.
func (c *callerConn) SetLinger(seconds int) error {
	if socket, ok := c.Conn.(interface{ SetLinger(seconds int) error }); ok {
		return socket.SetLinger(seconds)
	}
	return nil
}

// peek returns 1 if a byte could be read without blocking, without consuming it.
func peek(fd uintptr) (int, error) {
	var first [1]byte
	for {
		n, _, err := unix.Recvfrom(int(fd), first[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		if !errors.Is(err, unix.EINTR) {
			return n, err
		}
	}
}
