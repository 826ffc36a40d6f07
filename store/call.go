package store

import (
	"bytes"
	"cmp"
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
	// Name is the name of the object, used in errors; empty for a list.
	Name string
	URL  string
	Body []byte
	// Stale is set if the answer may be stale, for which some stores charge less.
	Stale bool
	// Hold is how long the store may hold the call before it answers (long polling).
	Hold time.Duration
	// Era, unless nil, receives the store's era of the answer.
	Era *int64
	// MaxBytes bounds what is read of the answer; 0 means maxResponseBytes.
	MaxBytes int64
}

// metricKey returns the key under which the call is counted.
func (c Call) metricKey(phase string) string {
	key := c.Verb + " " + string(c.Kind)
	if c.Stale {
		key += " behind"
	}
	if phase != "" {
		key += " " + phase
	}
	return key
}

// verbWatch is the Verb of a call that waits for changes; it is sent as a GET.
const verbWatch = "WATCH"

// Requester makes calls to an object API. The error of a failed call shows whether the call
// may have taken effect.
type Requester struct {
	timeout  time.Duration
	calls    *expvar.Map
	phase    func() string
	onCall   func(hold time.Duration)
	onAnswer func()
	eras     *Eras
	eraOf    func(http.Header) int64
	http     *http.Client
}

// DefaultWatchWait is the default of Config.WatchWait.
const DefaultWatchWait = 2500 * time.Millisecond

// DefaultCallTimeout is the default of Config.CallTimeout.
const DefaultCallTimeout = 2 * time.Second

// NewRequester returns a Requester; it makes no call by itself. It does not use the URL of
// the configuration.
func NewRequester(cfg Config) *Requester {
	if cfg.CallTimeout == 0 {
		cfg.CallTimeout = DefaultCallTimeout
	}
	if cfg.Transport == nil {
		cfg.Transport = &http.Transport{MaxIdleConnsPerHost: 16, IdleConnTimeout: time.Minute, MaxResponseHeaderBytes: MaxHeadBytes}
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
	return &Requester{eras: cfg.Eras, eraOf: cfg.EraOf, timeout: cfg.CallTimeout, calls: cfg.Calls, phase: cfg.Phase, onCall: cfg.OnCall, onAnswer: cfg.OnAnswer, http: &http.Client{Transport: cfg.Transport}}
}

// Call makes a call, limited by the configured timeout, and decodes the answer into into,
// unless that is nil.
func (c *Requester) Call(ctx context.Context, call Call, into any) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	return c.Wait(ctx, call, into)
}

// Wait is like Call but limited by ctx only. It is meant for calls that wait for changes.
func (c *Requester) Wait(ctx context.Context, call Call, into any) error {
	err := c.exchange(ctx, call, into)
	if errors.Is(err, context.DeadlineExceeded) {
		// Whatever silenced this connection may have silenced the idle ones too.
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
	limited := io.LimitReader(resp.Body, cmp.Or(call.MaxBytes, maxResponseBytes))
	if err := json.NewDecoder(&nestingLimiter{from: limited}).Decode(into); err != nil {
		return &UnansweredError{Kind: call.Kind, Name: call.Name, Err: err}
	}
	return nil
}

// open makes a call and returns the response if its status is below 300.
func (c *Requester) open(ctx context.Context, call Call) (*http.Response, error) {
	if c.calls != nil {
		c.calls.Add(call.metricKey(c.phase()), 1)
	}
	c.onCall(call.Hold)
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
		c.onAnswer()
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

// MaxHeadBytes bounds the head of an answer of the store, which may come without end.
const MaxHeadBytes = 64 << 10

// maxResponseBytes is the maximum number of bytes read of a response; a list of many
// objects is larger than one object.
const maxResponseBytes = 64 * MaxObjectBytes

// MaxObjectAnswerBytes bounds the answer to a call for one object: the object, and what is around its value.
const MaxObjectAnswerBytes = 2 * MaxObjectBytes

// maxMessageBytes is the maximum length of the text of a StatusError.
const maxMessageBytes = 512

func statusError(resp *http.Response, kind Kind, name string) error {
	message, _ := io.ReadAll(io.LimitReader(resp.Body, maxMessageBytes))
	return &StatusError{Code: resp.StatusCode, Kind: kind, Name: name, Message: strings.TrimSpace(string(message))}
}
