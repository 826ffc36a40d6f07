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
	last, earlier time.Duration
	earlierUntil  time.Time
}

func newIdleConns(log logr.Logger, now func() time.Time, limit func() time.Duration) *idleConns {
	return &idleConns{log: log, now: now, limit: limit, open: map[net.Conn]struct{}{}, idle: map[net.Conn]time.Time{}}
}

// serve runs the callers' server on a listener, whose connections are then watched.
func (c *idleConns) serve(server *http.Server, l net.Listener) error {
	c.mu.Lock()
	c.listener = l
	c.mu.Unlock()
	server.ConnState = c.note
	return server.Serve(callerListener{l})
}

// drainLook is the time between two looks at the connections that are left, short
// beside the seconds of a planned stop.
const drainLook = 20 * time.Millisecond

// drain takes no more connections, closes those at rest, and returns once the others
// have ended behind their answers, or with ctx. Requests that arrive on them until
// then go to the handler.
func (c *idleConns) drain(ctx context.Context) error {
	c.closeListener()
	for c.closeResting() > 0 {
		if !wait.For(ctx, drainLook) {
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
func (c *idleConns) closeResting() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn := range c.open {
		c.closeAtRest(conn)
	}
	return len(c.open)
}

// closeAtRest closes a connection unless a request has begun to arrive.
func (c *idleConns) closeAtRest(conn net.Conn) bool {
	if !conn.(*callerConn).closeAtRest() {
		return false
	}
	c.forget(conn)
	return true
}

func (c *idleConns) forget(conn net.Conn) {
	delete(c.open, conn)
	delete(c.idle, conn)
}

// note is the server's ConnState hook.
func (c *idleConns) note(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch state {
	case http.StateIdle:
		conn.(*callerConn).rest()
		c.idle[conn] = c.now()
	case http.StateNew, http.StateActive:
		c.open[conn] = struct{}{}
		delete(c.idle, conn)
	default:
		c.forget(conn)
	}
}

// idleSlack is how much longer than the limit a connection may rest: a request may
// be on its way, and its caller would have to send it again.
const idleSlack = time.Second

// promised is the limit that callers may go by: a lowered one holds only for
// connections that began to rest behind it, as callers do not know at once.
func (c *idleConns) promised(limit time.Duration) time.Duration {
	now := c.now()
	if limit < c.last {
		c.earlier, c.earlierUntil = max(c.last, c.earlier), now.Add(max(c.last, c.earlier))
	}
	c.last = limit
	if now.Before(c.earlierUntil) {
		return max(limit, c.earlier)
	}
	c.earlier = 0
	return limit
}

// idleSweep is the time between two looks at the resting connections.
const idleSweep = time.Second

func (c *idleConns) run(ctx context.Context) {
	for wait.For(ctx, idleSweep) {
		c.sweep()
	}
}

// sweep ends the connections that have rested for longer than the limit.
func (c *idleConns) sweep() {
	limit := c.limit()
	c.mu.Lock()
	defer c.mu.Unlock()
	limit = c.promised(limit)
	if limit == 0 {
		return
	}
	closed, oldest := 0, time.Duration(0)
	for conn, since := range c.idle {
		rested := c.now().Sub(since)
		if rested < limit+idleSlack || !c.closeAtRest(conn) {
			continue
		}
		closed, oldest = closed+1, max(oldest, rested)
	}
	if closed > 0 {
		c.log.Info("idle connections closed", "closed", closed, "limit_ms", limit.Milliseconds(), "oldest_ms", oldest.Milliseconds())
	}
}
