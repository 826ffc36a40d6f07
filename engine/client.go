package engine

import (
	"bytes"
	"context"
	"errors"
	"io"
	"maps"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"time"
)

// Headers of the protocol between an instance and an endpoint.
const (
	// RequestIDHeader carries the attempt's id in the request and in the answer.
	RequestIDHeader = "X-Request-Id"
	// IdempotencyKeyHeader carries the caller's idempotency key.
	IdempotencyKeyHeader = "Idempotency-Key"
	// LastEventIDHeader requests that a stream resume after a token offset.
	LastEventIDHeader = "Last-Event-ID"
)

// Attempt is one attempt to run a request at an endpoint.
type Attempt struct {
	ID       string
	Endpoint string
	// Incarnation is the incarnation of the endpoint that the attempt is for; empty means
	// any.
	Incarnation string
	// Address is host:port.
	Address string
	Method  string
	Path    string
	// Host is the host in the caller's request; empty means Address.
	Host string
	// CallerHeader is the header of the caller's request, of which the dialect selects the
	// fields to forward; Header holds the fields that the instance adds.
	CallerHeader, Header http.Header
	Body                 []byte
	// Account is the client account of the request, for endpoints that take it; empty for
	// none.
	Account string
	// Priority orders requests at the endpoint; a higher one goes first.
	Priority int
	// Resume requests that a stream continue after the event ResumeAfter.
	Resume      bool
	ResumeAfter int64
	// SingleUse requests a connection that carries nothing else. For an attempt without an id, it is
	// what proves that a response answers it.
	SingleUse bool
}

// Dialer opens connections, like net.Dialer.DialContext.
type Dialer func(ctx context.Context, network, address string) (net.Conn, error)

// Config configures a Client.
type Config struct {
	Dial Dialer
	// DialTimeout limits the time to open a connection; 0 means DefaultDialTimeout.
	DialTimeout time.Duration
	// IdlePerEndpoint is the maximum number of idle connections to each endpoint; 0 means
	// DefaultIdlePerEndpoint.
	IdlePerEndpoint int
	// Dialect is the protocol of the endpoints; nil means OpenAI.
	Dialect Dialect
	// Statements keeps what the endpoints say of themselves, and is asked before each attempt is
	// sent; nil keeps nothing.
	Statements Statements
}

// Defaults of Config.
const (
	DefaultDialTimeout     = time.Second
	DefaultIdlePerEndpoint = 64
	idleConnTimeout        = 30 * time.Second
)

// maxHeadBytes bounds the head of an answer: an endpoint in trouble may send one without end.
const maxHeadBytes = 64 << 10

// Client sends attempts to endpoints.
type Client struct {
	transport *http.Transport
	// singleUse carries the attempts that want a connection of their own.
	singleUse  *http.Transport
	dialect    Dialect
	statements Statements
}

// NewClient returns a Client with its own connection pool.
func NewClient(cfg Config) *Client {
	if cfg.Dialect == nil {
		cfg.Dialect = OpenAI{}
	}
	if cfg.Dial == nil {
		cfg.Dial = (&net.Dialer{}).DialContext
	}
	if cfg.DialTimeout == 0 {
		cfg.DialTimeout = DefaultDialTimeout
	}
	if cfg.IdlePerEndpoint == 0 {
		cfg.IdlePerEndpoint = DefaultIdlePerEndpoint
	}
	if cfg.Statements == nil {
		cfg.Statements = noStatements{}
	}
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, cfg.DialTimeout)
		defer cancel()
		conn, err := cfg.Dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &countingConn{Conn: conn}, nil
	}
	transport := &http.Transport{
		DialContext: dial, MaxIdleConnsPerHost: cfg.IdlePerEndpoint,
		IdleConnTimeout: idleConnTimeout, DisableCompression: true, MaxResponseHeaderBytes: maxHeadBytes,
	}
	singleUse := transport.Clone()
	singleUse.DisableKeepAlives = true
	return &Client{dialect: cfg.Dialect, statements: cfg.Statements, transport: transport, singleUse: singleUse}
}

// Close closes the idle connections.
func (c *Client) Close() { c.transport.CloseIdleConnections() }

// Do sends the attempt and returns the response once its header has arrived. The
// body must be closed after use. Every response to the attempt other than a refusal
// to start is returned without error, whatever its status. The error is a
// *NotStartedError or an *UnknownError.
func (c *Client) Do(ctx context.Context, a Attempt) (*http.Response, error) {
	if err := c.statements.Check(a); err != nil {
		return nil, &NotStartedError{Endpoint: a.Endpoint, Unsent: true, Declined: true, Err: err}
	}
	for {
		resp, err := c.send(ctx, a)
		if !errors.Is(err, errUnusableConn) {
			return resp, err
		}
	}
}

