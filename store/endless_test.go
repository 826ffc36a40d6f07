package store

import (
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestHeadOfTheStoreWithoutEndIsCutOff guards against an instance that runs out of memory as the store,
// or what listens at its address, sends a head without end. What it has sent by the time that its
// connection is closed is more than what was read, by the buffers of both sockets.
func TestHeadOfTheStoreWithoutEndIsCutOff(t *testing.T) {
	address, sent := endlessStore(t, "HTTP/1.1 200 OK\r\n", "X-A: "+strings.Repeat("a", 1<<10)+"\r\n")
	requester := NewRequester(Config{})
	err := requester.Call(t.Context(), Call{Verb: http.MethodGet, URL: "http://" + address, Kind: KindHold}, nil)
	var unanswered *UnansweredError
	require.ErrorAs(t, err, &unanswered)
	require.Less(t, sent(), int64(socketBuffers+MaxHeadBytes))
}

// socketBuffers is what the buffers of both sockets of a connection take at most.
const socketBuffers = 8 << 20

// endlessStore returns the address of a store that answers its first call with a beginning and the same bytes
// again and again, and a function that returns how many, once its connection is closed.
func endlessStore(t *testing.T, beginning, repeated string) (address string, sent func() int64) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { l.Close() })
	var bytes atomic.Int64
	done := make(chan struct{})
	go func() {
		defer close(done)
		conn, err := l.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		_, err = conn.Write([]byte(beginning))
		for err == nil && bytes.Load() < 1<<30 {
			var n int
			n, err = conn.Write([]byte(repeated))
			bytes.Add(int64(n))
		}
	}()
	return l.Addr().String(), func() int64 {
		<-done
		return bytes.Load()
	}
}

// TestObjectOfTheStoreWithoutEndIsCutOff guards against the same by the value of an object, in the answer to a
// call for it or in a watch.
func TestObjectOfTheStoreWithoutEndIsCutOff(t *testing.T) {
	const beginning = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n{\"type\":\"ADDED\",\"spec\":\""
	for name, call := range map[string]func(*HTTPClient) error{
		"get": func(c *HTTPClient) error {
			_, err := c.Get(t.Context(), KindHold, "a")
			return err
		},
		"watch": func(c *HTTPClient) error { return c.Watch(t.Context(), KindHold, "1", WatchOptions{}, func(Event) {}) },
	} {
		t.Run(name, func(t *testing.T) {
			address, sent := endlessStore(t, beginning, strings.Repeat("a", 1<<10))
			var unanswered *UnansweredError
			require.ErrorAs(t, call(NewHTTPClient(Config{URL: "http://" + address, CallTimeout: time.Minute})), &unanswered)
			require.Less(t, sent(), int64(socketBuffers+MaxObjectAnswerBytes))
		})
	}
}
