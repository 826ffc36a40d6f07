package peer

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/quic-go/quic-go"
)

// Request is the request on a stream; exactly one of the fields is set.
type Request struct {
	// Root requests the root entry of the revision in force.
	Root bool `cbor:"1,keyasint,omitempty"`
	// Chunk requests a chunk by its hash.
	Chunk string `cbor:"2,keyasint,omitempty"`
	// Claim sends an entry to a shard of idempotency keys.
	Claim *ClaimRequest `cbor:"3,keyasint,omitempty"`
	// Members requests the members that the peer knows.
	Members *MembersRequest `cbor:"4,keyasint,omitempty"`
}

// MembersRequest requests the changes to the members since change Seq of the process
// Process; zero values request all members. Hold is how long the reply may be held back
// until there is a change.
type MembersRequest struct {
	Process string        `cbor:"1,keyasint,omitempty"`
	Seq     int64         `cbor:"2,keyasint,omitempty"`
	Hold    time.Duration `cbor:"3,keyasint,omitempty"`
	// StoreEra and StoreRevision are the newest version of the store that the requester
	// knows of; it does not accept members as of an older one. Zero means none.
	StoreEra      int64 `cbor:"4,keyasint,omitempty"`
	StoreRevision int64 `cbor:"5,keyasint,omitempty"`
}

// ClaimRequest carries an encoded entry for a shard.
type ClaimRequest struct {
	Shard int    `cbor:"1,keyasint"`
	Op    []byte `cbor:"2,keyasint"`
}

// Reply is the reply to a Request.
type Reply struct {
	// Found reports whether the peer has what was requested.
	Found bool   `cbor:"1,keyasint"`
	Data  []byte `cbor:"2,keyasint,omitempty"`
}

// Handler serves requests.
type Handler func(context.Context, Request) Reply

// Limits of streams.
const (
	maxRequestBytes = 64 << 10
	maxReplyBytes   = 2 << 20
	streamTimeout   = 3 * time.Second
	idleTimeout     = 5 * time.Second
	maxStreams      = 256
)

var quicConfig = &quic.Config{MaxIdleTimeout: idleTimeout, MaxIncomingStreams: maxStreams, MaxIncomingUniStreams: -1}

// StreamServer serves requests of peers over QUIC.
type StreamServer struct {
	transport *quic.Transport
	listener  *quic.Listener
	identity  atomic.Pointer[Identity]
	handler   Handler
	requests  *RequestListener
}

// disableBufferWarning is the environment variable that suppresses quic-go's warning about
// small socket buffers: the size it wants is far beyond what peers need, and the warning
// bypasses the log.
const disableBufferWarning = "QUIC_GO_DISABLE_RECEIVE_BUFFER_WARNING"

// ListenStreams serves requests on an address of the form IP:PORT until Close.
func ListenStreams(address string, id *Identity, handler Handler) (*StreamServer, error) {
	if err := os.Setenv(disableBufferWarning, "true"); err != nil {
		return nil, err
	}
	s := &StreamServer{handler: handler}
	s.identity.Store(id)
	config := &tls.Config{
		MinVersion: tls.VersionTLS13, NextProtos: []string{protocolName, requestsProtocol},
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) { return s.identity.Load().serverConfig(), nil },
	}
	udp, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return nil, err
	}
	conn, err := net.ListenUDP("udp", udp)
	if err != nil {
		return nil, err
	}
	s.transport = &quic.Transport{Conn: conn}
	if s.listener, err = s.transport.Listen(config, quicConfig); err != nil {
		conn.Close()
		return nil, err
	}
	s.requests = newRequestListener(s.listener.Addr())
	go s.accept()
	return s, nil
}

// Requests returns the listener for the requests that other instances hand over.
func (s *StreamServer) Requests() *RequestListener { return s.requests }

// SetIdentity replaces the certificates for new connections.
func (s *StreamServer) SetIdentity(id *Identity) { s.identity.Store(id) }

// Close stops serving and closes the open connections.
func (s *StreamServer) Close() {
	_ = s.requests.Close()
	s.listener.Close()
	s.transport.Close()
	s.transport.Conn.Close()
}

func (s *StreamServer) accept() {
	for {
		conn, err := s.listener.Accept(context.Background())
		if err != nil {
			return
		}
		if conn.ConnectionState().TLS.NegotiatedProtocol == requestsProtocol {
			go s.requests.serve(conn)
			continue
		}
		go s.serve(conn)
	}
}

