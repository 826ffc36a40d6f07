package pipeline

import (
	"expvar"
	"time"
)

// Metrics counts what became of requests.
type Metrics struct {
	vars *expvar.Map
}

// NewMetrics returns metrics that are kept in vars.
func NewMetrics(vars *expvar.Map) *Metrics { return &Metrics{vars: vars} }

func (m *Metrics) count(x *Exchange, took time.Duration) {
	m.vars.Add("requests", 1)
	m.vars.Add("requests_"+string(x.Outcome), 1)
	m.vars.Add("request_time_us", took.Microseconds())
	m.vars.Add("answer_bytes", x.Bytes)
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
