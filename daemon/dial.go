package daemon

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Bounds after which a connection with a silent peer is closed: a machine that has lost
// power or its network sends no reset.
const (
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 3
	// tcpUserTimeout bounds how long sent bytes may remain unacknowledged
	// (TCP_USER_TIMEOUT, RFC 5482).
	tcpUserTimeout = 3 * time.Second
	// dialTimeout bounds the opening of a connection. A peer whose accept queue is full
	// drops the first SYN, which is retransmitted only after a second.
	dialTimeout = 700 * time.Millisecond
)

// newKeepAliveDialer returns a dialer whose connections fail when the peer's machine is gone.
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
