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
	a := &callerHarness{t: t}
	none := readHook(func(int) {})
	a.beforeRead.Store(&none)
	a.afterRead.Store(&none)
	return a
}

func newCallerHarness(t *testing.T) *callerHarness {
	a := newCallerHarnessWithoutServer(t)
	a.idle = newIdleConns(logr.Discard(), a.now, func() time.Duration { return connIdleLimit })
	a.server = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		a.served.Add(1)
		_, _ = io.WriteString(w, "answer to "+r.URL.Path)
	})}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	go func() { _ = a.idle.serve(a.server, &hookedListener{l, a}) }()
	t.Cleanup(func() { a.server.Close() })
	a.dial(l.Addr().String())
	return a
}

// dial opens the caller's connection.
func (a *callerHarness) dial(address string) {
	a.t.Helper()
	var err error
	a.caller, err = net.Dial("tcp", address)
	require.NoError(a.t, err)
	a.t.Cleanup(func() { a.caller.Close() })
	a.reader = bufio.NewReader(a.caller)
}

// now returns a fixed time, or one past the idle limit once pastLimit is set.
func (a *callerHarness) now() time.Time {
	start := time.Unix(1000, 0)
	if a.pastLimit.Load() {
		return start.Add(3 * connIdleLimit)
	}
	return start
}

// send sends a request for path.
func (a *callerHarness) send(path string) {
	a.t.Helper()
	_, err := fmt.Fprintf(a.caller, "GET %s HTTP/1.1\r\nHost: h\r\n\r\n", path)
	require.NoError(a.t, err)
}

// requireAnswer reads a response and requires that it is the one to the request for path.
func (a *callerHarness) requireAnswer(path string) {
	a.t.Helper()
	resp, err := http.ReadResponse(a.reader, nil)
	require.NoError(a.t, err, "no answer to %s; %d requests were served", path, a.served.Load())
	body, err := io.ReadAll(resp.Body)
	require.NoError(a.t, err)
	require.Equal(a.t, "answer to "+path, string(body))
}

// waitIdle waits until the server counts the connection as idle.
func (a *callerHarness) waitIdle() {
	a.t.Helper()
	require.Eventually(a.t, func() bool {
		a.idle.mu.Lock()
		defer a.idle.mu.Unlock()
		return len(a.idle.idle) == 1
	}, waitLimit, time.Millisecond)
}

// sweepPastLimit sweeps after the connection has been idle for longer than the limit.
func (a *callerHarness) sweepPastLimit() {
	a.pastLimit.Store(true)
	a.idle.sweep()
}

// waitUnread waits until the server has unread bytes.
func (a *callerHarness) waitUnread() {
	a.t.Helper()
	raw, err := a.accepted.Load().SyscallConn()
	require.NoError(a.t, err)
	require.Eventually(a.t, func() bool {
		var unread int
		require.NoError(a.t, raw.Control(func(fd uintptr) { unread, _ = unix.IoctlGetInt(int(fd), unix.SIOCINQ) }))
		return unread > 0
	}, waitLimit, time.Millisecond)
}

// drainNow drains the server without waiting.
func (a *callerHarness) drainNow() {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_ = a.idle.drain(ctx)
}

// Guards against a sweep of idle connections that closes the connection of a request that is
// being read. net/http counts a connection as active only once it has read the whole header, and
// after the process has been stalled for seconds the connection seems to have been idle for
// longer than the limit. The request would still be sent to an endpoint, and its caller would get
// no response.
func TestSweepSparesRequestBeingRead(t *testing.T) {
	a := newCallerHarness(t)
	a.send("/first")
	a.requireAnswer("/first")
	a.waitIdle()
	sweep := readHook(func(int) { a.sweepPastLimit() })
	a.afterRead.Store(&sweep)
	a.send("/second")
	require.Eventually(t, func() bool { return a.served.Load() == 2 }, waitLimit, time.Millisecond, "the request is served")
	a.requireAnswer("/second")
}

// Guards against a sweep that judges by the idle time alone. While an instance is stalled,
// requests queue up unread; the first sweep afterwards would close their connections, although
// the callers kept to the limit when they sent.
func TestSweepSparesUnreadRequest(t *testing.T) {
	a := newCallerHarness(t)
	still := make(chan struct{})
	hold := readHook(func(read int) {
		if read == 2 {
			<-still
		}
	})
	a.beforeRead.Store(&hold)
	a.send("/first")
	a.requireAnswer("/first")
	a.waitIdle()
	a.send("/second")
	a.waitUnread()
	a.sweepPastLimit()
	close(still)
	a.requireAnswer("/second")
}

// Guards against a planned stop that closes the connections that net/http counts as idle.
// net/http drops all that it reads from then on: a request that is being read at that time, also
// the first one of a connection, would get neither a response nor a rejection.
func TestStopAnswersRequestBeingRead(t *testing.T) {
	for name, before := range map[string][]string{"first request": nil, "on a kept connection": {"/first"}} {
		t.Run(name, func(t *testing.T) {
			a := newCallerHarness(t)
			for _, path := range before {
				a.send(path)
				a.requireAnswer(path)
				a.waitIdle()
			}
			end := readHook(func(int) { a.drainNow() })
			a.afterRead.Store(&end)
			a.send("/last")
			a.requireAnswer("/last")
		})
	}
}

// Guards against the same fault in a planned stop of an Instance by net/http's Shutdown alone,
// which closes the connections that it counts as idle and drops all that it reads from then on.
func TestPlannedStopOfAnInstanceAnswersRequestBeingRead(t *testing.T) {
	a := newCallerHarnessWithoutServer(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	f := startFleetOn(t, &hookedListener{l, a})
	a.dial(l.Addr().String())
	a.send("/v1/models")
	a.requireSomeAnswer()
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
	a.afterRead.Store(&ends)
	a.send("/v1/models")
	a.requireSomeAnswer()
}

// requireSomeAnswer reads a response of any status.
func (a *callerHarness) requireSomeAnswer() {
	a.t.Helper()
	resp, err := http.ReadResponse(a.reader, nil)
	require.NoError(a.t, err)
	_, err = io.Copy(io.Discard, resp.Body)
	require.NoError(a.t, err)
}

// Whether an idle connection may be closed depends on its unread bytes: it must stay open if a
// byte has arrived, and may be closed otherwise.
func TestIdleConnectionWithNothingUnreadIsClosed(t *testing.T) {
	a := newCallerHarness(t)
	a.send("/first")
	a.requireAnswer("/first")
	a.waitIdle()
	a.idle.mu.Lock()
	defer a.idle.mu.Unlock()
	conns := slices.Collect(maps.Keys(a.idle.open))
	require.Len(t, conns, 1)
	conn := conns[0].(*callerConn)
	conn.mu.Lock()
	require.True(t, conn.idle, "it is idle after its response")
	require.False(t, conn.hasUnread())
	conn.mu.Unlock()
	require.True(t, a.idle.closeIfIdle(conn))
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
