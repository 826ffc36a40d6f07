package store

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"expvar"
	"io"
	"net/http"
	"strings"
	"time"
)

// Call is one call to an object API.
type Call struct {
	Verb string
	Kind Kind
	// Name is that of the object, for errors; empty for a list.
	Name string
	URL  string
	Body []byte
	// Stale tells that the answer may be old, which some stores charge less for.
	Stale bool
	// Hold is how long the store may hold the call before it answers.
	Hold time.Duration
	// Era, unless nil, is set to the era of a whole answer.
	Era *int64
}

// key is what the call is counted under.
func (c Call) key(phase string) string {
	key := c.Verb + " " + string(c.Kind)
	if c.Stale {
		key += " behind"
	}
	if phase != "" {
		key += " " + phase
	}
	return key
}

// verbWatch counts a call that waits for changes.
const verbWatch = "WATCH"

// Requester makes calls and tells by the error what a failure proves.
type Requester struct {
	timeout  time.Duration
	calls    *expvar.Map
	phase    func() string
	asked    func(hold time.Duration)
	answered func()
	eras     *Eras
	eraOf    func(http.Header) int64
	http     *http.Client
}

// DefaultWatchWait is the wait of a watch where Config does not tell.
const DefaultWatchWait = 2500 * time.Millisecond

// DefaultCallTimeout bounds a call where Config does not.
const DefaultCallTimeout = 2 * time.Second

// NewRequester returns a caller; it makes no call by itself. The URL of the
// configuration is not used.
func NewRequester(cfg Config) *Requester {
	if cfg.CallTimeout == 0 {
		cfg.CallTimeout = DefaultCallTimeout
	}
	if cfg.Transport == nil {
		cfg.Transport = &http.Transport{MaxIdleConnsPerHost: 16, IdleConnTimeout: time.Minute}
	}
	if cfg.OnAnswer == nil {
		cfg.OnAnswer = func() {}
	}
	if cfg.OnCall == nil {
		cfg.OnCall = func(time.Duration) {}
	}
	if cfg.Phase == nil {
		cfg.Phase = func() string { return "" }
	}
	if cfg.EraOf == nil {
		cfg.EraOf = func(http.Header) int64 { return 0 }
	}
	return &Requester{eras: cfg.Eras, eraOf: cfg.EraOf, timeout: cfg.CallTimeout, calls: cfg.Calls, phase: cfg.Phase, asked: cfg.OnCall, answered: cfg.OnAnswer, http: &http.Client{Transport: cfg.Transport}}
}

// Call makes a call within the caller's timeout and decodes the answer into
// into, unless that is nil.
func (c *Requester) Call(ctx context.Context, call Call, into any) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	return c.Wait(ctx, call, into)
}

// Wait is Call bounded by ctx alone, for a call that waits for changes.
func (c *Requester) Wait(ctx context.Context, call Call, into any) error {
	err := c.exchange(ctx, call, into)
	if errors.Is(err, context.DeadlineExceeded) {
		// Whatever silenced this connection may have silenced those that rest.
		c.http.CloseIdleConnections()
	}
	return err
}

// exchange makes a call and decodes the answer.
func (c *Requester) exchange(ctx context.Context, call Call, into any) error {
	resp, err := c.open(ctx, call)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if into == nil {
		return nil
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxAnswerBytes)).Decode(into); err != nil {
		return &UnansweredError{Kind: call.Kind, Name: call.Name, Err: err}
	}
	return nil
}

// open makes a call and returns the answer if it is a success.
func (c *Requester) open(ctx context.Context, call Call) (*http.Response, error) {
	if c.calls != nil {
		c.calls.Add(call.key(c.phase()), 1)
	}
	c.asked(call.Hold)
	method := call.Verb
	if method == verbWatch {
		method = http.MethodGet
	}
	req, err := http.NewRequestWithContext(ctx, method, call.URL, bytes.NewReader(call.Body))
	if err != nil {
		return nil, &EncodeError{Kind: call.Kind, Name: call.Name, Err: err}
	}
	if call.Body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, &UnansweredError{Kind: call.Kind, Name: call.Name, Err: err}
	}
	era := c.eraOf(resp.Header)
	if era > 0 && !c.eras.Observe(era) {
		resp.Body.Close()
		return nil, &UnansweredError{Kind: call.Kind, Name: call.Name, Err: ErrEarlierEra}
	}
	if call.Era != nil {
		*call.Era = era
	}
	if resp.StatusCode < http.StatusInternalServerError && resp.StatusCode != http.StatusTooManyRequests {
		c.answered()
	}
	if resp.StatusCode < http.StatusMultipleChoices {
		return resp, nil
	}
	defer resp.Body.Close()
	err = statusError(resp, call.Kind, call.Name)
	if resp.StatusCode >= http.StatusInternalServerError {
		err = &UnansweredError{Kind: call.Kind, Name: call.Name, Err: err}
	}
	return nil, err
}

// maxAnswerBytes bounds what is read of an answer; a list of many objects is
// larger than one object.
const maxAnswerBytes = 64 * MaxObjectBytes

// maxMessageBytes bounds what is kept of an error's text.
const maxMessageBytes = 512

func statusError(resp *http.Response, kind Kind, name string) error {
	message, _ := io.ReadAll(io.LimitReader(resp.Body, maxMessageBytes))
	return &StatusError{Code: resp.StatusCode, Kind: kind, Name: name, Message: strings.TrimSpace(string(message))}
}