func (s *StreamServer) serve(conn *quic.Conn) {
	for {
		stream, err := conn.AcceptStream(context.Background())
		if err != nil {
			return
		}
		go s.reply(stream)
	}
}

func (s *StreamServer) reply(stream *quic.Stream) {
	defer stream.Close()
	_ = stream.SetDeadline(time.Now().Add(streamTimeout))
	var req Request
	if err := readMessage(stream, maxRequestBytes, &req); err != nil {
		stream.CancelRead(0)
		return
	}
	ctx, cancel := context.WithTimeout(stream.Context(), streamTimeout)
	defer cancel()
	data, err := cbor.Marshal(s.handler(ctx, req))
	if err != nil {
		return
	}
	_, _ = stream.Write(data)
}

// ErrNotFound is returned when the peer does not have what was requested.
var ErrNotFound = errors.New("peer does not have the requested item")

// StreamClient sends requests to peers over QUIC. It reuses the connections that Call
// opens until they have been idle for idleTimeout.
type StreamClient struct {
	identity atomic.Pointer[Identity]

	mu       sync.Mutex
	sessions map[string]*Session
}

// NewStreamClient returns a client without connections.
func NewStreamClient(id *Identity) *StreamClient {
	c := &StreamClient{sessions: map[string]*Session{}}
	c.identity.Store(id)
	return c
}

// SetIdentity replaces the certificates for new connections.
func (c *StreamClient) SetIdentity(id *Identity) { c.identity.Store(id) }

// Call sends one request over a reused or new connection. ErrNotFound means that the peer
// does not have what was requested.
func (c *StreamClient) Call(ctx context.Context, address string, req Request) ([]byte, error) {
	s, err := c.session(ctx, address)
	if err != nil {
		return nil, err
	}
	data, err := s.Call(ctx, req)
	if err != nil && !errors.Is(err, ErrNotFound) {
		c.drop(address, s)
	}
	return data, err
}

func (c *StreamClient) session(ctx context.Context, address string) (*Session, error) {
	c.mu.Lock()
	s := c.sessions[address]
	c.mu.Unlock()
	if s != nil && s.conn.Context().Err() == nil {
		return s, nil
	}
	s, err := c.Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sessions[address] = s
	return s, nil
}

func (c *StreamClient) drop(address string, s *Session) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.sessions[address] == s {
		delete(c.sessions, address)
	}
	s.Close()
}

// Close closes all connections that Call has opened.
func (c *StreamClient) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, s := range c.sessions {
		s.Close()
		delete(c.sessions, address)
	}
}

// Session is a connection to one peer.
type Session struct{ conn *quic.Conn }

// Dial opens a new connection to a peer.
func (c *StreamClient) Dial(ctx context.Context, address string) (*Session, error) {
	ctx, cancel := context.WithTimeout(ctx, streamTimeout)
	defer cancel()
	conn, err := quic.DialAddr(ctx, address, c.identity.Load().clientConfig(), quicConfig)
	if err != nil {
		return nil, fmt.Errorf("peer %s: %w", address, err)
	}
	return &Session{conn: conn}, nil
}

// Close closes the connection.
func (s *Session) Close() { _ = s.conn.CloseWithError(0, "") }

// Call sends one request. ErrNotFound means that the peer does not have what was
// requested.
func (s *Session) Call(ctx context.Context, req Request) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, streamTimeout)
	defer cancel()
	stream, err := s.conn.OpenStreamSync(ctx)
	if err != nil {
		return nil, fmt.Errorf("peer stream: %w", err)
	}
	_ = stream.SetDeadline(time.Now().Add(streamTimeout))
	data, err := cbor.Marshal(req)
	if err != nil {
		return nil, err
	}
	if _, err := stream.Write(data); err != nil {
		return nil, fmt.Errorf("peer stream: %w", err)
	}
	stream.Close()
	var r Reply
	if err := readMessage(stream, maxReplyBytes, &r); err != nil {
		return nil, err
	}
	if !r.Found {
		return nil, ErrNotFound
	}
	return r.Data, nil
}

func readMessage(r io.Reader, limit int64, into any) error {
	data, err := io.ReadAll(io.LimitReader(r, limit+1))
	if err != nil {
		return fmt.Errorf("peer stream: %w", err)
	}
	if int64(len(data)) > limit {
		return ErrTooLarge
	}
	if err := cbor.Unmarshal(data, into); err != nil {
		return fmt.Errorf("peer stream: %w", err)
	}
	return nil
}
