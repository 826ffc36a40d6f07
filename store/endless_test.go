package store

import (
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestHeadOfTheStoreWithoutEndIsCutOff guards against an instance that runs out of memory as the store,
// or what listens at its address, sends a head without end. What it has sent by the time that its
// connection is closed is more than what was read, by the buffers of both sockets.
func TestHeadOfTheStoreWithoutEndIsCutOff(t *testing.T) {
	const socketBuffers = 8 << 20
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	var sent atomic.Int64
	done := make(chan struct{})
	go func() {
		defer close(done)
		conn, err := l.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		line := []byte("X-A: " + strings.Repeat("a", 1<<10) + "\r\n")
		_, err = conn.Write([]byte("HTTP/1.1 200 OK\r\n"))
		for err == nil && sent.Load() < 1<<30 {
			var n int
			n, err = conn.Write(line)
			sent.Add(int64(n))
		}
	}()
	requester := NewRequester(Config{})
	err = requester.Call(t.Context(), Call{Verb: http.MethodGet, URL: "http://" + l.Addr().String(), Kind: KindHold}, nil)
	var unanswered *UnansweredError
	require.ErrorAs(t, err, &unanswered)
	<-done
	require.Less(t, sent.Load(), int64(socketBuffers+MaxHeadBytes))
}
