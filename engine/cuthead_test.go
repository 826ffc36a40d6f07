package engine

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// cutConn is a connection whose peer answers each request with the next of some texts, in pieces,
// and ends the connection within the last one.
type cutConn struct {
	net.Conn
	mu       sync.Mutex
	answered *sync.Cond
	answers  []string
	arrived  string
	closed   bool
	piece    int
	end      error
}

func newCutConn(piece int, end error, answers ...string) *cutConn {
	c := &cutConn{answers: answers, piece: piece, end: end}
	c.answered = sync.NewCond(&c.mu)
	return c
}

// Write takes the end of a request's head as a request.
func (c *cutConn) Write(b []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if strings.Contains(string(b), "\r\n\r\n") && len(c.answers) > 0 {
		c.arrived += c.answers[0]
		c.answers = c.answers[1:]
		c.answered.Broadcast()
	}
	return len(b), nil
}

func (c *cutConn) Read(b []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for c.arrived == "" && len(c.answers) > 0 && !c.closed {
		c.answered.Wait()
	}
	if c.arrived == "" || c.closed {
		return 0, c.end
	}
	n := copy(b, c.arrived[:min(c.piece, len(c.arrived))])
	c.arrived = c.arrived[n:]
	return n, nil
}

func (c *cutConn) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	c.answered.Broadcast()
	return nil
}

func (*cutConn) LocalAddr() net.Addr              { return &net.IPAddr{} }
func (*cutConn) RemoteAddr() net.Addr             { return &net.IPAddr{} }
func (*cutConn) SetDeadline(time.Time) error      { return nil }
func (*cutConn) SetReadDeadline(time.Time) error  { return nil }
func (*cutConn) SetWriteDeadline(time.Time) error { return nil }

// headsOfAnswers are heads of each framing, in the ways in which peers write them.
var headsOfAnswers = []string{
	"HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 16\r\nX-Seal: abc\r\n\r\n",
	"HTTP/1.1 200 OK\r\nX-Seal: abc\r\nContent-Length: 0\r\n\r\n",
	"HTTP/1.1 200 OK\r\nX-Seal: abc\r\nTransfer-Encoding: chunked\r\nTrailer: X-Sum\r\n\r\n",
	"HTTP/1.1 200 OK\r\nX-Seal: abc\r\nConnection: close\r\n\r\n",
	"HTTP/1.0 200 OK\r\nX-Seal: abc\r\n\r\n",
	"HTTP/1.1 200 OK\nX-Seal: abc\nX-Folded: a\n b\n\n",
	"HTTP/1.1 204 No Content\r\nX-Seal: abc\r\n\r\n",
}

// TestAnswerCutInItsHeadIsNoAnswer guards against an answer that ended within its head and is taken
// for a whole one with an empty or short body.
func TestAnswerCutInItsHeadIsNoAnswer(t *testing.T) {
	const first = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
	interim := []string{"", "HTTP/1.1 100 Continue\r\n\r\n", "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n"}
	for _, end := range []error{io.EOF, syscall.ECONNRESET} {
		for _, piece := range []int{1, 7, 4 << 10} {
			for _, used := range []bool{false, true} {
				for _, head := range headsOfAnswers {
					for cut := range len(head) {
						answer := interim[cut%len(interim)] + head[:cut]
						answers := []string{answer}
						if used {
							answers = []string{first, answer}
						}
						requireNoAnswer(t, newCutConn(piece, end, answers...), used, fmt.Sprintf("%q, pieces of %d, used %t, %v", answer, piece, used, end))
					}
				}
			}
		}
	}
}

// requireNoAnswer sends attempts on a connection until it is cut. Whether the last one has run is unknown.
func requireNoAnswer(t *testing.T, conn *cutConn, used bool, message string) {
	t.Helper()
	dialed := false
	c := NewClient(Config{Dial: func(context.Context, string, string) (net.Conn, error) {
		if dialed {
			return nil, syscall.ECONNREFUSED
		}
		dialed = true
		return conn, nil
	}})
	defer c.Close()
	attempt := Attempt{ID: "first", Endpoint: "e", Address: "192.0.2.1:80", Method: http.MethodGet, Path: "/"}
	if used {
		resp, err := c.Do(t.Context(), attempt)
		require.NoError(t, err, message)
		_, err = io.Copy(io.Discard, resp.Body)
		require.NoError(t, err, message)
		require.NoError(t, resp.Body.Close())
		attempt.ID = "second"
	}
	_, err := c.Do(t.Context(), attempt)
	var unknown *UnknownError
	require.ErrorAs(t, err, &unknown, message)
}
