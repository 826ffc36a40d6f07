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

// TestSilentEngineIsToldToCancel leaves while an engine has answered nothing
// yet: it must be told that nobody waits any more.
func TestSilentEngineIsToldToCancel(t *testing.T) {
	cancelled := make(chan string, 1)
	asked := make(chan string, 1)
	s := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodDelete {
			cancelled <- strings.TrimPrefix(r.URL.Path, "/v1/requests/")
			return
		}
		// The server notices that the client has left only behind the body.
		_, _ = io.Copy(io.Discard, r.Body)
		asked <- r.Header.Get("X-Request-Id")
		<-r.Context().Done()
	}))
	defer s.Close()
	p := benchPipeline(t, strings.TrimPrefix(s.URL, "http://"))
	ctx, leave := context.WithCancel(context.Background())
	r := httptest.NewRequest(http.MethodPost, pathChat, strings.NewReader(`{"model":"m","stream":true}`)).WithContext(ctx)
	r.Header.Set("Authorization", "Bearer token")
	done := make(chan struct{})
	go func() {
		defer close(done)
		p.ServeHTTP(httptest.NewRecorder(), r)
	}()
	attempt := <-asked
	leave()
	require.Equal(t, attempt, <-cancelled)
	<-done
}

// TestErrorEventEndsABrokenStream cuts a stream that cannot be resumed behind
// its first token, also where the media type has parameters.
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
	p := benchPipeline(t, strings.TrimPrefix(s.URL, "http://"))
	r := httptest.NewRequest(http.MethodPost, pathChat, strings.NewReader(`{"model":"m","stream":true}`))
	r.Header.Set("Authorization", "Bearer token")
	w := httptest.NewRecorder()
	p.ServeHTTP(w, r)
	require.True(t, strings.HasPrefix(w.Body.String(), "id: 0\ndata: {}\n\nevent: error\ndata: "), w.Body.String())
	require.NotContains(t, w.Body.String(), "[DONE]")
	require.Contains(t, w.Body.String(), CodeOutcomeUnknown)
}

// TestFailedResumptionStillCancels cuts a stream whose resumption is refused as
// not started: the attempt itself may still run and must be cancelled.
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
	p := benchPipeline(t, strings.TrimPrefix(s.URL, "http://"))
	r := httptest.NewRequest(http.MethodPost, pathChat, strings.NewReader(`{"model":"m","stream":true}`))
	r.Header.Set("Authorization", "Bearer token")
	p.ServeHTTP(httptest.NewRecorder(), r)
	<-cancelled
}
