package engine

import (
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestStatusThatIsNoneIsNotPassedOn guards against an answer with a status that no response may have: passing
// it on fails when the endpoint's header has been copied, and the caller gets that header with a failure.
func TestStatusThatIsNoneIsNotPassedOn(t *testing.T) {
	for _, status := range []int{0, 1, 99, 101} {
		address, _ := rawServer(t, func(conn net.Conn, _ *atomic.Int64) {
			defer conn.Close()
			_, _ = conn.Read(make([]byte, 4<<10))
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 %03d x\r\nContent-Length: 0\r\n\r\n", status)
		})
		_, err := NewClient(Config{}).Do(t.Context(), Attempt{ID: "a", Endpoint: "e", Address: address, Method: http.MethodPost, Path: "/"})
		var unknown *UnknownError
		require.ErrorAs(t, err, &unknown, "status %d", status)
	}
}
