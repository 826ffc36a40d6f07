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
	"strings"
	"time"
)

// Headers of the protocol towards endpoints.
const (
	// RequestIDHeader carries the attempt's id both ways.
	RequestIDHeader = "X-Request-Id"
	// IdempotencyKeyHeader carries the caller's key.
	IdempotencyKeyHeader = "Idempotency-Key"
	// LastEventIDHeader asks to resume after a token offset.
	LastEventIDHeader = "Last-Event-ID"
)

// Attempt is one try of a request at one endpoint.
type Attempt struct {
	ID       string
	Endpoint string
	// Incarnation is the one of the endpoint that is meant; empty means any.
	Incarnation string
	// Address is host:port.
	Address string
	Method  string
	Path    string
	// Host is the host that the caller asked for; empty means Address.
	Host string
	// CallerHeader is the head of the caller's request, of which the dialect says what
	// goes to the endpoint; Header is what the instance itself adds.
	CallerHeader, Header http.Header
	Body                 []byte
	// Account names whose request it is, for endpoints that are told; empty for nobody.
	Account string
	// Priority orders requests at the endpoint; higher goes first.
	Priority int
	// Resume asks to continue a stream behind the event ResumeAfter.
	Resume      bool
	ResumeAfter int64
}

// Dialer opens connections; net.Dialer.DialContext is one.
type Dialer func(ctx context.Context, network, address string) (net.Conn, error)

// Config sets up a client.
type Config struct {
	Dial Dialer
	// DialTimeout bounds the opening of a connection.
	DialTimeout time.Duration
	// IdlePerEndpoint is how many idle connections to keep to each endpoint.
	IdlePerEndpoint int
	// Dialect is how endpoints are spoken to; nil means OpenAI.
	Dialect Dialect
}

// Defaults of Config.
const (
	DefaultDialTimeout     = time.Second
	DefaultIdlePerEndpoint = 64
	idleConnTimeout        = 30 * time.Second
)

// Client sends attempts to endpoints.
type Client struct {
	transport *http.Transport
	dialect   Dialect
}

// NewClient returns a client with connections of its own.
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
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, cfg.DialTimeout)
		defer cancel()
		conn, err := cfg.Dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &countingConn{Conn: conn}, nil
	}
	return &Client{dialect: cfg.Dialect, transport: &http.Transport{
		DialContext: dial, MaxIdleConnsPerHost: cfg.IdlePerEndpoint,
		IdleConnTimeout: idleConnTimeout, DisableCompression: true,
	}}
}

// Close drops the idle connections.
func (c *Client) Close() { c.transport.CloseIdleConnections() }

// Do sends the attempt and returns the answer once its header is there. The
// caller closes the body. Any status from the endpoint other than a refusal
// to start is an answer, not an error.
func (c *Client) Do(ctx context.Context, a Attempt) (*http.Response, error) {
	var left departure
	req, err := c.newRequest(httptrace.WithClientTrace(ctx, left.trace()), a)
	if err != nil {
		return nil, &NotStartedError{Endpoint: a.Endpoint, Unsent: true, Err: err}
	}
	resp, err := c.transport.RoundTrip(req)
	if err != nil {
		if left.nothingLeft() {
			return nil, &NotStartedError{Endpoint: a.Endpoint, Unsent: true, Err: err}
		}
		return nil, &UnknownError{Endpoint: a.Endpoint, Err: err}
	}
	if err := c.dialect.Check(resp, a); err != nil {
		return nil, left.reject(resp, a.Endpoint, err)
	}
	return resp, nil
}

// reject gives up an answer that is not passed on. A connection that carried
// an answer which belongs elsewhere is not used again.
func (d *departure) reject(resp *http.Response, endpoint string, err error) error {
	var refused *RefusedError
	if errors.As(err, &refused) {
		drainBody(resp)
		return &NotStartedError{
			Endpoint: endpoint, Busy: refused.Busy, NotResident: refused.NotResident, Replaced: refused.Replaced,
			Header: resp.Header, Err: &refused.RefusalError,
		}
	}
	d.abandon()
	resp.Body.Close()
	return &UnknownError{Endpoint: endpoint, Err: err}
}

// drainBody reads a short rest, so that the connection can be used again.
func drainBody(resp *http.Response) {
	_, _ = io.CopyN(io.Discard, resp.Body, maxRefusalBytes)
	resp.Body.Close()
}

// ForeignAnswerError is an answer that belongs to another attempt.
type ForeignAnswerError struct{ Want, Got string }

// Error names both attempts.
func (e *ForeignAnswerError) Error() string {
	return "answer of attempt " + e.Got + " in place of " + e.Want
}

func (c *Client) newRequest(ctx context.Context, a Attempt) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, a.Method, "http://"+a.Address, bytes.NewReader(a.Body))
	if err != nil {
		return nil, err
	}
	// The target goes out byte for byte as it came in.
	req.URL.Opaque, req.URL.RawQuery, _ = strings.Cut(a.Path, "?")
	if a.Host != "" {
		req.Host = a.Host
	}
	req.Header = c.dialect.Headers().forward(a.CallerHeader)
	maps.Copy(req.Header, a.Header)
	c.dialect.Encode(req, a)
	sendOnce(req, bytes.NewReader(a.Body))
	return req, nil
}

// Resume continues a broken stream after the token at offset; -1 begins anew
// at the first token of the same run.
func (c *Client) Resume(ctx context.Context, endpoint, address, attemptID string, offset int64) (*http.Response, error) {
	return c.Do(ctx, Attempt{
		ID: attemptID, Endpoint: endpoint, Address: address, Method: http.MethodGet,
		Path:   "/v1/requests/" + url.PathEscape(attemptID) + "/stream",
		Header: http.Header{LastEventIDHeader: {strconv.FormatInt(offset, 10)}},
	})
}
