package daemon

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestRequestThatMayOutlastTheDrainIsRefused guards against a request whose body ends late in a planned stop, which is
// sent to an endpoint and cut at the end of the stop; one whose time ends before is served.
func TestRequestThatMayOutlastTheDrainIsRefused(t *testing.T) {
	for drainMS, want := range map[int]int{2_000: http.StatusServiceUnavailable, 600_000: http.StatusOK} {
		t.Run(fmt.Sprint(drainMS), func(t *testing.T) {
			f := startFleet(t, func(cfg *Config) { cfg.Limits.DrainMS = drainMS })
			const body = `{"model":"m","max_tokens":3,"messages":[{"content":"hello"}]}`
			conn, err := net.Dial("tcp", f.instance.CallersAddr())
			require.NoError(t, err)
			defer conn.Close()
			_, err = fmt.Fprintf(conn, "POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s", testToken, len(body), body[:10])
			require.NoError(t, err)
			accepted := func() bool {
				f.instance.idle.mu.Lock()
				defer f.instance.idle.mu.Unlock()
				return len(f.instance.idle.open) == 1
			}
			require.Eventually(t, accepted, waitLimit, time.Millisecond)
			f.stop()
			require.Eventually(t, func() bool { return f.instance.drainEnds.Load() != nil }, waitLimit, time.Millisecond)
			_, err = io.WriteString(conn, body[10:])
			require.NoError(t, err)
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			require.NoError(t, err)
			defer resp.Body.Close()
			require.Equal(t, want, resp.StatusCode)
		})
	}
}
