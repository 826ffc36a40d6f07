package soak

import (
	"log/slog"
	"sync"
	"time"
)

const (
	// surgeConns is the number of connections that callers open at one instance at once, which is
	// more than an instance with nodeDescriptors keeps.
	surgeConns = 300
	// surgePause is the time between two requests on each of them.
	surgePause = 400 * time.Millisecond
	// nodeDescriptors is how many sockets and files each instance may have open.
	nodeDescriptors = 320
)

// surge has most new connections come to one instance. Callers keep them, and send further requests
// on them, until the fault ends.
func (r *run) surge(f Fault) {
	end := time.Now().Add(f.For)
	var all sync.WaitGroup
	for range surgeConns {
		all.Go(func() { r.callers.sendUntil(end, f.Target) })
	}
	all.Wait()
	slog.Info("surge of callers ended", "node", f.Target, "connections", surgeConns)
}

// sendUntil sends requests to an instance on a connection of its own.
func (c *Callers) sendUntil(end time.Time, node int) {
	conn := &callerConn{}
	defer conn.close()
	for time.Now().Before(end) {
		c.sendOn(conn, node, kindSafe, busyProfile.timeout)
		time.Sleep(surgePause)
	}
}
