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

// idleConns closes callers' connections that have rested for longer than the
// settings allow, and all that rest once the instance stops. net/http reads its own
// bound without a lock, so it cannot follow settings that change, and its Shutdown
// drops requests that it is reading.
type idleConns struct {
	log logr.Logger
	now func() time.Time
	// limit returns how long a connection may rest; 0 sets no bound.
	limit func() time.Duration

	mu       sync.Mutex
	listener net.Listener
	// open holds all connections, idle those that wait for a further request and
	// since when.
	open map[net.Conn]struct{}
	idle map[net.Conn]time.Time
	// last is the limit at the last sweep. Before it was lowered it was earlier,
	// which callers may go by until earlierUntil.
	lastLimit, previousLimit time.Duration
	previousUntil            time.Time
}

func newIdleConns(log logr.Logger, now func() time.Time, limit func() time.Duration) *idleConns {
	return &idleConns{log: log, now: now, limit: limit, open: map[net.Conn]struct{}{}, idle: map[net.Conn]time.Time{}}
}

// serve runs the callers' server on a listener, whose connections are then watched.
func (c *idleConns) serve(server *http.Server, l net.Listener) error {
	c.mu.Lock()
	c.listener = l
	c.mu.Unlock()
	server.ConnState = c.connStateChanged
	return server.Serve(callerListener{l})
}

// drainLook is the time between two looks at the connections that are left, short
// beside the seconds of a planned stop.
const drainPollInterval = 20 * time.Millisecond

// drain takes no more connections, closes those at rest, and returns once the others
// have ended behind their answers, or with ctx. Requests that arrive on them until
// then go to the handler.
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
	if c.listener != nil {
		c.listener.Close()
	}
}

// closeResting closes the connections at rest and returns how many are left.
func (c *idleConns) closeIdle() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn := range c.open {
		c.closeIfIdle(conn)
	}
	return len(c.open)
}

// closeAtRest closes a connection unless a request has begun to arrive.
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

// note is the server's ConnState hook.
func (c *idleConns) connStateChanged(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch state {
	case http.StateIdle:
		conn.(*callerConn).markIdle()
		c.idle[conn] = c.now()
	case http.StateNew, http.StateActive:
		c.open[conn] = struct{}{}
		delete(c.idle, conn)
	default:
		c.remove(conn)
	}
}

// idleSlack is how much longer than the limit a connection may rest: a request may
// be on its way, and its caller would have to send it again.
const idleGrace = time.Second

// promised is the limit that callers may go by: a lowered one holds only for
// connections that began to rest behind it, as callers do not know at once.
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

// idleSweep is the time between two looks at the resting connections.
const sweepInterval = time.Second

func (c *idleConns) run(ctx context.Context) {
	for wait.For(ctx, sweepInterval) {
		c.sweep()
	}
}

// sweep ends the connections that have rested for longer than the limit.
func (c *idleConns) sweep() {
	limit := c.limit()
	c.mu.Lock()
	defer c.mu.Unlock()
	limit = c.effectiveLimit(limit)
	if limit == 0 {
		return
	}
	closed, oldest := 0, time.Duration(0)
	for conn, since := range c.idle {
		rested := c.now().Sub(since)
		if rested < limit+idleGrace || !c.closeIfIdle(conn) {
			continue
		}
		closed, oldest = closed+1, max(oldest, rested)
	}
	if closed > 0 {
		c.log.Info("idle connections closed", "closed", closed, "limit_ms", limit.Milliseconds(), "oldest_ms", oldest.Milliseconds())
	}
}
