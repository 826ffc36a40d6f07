package daemon

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/eiderspring/eiderspring/admission"
	"github.com/eiderspring/eiderspring/pipeline"
)

// TestWaitingRequestIsOfferedInItsTime guards against requests that are refused although there was
// a place for them while they waited: nothing else had ended there, and the next look at whoever
// waits came when their time was over.
func TestWaitingRequestIsOfferedInItsTime(t *testing.T) {
	const patience, freeAfter = 100 * time.Millisecond, 30 * time.Millisecond
	for phase := time.Duration(0); phase < 250*time.Millisecond; phase += 10 * time.Millisecond {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			gates := pipeline.NewGates(admission.Limits{MaxWaiters: 10, MaxBytes: 1000}, time.Now)
			go pollWaiting(ctx, gates)

			time.Sleep(time.Second + phase)
			arrived := time.Now()
			w := &admission.Waiter{ID: "a", Arrived: arrived, StartBy: arrived.Add(patience)}
			err := gates.Pool("plain").Enter(ctx, w, func() bool { return time.Since(arrived) >= freeAfter })
			require.NoError(t, err, "%v into the idle time", phase)
		})
	}
}
