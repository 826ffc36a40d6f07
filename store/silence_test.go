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

// All open connections to the store can go silent at once, for good and without a
// reset, while new ones work: also those that rest unused between two calls. A call
// that had timed out on a silent connection was made again on the next resting one,
// which was as silent, so an instance that kept several of them heard nothing for
// several timeouts in a row. After a timeout no resting connection is used again.

// muteServer answers on connections that were opened after it was muted.
type muteServer struct {
	*httptest.Server
	mu    sync.Mutex
	muted map[net.Conn]bool
	open  map[net.Conn]bool
	// hold lets calls wait until all of them are there, so that each has a
	// connection of its own.
	hold sync.WaitGroup
}

type connKey struct{}

func newMuteServer(t *testing.T, calls int) *muteServer {
	s := &muteServer{muted: map[net.Conn]bool{}, open: map[net.Conn]bool{}}
	s.hold.Add(calls)
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

func (s *muteServer) serve(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	muted := s.muted[r.Context().Value(connKey{}).(net.Conn)]
	s.mu.Unlock()
	if muted {
		<-r.Context().Done()
		return
	}
	if r.URL.Query().Has("labelSelector") {
		s.hold.Done()
		s.hold.Wait()
	}
	_, _ = w.Write([]byte(`{"metadata":{"resourceVersion":"1"},"items":[]}`))
}

// mute silences the connections that are open now.
func (s *muteServer) mute() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.open {
		s.muted[c] = true
	}
}

func TestSilentConnectionsAreNotUsedOneAfterTheOther(t *testing.T) {
	const connections = 4
	server := newMuteServer(t, connections)
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
	server.mute()
	impatient := store.NewHTTPClient(store.Config{URL: server.URL, CallTimeout: 100 * time.Millisecond, Transport: transport})
	_, err := impatient.List(t.Context(), store.KindLease)
	require.True(t, store.IsUnanswered(err))
	_, err = client.List(t.Context(), store.KindLease)
	require.NoError(t, err, "the call behind a timeout goes to a new connection")
}
