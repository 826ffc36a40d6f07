package engine

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"
)

// resetConn is a connection whose peer answers while the request's body is being written, and then
// resets it. As a kernel does, it reports the reset once: to the write, and the read sees an end.
type resetConn struct {
	net.Conn
	mu      sync.Mutex
	written int
	answer  io.Reader
	reset   chan struct{}
	once    sync.Once
}

// acceptedBytes is how much of a request the peer of a resetConn reads.
const acceptedBytes = 4 << 10

func (c *resetConn) Write(b []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.written += len(b); c.written <= acceptedBytes {
		return len(b), nil
	}
	c.once.Do(func() { close(c.reset) })
	return 0, syscall.ECONNRESET
}

func (c *resetConn) Read(b []byte) (int, error) {
	if n, err := c.answer.Read(b); err == nil {
		return n, nil
	}
	<-c.reset
	return 0, io.EOF
}

func (c *resetConn) Close() error { return nil }

// TestResetThatTheWriterReceivesIsNotTheEnd guards against an answer without length and chunks that
// is reset and looks complete, as the kernel reports a reset only once.
func TestResetThatTheWriterReceivesIsNotTheEnd(t *testing.T) {
	for range 200 {
		client := NewClient(Config{Dial: func(context.Context, string, string) (net.Conn, error) {
			return &resetConn{answer: strings.NewReader("HTTP/1.1 200 OK\r\n\r\npart"), reset: make(chan struct{})}, nil
		}})
		body := make([]byte, 1<<20)
		resp, err := client.Do(t.Context(), Attempt{ID: "a", Address: "endpoint:1", Method: http.MethodPost, Path: "/", Body: body})
		if err != nil {
			// The write failed before the header was read.
			continue
		}
		_, err = io.ReadAll(resp.Body)
		require.Error(t, err, "the answer looks complete")
		resp.Body.Close()
	}
}
