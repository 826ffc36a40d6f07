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

// hook runs at a read of a whole request; read counts those of its connection.
type readHook func(read int)

// hookedConn is a TCP connection that runs hooks before its reads and, where bytes
// came, behind them.
type hookedConn struct {
	*net.TCPConn
	harness *callerHarness
	reads   int
}

// Read implements net.Conn.
func (c *hookedConn) Read(p []byte) (int, error) {
	if len(p) == 1 {
		// So net/http watches a connection while its request is served.
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

// hookedListener hooks the one connection that it accepts.
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

// arrivals is a server on loopback with one caller. Hooks run in the server's
// reads, so that what happens there comes between two steps of the server.
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

// patience bounds waiting for what must come; no test asserts how soon.
const waitLimit = 30 * time.Second

// restLimit is how long connections may rest.
const connIdleLimit = 3 * time.Second

// noArrivals has no server and no caller yet, and hooks that do nothing.
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

// now stands still but for one step beyond the limit.
func (a *callerHarness) now() time.Time {
	start := time.Unix(1000, 0)
	if a.pastLimit.Load() {
		return start.Add(3 * connIdleLimit)
	}
	return start
}

// send sends a request.
func (a *callerHarness) send(path string) {
	a.t.Helper()
	_, err := fmt.Fprintf(a.caller, "GET %s HTTP/1.1\r\nHost: h\r\n\r\n", path)
	require.NoError(a.t, err)
}

// requireAnswer reads an answer, which has to be the one to the request.
func (a *callerHarness) requireAnswer(path string) {
	a.t.Helper()
	resp, err := http.ReadResponse(a.reader, nil)
	require.NoError(a.t, err, "no answer to %s; %d requests were served", path, a.served.Load())
	body, err := io.ReadAll(resp.Body)
	require.NoError(a.t, err)
	require.Equal(a.t, "answer to "+path, string(body))
}

// rest waits until the server counts the connection as idle.
func (a *callerHarness) waitIdle() {
	a.t.Helper()
	require.Eventually(a.t, func() bool {
		a.idle.mu.Lock()
		defer a.idle.mu.Unlock()
		return len(a.idle.idle) == 1
	}, waitLimit, time.Millisecond)
}

// sweepLate sweeps when the connection has rested for longer than the limit.
func (a *callerHarness) sweepPastLimit() {
	a.pastLimit.Store(true)
	a.idle.sweep()
}

// waitUnread waits until bytes wait unread at the server.
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

// endNow ends the server with no time left to wait for anything.
func (a *callerHarness) drainNow() {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_ = a.idle.drain(ctx)
}

// A sweep of idle connections came between the read of a request and the moment
// at which net/http counts its connection as active, which it does only once it has
// read the whole head. The instance had stood still for seconds, so that the
// connection seemed to have rested for longer than the limit. It was closed, the
// request went on to an endpoint all the same, and its caller got no answer.
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

// Requests pile up unread while an instance stands still. The sweep that came
// first afterwards judged by the time alone and closed their connections, also of
// callers that had kept to the limit when they sent.
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

// A planned stop closed the connections that net/http counted as idle, and net/http
// drops whatever it reads from then on: a request that was being read when the stop
// came this far got neither an answer nor a refusal. So did the first request of a
// connection.
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

// The product's own interface made its planned stop by net/http alone, which closes
// what it counts as idle and drops what it reads from then on.
func TestPlannedStopOfAnInstanceAnswersRequestBeingRead(t *testing.T) {
	a := newCallerHarnessWithoutServer(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	f := startFleetOn(t, &hookedListener{l, a})
	a.dial(l.Addr().String())
	a.send("/v1/models")
	a.requireSomeAnswer()
	// The server counts the connection as idle a moment later.
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

// requireSomeAnswer reads an answer or a refusal.
func (a *callerHarness) requireSomeAnswer() {
	a.t.Helper()
	resp, err := http.ReadResponse(a.reader, nil)
	require.NoError(a.t, err)
	_, err = io.Copy(io.Discard, resp.Body)
	require.NoError(a.t, err)
}

// What a connection that rests shows of its caller decides whether it may be closed:
// nothing may be closed under a byte that has arrived, and all that rests may.
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
	require.True(t, conn.idle, "it rests behind its answer")
	require.False(t, conn.hasUnread())
	conn.mu.Unlock()
	require.True(t, a.idle.closeIfIdle(conn))
}

// A byte that waits unread keeps a connection open that has not been read since its
// last answer.
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
	require.True(t, half, "net/http ends its side first where a caller still sends")
}
