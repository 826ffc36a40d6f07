package demo

import (
	"context"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/eiderspring/eiderspring/load"
	"github.com/eiderspring/eiderspring/wait"
)

// addedLatency compares the latency of calls to a plain service through an
// instance with that of the same calls sent directly to an endpoint. The two
// alternate during the run.
type addedLatency struct {
	direct, proxied *hdrhistogram.Histogram
}

const (
	addedLatencyInterval = 20 * time.Millisecond
	maxLatencyMicros     = 10_000_000
	significantDigits    = 3
)

func newAddedLatency() *addedLatency {
	newHistogram := func() *hdrhistogram.Histogram { return hdrhistogram.New(1, maxLatencyMicros, significantDigits) }
	return &addedLatency{direct: newHistogram(), proxied: newHistogram()}
}

func (a *addedLatency) run(ctx context.Context, f *Fleet, token string) {
	service, pool := repeatablePlainService(f.catalog)
	if service == "" {
		return
	}
	var endpoint string
	for _, s := range f.services {
		if s.member.Pool == pool {
			endpoint = s.member.Address
		}
	}
	// Both calls use the same path.
	direct := load.NewClient("http://"+endpoint, token)
	instance := f.instances[len(f.instances)-1]
	proxied := load.NewClient("http://"+instance.instance.CallersAddr(), token)
	r := load.Request{Name: service, Plain: true, Prompt: "latency"}
	for ctx.Err() == nil {
		recordLatency(ctx, direct, r, a.direct)
		recordLatency(ctx, proxied, r, a.proxied)
		wait.For(ctx, addedLatencyInterval)
	}
}

func recordLatency(ctx context.Context, c *load.Client, r load.Request, h *hdrhistogram.Histogram) {
	if result := c.Do(ctx, time.Now(), r); result.Outcome == load.Complete {
		_ = h.RecordValue(result.Total.Microseconds())
	}
}

// difference returns the latency quantile through an instance minus that of
// direct calls, in microseconds.
func (a *addedLatency) difference(quantile float64) int64 {
	return a.proxied.ValueAtQuantile(quantile) - a.direct.ValueAtQuantile(quantile)
}
