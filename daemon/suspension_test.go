package daemon

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestInterruptCancelsPendingCalls makes calls that are never answered, as on connections that
// have failed silently while the machine was suspended: an interruption cancels all of them, and
// later calls are served.
func TestInterruptCancelsPendingCalls(t *testing.T) {
	received := make(chan struct{}, 3)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case "/hangs":
			received <- struct{}{}
			<-r.Context().Done()
		case "/half":
			_, _ = io.WriteString(w, "begun")
			_ = http.NewResponseController(w).Flush()
			received <- struct{}{}
			<-r.Context().Done()
		}
	}))
	defer s.Close()
	transport := newInterruptibleTransport(&http.Transport{})
	client := http.Client{Transport: transport}
	failed := make(chan error, 3)
	for _, path := range []string{"/hangs", "/hangs", "/half"} {
		go func() {
			resp, err := client.Get(s.URL + path)
			if err == nil {
				_, err = io.ReadAll(resp.Body)
				resp.Body.Close()
			}
			failed <- err
		}()
	}
	for range 3 {
		<-received
	}
	transport.interrupt()
	for range 3 {
		require.ErrorIs(t, <-failed, context.Canceled)
	}
	resp, err := client.Get(s.URL + "/")
	require.NoError(t, err)
	resp.Body.Close()
}
