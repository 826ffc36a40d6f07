package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
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
	// Address is host:port.
	Address string
	Method  string
	Path    string
	Header  http.Header
	Body    []byte
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
}

// NewClient returns a client with connections of its own.
func NewClient(cfg Config) *Client {
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
	return &Client{transport: &http.Transport{
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
	req, err := newRequest(httptrace.WithClientTrace(ctx, left.trace()), a)
	if err != nil {
		return nil, &NotStartedError{Endpoint: a.Endpoint, Err: err}
	}
	resp, err := c.transport.RoundTrip(req)
	if err != nil {
		if left.nothingLeft() {
			return nil, &NotStartedError{Endpoint: a.Endpoint, Err: err}
		}
		return nil, &UnknownError{Endpoint: a.Endpoint, Err: err}
	}
	if got := resp.Header.Get(RequestIDHeader); got != "" && got != a.ID {
		resp.Body.Close()
		return nil, &UnknownError{Endpoint: a.Endpoint, Err: &ForeignAnswerError{Want: a.ID, Got: got}}
	}
	if err := refusal(resp); err != nil {
		return nil, notStarted(a.Endpoint, err)
	}
	return resp, nil
}

// ForeignAnswerError is an answer that belongs to another attempt.
type ForeignAnswerError struct{ Want, Got string }

// Error names both attempts.
func (e *ForeignAnswerError) Error() string {
	return "answer of attempt " + e.Got + " in place of " + e.Want
}

func newRequest(ctx context.Context, a Attempt) (*http.Request, error) {
	target := url.URL{Scheme: "http", Host: a.Address}
	path, query, _ := strings.Cut(a.Path, "?")
	target.Path, target.RawQuery = path, query
	req, err := http.NewRequestWithContext(ctx, a.Method, target.String(), bytes.NewReader(a.Body))
	if err != nil {
		return nil, err
	}
	req.Header = a.Header.Clone()
	if req.Header == nil {
		req.Header = http.Header{}
	}
	req.Header.Set(RequestIDHeader, a.ID)
	sendOnce(req, bytes.NewReader(a.Body))
	return req, nil
}

// codeNotStarted is the engines' word for a request of which nothing has run.
const codeNotStarted = "not_started"

// maxRefusalBytes bounds what is read of a refusal.
const maxRefusalBytes = 4 << 10

// refusal returns an error if resp is an engine's statement that it has not
// started the request; resp is used up then. Other answers are left whole.
func refusal(resp *http.Response) *RefusalError {
	if resp.StatusCode < http.StatusBadRequest || !strings.HasPrefix(resp.Header.Get("Content-Type"), "application/json") {
		return nil
	}
	head, err := io.ReadAll(io.LimitReader(resp.Body, maxRefusalBytes))
	var body struct {
		Error struct{ Code, Message string } `json:"error"`
	}
	if err == nil && json.Unmarshal(head, &body) == nil && body.Error.Code == codeNotStarted {
		resp.Body.Close()
		return &RefusalError{Status: resp.StatusCode, Code: body.Error.Code, Reason: body.Error.Message}
	}
	resp.Body = restored{Reader: io.MultiReader(bytes.NewReader(head), resp.Body), Closer: resp.Body}
	return nil
}

// restored is a body whose beginning was read and put back.
type restored struct {
	io.Reader
	io.Closer
}

func notStarted(endpoint string, r *RefusalError) *NotStartedError {
	return &NotStartedError{
		Endpoint: endpoint, Err: r,
		Busy:        r.Status == http.StatusTooManyRequests,
		NotResident: r.Status == http.StatusNotFound,
	}
}

// Cancel tells the engine that nobody waits for an attempt any more.
func (c *Client) Cancel(ctx context.Context, address, attemptID string) error {
	resp, err := c.Do(ctx, Attempt{ID: attemptID, Address: address, Method: http.MethodDelete, Path: "/v1/requests/" + url.PathEscape(attemptID)})
	if err != nil {
		return err
	}
	return resp.Body.Close()
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
