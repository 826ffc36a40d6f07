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

// Metrics counts what became of requests and keeps histograms of their times.
type Metrics struct {
	vars *expvar.Map
	// total is the time to the end of complete answers, first that to their
	// first byte or event.
	total, first *latencies
}

// NewMetrics returns metrics that are kept in vars.
func NewMetrics(vars *expvar.Map) *Metrics {
	m := &Metrics{vars: vars, total: newLatencies(), first: newLatencies()}
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
		m.total.record(took)
		m.first.record(x.FirstToken)
	}
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

// countLate counts a request that was refused for what this instance knows late: newer settings
// than those in force may know its name, or may have taken its key away.
func (m *Metrics) countLate(err error) {
	var outdated *OutdatedSettingsError
	var stale *StaleSettingsError
	switch {
	case errors.As(err, &outdated):
		m.vars.Add("requests_outdated", 1)
	case errors.As(err, &stale):
		m.vars.Add("requests_stale_keys", 1)
	}
}

// latencies is a histogram that is an expvar.Var.
type latencies struct {
	mu   sync.Mutex
	hist *hdrhistogram.Histogram
}

// Bounds and precision of the histograms.
const (
	longestLatency   = 5 * time.Minute
	latencyPrecision = 2
)

func newLatencies() *latencies {
	return &latencies{hist: hdrhistogram.New(1, longestLatency.Microseconds(), latencyPrecision)}
}

func (l *latencies) record(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	// A time beyond the histogram counts as its longest.
	_ = l.hist.RecordValue(min(max(d.Microseconds(), 1), longestLatency.Microseconds()))
}

// quantiles is what String tells, in microseconds.
type quantiles struct {
	Count int64 `json:"count"`
	P50   int64 `json:"p50"`
	P95   int64 `json:"p95"`
	P99   int64 `json:"p99"`
	Max   int64 `json:"max"`
}

// String implements expvar.Var.
func (l *latencies) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	q := quantiles{
		Count: l.hist.TotalCount(), P50: l.hist.ValueAtQuantile(50), P95: l.hist.ValueAtQuantile(95),
		P99: l.hist.ValueAtQuantile(99), Max: l.hist.Max(),
	}
	// A struct of numbers always encodes.
	data, _ := json.Marshal(q)
	return string(data)
}
