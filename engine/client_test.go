package engine

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"
)

// rawServer passes each accepted connection to serve, below HTTP.
func rawServer(t *testing.T, serve func(conn net.Conn, requests *atomic.Int64)) (address string, requests *atomic.Int64) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { l.Close() })
	requests = &atomic.Int64{}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go serve(conn, requests)
		}
	}()
	return l.Addr().String(), requests
}

// answerThenCut answers the first request of a connection and closes the connection after
// reading the second: in this case net/http would retry on its own.
func answerThenCut(conn net.Conn, requests *atomic.Int64) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for n := 0; ; n++ {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		requests.Add(1)
		if n == 1 {
			return
		}
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
	}
}

func TestTransportDoesNotRepeat(t *testing.T) {
	for _, tc := range []struct {
		name, method, body string
		header             http.Header
	}{
		{"keyed POST", http.MethodPost, `{"mw":5}`, http.Header{"Idempotency-Key": {"k"}}},
		{"keyed POST without a body", http.MethodPost, "", http.Header{"Idempotency-Key": {"k"}}},
		{"GET", http.MethodGet, "", nil},
	} {
		t.Run(tc.name, func(t *testing.T) {
			address, requests := rawServer(t, answerThenCut)
			c := NewClient(Config{})
			defer c.Close()
			attempt := Attempt{ID: "a", Endpoint: "e", Address: address, Method: tc.method, Path: "/x", Header: tc.header, Body: []byte(tc.body)}
			first, err := c.Do(context.Background(), attempt)
			require.NoError(t, err)
			_, _ = io.Copy(io.Discard, first.Body)
			first.Body.Close()
			// An attempt is sent once on a connection, so that another one meets the end of this one.
			attempt.ID = "b"
			_, err = c.Do(context.Background(), attempt)
			var unknown *UnknownError
			require.ErrorAs(t, err, &unknown)
			require.EqualValues(t, 2, requests.Load(), "the interrupted request was sent once")
		})
	}
}

// TestPlainTransportRepeats verifies that TestTransportDoesNotRepeat can fail: without
// sendOnce, net/http sends a third request.
func TestPlainTransportRepeats(t *testing.T) {
	address, requests := rawServer(t, answerThenCut)
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	for range 2 {
		req, err := http.NewRequest(http.MethodPost, "http://"+address+"/x", strings.NewReader("{}"))
		require.NoError(t, err)
		req.Header.Set("Idempotency-Key", "k")
		if resp, err := client.Do(req); err == nil {
			_, _ = io.Copy(io.Discard, resp.Body)
			resp.Body.Close()
		}
	}
	require.EqualValues(t, 3, requests.Load())
}

func TestRefusedConnectionIsProofOfNotStarted(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	address := l.Addr().String()
	l.Close()
	_, err = NewClient(Config{}).Do(context.Background(), Attempt{Endpoint: "e", Address: address, Method: http.MethodPost, Path: "/"})
	var notStarted *NotStartedError
	require.ErrorAs(t, err, &notStarted)
}

func TestSealedConnectionWritesNothing(t *testing.T) {
	local, remote := net.Pipe()
	defer remote.Close()
	conn := &countingConn{Conn: local}
	d := sendTracker{}
	d.conn.Store(conn)
	require.True(t, d.sealIfUnsent())
	_, err := conn.Write([]byte("late"))
	require.ErrorIs(t, err, net.ErrClosed)

	go func() { _, _ = io.Copy(io.Discard, remote) }()
	written := &countingConn{Conn: local}
	_, err = written.Write([]byte("x"))
	require.NoError(t, err)
	d.conn.Store(written)
	require.False(t, d.sealIfUnsent(), "a byte was sent")
}

func TestAnswersAreClassified(t *testing.T) {
	for _, tc := range []struct {
		name    string
		handler http.HandlerFunc
		check   func(t *testing.T, resp *http.Response, err error)
	}{
		{"refusal", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Type", "application/json")
			w.WriteHeader(http.StatusNotFound)
			_, _ = io.WriteString(w, `{"error":{"code":"not_started","message":"not resident"}}`)
		}, func(t *testing.T, _ *http.Response, err error) {
			var notStarted *NotStartedError
			require.ErrorAs(t, err, &notStarted)
			require.True(t, notStarted.NotResident)
		}},
		{"other error is an answer with its whole body", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Type", "application/json")
			w.WriteHeader(http.StatusInternalServerError)
			_, _ = io.WriteString(w, `{"error":{"code":"failed"}}`)
		}, func(t *testing.T, resp *http.Response, err error) {
			require.NoError(t, err)
			body, err := io.ReadAll(resp.Body)
			require.NoError(t, err)
			require.Equal(t, `{"error":{"code":"failed"}}`, string(body))
		}},
		{"foreign answer", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(RequestIDHeader, "another")
		}, func(t *testing.T, _ *http.Response, err error) {
			var foreign *ForeignAnswerError
			require.ErrorAs(t, err, &foreign)
		}},
		{"cut", func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) },
			func(t *testing.T, _ *http.Response, err error) {
				var unknown *UnknownError
				require.ErrorAs(t, err, &unknown)
				var notStarted *NotStartedError
				require.False(t, errors.As(err, &notStarted))
			}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			s := httptest.NewServer(tc.handler)
			defer s.Close()
			resp, err := NewClient(Config{}).Do(context.Background(), Attempt{
				ID: "mine", Endpoint: "e", Address: strings.TrimPrefix(s.URL, "http://"), Method: http.MethodPost, Path: "/", Body: []byte("x"),
			})
			tc.check(t, resp, err)
		})
	}
}
