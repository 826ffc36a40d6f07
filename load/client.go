package load

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Outcome is what a caller knows about its request afterwards.
type Outcome string

// Outcomes.
const (
	// Complete is a response received in full, with its terminator.
	Complete Outcome = "complete"
	// NotRun is a rejection which states that the request has not run.
	NotRun Outcome = "not_run"
	// Unknown is a response which states that the request may have run, or a
	// failed connection.
	Unknown Outcome = "unknown"
	// Refused is any other rejection.
	Refused Outcome = "refused"
)

// Request is a request to send.
type Request struct {
	// Name is the model or service.
	Name string
	// Plain sends Prompt to /services/NAME; otherwise it is a chat completion.
	Plain     bool
	Prompt    string
	MaxTokens int
	Stream    bool
	// Key is the idempotency key, or empty.
	Key string
}

// Result is the result of a request.
type Result struct {
	Outcome Outcome
	Status  int
	// Model is the model that the response names.
	Model string
	// Text is the text of the response.
	Text string
	// Tokens counts the tokens of a stream.
	Tokens   int
	Replayed bool
	// FirstToken and Total count from when the request was due.
	FirstToken, Total time.Duration
	// MaxGap is the longest time between two tokens.
	MaxGap     time.Duration
	RetryAfter time.Duration
	Err        error
}

// Client sends requests to one URL.
type Client struct {
	url   string
	token string
	http  *http.Client
}

// maxIdleConnections bounds the idle connections that are kept.
const maxIdleConnections = 512

// NewClient returns a client with connections of its own.
func NewClient(url, token string) *Client {
	return &Client{url: strings.TrimSuffix(url, "/"), token: token, http: &http.Client{Transport: &http.Transport{
		MaxIdleConnsPerHost: maxIdleConnections, IdleConnTimeout: 10 * time.Second, DisableCompression: true,
	}}}
}

// Close drops the idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Do sends a request that was due at the given time and returns its result;
// failures are in Result.Err.
func (c *Client) Do(ctx context.Context, due time.Time, r Request) Result {
	req, err := c.newRequest(ctx, r)
	if err != nil {
		return Result{Outcome: Refused, Err: err}
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return Result{Outcome: Unknown, Err: err, Total: time.Since(due)}
	}
	defer resp.Body.Close()
	result := Result{Status: resp.StatusCode, Replayed: resp.Header.Get("Eiderspring-Replayed") != ""}
	switch {
	case resp.StatusCode != http.StatusOK:
		readRefusal(resp, &result)
	case strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream"):
		readStream(resp.Body, due, &result)
	default:
		readBody(resp, due, r.Plain, &result)
	}
	result.Total = time.Since(due)
	return result
}

type chatRequest struct {
	Model     string        `json:"model"`
	Stream    bool          `json:"stream"`
	MaxTokens int           `json:"max_tokens,omitempty"`
	Messages  []chatMessage `json:"messages"`
}

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

func (c *Client) newRequest(ctx context.Context, r Request) (*http.Request, error) {
	path, body := "/services/"+r.Name, []byte(r.Prompt)
	if !r.Plain {
		path = "/v1/chat/completions"
		var err error
		body, err = json.Marshal(chatRequest{
			Model: r.Name, Stream: r.Stream, MaxTokens: r.MaxTokens,
			Messages: []chatMessage{{Role: "user", Content: r.Prompt}},
		})
		if err != nil {
			return nil, err
		}
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.url+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	// Otherwise net/http would retry a request with an idempotency key by
	// itself, and the results would not match the requests that were made.
	req.GetBody = nil
	req.Header.Set("Authorization", "Bearer "+c.token)
	req.Header.Set("Content-Type", "application/json")
	if r.Key != "" {
		req.Header.Set("Idempotency-Key", r.Key)
	}
	return req, nil
}

// maxResponseBytes bounds a response that is not a stream.
const maxResponseBytes = 16 << 20

func readRefusal(resp *http.Response, result *Result) {
	body, _ := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	result.Err = fmt.Errorf("status %d: %s", resp.StatusCode, bytes.TrimSpace(body))
	if seconds, err := strconv.Atoi(resp.Header.Get("Retry-After")); err == nil {
		result.RetryAfter = time.Duration(seconds) * time.Second
	}
	switch resp.Header.Get("Eiderspring-Outcome") {
	case "not-run":
		result.Outcome = NotRun
	case "unknown":
		result.Outcome = Unknown
	default:
		result.Outcome = Refused
	}
}

// completion has the fields that are read from a stream event or from a whole
// response.
type completion struct {
	Model   string `json:"model"`
	Choices []struct {
		Delta   chatMessage `json:"delta"`
		Message chatMessage `json:"message"`
	} `json:"choices"`
}

// errNoTerminator is returned for a stream that ended early.
var errNoTerminator = errors.New("the stream ended without its terminator")

func readStream(body io.Reader, due time.Time, result *Result) {
	var text strings.Builder
	last := time.Time{}
	lines := bufio.NewScanner(body)
	isError := false
	for lines.Scan() {
		line := lines.Text()
		if line == "event: error" {
			isError = true
		}
		data, isData := strings.CutPrefix(line, "data: ")
		if !isData {
			continue
		}
		if isError {
			result.Outcome, result.Err = Unknown, errors.New(data)
			break
		}
		if data == "[DONE]" {
			result.Outcome = Complete
			break
		}
		var e completion
		if err := json.Unmarshal([]byte(data), &e); err != nil || len(e.Choices) == 0 {
			continue
		}
		result.Model = e.Model
		if e.Choices[0].Delta.Content == "" {
			continue
		}
		text.WriteString(e.Choices[0].Delta.Content)
		now := time.Now()
		if result.Tokens == 0 {
			result.FirstToken = now.Sub(due)
		} else {
			result.MaxGap = max(result.MaxGap, now.Sub(last))
		}
		last = now
		result.Tokens++
	}
	result.Text = text.String()
	if result.Outcome == "" {
		result.Outcome, result.Err = Unknown, errors.Join(errNoTerminator, lines.Err())
	}
}

func readBody(resp *http.Response, due time.Time, plain bool, result *Result) {
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		result.Outcome, result.Err = Unknown, err
		return
	}
	result.Outcome, result.FirstToken = Complete, time.Since(due)
	result.Text = string(body)
	if plain {
		return
	}
	var e completion
	if err := json.Unmarshal(body, &e); err == nil && len(e.Choices) > 0 {
		result.Model, result.Text = e.Model, e.Choices[0].Message.Content
	}
}
