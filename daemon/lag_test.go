package daemon

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestLagOfSteadyEventsIsHowLongTheyWait guards against a lease holder that attests nothing, so
// that all instances ask the store, because there is always some event in its ring, though each is
// applied in time.
func TestLagOfSteadyEventsIsHowLongTheyWait(t *testing.T) {
	const interval, waiting = 10 * time.Millisecond, 5
	now, added := time.Unix(1000, 0), int64(0)
	tracker := newLagTracker(func() int64 { return added }, func() time.Time { return now })
	for n := range 500 {
		now = now.Add(interval)
		added++
		if n >= waiting {
			tracker.markProcessed(1)
		}
	}
	require.GreaterOrEqual(t, tracker.lag(), (waiting-1)*interval)
	require.Less(t, tracker.lag(), 3*waiting*interval)
	now = now.Add(3 * time.Second)
	require.GreaterOrEqual(t, tracker.lag(), 3*time.Second, "no event has been applied since")
	tracker.markProcessed(waiting)
	require.Zero(t, tracker.lag())
}
