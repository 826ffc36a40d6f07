package load

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/eiderspring/eiderspring/wait"
)

// Arrivals generates the times at which requests are due: a Poisson process
// whose rate may change over time.
type Arrivals struct {
	// Rate returns the rate, in requests per second, at a time since the start.
	Rate func(since time.Duration) float64
	// Duration is the time after which no more requests arrive.
	Duration time.Duration
	Random   *rand.Rand
}

// ConstantRate returns a rate that does not change.
func ConstantRate(rate float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return rate }
}

// Run calls send in a new goroutine for each arrival when it is due, and returns
// when all calls have returned. If ctx is done, no more requests arrive.
func (a Arrivals) Run(ctx context.Context, send func(ctx context.Context, due time.Time)) {
	var inFlight sync.WaitGroup
	defer inFlight.Wait()
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
		inFlight.Go(func() { send(ctx, at) })
	}
}
