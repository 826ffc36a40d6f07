package routing

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/eiderspring/eiderspring/credit"
)

// lendingRouter returns a router of a fleet with the given number of instances, which lends its
// endpoints' places to itself. Each endpoint has two places.
func lendingRouter(instances int, names ...string) (*Router, *credit.Lender) {
	v := &View{Pools: map[string][]*Endpoint{}, ByName: map[string]*Endpoint{}, Instances: instances}
	for _, name := range names {
		e := &Endpoint{Name: name, Pool: "plain", Concurrency: 2}
		v.Pools["plain"], v.ByName[name] = append(v.Pools["plain"], e), e
	}
	r := NewRouter(Policies()[PolicyTimely], noRandom)
	r.SetView(v)
	l := credit.NewLender(credit.Config{Self: "n1", Process: "p", OnWant: func() {}, Running: r.Running})
	r.SetLending(Lending{Lender: l, InstancesAbove: 16, Now: func() time.Time { return testNow }})
	r.serviceTimes.observe("plain", 60*time.Millisecond)
	return r, l
}

// tickFor ticks a lender every 10 ms until the given time has passed.
func tickFor(l *credit.Lender, now *time.Time, d time.Duration) {
	for end := now.Add(d); now.Before(end); *now = now.Add(10 * time.Millisecond) {
		l.Tick(*now)
	}
}

func waitingRequest(number uint64, now time.Time) *Request {
	return &Request{Pool: "plain", Now: now, Claimant: Claimant{Number: number, Weight: 100, Since: now, StartBy: now.Add(time.Minute)}}
}

// TestContendedEndpointTakesRequestsOnlyWithACredit guards against requests beyond an endpoint's
// places. The sums alone let three times as many queue there.
func TestContendedEndpointTakesRequestsOnlyWithACredit(t *testing.T) {
	r, l := lendingRouter(20, "a")
	require.True(t, r.LendsPlaces(testNow, "plain"))
	now := testNow
	var held []Decision
	for n := range uint64(6) {
		req := waitingRequest(n+1, now)
		if d, err := r.Pick(req); err == nil {
			require.True(t, d.Lent)
			r.Withdraw(req)
			held = append(held, d)
		}
		tickFor(l, &now, 60*time.Millisecond)
	}
	require.LessOrEqual(t, len(held), 3, "two places, and one request that may be on its way")
	require.GreaterOrEqual(t, len(held), 2)

	late := waitingRequest(9, now)
	_, err := r.Pick(late)
	require.ErrorIs(t, err, ErrNoCapacity)
	require.True(t, late.Wanted, "a request that waits asks for a place")
	for i := range held {
		r.Release(&held[i])
	}
	require.Eventually(t, func() bool {
		tickFor(l, &now, 10*time.Millisecond)
		late.Now = now
		_, err = r.Pick(late)
		return err == nil
	}, time.Minute, time.Microsecond, "places that were released are lent again")
}

// TestPlacesAreNotLentWhereTheySuffice checks that nothing changes in small fleets, and for
// endpoints with at least as many places as there are instances.
func TestPlacesAreNotLentWhereTheySuffice(t *testing.T) {
	for name, tc := range map[string]struct{ instances, places int }{
		"small fleet": {16, 2}, "ample places": {20, 20},
	} {
		r, l := lendingRouter(tc.instances, "a")
		r.View().ByName["a"].Concurrency = tc.places
		require.False(t, r.LendsPlaces(testNow, "plain"), name)
		req := waitingRequest(1, testNow)
		d, err := r.Pick(req)
		require.NoError(t, err, name)
		require.False(t, d.Lent, name)
		require.Empty(t, l.Stats(testNow, 10).Endpoints, name)
		r.RecordWant(req)
		require.False(t, req.Wanted, name)
		r.Withdraw(req)
		r.RecordRejection(testNow, &d)
		r.Release(&d)
		require.Zero(t, d.Endpoint.OwnInFlight(), name)
	}
}

// TestWantsGoToFewEndpoints guards against asks that name every endpoint of a large pool for each
// request.
func TestWantsGoToFewEndpoints(t *testing.T) {
	r, l := lendingRouter(20, "a", "b", "c", "d", "e")
	for _, e := range r.View().Pools["plain"] {
		l.RecordRejection(testNow, e.CreditKey())
	}
	now := testNow
	for n := range uint64(40) {
		// All places are taken, also those beyond what the endpoints are known to run.
		_, _ = r.Pick(waitingRequest(100+n, now))
		tickFor(l, &now, 10*time.Millisecond)
	}
	req := waitingRequest(1, now)
	_, err := r.Pick(req)
	require.ErrorIs(t, err, ErrNoCapacity)
	before := wantedAt(l, now)
	other := waitingRequest(2, now)
	r.RecordWant(other)
	require.True(t, other.Wanted)
	require.LessOrEqual(t, wantedAt(l, now)-before, maxWantedEndpoints)
	r.Withdraw(other)
	require.Equal(t, before, wantedAt(l, now))
}

