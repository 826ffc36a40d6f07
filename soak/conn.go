package soak

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/eiderspring/eiderspring/platform/fake"
)

// callerConn is a caller's connection to an instance, reused for successive requests.
// Unlike the transport of net/http, it does not resend a request when a reused
// connection closes.
type callerConn struct {
	conn   net.Conn
	reader *bufio.Reader
	dialed time.Time
	// hadResponse is set once a response has arrived on the connection.
	hadResponse bool
}

// closeProbeTime is how long a caller checks whether its connection has been closed.
const closeProbeTime = time.Millisecond

// connect dials address, unless there is a connection that the instance keeps open.
func (c *callerConn) connect(address string, deadline time.Time) error {
	if c.conn != nil {
		_ = c.conn.SetReadDeadline(time.Now().Add(closeProbeTime))
		if _, err := c.reader.Peek(1); errors.Is(err, os.ErrDeadlineExceeded) {
			return nil
		}
		c.close()
	}
	conn, err := (&net.Dialer{Deadline: deadline}).Dial("tcp", address)
	if err != nil {
		return err
	}
	c.conn, c.reader, c.dialed, c.hadResponse = conn, bufio.NewReader(conn), time.Now(), false
	return nil
}

func (c *callerConn) close() {
	if c.conn != nil {
		c.conn.Close()
	}
	c.conn = nil
}

// roundTrip sends a request and records the outcome in res.
func (c *callerConn) roundTrip(req *http.Request, res *Result, deadline time.Time) error {
	if err := c.connect(req.URL.Host, deadline); err != nil {
		return err
	}
	res.Dialed = c.dialed
	_ = c.conn.SetDeadline(deadline)
	keep, err := c.exchange(req, res)
	if err != nil || !keep {
		c.close()
	}
	res.TimedOut = errors.Is(err, os.ErrDeadlineExceeded)
	return err
}

// exchange sends a request, reads its response, and reports whether the connection can
// be reused.
func (c *callerConn) exchange(req *http.Request, res *Result) (bool, error) {
	if err := req.Write(c.conn); err != nil {
		return false, err
	}
	res.Reused = c.hadResponse
	resp, err := http.ReadResponse(c.reader, req)
	if err != nil {
		return false, err
	}
	defer resp.Body.Close()
	c.hadResponse = true
	text, err := io.ReadAll(resp.Body)
	res.Status, res.Seal, res.Body = resp.StatusCode, fake.Seal(resp.Header), string(text)
	return !resp.Close, err
}
