package pipeline

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/eiderspring/eiderspring/engine"
	"github.com/eiderspring/eiderspring/routing"
)

// recordedConditions records what a pipeline reports of endpoints.
type recordedConditions struct {
	mu     sync.Mutex
	events []string
}

func (r *recordedConditions) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.events = append(r.events, fmt.Sprintf(format, args...))
}

func (r *recordedConditions) Ended(_ *routing.Endpoint, failed, _ bool) { r.add("failed=%t", failed) }
func (r *recordedConditions) Took(_ *routing.Endpoint, t Timing)        { r.add("took %s", t.Kind) }
func (r *recordedConditions) Slowdown(_ *routing.Endpoint, s float64)   { r.add("slowdown %.1f", s) }
func (r *recordedConditions) Withheld(_ *routing.Endpoint, u string)    { r.add("withheld %s", u) }
func (r *recordedConditions) Served(_ *routing.Endpoint, u string)      { r.add("served %s", u) }

// loadDialect is the OpenAI dialect of endpoints that report their load and refuse with a header.
type loadDialect struct{ engine.OpenAI }

func (loadDialect) Load(h http.Header) (engine.Load, bool) {
	var l engine.Load
	_, err := fmt.Sscanf(h.Get("X-Load"), "%d,%d,%d,%f", &l.Running, &l.Waiting, &l.Slots, &l.Slowdown)
	return l, err == nil
}

func (loadDialect) Limit(h http.Header) (engine.Limit, error) {
	return engine.Limit{Present: h.Get("X-Limit") != "", PerSecond: 1}, nil
}

func (d loadDialect) Check(resp *http.Response, a engine.Attempt, first bool) error {
	if resp.Header.Get("X-Refused") != "" {
		return &engine.RefusedError{RefusalError: engine.RefusalError{Status: resp.StatusCode}, Busy: resp.StatusCode == http.StatusServiceUnavailable}
	}
	return d.OpenAI.Check(resp, a, first)
}

// What each way for an attempt to end says of its endpoint. A failing answer that was passed on
// used to count as a success.
func TestResultsOfAttemptsCountByTheirCause(t *testing.T) {
	const plain, model = "/services/ping/x", pathChat
	for name, tc := range map[string]struct {
		path   string
		status int
		header map[string]string
		want   []string
	}{
		"answer":                            {path: plain, status: 200, want: []string{"took plain", "failed=false"}},
		"answer with a slowdown":            {path: plain, status: 200, header: map[string]string{"X-Load": "3,0,6,2.5"}, want: []string{"took plain", "slowdown 2.5", "failed=false"}},
		"answer of a model":                 {path: model, status: 200, want: []string{"took first", "failed=false", "served m"}},
		"failure":                           {path: plain, status: 500, want: []string{"failed=true"}},
		"failure of a gateway":              {path: plain, status: 502, want: []string{"failed=true"}},
		"error of the request":              {path: plain, status: 404},
		"request's deadline":                {path: plain, status: 504},
		"refused for load":                  {path: plain, status: 503, header: map[string]string{"X-Refused": "1", "X-Load": "6,20,6,1"}},
		"refused though it has room, plain": {path: plain, status: 503, header: map[string]string{"X-Refused": "1", "X-Load": "1,0,6,1"}},
		"refused though it has room, model": {path: model, status: 503, header: map[string]string{"X-Refused": "1", "X-Load": "1,0,6,1"}, want: []string{"withheld m"}},
		"refused by its limit":              {path: model, status: 503, header: map[string]string{"X-Refused": "1", "X-Load": "1,0,6,1", "X-Limit": "3"}},
		"refused while some wait":           {path: model, status: 503, header: map[string]string{"X-Refused": "1", "X-Load": "1,2,6,1"}},
		"refused otherwise":                 {path: model, status: 400, header: map[string]string{"X-Refused": "1"}},
	} {
		t.Run(name, func(t *testing.T) {
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body)
				for k, v := range tc.header {
					w.Header().Set(k, v)
				}
				w.WriteHeader(tc.status)
				_, _ = io.WriteString(w, "{}")
			}))
			defer s.Close()
			seen := &recordedConditions{}
			p := newTestPipelineWith(t, strings.TrimPrefix(s.URL, "http://"), func(c *Config) {
				c.Conditions, c.Engine = seen, engine.NewClient(engine.Config{Dialect: loadDialect{}})
				c.Retries = NewRetryBudgets(RetryLimits{})
			})
			r := httptest.NewRequest(http.MethodPost, tc.path, strings.NewReader(`{"model":"m"}`))
			r.Header.Set("Authorization", "Bearer token")
			w := httptest.NewRecorder()
			p.ServeHTTP(w, r)
			require.Equal(t, tc.want, seen.events, w.Body.String())
		})
	}
}

// What the caller or the request's own deadline ended says nothing about the endpoint; a broken
// answer does. The write to a caller who has left may fail before the request is cancelled.
func TestEndedByTheCallerIsNoFailure(t *testing.T) {
	gone, cancel := context.WithCancel(context.Background())
	cancel()
	for name, tc := range map[string]struct {
		ctx  context.Context
		err  error
		want []string
	}{
		"caller gone":     {ctx: context.Background(), err: &RelayError{CallerGone: true, Err: errors.New("write")}},
		"cancelled":       {ctx: gone, err: &RelayError{Err: errors.New("read")}},
		"broken off":      {ctx: context.Background(), err: &RelayError{Err: errTruncated}, want: []string{"failed=true"}},
		"no connection":   {ctx: context.Background(), err: &DispatchError{NotStarted: true, Err: &engine.NotStartedError{Unsent: true, Err: errors.New("refused")}}, want: []string{"failed=true"}},
		"another retried": {ctx: context.Background(), err: &DispatchError{Err: &FailedAnswerError{Status: 500}}, want: []string{"failed=true"}},
		"late, retried":   {ctx: context.Background(), err: &DispatchError{Err: &FailedAnswerError{Status: 504}}},
	} {
		seen := &recordedConditions{}
		p := newTestPipelineWith(t, "127.0.0.1:1", func(c *Config) { c.Conditions = seen })
		e := &routing.Endpoint{Name: "e"}
		p.recordResult(tc.ctx, &Exchange{Attempts: []Attempt{{Decision: routing.Decision{Endpoint: e}}}}, tc.err)
		require.Equal(t, tc.want, seen.events, name)
		if name == "caller gone" {
			require.False(t, e.Ejected(p.cfg.Now()), name)
		}
	}
}

// An answer with an error status must not end the pause of an endpoint that failed.
func TestOnlyRealSuccessesEndAPause(t *testing.T) {
	for status, ends := range map[int]bool{200: true, 302: true, 404: false, 500: false, 504: false} {
		p := newTestPipelineWith(t, "127.0.0.1:1", func(*Config) {})
		e := &routing.Endpoint{Name: "e"}
		e.RecordFailure(p.cfg.Now())
		x := &Exchange{Attempts: []Attempt{{Decision: routing.Decision{Endpoint: e}, response: &http.Response{StatusCode: status}}}}
		p.recordResult(context.Background(), x, nil)
		require.Equal(t, !ends, e.Ejected(p.cfg.Now()), status)
	}
}
