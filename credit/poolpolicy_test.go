package credit

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// poolObservations feeds a PoolPolicy with the use of one pool.
type poolObservations struct {
	policy PoolPolicy
	now    time.Time
}

// observe records for a time that busy places are in use and perSecond requests end.
func (o *poolObservations) observe(busy, perSecond int64, d time.Duration) {
	const step = 200 * time.Millisecond
	for end := o.now.Add(d); o.now.Before(end); o.now = o.now.Add(step) {
		o.policy.RecordBusy(o.now, "plain", busy)
		if o.now.UnixNano()%int64(time.Second) == 0 && perSecond > 0 {
			o.policy.RecordEnded(o.now, PoolSample{Pool: "plain", Requests: perSecond})
		}
	}
}

func (o *poolObservations) mode(t *testing.T) PoolMode {
	t.Helper()
	modes := o.policy.Modes()
	require.Len(t, modes, 1)
	return modes[0]
}

// TestShortRequestsAtAFullEndpointAreNotLent guards against a wait at the endpoint that counts as
// time of service: all six places are always in use, and 380 requests end each second.
func TestShortRequestsAtAFullEndpointAreNotLent(t *testing.T) {
	o := poolObservations{now: start}
	o.observe(6, 380, time.Minute)
	m := o.mode(t)
	require.False(t, m.Lent)
	require.InDelta(t, 15_800, m.Micros, 1_000)
}

// TestLongRequestsAreLent checks the bounds: what is lent stays so until requests are clearly shorter.
func TestLongRequestsAreLent(t *testing.T) {
	o := poolObservations{now: start}
	o.observe(6, 100, time.Minute)
	require.True(t, o.mode(t).Lent, "60 ms")
	o.observe(6, 170, time.Minute)
	require.True(t, o.mode(t).Lent, "35 ms, from above")
	o.observe(6, 240, time.Minute)
	require.False(t, o.mode(t).Lent, "25 ms")
	o.observe(6, 170, time.Minute)
	require.False(t, o.mode(t).Lent, "35 ms, from below")
}

// TestNothingIsDecidedOnLittle guards against a mode that is decided before the requests of the
// first second have been told.
func TestNothingIsDecidedOnLittle(t *testing.T) {
	o := poolObservations{now: start}
	require.Empty(t, o.policy.Modes())
	o.observe(6, 100, leastPoolTime-time.Second)
	require.Empty(t, o.policy.Modes())
	idle := poolObservations{now: start}
	idle.observe(1, 1, 10*time.Second)
	require.Empty(t, idle.policy.Modes(), "ten requests")
	idle.observe(0, 0, time.Minute)
	require.Empty(t, idle.policy.Modes())
}

// TestPoolThatWasIdleIsObservedAnew guards against a mode that is decided in the first second of
// traffic, before the requests of which places are in use have ended and been told.
func TestPoolThatWasIdleIsObservedAnew(t *testing.T) {
	o := poolObservations{now: start}
	o.observe(0, 0, time.Minute)
	o.observe(4, 0, 800*time.Millisecond)
	o.observe(4, 250, leastPoolTime)
	require.Empty(t, o.policy.Modes())
	o.observe(4, 250, 2*time.Second)
	require.False(t, o.mode(t).Lent)
}

// TestImpossibleSamplesAreIgnored guards against a packet that changes what the fleet does.
func TestImpossibleSamplesAreIgnored(t *testing.T) {
	o := poolObservations{now: start}
	o.observe(6, 380, time.Minute)
	before := o.mode(t)
	for _, s := range []PoolSample{{Pool: "plain", Requests: -1e9}, {Pool: "plain"}, {Requests: 5}, {Pool: "plain", Requests: maxCount + 1}} {
		o.policy.RecordEnded(o.now, s)
	}
	require.Equal(t, before, o.mode(t))
	for i := range 2 * maxPools {
		o.policy.RecordEnded(o.now, PoolSample{Pool: string(rune('a' + i)), Requests: 1})
	}
	require.LessOrEqual(t, len(o.policy.pools), maxPools)
}
