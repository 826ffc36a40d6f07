package daemon

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"
)

// readHook is called with the number of a connection's read; reads of single bytes do not count.
type readHook func(read int)

// hookedConn is a TCP connection that calls hooks before its reads and after those that return
// bytes.
type hookedConn struct {
	*net.TCPConn
	harness *callerHarness
	reads   int
}

// Read implements net.Conn.
func (c *hookedConn) Read(p []byte) (int, error) {
	if len(p) == 1 {
		// net/http reads single bytes to watch a connection while its request is served.
		return c.TCPConn.Read(p)
	}
	c.reads++
	(*c.harness.beforeRead.Load())(c.reads)
	n, err := c.TCPConn.Read(p)
	if n > 0 {
		(*c.harness.afterRead.Load())(c.reads)
	}
	return n, err
}

// hookedListener wraps the one connection that it accepts in a hookedConn.
type hookedListener struct {
	net.Listener
	harness *callerHarness
}

// Accept implements net.Listener.
func (l *hookedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	hooked := &hookedConn{TCPConn: conn.(*net.TCPConn), harness: l.harness}
	l.harness.accepted.Store(hooked)
	return hooked, nil
}

// callerHarness is a server on loopback with one caller. Hooks run in the server's reads, so that
// their actions happen between two steps of the server.
type callerHarness struct {
	t         *testing.T
	idle      *idleConns
	pastLimit atomic.Bool
	server    *http.Server
	accepted  atomic.Pointer[hookedConn]
	// served counts the requests that reached the server's handler.
	served atomic.Int64
	caller net.Conn
	reader *bufio.Reader

	beforeRead, afterRead atomic.Pointer[readHook]
}

// waitLimit bounds the wait for events that must happen; no test asserts how soon they do.
const waitLimit = 30 * time.Second

// connIdleLimit is how long connections may be idle.
const connIdleLimit = 3 * time.Second

// newCallerHarnessWithoutServer returns a harness without server and caller, whose hooks do
// nothing.
func newCallerHarnessWithoutServer(t *testing.T) *callerHarness {
	h := &callerHarness{t: t}
	none := readHook(func(int) {})
	h.beforeRead.Store(&none)
	h.afterRead.Store(&none)
	return h
}

func newCallerHarness(t *testing.T) *callerHarness {
	h := newCallerHarnessWithoutServer(t)
	h.idle = newIdleConns(logr.Discard(), h.now, func() time.Duration { return connIdleLimit })
	h.server = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		h.served.Add(1)
		_, _ = io.WriteString(w, "answer to "+r.URL.Path)
	})}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	go func() { _ = h.idle.serve(h.server, &hookedListener{l, h}) }()
	t.Cleanup(func() { h.server.Close() })
	h.dial(l.Addr().String())
	return h
}

// dial opens the caller's connection.
func (h *callerHarness) dial(address string) {
	h.t.Helper()
	var err error
	h.caller, err = net.Dial("tcp", address)
	require.NoError(h.t, err)
	h.t.Cleanup(func() { h.caller.Close() })
	h.reader = bufio.NewReader(h.caller)
}

// now returns a fixed time, or one past the idle limit once pastLimit is set.
func (h *callerHarness) now() time.Time {
	start := time.Unix(1000, 0)
	if h.pastLimit.Load() {
		return start.Add(3 * connIdleLimit)
	}
	return start
}

// send sends a request for path.
func (h *callerHarness) send(path string) {
	h.t.Helper()
	_, err := fmt.Fprintf(h.caller, "GET %s HTTP/1.1\r\nHost: h\r\n\r\n", path)
	require.NoError(h.t, err)
}

// requireAnswer reads a response and requires that it is the one to the request for path.
func (h *callerHarness) requireAnswer(path string) {
	h.t.Helper()
	resp, err := http.ReadResponse(h.reader, nil)
	require.NoError(h.t, err, "no answer to %s; %d requests were served", path, h.served.Load())
	body, err := io.ReadAll(resp.Body)
	require.NoError(h.t, err)
	require.Equal(h.t, "answer to "+path, string(body))
}

// waitIdle waits until the server counts the connection as idle.
func (h *callerHarness) waitIdle() {
	h.t.Helper()
	require.Eventually(h.t, func() bool {
		h.idle.mu.Lock()
		defer h.idle.mu.Unlock()
		return len(h.idle.idle) == 1
	}, waitLimit, time.Millisecond)
}

// sweepPastLimit sweeps after the connection has been idle for longer than the limit.
func (h *callerHarness) sweepPastLimit() {
	h.pastLimit.Store(true)
	h.idle.sweep()
}

// waitUnread waits until the server has unread bytes.
func (h *callerHarness) waitUnread() {
	h.t.Helper()
	raw, err := h.accepted.Load().SyscallConn()
	require.NoError(h.t, err)
	require.Eventually(h.t, func() bool {
		var unread int
		require.NoError(h.t, raw.Control(func(fd uintptr) { unread, _ = unix.IoctlGetInt(int(fd), unix.SIOCINQ) }))
		return unread > 0
	}, waitLimit, time.Millisecond)
}

