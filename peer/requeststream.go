package peer

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/quic-go/quic-go"
)

// requestsProtocol is the ALPN protocol (RFC 7301) of connections whose streams carry one caller's
// request each, as HTTP/1.1.
const requestsProtocol = "eiderspring-requests/1"

const (
	// requestIdleTimeout is how long a connection with requests may be silent until its peer counts
	// as gone, requestKeepAlive the time between two packets that show that it is not.
	requestIdleTimeout = 2 * time.Second
	requestKeepAlive   = 500 * time.Millisecond
	// requestDialTimeout bounds connecting to an instance, which takes a few round trips.
	requestDialTimeout = 500 * time.Millisecond
	// acceptedStreams bounds the streams that wait to be served.
	acceptedStreams = 16
)

var requestConfig = &quic.Config{
	MaxIdleTimeout: requestIdleTimeout, KeepAlivePeriod: requestKeepAlive, HandshakeIdleTimeout: requestDialTimeout,
	MaxIncomingStreams: -1, MaxIncomingUniStreams: -1,
}

// streamConn is a stream as a net.Conn, for net/http.
type streamConn struct {
	*quic.Stream
	conn *quic.Conn
	// abandon is set at the side that sends requests: closing before the end of the answer
	// cancels the request.
	abandon bool
	// closed is called once when the stream is closed; may be nil.
	closed func()
	once   sync.Once
}

// LocalAddr implements net.Conn.
func (c *streamConn) LocalAddr() net.Addr { return c.conn.LocalAddr() }

// RemoteAddr implements net.Conn.
func (c *streamConn) RemoteAddr() net.Addr { return c.conn.RemoteAddr() }

// Close implements net.Conn. An answer that was written is still delivered.
func (c *streamConn) Close() error {
	c.once.Do(func() {
		c.CancelRead(0)
		if c.abandon {
			c.CancelWrite(0)
		}
		if c.closed != nil {
			c.closed()
		}
	})
	if c.abandon {
		return nil
	}
	return c.Stream.Close()
}

// RequestListener accepts the streams with callers' requests that other instances hand over. It is
// a net.Listener, for net/http.
type RequestListener struct {
	address net.Addr
	streams chan net.Conn
	closed  chan struct{}
	once    sync.Once
}

func newRequestListener(address net.Addr) *RequestListener {
	return &RequestListener{address: address, streams: make(chan net.Conn, acceptedStreams), closed: make(chan struct{})}
}

// serve accepts the streams of a connection until it ends.
func (l *RequestListener) serve(conn *quic.Conn) {
	for {
		stream, err := conn.AcceptStream(context.Background())
		if err != nil {
			return
		}
		select {
		case l.streams <- &streamConn{Stream: stream, conn: conn}:
		case <-l.closed:
			return
		}
	}
}

// Accept implements net.Listener.
func (l *RequestListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.streams:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener. It leaves the connections open.
func (l *RequestListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

// Addr implements net.Listener.
func (l *RequestListener) Addr() net.Addr { return l.address }

// ErrTooManyStreams is returned when a peer allows no more requests at once.
var ErrTooManyStreams = errors.New("peer allows no more streams")

// RequestDialer opens streams for callers' requests to other instances. All streams to an instance
// share one connection, which is closed when no stream has been open for unusedAfter.
type RequestDialer struct {
	// identity returns the certificates to use.
	identity func() *Identity

	mu    sync.Mutex
	peers map[string]*requestPeer
	stop  bool
}

// requestPeer is the connection to one instance. dialed is closed once conn or err is set.
type requestPeer struct {
	dialed chan struct{}
	conn   *quic.Conn
	err    error
	// streams is the number of open streams, unused ends the connection when there is none.
	streams int
	unused  *time.Timer
}

// unusedAfter is how long a connection without streams is kept: callers' requests come in bursts.
const unusedAfter = 3 * time.Second

// NewRequestDialer returns a dialer without connections, which uses the certificates that the
// client has when it connects.
func NewRequestDialer(c *StreamClient) *RequestDialer {
	return &RequestDialer{identity: c.identity.Load, peers: map[string]*requestPeer{}}
}

// DialContext opens a stream to the instance at an address of the form IP:PORT. It connects first
// if there is no connection.
func (d *RequestDialer) DialContext(ctx context.Context, _, address string) (net.Conn, error) {
	p, err := d.peer(address)
	if err != nil {
		return nil, err
	}
	select {
	case <-p.dialed:
	case <-ctx.Done():
		d.release(address, p)
		return nil, ctx.Err()
	}
	stream, err := p.open()
	if err != nil {
		d.release(address, p)
		return nil, err
	}
	return &streamConn{Stream: stream, conn: p.conn, abandon: true, closed: func() { d.release(address, p) }}, nil
}

// open opens a stream, once the peer was dialed.
func (p *requestPeer) open() (*quic.Stream, error) {
	if p.err != nil {
		return nil, p.err
	}
	stream, err := p.conn.OpenStream()
	if limited := (*quic.StreamLimitReachedError)(nil); errors.As(err, &limited) {
		return nil, ErrTooManyStreams
	}
	return stream, err
}

// peer returns the connection to an address, with one more stream counted, and begins to connect
// if there is none that works.
func (d *RequestDialer) peer(address string) (*requestPeer, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.stop {
		return nil, net.ErrClosed
	}
	p := d.peers[address]
	if p == nil || p.ended() {
		p = &requestPeer{dialed: make(chan struct{})}
		d.peers[address] = p
		go p.dial(address, d.identity())
	}
	p.streams++
	if p.unused != nil {
		p.unused.Stop()
		p.unused = nil
	}
	return p, nil
}

// ended reports whether the connection could not be opened or has been closed.
func (p *requestPeer) ended() bool {
	select {
	case <-p.dialed:
		return p.err != nil || p.conn.Context().Err() != nil
	default:
		return false
	}
}

func (p *requestPeer) dial(address string, id *Identity) {
	defer close(p.dialed)
	ctx, cancel := context.WithTimeout(context.Background(), requestDialTimeout)
	defer cancel()
	config := id.clientConfig()
	config.NextProtos = []string{requestsProtocol}
	conn, err := quic.DialAddr(ctx, address, config, requestConfig)
	if err != nil {
		p.err = fmt.Errorf("peer %s: %w", address, err)
		return
	}
	p.conn = conn
}

// release ends a stream that peer has counted.
func (d *RequestDialer) release(address string, p *requestPeer) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if p.streams--; p.streams > 0 || p.unused != nil {
		return
	}
	p.unused = time.AfterFunc(unusedAfter, func() { d.closeUnused(address, p) })
}

func (d *RequestDialer) closeUnused(address string, p *requestPeer) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if p.streams > 0 {
		return
	}
	if d.peers[address] == p {
		delete(d.peers, address)
	}
	p.close()
}

// close closes the connection once it was dialed.
func (p *requestPeer) close() {
	go func() {
		<-p.dialed
		if p.conn != nil {
			_ = p.conn.CloseWithError(0, "")
		}
	}()
}

// Connections returns how many instances there is a connection to.
func (d *RequestDialer) Connections() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.peers)
}

// Close closes all connections.
func (d *RequestDialer) Close() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.stop = true
	for address, p := range d.peers {
		p.close()
		delete(d.peers, address)
	}
}
