package pipeline

import (
	"encoding/json"
	"errors"
	"expvar"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/eiderspring/eiderspring/outcome"
)

// Metrics counts requests by outcome and keeps histograms of their latencies.
type Metrics struct {
	vars *expvar.Map
	// total holds the times to the end of complete answers, first those to their first
	// byte or event.
	total, first *Latencies
}

// NewMetrics returns metrics that are published in vars.
func NewMetrics(vars *expvar.Map) *Metrics {
	m := &Metrics{vars: vars, total: NewLatencies(), first: NewLatencies()}
	vars.Set("latency_us", m.total)
	vars.Set("first_byte_us", m.first)
	return m
}

func (m *Metrics) count(x *Exchange, took time.Duration) {
	m.vars.Add("requests", 1)
	m.vars.Add("requests_"+string(x.Outcome), 1)
	m.vars.Add("request_time_us", took.Microseconds())
	m.vars.Add("answer_bytes", x.Bytes)
	if x.Outcome == outcome.Complete {
		m.total.Record(took)
		m.first.Record(x.FirstToken)
	}
	m.countReturn(x)
	if extra := int64(len(x.Attempts)) - 1; extra > 0 {
		m.vars.Add("retries", extra)
	}
	for i := range x.Attempts {
		m.vars.Add("resumes", int64(x.Attempts[i].Resumes))
	}
	if x.Replayed {
		m.vars.Add("replays", 1)
	}
}

// countReturn counts a caller that was promised a time and has come back.
func (m *Metrics) countReturn(x *Exchange) {
	if !x.returned.Promised {
		return
	}
	when := "late"
	if x.returned.InTime {
		when = "in_slot"
	}
	switch x.Outcome {
	case outcome.Complete:
		m.vars.Add("returns_"+when+"_served", 1)
	case outcome.NotRun:
		m.vars.Add("returns_"+when+"_refused", 1)
	}
}

// countStaleSettings counts a request that was refused because the settings of this
// instance are out of date: newer settings may contain its name, or may have revoked its
// token.
func (m *Metrics) countStaleSettings(err error) {
	var outdated *OutdatedSettingsError
	var stale *StaleSettingsError
	switch {
	case errors.As(err, &outdated):
		m.vars.Add("requests_outdated", 1)
	case errors.As(err, &stale):
		m.vars.Add("requests_stale_keys", 1)
	}
}

// Latencies is a histogram that implements expvar.Var.
type Latencies struct {
	mu   sync.Mutex
	hist *hdrhistogram.Histogram
}

// Bounds and precision of the histograms.
const (
	longestLatency   = 5 * time.Minute
	latencyPrecision = 2
)

// NewLatencies returns an empty histogram.
func NewLatencies() *Latencies {
	return &Latencies{hist: hdrhistogram.New(1, longestLatency.Microseconds(), latencyPrecision)}
}

// Record counts a value.
func (l *Latencies) Record(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	// A value beyond the range of the histogram counts as its longest.
	_ = l.hist.RecordValue(min(max(d.Microseconds(), 1), longestLatency.Microseconds()))
}

// quantiles is the output of String, in microseconds.
type quantiles struct {
	Count int64 `json:"count"`
	P50   int64 `json:"p50"`
	P95   int64 `json:"p95"`
	P99   int64 `json:"p99"`
	Max   int64 `json:"max"`
}

// String implements expvar.Var.
func (l *Latencies) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	q := quantiles{
		Count: l.hist.TotalCount(), P50: l.hist.ValueAtQuantile(50), P95: l.hist.ValueAtQuantile(95),
		P99: l.hist.ValueAtQuantile(99), Max: l.hist.Max(),
	}
	// Encoding a struct of numbers cannot fail.
	data, _ := json.Marshal(q)
	return string(data)
}
