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

// TestOverdueRequestEndsWhenTheMachineWakes lets the time jump past a request's deadline
// while its engine answers nothing, as when the machine was suspended: its timer would
// end it as much later, and the caller would wait for it.
func TestOverdueRequestEndsWhenTheMachineWakes(t *testing.T) {
	asked := make(chan struct{}, 1)
	s := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		if r.Method == http.MethodPost {
			asked <- struct{}{}
			<-r.Context().Done()
		}
	}))
	defer s.Close()
	var slept atomic.Int64
	p := benchPipelineWith(t, strings.TrimPrefix(s.URL, "http://"), func(c *Config) {
		c.Now = func() time.Time { return time.Now().Add(time.Duration(slept.Load())) }
	})
	r := httptest.NewRequest(http.MethodPost, pathChat, strings.NewReader(`{"model":"m","stream":true}`))
	r.Header.Set("Authorization", "Bearer token")
	w := httptest.NewRecorder()
	done := make(chan struct{})
	go func() {
		defer close(done)
		p.ServeHTTP(w, r)
	}()
	<-asked
	p.CancelOverdue()
	select {
	case <-done:
		t.Fatal("ended before its deadline")
	default:
	}
	slept.Store(int64(24 * time.Hour))
	p.CancelOverdue()
	<-done
	require.Equal(t, http.StatusGatewayTimeout, w.Code)
	require.Contains(t, w.Body.String(), CodeOutcomeUnknown)
}
