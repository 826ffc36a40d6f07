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

// Dialect is how endpoints are spoken to.
type Dialect interface {
	// Headers says which fields of a caller's head go to an endpoint.
	Headers() Headers
	// Encode completes a request that carries an attempt. The context's
	// deadline is that of the request.
	Encode(req *http.Request, a Attempt)
	// Check returns nil for an answer to be passed on. *RefusedError is the
	// endpoint's word that it has not run the attempt and will not; the body is
	// used up then. Any other error means that the answer is none to this
	// attempt, which may have run.
	Check(resp *http.Response, a Attempt) error
	// Cancel returns the attempt that tells an endpoint to cancel another one;
	// false means that closing the connection does so.
	Cancel(a Attempt) (Attempt, bool)
	// SupportsResume tells whether an endpoint goes on with a broken stream when the
	// attempt's id is asked for.
	SupportsResume() bool
	// Load reads the load that an endpoint tells with an answer, the answered
	// request included; false means that it tells none.
	Load(h http.Header) (running, waiting int, ok bool)
	// Cold reads how much longer an endpoint stays cold, as it tells with an answer; 0 where
	// it is not, or does not tell.
	Cold(h http.Header) time.Duration
	// Limit reads the limit that an endpoint names with an answer. The error is a
	// *LimitError.
	Limit(h http.Header) (Limit, error)
}

// RefusedError is an endpoint's word that it has not run an attempt.
type RefusedError struct {
	RefusalError
	// Busy is set when it lacked room, NotResident when it does not hold the
	// unit, and Replaced when it is another incarnation than the one meant.
	Busy, NotResident, Replaced bool
}

// OpenAI is the product's own dialect.
type OpenAI struct{}

// openAIHeaders are the fields of the product's own protocol: the id of the attempt
// and where a stream goes on are the instance's to say.
var openAIHeaders = Headers{
	FirstValueOnly: map[string]bool{IdempotencyKeyHeader: true, "Content-Type": true},
	Control:        map[string]bool{RequestIDHeader: true, http.CanonicalHeaderKey(LastEventIDHeader): true},
}

// Headers implements Dialect.
func (OpenAI) Headers() Headers { return openAIHeaders }

// Encode implements Dialect.
func (OpenAI) Encode(req *http.Request, a Attempt) { req.Header.Set(RequestIDHeader, a.ID) }

// codeNotStarted is the engines' word for a request of which nothing has run.
const codeNotStarted = "not_started"

// maxRefusalBytes bounds what is read of a refusal.
const maxRefusalBytes = 4 << 10

// Check implements Dialect. Answers other than refusals are left whole.
func (OpenAI) Check(resp *http.Response, a Attempt) error {
	if got := resp.Header.Get(RequestIDHeader); got != "" && got != a.ID {
		return &ForeignAnswerError{Want: a.ID, Got: got}
	}
	if resp.StatusCode < http.StatusBadRequest || !strings.HasPrefix(resp.Header.Get("Content-Type"), "application/json") {
		return nil
	}
	head, err := io.ReadAll(io.LimitReader(resp.Body, maxRefusalBytes))
	var body struct {
		Error struct{ Code, Message string } `json:"error"`
	}
	if err == nil && json.Unmarshal(head, &body) == nil && body.Error.Code == codeNotStarted {
		return &RefusedError{
			RefusalError: RefusalError{Status: resp.StatusCode, Code: body.Error.Code, Reason: body.Error.Message},
			Busy:         resp.StatusCode == http.StatusTooManyRequests,
			NotResident:  resp.StatusCode == http.StatusNotFound,
		}
	}
	resp.Body = restored{Reader: io.MultiReader(bytes.NewReader(head), resp.Body), Closer: resp.Body}
	return nil
}

// restored is a body whose beginning was read and put back.
type restored struct {
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

// Load implements Dialect: engines tell it when asked.
func (OpenAI) Load(http.Header) (running, waiting int, ok bool) { return 0, 0, false }

// Cold implements Dialect: engines are never cold.
func (OpenAI) Cold(http.Header) time.Duration { return 0 }

// Limit implements Dialect: engines name none.
func (OpenAI) Limit(http.Header) (Limit, error) { return Limit{}, nil }

// Cancel tells the endpoint that nobody waits for an attempt any more.
func (c *Client) Cancel(ctx context.Context, a Attempt) error {
	word, needed := c.dialect.Cancel(a)
	if !needed {
		return nil
	}
	resp, err := c.Do(ctx, word)
	if err != nil {
		return err
	}
	return resp.Body.Close()
}

// ReportedLoad returns the load that an endpoint told with an answer.
func (c *Client) ReportedLoad(resp *http.Response) (running, waiting int, ok bool) {
	return c.dialect.Load(resp.Header)
}

// Resumes tells whether Resume may be used.
func (c *Client) Resumes() bool { return c.dialect.SupportsResume() }