// wantedAt returns at how many endpoints requests wait, in all.
func wantedAt(l *credit.Lender, now time.Time) (n int) {
	for _, e := range l.Stats(now, 100).Endpoints {
		n += int(e.Waiting)
	}
	return n
}

// TestServiceTimeFollowsTheEndpoints checks that rejections, which take no time, do not count.
func TestServiceTimeFollowsTheEndpoints(t *testing.T) {
	r, _ := lendingRouter(20, "a")
	now := testNow
	r.lending.Now = func() time.Time { return now }
	serve := func(d time.Duration, rejected bool) {
		chosen, err := r.Pick(waitingRequest(1, now))
		require.NoError(t, err)
		now = now.Add(d)
		if rejected {
			r.RecordRejection(now, &chosen)
		} else {
			r.RecordServed(now, &chosen)
		}
		r.Release(&chosen)
		now = now.Add(10 * time.Second)
	}
	for range 50 {
		serve(60*time.Millisecond, false)
		serve(time.Millisecond, true)
	}
	require.InDelta(t, 60, r.ServiceTime("plain").Milliseconds(), 1)
	for range 50 {
		serve(120*time.Millisecond, false)
	}
	require.InDelta(t, 120, r.ServiceTime("plain").Milliseconds(), 8)
}

// TestPlacesOfShortRequestsAreNotLent guards against endpoints that idle while credits are on their
// way: of requests of 15 ms one in four was refused while their endpoints had less than half of
// their places in use.
func TestPlacesOfShortRequestsAreNotLent(t *testing.T) {
	r, _ := lendingRouter(20, "a")
	for range 100 {
		r.serviceTimes.observe("plain", 15*time.Millisecond)
	}
	require.False(t, r.LendsPlaces(testNow, "plain"))
	d, err := r.Pick(waitingRequest(1, testNow))
	require.NoError(t, err)
	require.False(t, d.Lent)
	r.Release(&d)
}

// TestTrialNeedsNoLentPlace guards against an endpoint that serves again and stays without requests: where
// places are short, a request that was to be its trial waited for a place there, and the trial was lost.
// So it was when a request behind others asked for a place.
func TestTrialNeedsNoLentPlace(t *testing.T) {
	r, l := lendingRouter(20, "again", "b")
	again := r.View().ByName["again"]
	for _, e := range r.View().Pools["plain"] {
		l.RecordRejection(testNow, e.CreditKey())
	}
	now := testNow
	for n := range uint64(8) {
		_, _ = r.Pick(waitingRequest(100+n, now))
		tickFor(l, &now, 20*time.Millisecond)
	}
	again.SetCondition(Condition{Speed: 1, LeftOut: true})
	again.AllowTrial(now.Add(200 * time.Millisecond))
	req := waitingRequest(1, now)
	req.Repeatable = true
	require.True(t, l.Decides(now, again.CreditKey()), "its places are contended")
	behind := waitingRequest(2, now)
	behind.Repeatable = true
	r.RecordWant(behind)
	d, err := r.Pick(req)
	require.NoError(t, err)
	require.True(t, d.Trial)
	require.Equal(t, "again", d.Endpoint.Name)
	require.False(t, d.Lent)
	require.False(t, again.takeTrial(req), "one trial")
	r.Release(&d)
}

// TestBrittleEndpointMayNotQueue guards against requests beyond the places of an endpoint that falls over when it
// has to reject a few.
func TestBrittleEndpointMayNotQueue(t *testing.T) {
	r, _ := lendingRouter(20, "a")
	e := r.View().ByName["a"]
	require.True(t, r.MayQueue(e.CreditKey()))
	e.SetBrittle(true, 2)
	require.False(t, r.MayQueue(e.CreditKey()))
	e.SetBrittle(false, 0)
	other := e.CreditKey()
	other.StartedAtMS++
	require.False(t, r.MayQueue(other), "another incarnation")
	e.Engine = true
	require.False(t, r.MayQueue(e.CreditKey()), "an engine's batch")
}
