package credit

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestEndpointThatKeepsNoneGetsNoMore guards against an endpoint without a queue that is sent more requests
// than it has places each second, and against one that is never sent more again for a few rejections.
func TestEndpointThatKeepsNoneGetsNoMore(t *testing.T) {
	p := newPlaces(start)
	p.mayQueue, p.reported, p.freedPerSecond, p.roundTrip = true, 6, 70, 20*time.Millisecond
	require.EqualValues(t, 8, p.lendable(start), "two places are in transit")
	now, rejections := start, 0
	for now.Before(start.Add(2 * time.Minute)) {
		if p.extra(now) > 0 {
			p.recordRejection(now)
			rejections++
			require.Zero(t, p.extra(now))
		}
		now = now.Add(10 * time.Millisecond)
	}
	require.Less(t, rejections, 10)

	// It keeps some requests now.
	now = now.Add(3 * maxExtraPause)
	require.EqualValues(t, 2, p.extra(now))
	p.recordRejection(now)
	require.EqualValues(t, 2, p.extra(now.Add(4*extraPause)), "a single rejection after long is soon forgotten")
}

// TestLongRequestsAreNotSentToWait guards against requests that wait at an engine, out of the fleet's order,
// although hardly any of its places is in transit.
func TestLongRequestsAreNotSentToWait(t *testing.T) {
	p := newPlaces(start)
	p.mayQueue, p.reported, p.freedPerSecond, p.roundTrip = true, 12, 8, 20*time.Millisecond
	require.EqualValues(t, 12, p.lendable(start))
	p.mayQueue, p.freedPerSecond = false, 70
	require.EqualValues(t, 12, p.lendable(start), "it may not queue")
}
