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

// Outcome is what a caller can tell of its request.
type Outcome string

// Outcomes.
const (
	// Complete is an answer that came whole, with its terminator.
	Complete Outcome = "complete"
	// NotRun is a refusal that says that nothing has run.
	NotRun Outcome = "not_run"
	// Unknown is an answer that says that the request may have run, or a
	// connection that broke.
	Unknown Outcome = "unknown"
	// Refused is any other refusal.
	Refused Outcome = "refused"
)

// Request is one request of a caller.
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

// Result is what became of a request.
type Result struct {
	Outcome Outcome
	Status  int
	// Model is the model that the answer names.
	Model string
	// Text is the answer's text.
	Text string
	// Tokens counts the tokens of a stream.
	Tokens   int
	Replayed bool
	// FirstToken, Whole and MaxGap count from when the request was due.
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

// clientConnections bounds the idle connections that are kept.
const clientConnections = 512

// NewClient returns a client with connections of its own.
func NewClient(url, token string) *Client {
	return &Client{url: strings.TrimSuffix(url, "/"), token: token, http: &http.Client{Transport: &http.Transport{
		MaxIdleConnsPerHost: clientConnections, IdleConnTimeout: 10 * time.Second, DisableCompression: true,
	}}}
}

// Close drops the idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Do sends a request that was due at the given time.
func (c *Client) Do(ctx context.Context, due time.Time, r Request) Result {
	req, err := c.request(ctx, r)
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
		readWhole(resp, due, r.Plain, &result)
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

func (c *Client) request(ctx context.Context, r Request) (*http.Request, error) {
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
	// Without this net/http would repeat a keyed request by itself, and the
	// figures would not be those of the requests that were made.
	req.GetBody = nil
	req.Header.Set("Authorization", "Bearer "+c.token)
	req.Header.Set("Content-Type", "application/json")
	if r.Key != "" {
		req.Header.Set("Idempotency-Key", r.Key)
	}
	return req, nil
}

// maxAnswerBytes bounds an answer that is not a stream.
const maxAnswerBytes = 16 << 20

func readRefusal(resp *http.Response, result *Result) {
	body, _ := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
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

// answerEvent is what is read of an event or a whole answer.
type answerEvent struct {
	Model   string `json:"model"`
	Choices []struct {
		Delta   chatMessage `json:"delta"`
		Message chatMessage `json:"message"`
	} `json:"choices"`
}

// errNoTerminator is a stream that ended early.
var errNoTerminator = errors.New("the stream ended without its terminator")

func readStream(body io.Reader, due time.Time, result *Result) {
	var text strings.Builder
	last := time.Time{}
	lines := bufio.NewScanner(body)
	failed := false
	for lines.Scan() {
		line := lines.Text()
		if line == "event: error" {
			failed = true
		}
		data, isData := strings.CutPrefix(line, "data: ")
		if !isData {
			continue
		}
		if failed {
			result.Outcome, result.Err = Unknown, errors.New(data)
			break
		}
		if data == "[DONE]" {
			result.Outcome = Complete
			break
		}
		var e answerEvent
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

func readWhole(resp *http.Response, due time.Time, plain bool, result *Result) {
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		result.Outcome, result.Err = Unknown, err
		return
	}
	result.Outcome, result.FirstToken = Complete, time.Since(due)
	result.Text = string(body)
	if plain {
		return
	}
	var e answerEvent
	if err := json.Unmarshal(body, &e); err == nil && len(e.Choices) > 0 {
		result.Model, result.Text = e.Model, e.Choices[0].Message.Content
	}
}
