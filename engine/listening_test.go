package engine

import (
	"context"
	"net"
	"testing"

	"github.com/stretchr/testify/require"
)

// listener accepts connections and passes them to serve.
func listener(t *testing.T, serve func(net.Conn)) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			serve(conn)
		}
	}()
	return l.Addr().String()
}

func TestIsListening(t *testing.T) {
	c := NewClient(Config{})
	waiting := listener(t, func(net.Conn) {})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	closed := l.Addr().String()
	require.NoError(t, l.Close())
	for name, tc := range map[string]struct {
		address string
		want    bool
	}{
		"an endpoint that waits for a request": {waiting, true},
		"an endpoint that sends something":     {listener(t, func(conn net.Conn) { _, _ = conn.Write([]byte("x")) }), true},
		"a closed port":                        {closed, false},
		"a proxy without an endpoint, close":   {listener(t, func(conn net.Conn) { conn.Close() }), false},
		"a proxy without an endpoint, reset": {listener(t, func(conn net.Conn) {
			_ = conn.(*net.TCPConn).SetLinger(0)
			conn.Close()
		}), false},
	} {
		got, err := c.IsListening(context.Background(), tc.address)
		require.NoError(t, err, name)
		require.Equal(t, tc.want, got, name)
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_, err = c.IsListening(ctx, waiting)
	require.Error(t, err, "unknown")
}