// drainNow drains the server without waiting.
func (h *callerHarness) drainNow() {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_ = h.idle.drain(ctx)
}

// Guards against a sweep of idle connections that closes the connection of a request that is
// being read. net/http counts a connection as active only once it has read the whole header, and
// after the process has been stalled for seconds the connection seems to have been idle for
// longer than the limit. The request would still be sent to an endpoint, and its caller would get
// no response.
func TestSweepSparesRequestBeingRead(t *testing.T) {
	h := newCallerHarness(t)
	h.send("/first")
	h.requireAnswer("/first")
	h.waitIdle()
	sweep := readHook(func(int) { h.sweepPastLimit() })
	h.afterRead.Store(&sweep)
	h.send("/second")
	require.Eventually(t, func() bool { return h.served.Load() == 2 }, waitLimit, time.Millisecond, "the request is served")
	h.requireAnswer("/second")
}

// Guards against a sweep that judges by the idle time alone. While an instance is stalled,
// requests queue up unread; the first sweep afterwards would close their connections, although
// the callers kept to the limit when they sent.
func TestSweepSparesUnreadRequest(t *testing.T) {
	h := newCallerHarness(t)
	still := make(chan struct{})
	hold := readHook(func(read int) {
		if read == 2 {
			<-still
		}
	})
	h.beforeRead.Store(&hold)
	h.send("/first")
	h.requireAnswer("/first")
	h.waitIdle()
	h.send("/second")
	h.waitUnread()
	h.sweepPastLimit()
	close(still)
	h.requireAnswer("/second")
}

// Guards against a planned stop that closes the connections that net/http counts as idle.
// net/http drops all that it reads from then on: a request that is being read at that time, also
// the first one of a connection, would get neither a response nor a rejection.
func TestStopAnswersRequestBeingRead(t *testing.T) {
	for name, before := range map[string][]string{"first request": nil, "on a kept connection": {"/first"}} {
		t.Run(name, func(t *testing.T) {
			h := newCallerHarness(t)
			for _, path := range before {
				h.send(path)
				h.requireAnswer(path)
				h.waitIdle()
			}
			end := readHook(func(int) { h.drainNow() })
			h.afterRead.Store(&end)
			h.send("/last")
			h.requireAnswer("/last")
		})
	}
}

// Guards against the same fault in a planned stop of an Instance by net/http's Shutdown alone,
// which closes the connections that it counts as idle and drops all that it reads from then on.
func TestPlannedStopOfAnInstanceAnswersRequestBeingRead(t *testing.T) {
	h := newCallerHarnessWithoutServer(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	f := startFleetOn(t, &hookedListener{l, h})
	h.dial(l.Addr().String())
	h.send("/v1/models")
	h.requireSomeAnswer()
	// The server counts the connection as idle only shortly after its response.
	time.Sleep(100 * time.Millisecond)
	ends := readHook(func(int) {
		f.stop()
		assert.Eventually(t, func() bool {
			conn, err := net.Dial("tcp", l.Addr().String())
			if err == nil {
				conn.Close()
			}
			return err != nil
		}, waitLimit, time.Millisecond, "the listener is closed")
	})
	h.afterRead.Store(&ends)
	h.send("/v1/models")
	h.requireSomeAnswer()
}

// requireSomeAnswer reads a response of any status.
func (h *callerHarness) requireSomeAnswer() {
	h.t.Helper()
	resp, err := http.ReadResponse(h.reader, nil)
	require.NoError(h.t, err)
	_, err = io.Copy(io.Discard, resp.Body)
	require.NoError(h.t, err)
}

// Whether an idle connection may be closed depends on its unread bytes: it must stay open if a
// byte has arrived, and may be closed otherwise.
func TestIdleConnectionWithNothingUnreadIsClosed(t *testing.T) {
	h := newCallerHarness(t)
	h.send("/first")
	h.requireAnswer("/first")
	h.waitIdle()
	h.idle.mu.Lock()
	defer h.idle.mu.Unlock()
	conns := slices.Collect(maps.Keys(h.idle.open))
	require.Len(t, conns, 1)
	conn := conns[0].(*callerConn)
	conn.mu.Lock()
	require.True(t, conn.idle, "it is idle after its response")
	require.False(t, conn.hasUnread())
	conn.mu.Unlock()
	require.True(t, h.idle.closeIfIdle(conn))
}

// An unread byte keeps a connection open that has not been read from since its last response.
func TestConnectionWithAnUnreadByteStays(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	caller, err := net.Dial("tcp", l.Addr().String())
	require.NoError(t, err)
	defer caller.Close()
	accepted, err := callerListener{l}.Accept()
	require.NoError(t, err)
	defer accepted.Close()
	conn := accepted.(*callerConn)
	_, err = caller.Write([]byte{'G'})
	require.NoError(t, err)
	require.Eventually(t, conn.hasUnread, waitLimit, time.Millisecond)
	require.False(t, conn.closeIfIdle())
	_, half := accepted.(interface{ CloseWrite() error })
	require.True(t, half, "net/http closes its direction first if a caller still sends")
}
