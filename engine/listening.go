package engine

import (
	"context"
	"errors"
	"net"
	"os"
	"syscall"
	"time"
)

// probeTime is how long a new connection must stay open to count: a proxy in front of an
// endpoint that has terminated accepts the connection and closes it at once.
const probeTime = 30 * time.Millisecond

// IsListening reports whether an endpoint accepts connections. An error means that this is
// unknown: a machine that is disconnected or without power does not answer.
func (c *Client) IsListening(ctx context.Context, address string) (bool, error) {
	conn, err := c.transport.DialContext(ctx, "tcp", address)
	if errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET) {
		return false, nil
	}
	if err != nil {
		return false, err
	}
	defer conn.Close()
	return staysOpen(conn), nil
}

// staysOpen reports whether the peer keeps a connection open on which nothing is sent.
func staysOpen(conn net.Conn) bool {
	if err := conn.SetReadDeadline(time.Now().Add(probeTime)); err != nil {
		return false
	}
	_, err := conn.Read(make([]byte, 1))
	return err == nil || errors.Is(err, os.ErrDeadlineExceeded)
}
