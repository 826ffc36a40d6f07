package daemon

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"
)

// boundedServer serves callers with room for a few connections.
type boundedServer struct {
	t       *testing.T
	conns   *idleConns
	address string
	// held is what requests to /slow wait for; running counts them.
	held    chan struct{}
	running atomic.Int64
	// mostOpen is the largest number of open connections that a request has met.
	mostOpen atomic.Int64
}

// connBound is the number of connections of a boundedServer.
const connBound = 32

func newBoundedServer(t *testing.T) *boundedServer {
	s := &boundedServer{t: t, held: make(chan struct{}), conns: newIdleConns(logr.Discard(), time.Now, func() time.Duration { return 0 })}
	s.conns.maxOpen = func() int { return connBound }
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s.address = l.Addr().String()
	server := &http.Server{Handler: s}
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = s.conns.serve(server, l)
	}()
	t.Cleanup(func() {
		s.conns.closeListener()
		server.Close()
		<-done
	})
	return s
}

func (s *boundedServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w = &closingWriter{ResponseWriter: w, ends: s.conns.crowded}
	s.conns.mu.Lock()
	open := int64(len(s.conns.open))
	s.conns.mu.Unlock()
	s.mostOpen.Store(max(open, s.mostOpen.Load()))
	if r.URL.Path == "/slow" {
		s.running.Add(1)
		<-s.held
	}
	w.WriteHeader(http.StatusOK)
	fmt.Fprint(w, "answer")
}

// ask sends a request on a connection of its own, which stays open, and returns the answer's body.
func (s *boundedServer) ask(path string) string {
	transport := &http.Transport{}
	s.t.Cleanup(transport.CloseIdleConnections)
	resp, err := (&http.Client{Transport: transport}).Get("http://" + s.address + path)
	if err != nil {
		return err.Error()
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return err.Error()
	}
	return string(body)
}

// askAll sends several requests at the same time.
func (s *boundedServer) askAll(n int, path string) chan string {
	answers := make(chan string, n)
	for range n {
		go func() { answers <- s.ask(path) }()
	}
	return answers
}

// TestManyNewConnectionsAreServed lets many callers open connections at an instance that has room for a
// few, and keep them, while requests are in progress. It guards against an instance without
// descriptors for its endpoints, and against one that cuts requests or accepts nobody any more.
func TestManyNewConnectionsAreServed(t *testing.T) {
	s := newBoundedServer(t)
	slow := s.askAll(connBound/2, "/slow")
	require.Eventually(t, func() bool { return s.running.Load() == connBound/2 }, 30*time.Second, time.Millisecond)
	const callers = 10 * connBound
	answers := s.askAll(callers, "/")
	for range callers {
		// A connection on which nothing was sent in time may be closed, then its caller tries again.
		if <-answers != "answer" {
			require.Equal(t, "answer", s.ask("/"))
		}
	}
	require.LessOrEqual(t, s.mostOpen.Load(), int64(connBound))
	close(s.held)
	for range connBound / 2 {
		require.Equal(t, "answer", <-slow)
	}
}

// TestKeptConnectionsAreNotCutForRoom has more callers than there is room for send requests one after the
// other on connections that they keep. It guards against a request that crosses the closing of its
// connection: it can't be repeated by itself, and its caller doesn't learn whether it ran.
func TestKeptConnectionsAreNotCutForRoom(t *testing.T) {
	s := newBoundedServer(t)
	began := time.Now()
	s.conns.mu.Lock()
	// No connection is idle for long.
	s.conns.now = func() time.Time { return began }
	s.conns.mu.Unlock()
	const callers, requests = 4 * connBound, 50
	failed := make(chan error, callers)
	for range callers {
		go func() {
			transport := &http.Transport{}
			defer transport.CloseIdleConnections()
			var errs error
			for range requests {
				errs = errors.Join(errs, s.post(transport))
			}
			failed <- errs
		}()
	}
	for range callers {
		require.NoError(t, <-failed)
	}
	require.LessOrEqual(t, s.mostOpen.Load(), int64(connBound))
}

// post sends a request that a transport doesn't repeat.
func (s *boundedServer) post(transport *http.Transport) error {
	resp, err := (&http.Client{Transport: transport}).Post("http://"+s.address, "text/plain", io.LimitReader(strings.NewReader("body"), 4))
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return err
}

// TestCallersLeaveDescriptorsForEndpoints guards against callers that take the descriptors of connections
// to endpoints, of which an instance before many endpoints has more than a quarter, and against callers
// who are left without any.
func TestCallersLeaveDescriptorsForEndpoints(t *testing.T) {
	const descriptors = 4100
	require.Equal(t, 3075, maxCallerConns(descriptors, 0))
	require.Equal(t, 3075, maxCallerConns(descriptors, 600))
	require.Equal(t, 1232, maxCallerConns(descriptors, 2458))
	require.Equal(t, 1025, maxCallerConns(descriptors, 4000))
	require.Zero(t, maxCallerConns(0, 100), "the number is unknown")
}

// TestOpenConnectionsToEndpointsAreCounted guards against a count that misses a connection, or takes one
// off twice.
func TestOpenConnectionsToEndpointsAreCounted(t *testing.T) {
	open := func(context.Context, string, string) (net.Conn, error) {
		conn, _ := net.Pipe()
		return conn, nil
	}
	p := newEndpointPath(t.Context(), open, nil, logr.Discard(), time.Now)
	var conns []net.Conn
	for range 3 {
		conn, err := p.DialContext(t.Context(), "tcp", "")
		require.NoError(t, err)
		conns = append(conns, conn)
	}
	require.Equal(t, 3, p.openConns())
	require.NoError(t, conns[0].Close())
	_ = conns[0].Close()
	require.Equal(t, 2, p.openConns())
}

// TestCallersWaitWhileAllConnectionsAreBusy guards against a request that is cut as all connections
// are busy and another caller comes.
func TestCallersWaitWhileAllConnectionsAreBusy(t *testing.T) {
	s := newBoundedServer(t)
	slow := s.askAll(connBound, "/slow")
	require.Eventually(t, func() bool { return s.running.Load() == connBound }, 30*time.Second, time.Millisecond)
	late := s.askAll(1, "/")
	require.Never(t, func() bool { return len(late) > 0 }, 100*time.Millisecond, 10*time.Millisecond)
	close(s.held)
	for range connBound {
		require.Equal(t, "answer", <-slow)
	}
	require.Equal(t, "answer", <-late)
}
