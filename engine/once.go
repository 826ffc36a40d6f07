package engine

import (
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
)

// onceBody hides from net/http that a body could be read again. The Transport
// repeats a request by itself when the body is absent or replayable and the
// method or an Idempotency-Key header suggests that this is safe; with a body
// that is neither absent nor replayable it never does.
type onceBody struct{ io.Reader }

// Close implements io.Closer.
func (onceBody) Close() error { return nil }

// sendOnce makes the Transport send req at most once.
func sendOnce(req *http.Request, body io.Reader) {
	req.Body = onceBody{body}
	req.GetBody = nil
}

// sealed as a connection's count of bytes written means that no byte may be
// written any more.
const sealed = -1

// countingConn counts the bytes handed to the network, and can be sealed at a
// count, after which every write fails. The seal is what makes "nothing has
// left" a proof: when a round trip is cancelled, net/http's write loop may
// still be about to write.
type countingConn struct {
	net.Conn
	written atomic.Int64
}

// Write implements net.Conn. The count goes up before the write, so that a
// write that fails half-way still counts as begun.
func (c *countingConn) Write(b []byte) (int, error) {
	for {
		n := c.written.Load()
		if n == sealed {
			return 0, net.ErrClosed
		}
		if c.written.CompareAndSwap(n, n+int64(len(b))) {
			return c.Conn.Write(b)
		}
	}
}

// seal forbids all further writes if the count still is n.
func (c *countingConn) seal(n int64) bool { return c.written.CompareAndSwap(n, sealed) }

// departure watches one attempt for the first byte that may have left.
type departure struct {
	conn   atomic.Pointer[countingConn]
	before int64
}

func (d *departure) trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if conn, ok := info.Conn.(*countingConn); ok {
			d.before = conn.written.Load()
			d.conn.Store(conn)
		}
	}}
}

// nothingLeft is proof that no byte of the attempt was or will be handed to
// the network. The connection cannot be used afterwards.
func (d *departure) nothingLeft() bool {
	conn := d.conn.Load()
	return conn == nil || conn.seal(d.before)
}

// abandon closes the connection that the attempt went out on.
func (d *departure) abandon() {
	if conn := d.conn.Load(); conn != nil {
		conn.Close()
	}
}
