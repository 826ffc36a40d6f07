package daemon

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Bounds after which a connection whose peer says nothing at all is given up: a
// machine that lost power or is cut off resets nothing.
const (
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 3
	// unackedTimeout bounds how long sent bytes may go without a sign of the
	// peer's system.
	tcpUserTimeout = 3 * time.Second
	// dialTimeout bounds the opening of a connection; a peer whose queue is full
	// drops the first packet, which goes again after a second.
	dialTimeout = 700 * time.Millisecond
)

// watchfulDialer opens connections that end when the peer's machine is gone.
func newKeepAliveDialer() *net.Dialer {
	return &net.Dialer{
		Timeout: dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
		},
		Control: func(_, _ string, c syscall.RawConn) error {
			var err error
			controlErr := c.Control(func(fd uintptr) {
				err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(tcpUserTimeout.Milliseconds()))
			})
			if controlErr != nil {
				return controlErr
			}
			return err
		},
	}
}
