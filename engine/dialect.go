package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strings"
	"time"
)

// Dialect is the protocol of a kind of endpoint.
type Dialect interface {
	// Headers returns the rules for forwarding the fields of a caller's header.
	Headers() Headers
	// Encode completes the HTTP request of an attempt. The deadline of the request's
	// context is that of the caller's request.
	Encode(req *http.Request, a Attempt)
	// Check returns nil for a response to be returned to the caller. *RefusedError means
	// that the endpoint states that it has not run the attempt and will not; the body is
	// consumed then. Any other error means that the response does not answer this
	// attempt, which may have run. The id of an attempt is sent once on a connection, so that a
	// response with it answers that send; one without an id can only be certain to do so if first
	// is set: nothing was sent on the connection before.
	Check(resp *http.Response, a Attempt, first bool) error
	// Cancel returns the attempt that instructs an endpoint to cancel a; false means that
	// closing the connection cancels it.
	Cancel(a Attempt) (Attempt, bool)
	// SupportsResume reports whether an endpoint resumes a broken stream by the attempt's
	// id.
	SupportsResume() bool
	// Load returns the load that an endpoint reports with an answer; false means that it
	// reports none.
	Load(h http.Header) (Load, bool)
	// Cold returns the remaining time for which an endpoint is cold, as reported with an
	// answer; 0 if it is not cold or does not report it.
	Cold(h http.Header) time.Duration
	// Limit returns the request limit that an endpoint reports with an answer. The error
	// is a *LimitError.
	Limit(h http.Header) (Limit, error)
	// Statement returns what an endpoint says of itself with an answer of that status.
	Statement(status int, h http.Header) Statement
}

// RefusedError is returned when an endpoint states that it has not run an attempt and will
// not.
type RefusedError struct {
	RefusalError
	// Busy is set if the endpoint has no capacity, NotResident if it does not hold the
	// unit, and Replaced if it is another incarnation than the one addressed.
	Busy, NotResident, Replaced bool
}

// Load is the load that an endpoint reports with an answer.
type Load struct {
	// Running and Waiting count requests, the answered one included; Slots is how many run at
	// once.
	Running, Waiting, Slots int
	// Slowdown is how many times the usual work takes there at present; 0 if unknown.
	Slowdown float64
}

// HasRoom reports whether a slot is free and nobody waits for one.
func (l Load) HasRoom() bool { return l.Waiting == 0 && l.Running < l.Slots }

// OpenAI is the dialect of model engines: the OpenAI API with additions.
type OpenAI struct{}

// openAIHeaders are the rules of the OpenAI dialect: only the instance may set the id of the
// attempt and the event after which a stream resumes.
var openAIHeaders = Headers{
	FirstValueOnly: map[string]bool{IdempotencyKeyHeader: true, "Content-Type": true},
	Control:        map[string]bool{RequestIDHeader: true, http.CanonicalHeaderKey(LastEventIDHeader): true},
}

// Headers implements Dialect.
func (OpenAI) Headers() Headers { return openAIHeaders }

// Encode implements Dialect.
func (OpenAI) Encode(req *http.Request, a Attempt) { req.Header.Set(RequestIDHeader, a.ID) }

// codeNotStarted is the error code with which engines refuse a request without having
// started it.
const codeNotStarted = "not_started"

// maxRefusalBytes is the maximum number of bytes read of a refusal.
const maxRefusalBytes = 4 << 10

// Check implements Dialect. The bodies of responses other than refusals stay readable in
// full. A refusal by an endpoint that gives no ids back counts on a connection's first attempt only.
func (OpenAI) Check(resp *http.Response, a Attempt, first bool) error {
	if got := resp.Header.Get(RequestIDHeader); got != "" && got != a.ID {
		return &ForeignAnswerError{Want: a.ID, Got: got}
	}
	if resp.StatusCode < http.StatusBadRequest || !strings.HasPrefix(resp.Header.Get("Content-Type"), "application/json") {
		return nil
	}
	var prefix bytes.Buffer
	var body struct {
		Error struct{ Code, Message string } `json:"error"`
	}
	// Decoding does not wait for the end of the response, which may never come.
	err := json.NewDecoder(io.TeeReader(io.LimitReader(resp.Body, maxRefusalBytes), &prefix)).Decode(&body)
	if err == nil && body.Error.Code == codeNotStarted {
		if resp.Header.Get(RequestIDHeader) == "" && !first {
			return &ForeignAnswerError{Want: a.ID, Got: "unknown"}
		}
		return &RefusedError{
			RefusalError: RefusalError{Status: resp.StatusCode, Code: body.Error.Code, Reason: body.Error.Message},
			Busy:         resp.StatusCode == http.StatusTooManyRequests,
			NotResident:  resp.StatusCode == http.StatusNotFound,
		}
	}
	resp.Body = prefixedBody{Reader: io.MultiReader(&prefix, resp.Body), Closer: resp.Body}
	return nil
}

// prefixedBody is a response body that was partly read: its reader returns the bytes already
// read first.
type prefixedBody struct {
	io.Reader
	io.Closer
}

// Cancel implements Dialect.
func (OpenAI) Cancel(a Attempt) (Attempt, bool) {
	return Attempt{
		ID: a.ID, Endpoint: a.Endpoint, Address: a.Address,
		Method: http.MethodDelete, Path: "/v1/requests/" + url.PathEscape(a.ID),
	}, true
}

// SupportsResume implements Dialect.
func (OpenAI) SupportsResume() bool { return true }

// Load implements Dialect: engines report their load only on request (Client.Load).
func (OpenAI) Load(http.Header) (Load, bool) { return Load{}, false }

// Cold implements Dialect: engines are never cold.
func (OpenAI) Cold(http.Header) time.Duration { return 0 }

// Limit implements Dialect: engines report no limit.
func (OpenAI) Limit(http.Header) (Limit, error) { return Limit{}, nil }

// Statement implements Dialect: engines say nothing of the kind.
func (OpenAI) Statement(int, http.Header) Statement { return Statement{} }

// Cancel notifies the endpoint that an attempt's answer is no longer needed.
func (c *Client) Cancel(ctx context.Context, a Attempt) error {
	cancel, needed := c.dialect.Cancel(a)
	if !needed {
		return nil
	}
	resp, err := c.Do(ctx, cancel)
	if err != nil {
		return err
	}
	return resp.Body.Close()
}

// ReportedLoad returns the load that an endpoint reported in the header of an answer or of a
// refusal; false means that it reported none.
func (c *Client) ReportedLoad(head http.Header) (Load, bool) { return c.dialect.Load(head) }

// StatementOf returns what an endpoint says of itself with an answer or a refusal.
func (c *Client) StatementOf(status int, head http.Header) Statement {
	return c.dialect.Statement(status, head)
}

// SupportsResume reports whether endpoints resume broken streams, so that Resume may be used.
func (c *Client) SupportsResume() bool { return c.dialect.SupportsResume() }
