package store_test

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/eiderspring/eiderspring/store"
)

// This test guards against several timeouts in a row. All open connections to the store,
// also idle ones, can go silent at once, permanently and without a reset, while new
// connections work. A call that is retried after a timeout must not use the next idle
// connection, which is as silent: after a timeout no idle connection is used again.

// silencingServer answers only on connections that were opened after the last call of
// silence.
type silencingServer struct {
	*httptest.Server
	mu     sync.Mutex
	silent map[net.Conn]bool
	open   map[net.Conn]bool
	// barrier holds calls until all of them have arrived, so that each has its own
	// connection.
	barrier sync.WaitGroup
}

type connKey struct{}

func newSilencingServer(t *testing.T, calls int) *silencingServer {
	s := &silencingServer{silent: map[net.Conn]bool{}, open: map[net.Conn]bool{}}
	s.barrier.Add(calls)
	s.Server = httptest.NewUnstartedServer(http.HandlerFunc(s.serve))
	s.Config.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.open[c] = true
		return context.WithValue(ctx, connKey{}, c)
	}
	s.Start()
	t.Cleanup(s.Close)
	return s
}

func (s *silencingServer) serve(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	silent := s.silent[r.Context().Value(connKey{}).(net.Conn)]
	s.mu.Unlock()
	if silent {
		<-r.Context().Done()
		return
	}
	if r.URL.Query().Has("labelSelector") {
		s.barrier.Done()
		s.barrier.Wait()
	}
	_, _ = w.Write([]byte(`{"metadata":{"resourceVersion":"1"},"items":[]}`))
}

// silence stops answering on the connections that are open now.
func (s *silencingServer) silence() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.open {
		s.silent[c] = true
	}
}

func TestSilentConnectionsAreNotUsedOneAfterTheOther(t *testing.T) {
	const connections = 4
	server := newSilencingServer(t, connections)
	transport := &http.Transport{MaxIdleConnsPerHost: connections}
	t.Cleanup(transport.CloseIdleConnections)
	client := store.NewHTTPClient(store.Config{URL: server.URL, CallTimeout: 5 * time.Second, Transport: transport})
	var calls sync.WaitGroup
	for range connections {
		calls.Go(func() {
			_, err := client.ListLabelled(t.Context(), store.KindLease, "a", "b")
			require.NoError(t, err)
		})
	}
	calls.Wait()
	server.silence()
	impatient := store.NewHTTPClient(store.Config{URL: server.URL, CallTimeout: 100 * time.Millisecond, Transport: transport})
	_, err := impatient.List(t.Context(), store.KindLease)
	require.True(t, store.IsUnanswered(err))
	_, err = client.List(t.Context(), store.KindLease)
	require.NoError(t, err, "the call after a timeout uses a new connection")
}
