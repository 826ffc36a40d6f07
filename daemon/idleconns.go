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
// settings allow. net/http reads its own bound without a lock, so it cannot
// follow settings that change.
type idleConns struct {
	log logr.Logger
	now func() time.Time
	// limit returns how long a connection may rest; 0 sets no bound.
	limit func() time.Duration

	mu   sync.Mutex
	idle map[net.Conn]time.Time
	// last is the limit at the last sweep. Before it was lowered it was earlier,
	// which callers may go by until earlierUntil.
	last, earlier time.Duration
	earlierUntil  time.Time
}

func newIdleConns(log logr.Logger, now func() time.Time, limit func() time.Duration) *idleConns {
	return &idleConns{log: log, now: now, limit: limit, idle: map[net.Conn]time.Time{}}
}

// serve runs the callers' server on a listener, whose connections are then watched.
func (c *idleConns) serve(server *http.Server, l net.Listener) error {
	server.ConnState = c.note
	return server.Serve(l)
}

// shutdown ends the server once what is in progress is answered, or with ctx.
func (c *idleConns) shutdown(ctx context.Context, server *http.Server) error {
	return server.Shutdown(ctx)
}

// note is the server's ConnState hook.
func (c *idleConns) note(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if state == http.StateIdle {
		c.idle[conn] = c.now()
		return
	}
	delete(c.idle, conn)
}

// idleSlack is how much longer than the limit a connection may rest: a request
// that is being read has not made it active yet, and closing it then would cut it.
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
		if rested < limit+idleSlack {
			continue
		}
		conn.Close()
		delete(c.idle, conn)
		closed, oldest = closed+1, max(oldest, rested)
	}
	if closed > 0 {
		c.log.Info("idle connections closed", "closed", closed, "limit_ms", limit.Milliseconds(), "oldest_ms", oldest.Milliseconds())
	}
}
