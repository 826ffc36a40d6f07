package pipeline

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// The caller leaves before an engine has answered anything. The engine must get a
// cancellation.
func TestSilentEngineGetsCancellation(t *testing.T) {
	cancelled := make(chan string, 1)
	received := make(chan string, 1)
	s := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodDelete {
			cancelled <- strings.TrimPrefix(r.URL.Path, "/v1/requests/")
			return
		}
		// The server detects that the client has left only after it has read the body.
		_, _ = io.Copy(io.Discard, r.Body)
		received <- r.Header.Get("X-Request-Id")
		<-r.Context().Done()
	}))
	defer s.Close()
	p := newTestPipeline(t, strings.TrimPrefix(s.URL, "http://"))
	ctx, leave := context.WithCancel(context.Background())
	r := httptest.NewRequest(http.MethodPost, pathChat, strings.NewReader(`{"model":"m","stream":true}`)).WithContext(ctx)
	r.Header.Set("Authorization", "Bearer token")
	done := make(chan struct{})
	go func() {
		defer close(done)
		p.ServeHTTP(httptest.NewRecorder(), r)
	}()
	attempt := <-received
	leave()
	require.Equal(t, attempt, <-cancelled)
	<-done
}

// A stream that cannot be resumed breaks after its first token. It must end with an error
// event, also if the media type has parameters.
func TestErrorEventEndsABrokenStream(t *testing.T) {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method != http.MethodPost {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		w.Header().Set("Content-Type", "text/event-stream; charset=utf-8")
		_, _ = w.Write([]byte("id: 0\ndata: {}\n\n"))
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}))
	defer s.Close()
	p := newTestPipeline(t, strings.TrimPrefix(s.URL, "http://"))
	r := httptest.NewRequest(http.MethodPost, pathChat, strings.NewReader(`{"model":"m","stream":true}`))
	r.Header.Set("Authorization", "Bearer token")
	w := httptest.NewRecorder()
	p.ServeHTTP(w, r)
	require.True(t, strings.HasPrefix(w.Body.String(), "id: 0\ndata: {}\n\nevent: error\ndata: "), w.Body.String())
	require.NotContains(t, w.Body.String(), "[DONE]")
	require.Contains(t, w.Body.String(), CodeOutcomeUnknown)
}

// The resumption of a broken stream is refused as not started. The attempt itself may
// still run and must be cancelled.
func TestFailedResumptionStillCancels(t *testing.T) {
	cancelled := make(chan struct{}, 1)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch r.Method {
		case http.MethodDelete:
			cancelled <- struct{}{}
		case http.MethodGet:
			w.Header().Set("Content-Type", "application/json")
			w.WriteHeader(http.StatusServiceUnavailable)
			_, _ = io.WriteString(w, `{"error":{"code":"not_started"}}`)
		default:
			w.Header().Set("Content-Type", "text/event-stream")
			_, _ = io.WriteString(w, "id: 0\ndata: {}\n\n")
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		}
	}))
	defer s.Close()
	p := newTestPipeline(t, strings.TrimPrefix(s.URL, "http://"))
	r := httptest.NewRequest(http.MethodPost, pathChat, strings.NewReader(`{"model":"m","stream":true}`))
	r.Header.Set("Authorization", "Bearer token")
	p.ServeHTTP(httptest.NewRecorder(), r)
	<-cancelled
}
