package pipeline

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Time jumps past the deadline of a request while its engine does not answer, as after a
// suspension of the machine. The request's timer would expire only later by the length of
// the suspension, and the caller would wait that long.
func TestOverdueRequestEndsWhenTheMachineWakes(t *testing.T) {
	received := make(chan struct{}, 1)
	s := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		if r.Method == http.MethodPost {
			received <- struct{}{}
			<-r.Context().Done()
		}
	}))
	defer s.Close()
	var suspended atomic.Int64
	p := newTestPipelineWith(t, strings.TrimPrefix(s.URL, "http://"), func(c *Config) {
		c.Now = func() time.Time { return time.Now().Add(time.Duration(suspended.Load())) }
	})
	r := httptest.NewRequest(http.MethodPost, pathChat, strings.NewReader(`{"model":"m","stream":true}`))
	r.Header.Set("Authorization", "Bearer token")
	w := httptest.NewRecorder()
	done := make(chan struct{})
	go func() {
		defer close(done)
		p.ServeHTTP(w, r)
	}()
	<-received
	p.CancelOverdue()
	select {
	case <-done:
		t.Fatal("request ended before its deadline")
	default:
	}
	suspended.Store(int64(24 * time.Hour))
	p.CancelOverdue()
	<-done
	require.Equal(t, http.StatusGatewayTimeout, w.Code)
	require.Contains(t, w.Body.String(), CodeOutcomeUnknown)
}
