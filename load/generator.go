package load

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/eiderspring/eiderspring/wait"
)

// Arrivals are the times at which requests are due: a Poisson process whose
// rate may change over time.
type Arrivals struct {
	// Rate returns the rate, in requests a second, at a time since the start.
	Rate func(since time.Duration) float64
	// Duration bounds the arrivals.
	Duration time.Duration
	Random   *rand.Rand
}

// Constant is a rate that does not change.
func ConstantRate(rate float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return rate }
}

// Run calls send, on a goroutine of its own, for each arrival when it is due,
// and returns when all have ended.
func (a Arrivals) Run(ctx context.Context, send func(ctx context.Context, due time.Time)) {
	var sent sync.WaitGroup
	defer sent.Wait()
	start := time.Now()
	due := start
	for {
		since := due.Sub(start)
		rate := a.Rate(since)
		due = due.Add(time.Duration(a.Random.ExpFloat64() / rate * float64(time.Second)))
		if due.Sub(start) >= a.Duration || !wait.For(ctx, time.Until(due)) {
			return
		}
		at := due
		sent.Go(func() { send(ctx, at) })
	}
}
