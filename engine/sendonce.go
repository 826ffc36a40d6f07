package engine

import (
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
)

// onceBody hides from net/http that a body could be read again. http.Transport
// retries a request automatically if the body is absent or replayable and the method
// or an Idempotency-Key header suggests that this is safe; it never retries with a
// body that is neither.
type onceBody struct{ io.Reader }

// Close implements io.Closer.
func (onceBody) Close() error { return nil }

// sendOnce sets the body of req so that http.Transport sends it at most once.
func sendOnce(req *http.Request, body io.Reader) {
	req.Body = onceBody{body}
	req.GetBody = nil
}

// sealed is the value of countingConn.written that forbids further writes.
const sealed = -1

// countingConn counts the bytes handed to the network and can be sealed at a given
// count, after which every write fails. Only sealing proves that nothing was sent:
// when a round trip is cancelled, net/http's write loop may still be about to write.
type countingConn struct {
	net.Conn
	written atomic.Int64
	// sends is used by an attempt as it gets the connection, and not afterwards: another one may have
	// it before a response has been judged.
	sends sendHistory

	// writing is held by a write; writeErr is the error of the last one that failed.
	writing  sync.Mutex
	writeErr error
}

// Write implements net.Conn. The count increases before the write, so that a partial
// write counts as begun.
func (c *countingConn) Write(b []byte) (int, error) {
	for {
		n := c.written.Load()
		if n == sealed {
			return 0, net.ErrClosed
		}
		if c.written.CompareAndSwap(n, n+int64(len(b))) {
			return c.write(b)
		}
	}
}

func (c *countingConn) write(b []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(b)
	if err != nil {
		c.writeErr = err
	}
	return n, err
}

// Read implements net.Conn. The kernel reports a reset once: if a write has received it, the next
// read sees an end in place of it.
func (c *countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if err != io.EOF {
		return n, err
	}
	c.writing.Lock()
	defer c.writing.Unlock()
	if c.writeErr != nil {
		return n, c.writeErr
	}
	return n, io.EOF
}

// accepts reports whether an attempt may be sent on the connection, whose count is n, and records that it
// is. A connection that does not accept an attempt is sealed.
func (c *countingConn) accepts(attempt string, n int64) bool {
	if n != sealed && c.sends.add(attempt) {
		return true
	}
	c.written.Store(sealed)
	return false
}

// discard closes the connection. It may be among the idle ones already: an attempt that gets it is not
// sent.
func (c *countingConn) discard() {
	c.written.Store(sealed)
	c.Conn.Close()
}

// seal forbids all further writes if the count still is n, and reports whether it was.
func (c *countingConn) seal(n int64) bool { return c.written.CompareAndSwap(n, sealed) }

// sendTracker determines whether any byte of an attempt may have been sent, and on which connection.
type sendTracker struct {
	attempt string
	conn    atomic.Pointer[countingConn]
	// before is the connection's count when the attempt got it; first is set if nothing had been sent
	// on it then.
	before int64
	first  bool
	// unusable is set if the attempt was not sent as its connection does not accept it.
	unusable atomic.Bool
}

func (s *sendTracker) trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if conn, ok := info.Conn.(*countingConn); ok {
			s.before, s.first = conn.written.Load(), conn.sends.empty()
			s.unusable.Store(!conn.accepts(s.attempt, s.before))
			s.conn.Store(conn)
		}
	}}
}

// sealIfUnsent seals the connection if no byte of the attempt was handed to the network, and
// reports whether that is so; then none will be sent, and the connection cannot be used
// any more.
func (s *sendTracker) sealIfUnsent() bool {
	conn := s.conn.Load()
	return conn == nil || conn.seal(s.before)
}

// closeConn closes the connection that the attempt was sent on.
func (s *sendTracker) closeConn() {
	if conn := s.conn.Load(); conn != nil {
		conn.discard()
	}
}
