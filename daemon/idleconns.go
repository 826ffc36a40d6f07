package daemon

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"github.com/eiderspring/eiderspring/wait"
)

// idleConns closes callers' connections that have been idle for longer than the settings
// allow, and all idle ones once the instance stops. net/http cannot do either: it reads its
// own IdleTimeout without a lock, so that the limit cannot change at run time, and its
// Shutdown drops requests that are being read.
type idleConns struct {
	log logr.Logger
	now func() time.Time
	// limit returns how long a connection may be idle; 0 sets no bound.
	limit func() time.Duration

	// maxOpen returns how many connections may be open; 0 sets no bound.
	maxOpen func() int

	mu       sync.Mutex
	listener net.Listener
	// stopped is set once no more connections are accepted.
	stopped bool
	// open holds all connections and since when they are open, idle those that net/http reports
	// as idle and since when.
	open, idle map[net.Conn]time.Time
	// lastLimit is the limit at the last sweep; previousLimit, the one before it was lowered,
	// applies until previousUntil.
	lastLimit, previousLimit time.Duration
	previousUntil            time.Time
}

func newIdleConns(log logr.Logger, now func() time.Time, limit func() time.Duration) *idleConns {
	return &idleConns{log: log, now: now, limit: limit, maxOpen: func() int { return 0 }, open: map[net.Conn]time.Time{}, idle: map[net.Conn]time.Time{}}
}

// serve runs the callers' server on l and tracks its connections.
func (c *idleConns) serve(server *http.Server, l net.Listener) error {
	c.mu.Lock()
	c.listener = l
	c.mu.Unlock()
	server.ConnState = c.connStateChanged
	return server.Serve(boundedListener{callerListener{l}, c})
}

// drainPollInterval is the time between two checks of the remaining connections, short
// compared with the seconds of a planned stop.
const drainPollInterval = 20 * time.Millisecond

// drain accepts no more connections, closes the idle ones, and returns once the others
// have been closed after their responses, or with the error of ctx. Requests that arrive
// on them until then go to the handler.
func (c *idleConns) drain(ctx context.Context) error {
	c.closeListener()
	for c.closeIdle() > 0 {
		if !wait.For(ctx, drainPollInterval) {
			return ctx.Err()
		}
	}
	return nil
}

func (c *idleConns) closeListener() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stopped = true
	if c.listener != nil {
		c.listener.Close()
	}
}

// closeIdle closes the idle connections and returns how many are left.
func (c *idleConns) closeIdle() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn := range c.open {
		c.closeIfIdle(conn)
	}
	return len(c.open)
}

// closeIfIdle closes a connection unless a request has begun to arrive; mu must be held.
func (c *idleConns) closeIfIdle(conn net.Conn) bool {
	if !conn.(*callerConn).closeIfIdle() {
		return false
	}
	c.remove(conn)
	return true
}

func (c *idleConns) remove(conn net.Conn) {
	delete(c.open, conn)
	delete(c.idle, conn)
}

// connStateChanged is the server's ConnState hook.
func (c *idleConns) connStateChanged(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch state {
	case http.StateIdle:
		conn.(*callerConn).markIdle()
		c.idle[conn] = c.now()
	case http.StateNew, http.StateActive:
		if _, known := c.open[conn]; !known {
			c.open[conn] = c.now()
		}
		delete(c.idle, conn)
	default:
		c.remove(conn)
	}
}

// idleGrace is how much longer than the limit a connection may be idle: a request may
// be in transit, and its caller would have to send it again.
const idleGrace = time.Second

// effectiveLimit returns the limit to enforce. After the limit is lowered, the previous one
// stays in effect for its own length: callers do not learn of the change at once and may use
// connections that became idle before it for as long.
func (c *idleConns) effectiveLimit(limit time.Duration) time.Duration {
	now := c.now()
	if limit < c.lastLimit {
		c.previousLimit, c.previousUntil = max(c.lastLimit, c.previousLimit), now.Add(max(c.lastLimit, c.previousLimit))
	}
	c.lastLimit = limit
	if now.Before(c.previousUntil) {
		return max(limit, c.previousLimit)
	}
	c.previousLimit = 0
	return limit
}

// sweepInterval is the time between two sweeps.
const sweepInterval = time.Second

func (c *idleConns) run(ctx context.Context) {
	for wait.For(ctx, sweepInterval) {
		c.sweep()
	}
}

// sweep closes the connections that have been idle for longer than the limit.
func (c *idleConns) sweep() {
	limit := c.limit()
	c.mu.Lock()
	defer c.mu.Unlock()
	limit = c.effectiveLimit(limit)
	if limit == 0 {
		return
	}
	closed, longest := 0, time.Duration(0)
	for conn, since := range c.idle {
		idle := c.now().Sub(since)
		if idle < limit+idleGrace || !c.closeIfIdle(conn) {
			continue
		}
		closed, longest = closed+1, max(longest, idle)
	}
	if closed > 0 {
		c.log.Info("idle connections closed", "closed", closed, "limit_ms", limit.Milliseconds(), "oldest_ms", longest.Milliseconds())
	}
}
