package engine

import (
	"context"
	"errors"
	"net"
	"os"
	"syscall"
	"time"
)

// listensLook is how long a new connection is looked at: whoever stands in front of an
// endpoint that has ended takes the connection, and closes it at once.
const listensLook = 30 * time.Millisecond

// IsListening tells whether an endpoint takes connections. An error says that it is not
// known: a machine that is cut off, or without power, answers nothing.
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

// staysOpen tells whether the peer leaves a connection open on which nothing is sent.
func staysOpen(conn net.Conn) bool {
	if err := conn.SetReadDeadline(time.Now().Add(listensLook)); err != nil {
		return false
	}
	_, err := conn.Read(make([]byte, 1))
	return err == nil || errors.Is(err, os.ErrDeadlineExceeded)
}
