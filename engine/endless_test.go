package engine

import (
	"context"
	"errors"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// endlessConn is a connection whose peer, once it has received something, sends a beginning, and then
// the same bytes again and again until it is closed.
type endlessConn struct {
	net.Conn
	received       chan struct{}
	receivedOnce   sync.Once
	rest, repeated string
	// pause is the time between two reads that return something; 0 for none.
	pause  time.Duration
	read   atomic.Int64
	closed chan struct{}
	once   sync.Once
}

func newEndlessConn(beginning, repeated string, pause time.Duration) *endlessConn {
	return &endlessConn{rest: beginning, repeated: repeated, pause: pause, received: make(chan struct{}), closed: make(chan struct{})}
}

func (c *endlessConn) Read(b []byte) (int, error) {
	select {
	case <-c.received:
	case <-c.closed:
	}
	if c.rest == "" {
		c.rest = c.repeated
		select {
		case <-time.After(c.pause):
		case <-c.closed:
		}
	}
	select {
	case <-c.closed:
		return 0, net.ErrClosed
	default:
	}
	n := copy(b, c.rest)
	c.rest = c.rest[n:]
	c.read.Add(int64(n))
	return n, nil
}

func (c *endlessConn) Write(b []byte) (int, error) {
	select {
	case <-c.closed:
		return 0, net.ErrClosed
	default:
		c.receivedOnce.Do(func() { close(c.received) })
		return len(b), nil
	}
}

func (c *endlessConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return nil
}

// clientOf returns a client whose only connection is c.
func clientOf(t *testing.T, c *endlessConn) *Client {
	client := NewClient(Config{Dial: func(context.Context, string, string) (net.Conn, error) { return c, nil }})
	t.Cleanup(func() { c.Close() })
	return client
}

const (
	kilobyte = 1 << 10
	// headRoom is what an instance may hold of the head of one answer: with 40 endpoints that fail at
	// once, 5 of the 284 MB of a small one.
	headRoom = 128 * kilobyte
	// reportRoom is the same of the body of a report.
	reportRoom = 512 * kilobyte
)

// TestHeadWithoutEndIsCutOff guards against an instance that runs out of memory as endpoints in
// trouble send heads without end.
func TestHeadWithoutEndIsCutOff(t *testing.T) {
	for name, c := range map[string]*endlessConn{
		"one line":             newEndlessConn("HTTP/1.1 200 OK\r\nX-A: ", strings.Repeat("a", kilobyte), 0),
		"many lines":           newEndlessConn("HTTP/1.1 200 OK\r\n", "X-A: "+strings.Repeat("a", kilobyte)+"\r\n", 0),
		"no answer at all":     newEndlessConn("", strings.Repeat("\x00\xff", kilobyte), 0),
		"interim answers":      newEndlessConn("", "HTTP/1.1 103 Early Hints\r\nX-A: b\r\n\r\n", 0),
		"a status without end": newEndlessConn("HTTP/1.1 200 ", strings.Repeat("O", kilobyte), 0),
	} {
		t.Run(name, func(t *testing.T) {
			_, err := clientOf(t, c).Do(t.Context(), Attempt{ID: "a", Address: "endpoint:1", Method: http.MethodGet, Path: "/"})
			var unknown *UnknownError
			require.ErrorAs(t, err, &unknown)
			require.LessOrEqual(t, c.read.Load(), int64(headRoom))
		})
	}
}

// TestReportWithoutEndIsCutOff guards against the same by the body of a report.
func TestReportWithoutEndIsCutOff(t *testing.T) {
	c := newEndlessConn("HTTP/1.1 200 OK\r\n\r\n{\"incarnation\":\"", strings.Repeat("a", kilobyte), 0)
	_, err := clientOf(t, c).Load(t.Context(), "e", "endpoint:1")
	require.Error(t, err)
	require.LessOrEqual(t, c.read.Load(), int64(reportRoom))
}

// TestRefusalWithoutEndIsReturned guards against a request that waits for the end of a refusal until
// its own time is over, in place of going to another endpoint.
func TestRefusalWithoutEndIsReturned(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const refusal = "HTTP/1.1 429 Too Many Requests\r\nContent-Type: application/json\r\n\r\n{\"error\":{\"code\":\"not_started\"}}"
		c := newEndlessConn(refusal, " ", time.Second)
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		startedAt := time.Now()
		_, err := clientOf(t, c).Do(ctx, Attempt{ID: "a", Address: "endpoint:1", Method: http.MethodPost, Path: "/"})
		var refused *NotStartedError
		require.True(t, errors.As(err, &refused), "%v", err)
		require.Less(t, time.Since(startedAt), 2*time.Second)
		c.Close()
		synctest.Wait()
	})
}
