package demo

import (
	"context"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/eiderspring/eiderspring/load"
	"github.com/eiderspring/eiderspring/wait"
)

// addedLatency compares calls of a plain service through an instance with the
// same calls made to an endpoint directly, in turn, while the run goes on.
type addedLatency struct {
	direct, through *hdrhistogram.Histogram
}

const (
	addedEvery   = 20 * time.Millisecond
	addedHighest = 10_000_000
	addedDigits  = 3
)

func newAddedLatency() *addedLatency {
	h := func() *hdrhistogram.Histogram { return hdrhistogram.New(1, addedHighest, addedDigits) }
	return &addedLatency{direct: h(), through: h()}
}

func (a *addedLatency) run(ctx context.Context, f *Fleet, token string) {
	name, pool := plainService(f.catalog)
	if name == "" {
		return
	}
	var endpoint string
	for _, s := range f.services {
		if s.member.Pool == pool {
			endpoint = s.member.Address
		}
	}
	// The direct call goes to the same path as the one through the instance.
	direct := load.NewClient("http://"+endpoint, token)
	instance := f.instances[len(f.instances)-1]
	through := load.NewClient("http://"+instance.instance.CallersAddr(), token)
	r := load.Request{Name: name, Plain: true, Prompt: "latency"}
	for ctx.Err() == nil {
		measure(ctx, direct, r, a.direct)
		measure(ctx, through, r, a.through)
		wait.For(ctx, addedEvery)
	}
}

func measure(ctx context.Context, c *load.Client, r load.Request, h *hdrhistogram.Histogram) {
	if result := c.Do(ctx, time.Now(), r); result.Outcome == load.Complete {
		_ = h.RecordValue(result.Total.Microseconds())
	}
}

// at returns by how much the quantile through an instance is above the direct
// one, in microseconds.
func (a *addedLatency) at(quantile float64) int64 {
	return a.through.ValueAtQuantile(quantile) - a.direct.ValueAtQuantile(quantile)
}
