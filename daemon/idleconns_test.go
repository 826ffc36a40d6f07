package daemon

import (
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"
)

// idleHarness is an idle connection with a manual clock.
type idleHarness struct {
	*idleConns
	clock time.Time
	bound time.Duration
	conn  net.Conn
	peer  net.Conn
}

func newIdleHarness(t *testing.T, bound time.Duration) *idleHarness {
	h := &idleHarness{clock: time.Unix(1000, 0), bound: bound}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	h.peer, err = net.Dial("tcp", l.Addr().String())
	require.NoError(t, err)
	h.conn, err = callerListener{l}.Accept()
	require.NoError(t, err)
	t.Cleanup(func() { h.conn.Close(); h.peer.Close() })
	h.idleConns = newIdleConns(logr.Discard(), func() time.Time { return h.clock }, func() time.Duration { return h.bound })
	h.sweep()
	h.connStateChanged(h.conn, http.StateIdle)
	return h
}

// openAfter lets time pass, with a sweep each second, and reports whether the connection is still
// open.
func (h *idleHarness) openAfter(d time.Duration) bool {
	for range int(d / time.Second) {
		h.clock = h.clock.Add(time.Second)
		h.sweep()
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	_, open := h.idle[h.conn]
	return open
}

// TestLoweredLimitSparesConnections lowers the limit while a connection is idle: its caller may
// not know yet and may use it for as long as the previous limit allowed.
func TestLoweredLimitSparesConnections(t *testing.T) {
	h := newIdleHarness(t, 15*time.Second)
	require.True(t, h.openAfter(5*time.Second))
	h.bound = 3 * time.Second
	require.True(t, h.openAfter(8*time.Second), "13 s of the 15 s that the previous limit allowed")
	require.False(t, h.openAfter(20*time.Second))
}

func TestIdleConnectionsAreClosed(t *testing.T) {
	h := newIdleHarness(t, 3*time.Second)
	require.True(t, h.openAfter(3*time.Second), "a request may be in transit")
	require.False(t, h.openAfter(3*time.Second))
}

func TestConnectionsInUseStay(t *testing.T) {
	h := newIdleHarness(t, 3*time.Second)
	h.connStateChanged(h.conn, http.StateActive)
	h.openAfter(time.Minute)
	h.connStateChanged(h.conn, http.StateIdle)
	require.True(t, h.openAfter(time.Second))
}