// errUnusableConn is returned for an attempt that was not sent, as its connection could bring an answer to
// an earlier send of it, or brought one that nobody waited for. That connection is closed.
var errUnusableConn = errors.New("the connection may bring another answer")

// send sends the attempt on one connection.
func (c *Client) send(ctx context.Context, a Attempt) (*http.Response, error) {
	sent := sendTracker{attempt: a.ID}
	req, err := c.newRequest(httptrace.WithClientTrace(ctx, sent.trace()), a)
	if err != nil {
		return nil, &NotStartedError{Endpoint: a.Endpoint, Unsent: true, Err: err}
	}
	resp, err := c.transportFor(a).RoundTrip(req)
	if sent.unusable.Load() {
		// The connection may bring an answer although nothing was sent.
		if err == nil {
			resp.Body.Close()
		}
		return nil, errUnusableConn
	}
	if err != nil {
		return nil, sent.failure(a.Endpoint, err)
	}
	if err := checkAnswer(resp); err != nil {
		return nil, sent.reject(resp, a.Endpoint, err)
	}
	err = c.dialect.Check(resp, a, sent.conn.Load() != nil && sent.first)
	c.recordStatement(resp, a, err)
	if err != nil {
		return nil, sent.reject(resp, a.Endpoint, err)
	}
	return resp, nil
}

// checkAnswer returns an error for a response that net/http reads and that is none in HTTP/1.
func checkAnswer(resp *http.Response) error {
	if resp.ProtoMajor != 1 {
		return &ProtocolError{Protocol: resp.Proto}
	}
	if resp.StatusCode < http.StatusOK {
		return &StatusError{Status: resp.StatusCode}
	}
	return nil
}

func (c *Client) transportFor(a Attempt) *http.Transport {
	if a.SingleUse {
		return c.singleUse
	}
	return c.transport
}

// failure returns the error for an attempt without a response.
func (s *sendTracker) failure(endpoint string, err error) error {
	if s.sealIfUnsent() {
		return &NotStartedError{Endpoint: endpoint, Unsent: true, Err: err}
	}
	return &UnknownError{Endpoint: endpoint, Err: err}
}

// recordStatement records what the endpoint says of itself with a response that passed the dialect's
// check or is its refusal. A response of another endpoint, or to another attempt, is ignored.
func (c *Client) recordStatement(resp *http.Response, a Attempt, checked error) {
	var refused *RefusedError
	if checked != nil && (!errors.As(checked, &refused) || refused.Replaced) {
		return
	}
	c.statements.Record(a, c.dialect.Statement(resp.StatusCode, resp.Header))
}

// reject discards a response that fails the dialect's check and returns the error for
// Do. A connection that carried the answer of another attempt is not used again.
func (s *sendTracker) reject(resp *http.Response, endpoint string, err error) error {
	var refused *RefusedError
	if errors.As(err, &refused) {
		drainBody(resp)
		return &NotStartedError{
			Endpoint: endpoint, Busy: refused.Busy, NotResident: refused.NotResident, Replaced: refused.Replaced,
			Header: resp.Header, Err: &refused.RefusalError,
		}
	}
	s.closeConn()
	resp.Body.Close()
	return &UnknownError{Endpoint: endpoint, Err: err}
}

// maxDrainTime bounds the time to read the rest of a refusal, after which its connection is given up.
const maxDrainTime = 200 * time.Millisecond

// drainBody reads a short remainder of the body so that the connection can be reused.
func drainBody(resp *http.Response) {
	giveUp := time.AfterFunc(maxDrainTime, func() { resp.Body.Close() })
	defer giveUp.Stop()
	_, _ = io.CopyN(io.Discard, resp.Body, maxRefusalBytes)
	resp.Body.Close()
}

func (c *Client) newRequest(ctx context.Context, a Attempt) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, a.Method, "http://"+a.Address, bytes.NewReader(a.Body))
	if err != nil {
		return nil, err
	}
	if err := setTarget(req, a.Path); err != nil {
		return nil, err
	}
	if a.Host != "" {
		req.Host = a.Host
	}
	req.Header = c.dialect.Headers().forward(a.CallerHeader)
	maps.Copy(req.Header, a.Header)
	c.dialect.Encode(req, a)
	sendOnce(req, bytes.NewReader(a.Body))
	return req, nil
}

// Resume continues a broken stream after the token at offset; -1 restarts from the first
// token of the same run.
func (c *Client) Resume(ctx context.Context, endpoint, address, attemptID string, offset int64) (*http.Response, error) {
	return c.Do(ctx, Attempt{
		ID: attemptID, Endpoint: endpoint, Address: address, Method: http.MethodGet,
		Path:   "/v1/requests/" + url.PathEscape(attemptID) + "/stream",
		Header: http.Header{LastEventIDHeader: {strconv.FormatInt(offset, 10)}},
	})
}
