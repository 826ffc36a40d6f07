package daemon

import (
	"cmp"
	"math"
	"net"
	"slices"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// callerFraction is the largest fraction of the process's descriptors that callers' connections
	// may take, minCallerFraction what they may take however many are open to endpoints.
	callerFraction    = 0.75
	minCallerFraction = 0.25
	// reservedFraction is the fraction that is for files, the store, other instances, and new
	// connections to endpoints.
	reservedFraction = 0.1
	// closedAtOnce is the fraction of the bound that is closed when it is reached, so that not each
	// new connection looks for another one to close.
	closedAtOnce = 1.0 / 16
	// crowdedFraction is the fraction of the bound from which on connections end with their
	// responses. Callers learn that by the response, whereas a request may cross the closing of an
	// idle connection.
	crowdedFraction = 7.0 / 8
	// silentTime is how long a connection has to be without a request before it is closed to make
	// room: until then the next one may be on its way.
	silentTime = time.Second
	// roomPollInterval is the time between two looks for a connection to close while all are busy.
	roomPollInterval = 10 * time.Millisecond
)

// maxCallerConns returns how many connections of callers a process may have open that has so many
// descriptors and connections to endpoints; 0 if the number of descriptors is unknown.
func maxCallerConns(descriptors, toEndpoints int) int {
	total := float64(descriptors)
	left := total*(1-reservedFraction) - float64(toEndpoints)
	return int(min(max(left, total*minCallerFraction), total*callerFraction))
}

// descriptorLimit returns how many descriptors the process has, by its configuration or, if that is 0,
// by the operating system; 0 if that is unknown.
func descriptorLimit(configured int) int {
	if configured > 0 {
		return configured
	}
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil {
		return 0
	}
	return int(min(limit.Cur, math.MaxInt32))
}

// boundedListener accepts connections as long as there is room for them. The platform may send most
// callers of a region to one instance, which needs descriptors to serve them, too.
type boundedListener struct {
	callerListener
	conns *idleConns
}

// Accept implements net.Listener. While there is no room, callers wait in the listener's queue.
func (l boundedListener) Accept() (net.Conn, error) {
	for !l.conns.makeRoom() {
		time.Sleep(roomPollInterval)
	}
	return l.callerListener.Accept()
}

// crowded reports whether connections are to end with their responses.
func (c *idleConns) crowded() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	bound := c.maxOpen()
	return bound > 0 && float64(len(c.open)) >= float64(bound)*crowdedFraction
}

// makeRoom closes the connections that have been idle for longest if the bound is reached. It reports
// whether one more may be accepted.
func (c *idleConns) makeRoom() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	bound := c.maxOpen()
	if bound == 0 || c.stopped || len(c.open) < bound {
		return true
	}
	closed := 0
	most := max(int(float64(bound)*closedAtOnce), 1)
	for _, conn := range c.longestIdle() {
		if closed < most && c.closeIfIdle(conn) {
			closed++
		}
	}
	if closed > 0 {
		c.log.Info("idle connections closed", "closed", closed, "open", len(c.open), "bound", bound)
	}
	return len(c.open) < bound
}

// longestIdle returns the connections that have been idle for silentTime, those that have been so for
// longest first, and then those that have been silent since they were opened.
func (c *idleConns) longestIdle() []net.Conn {
	var idle, silent []net.Conn
	for conn, since := range c.idle {
		if c.now().Sub(since) >= silentTime {
			idle = append(idle, conn)
		}
	}
	for conn, since := range c.open {
		if _, known := c.idle[conn]; !known && c.now().Sub(since) >= silentTime {
			silent = append(silent, conn)
		}
	}
	slices.SortFunc(idle, func(a, b net.Conn) int { return cmp.Compare(c.idle[a].UnixNano(), c.idle[b].UnixNano()) })
	return append(idle, silent...)
}
