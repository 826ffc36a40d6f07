package engine

import (
	"context"
	"net"
	"testing"

	"github.com/stretchr/testify/require"
)

// listener takes connections and hands them to serve.
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

func TestListens(t *testing.T) {
	c := NewClient(Config{})
	closed := listener(t, func(net.Conn) {})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	gone := l.Addr().String()
	require.NoError(t, l.Close())
	for name, tc := range map[string]struct {
		address string
		want    bool
	}{
		"an endpoint that waits":          {closed, true},
		"an endpoint that says something": {listener(t, func(conn net.Conn) { _, _ = conn.Write([]byte("x")) }), true},
		"a closed port":                   {gone, false},
		"a proxy before nobody, end":      {listener(t, func(conn net.Conn) { conn.Close() }), false},
		"a proxy before nobody, reset": {listener(t, func(conn net.Conn) {
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
	_, err = c.IsListening(ctx, closed)
	require.Error(t, err, "not known")
}
