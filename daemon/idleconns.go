package daemon

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/eiderspring/eiderspring/wait"
)

// idleConns closes callers' connections that have rested for longer than the
// settings allow. net/http reads its own bound without a lock, so it cannot
// follow settings that change.
type idleConns struct {
	now func() time.Time
	// limit returns how long a connection may rest; 0 sets no bound.
	limit func() time.Duration

	mu   sync.Mutex
	idle map[net.Conn]time.Time
}

func newIdleConns(now func() time.Time, limit func() time.Duration) *idleConns {
	return &idleConns{now: now, limit: limit, idle: map[net.Conn]time.Time{}}
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

// idleSweep is the time between two looks at the resting connections.
const idleSweep = time.Second

func (c *idleConns) run(ctx context.Context) {
	for wait.For(ctx, idleSweep) {
		if limit := c.limit(); limit > 0 {
			c.close(limit)
		}
	}
}

// close ends the connections that have rested for at least limit.
func (c *idleConns) close(limit time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn, since := range c.idle {
		if c.now().Sub(since) >= limit {
			conn.Close()
			delete(c.idle, conn)
		}
	}
}
