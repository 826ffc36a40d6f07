package routing

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/eiderspring/eiderspring/permit"
)

var testNow = time.Unix(1000, 0)

func noRandom() float64 { return 0 }

func testView(loads ...Load) (*View, []*Endpoint) {
	v := &View{Replicas: map[string][]*Endpoint{}, Instances: 2}
	for i, l := range loads {
		e := &Endpoint{Name: fmt.Sprintf("e%d", i), Concurrency: 8, FailureDomain: fmt.Sprintf("d%d", i)}
		e.SetReportedLoad(l)
		v.Replicas["m"] = append(v.Replicas["m"], e)
	}
	return v, v.Replicas["m"]
}

func TestPick(t *testing.T) {
	for _, tc := range []struct {
		name    string
		loads   []Load
		prepare func(e []*Endpoint)
		req     Request
		want    string
		err     error
	}{
		{name: "least estimated load", loads: []Load{{Running: 5}, {Running: 2}}, want: "e1"},
		{name: "own attempts since the report count", loads: []Load{{Running: 3}, {Running: 4}},
			prepare: func(e []*Endpoint) { e[0].ownInFlight.Store(3) }, want: "e1"},
		{name: "own attempts in the report count once", loads: []Load{{Running: 3, OwnAtReport: 3}, {Running: 4}},
			prepare: func(e []*Endpoint) { e[0].ownInFlight.Store(3) }, want: "e0"},
		{name: "leaving takes nothing", loads: []Load{{}, {Running: 7}},
			prepare: func(e []*Endpoint) { e[0].SetLeaving(true) }, want: "e1"},
		{name: "tried is not tried again", loads: []Load{{}, {Running: 7}}, req: Request{Excluded: []string{"e0"}}, want: "e1"},
		{name: "ejected comes last", loads: []Load{{}, {Running: 7}},
			prepare: func(e []*Endpoint) { e[0].RecordFailure(testNow) }, want: "e1"},
		{name: "ejected is better than none", loads: []Load{{}},
			prepare: func(e []*Endpoint) { e[0].RecordFailure(testNow) }, want: "e0"},
		{name: "full", loads: []Load{{Running: 8}, {Running: 9}}, err: ErrNoCapacity},
		{name: "share of the free room is used up", loads: []Load{{Running: 6}},
			prepare: func(e []*Endpoint) { e[0].ownInFlight.Store(2) }, err: ErrNoCapacity},
		{name: "all leaving", loads: []Load{{}}, prepare: func(e []*Endpoint) { e[0].SetLeaving(true) }, err: ErrNoReplica},
		{name: "all tried or leaving", loads: []Load{{}, {}}, prepare: func(e []*Endpoint) { e[1].SetLeaving(true) },
			req: Request{Excluded: []string{"e0"}}, err: ErrNoEndpointLeft},
		{name: "all tried", loads: []Load{{}}, req: Request{Excluded: []string{"e0"}}, err: ErrNoEndpointLeft},
		{name: "no replica", err: ErrNoReplica},
		{name: "own failure domain among equals", loads: []Load{{}, {}}, req: Request{FailureDomain: "d1"}, want: "e1"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			v, endpoints := testView(tc.loads...)
			if tc.prepare != nil {
				tc.prepare(endpoints)
			}
			r := NewRouter(Policies()[PolicyEstimate], noRandom)
			r.SetView(v)
			tc.req.Unit, tc.req.Now = "m", testNow
			d, err := r.Pick(&tc.req)
			if tc.err != nil {
				require.True(t, errors.Is(err, tc.err), "got %v", err)
				return
			}
			require.NoError(t, err)
			require.Equal(t, tc.want, d.Endpoint.Name)
			before := d.Endpoint.OwnInFlight()
			r.Release(&d)
			require.Equal(t, before-1, d.Endpoint.OwnInFlight())
		})
	}
}

func TestEveryPolicyPicksLiveEndpoints(t *testing.T) {
	for name, p := range Policies() {
		t.Run(name, func(t *testing.T) {
			v, endpoints := testView(Load{}, Load{}, Load{})
			endpoints[1].SetLeaving(true)
			r := NewRouter(p, func() float64 { return 0.99 })
			r.SetView(v)
			for range 3 {
				d, err := r.Pick(&Request{Unit: "m", Now: testNow})
				require.NoError(t, err)
				require.False(t, d.Endpoint.Leaving())
			}
		})
	}
}

func TestEjectionGrowsAndEnds(t *testing.T) {
	e := &Endpoint{}
	e.RecordFailure(testNow)
	require.True(t, e.Ejected(testNow))
	require.False(t, e.Ejected(testNow.Add(ejectBase)))
	for range 20 {
		e.RecordFailure(testNow)
	}
	require.True(t, e.Ejected(testNow.Add(ejectMax-1)))
	require.False(t, e.Ejected(testNow.Add(ejectMax)))
	e.RecordSuccess()
	require.False(t, e.Ejected(testNow))
}

func BenchmarkPick(b *testing.B) {
	v, _ := testView(make([]Load, 12)...)
	v.Instances = 1
	r := NewRouter(Policies()[PolicyEstimate], noRandom)
	r.SetView(v)
	req := Request{Unit: "m", Now: testNow}
	for b.Loop() {
		d, err := r.Pick(&req)
		if err != nil {
			b.Fatal(err)
		}
		r.Release(&d)
	}
}

// An endpoint that does not hold a unit rejects requests at once and so appears the least
// loaded. It must not be selected for that unit for a while.
func TestEndpointWithoutTheUnitIsAvoided(t *testing.T) {
	a, b := &Endpoint{Name: "a", Concurrency: 8}, &Endpoint{Name: "b", Concurrency: 8}
	r := timelyRouter(a, b)
	r.SetView(&View{Replicas: map[string][]*Endpoint{"m": {a, b}, "n": {a}}})
	b.SetPeerLoad(PeerLoad{Running: 5, PromptWork: 300 * time.Millisecond})
	a.MarkNotResident("m", testNow)
	pick := func(unit string, now time.Time) (string, error) {
		d, err := r.Pick(&Request{Unit: unit, PromptTokens: 100, Now: now})
		if err != nil {
			return "", err
		}
		r.Release(&d)
		return d.Endpoint.Name, nil
	}
	name, err := pick("m", testNow)
	require.NoError(t, err)
	require.Equal(t, "b", name)
	name, err = pick("n", testNow)
	require.NoError(t, err, "another unit is not affected")
	require.Equal(t, "a", name)
	name, err = pick("m", testNow.Add(notResidentTime))
	require.NoError(t, err)
	require.Equal(t, "a", name)
	b.SetReplaced()
	a.MarkNotResident("m", testNow)
	_, err = pick("m", testNow)
	require.ErrorIs(t, err, ErrNoReplica, "no endpoint effectively holds it")
}

// Endpoints that announce rate limits must get requests only with permits, and an endpoint
// without a limit must serve the others.
func TestLimitedEndpoints(t *testing.T) {
	now := time.Unix(1000, 0)
	limited, free := &Endpoint{Name: "limited", Concurrency: 8}, &Endpoint{Name: "free", Concurrency: 8}
	permits := permit.NewLimiter("i1", 0, func() {})
	r := NewRouter(Policies()[PolicyTimely], func() float64 { return 0 })
	r.SetPermits(permits)
	view := func(unit ...*Endpoint) {
		r.SetView(&View{Replicas: map[string][]*Endpoint{"m": {limited, free}, "m/a": unit}, Instances: 1})
	}
	pick := func() (string, error) {
		d, err := r.Pick(&Request{Unit: "m/a", Model: "m", Now: now})
		if err != nil {
			return "", err
		}
		r.Release(&d)
		return d.Endpoint.Name, nil
	}
	permits.RecordLimit(now, limited.PermitKey(), 2)

	view(limited, free)
	for range 20 {
		name, err := pick()
		require.NoError(t, err)
		require.Equal(t, "free", name, "without a permit the other endpoint serves")
	}
	_, only := r.RateLimit(&Request{Unit: "m/a", Model: "m", Now: now})
	require.False(t, only)

	view(limited)
	_, err := pick()
	require.ErrorIs(t, err, ErrNoCapacity, "the request waits for a permit")
	_, only = r.RateLimit(&Request{Unit: "m/a", Model: "m", Now: now})
	require.False(t, only, "the unit can be loaded next to its model elsewhere")
	free.SetLeaving(true)
	perSecond, only := r.RateLimit(&Request{Unit: "m/a", Model: "m", Now: now})
	require.True(t, only)
	require.Equal(t, 2.0, perSecond)

	permits.PendingRequests(now)
	now = now.Add(600 * time.Millisecond)
	_, err = pick()
	require.ErrorIs(t, err, ErrNoCapacity)
	_, got := permits.PendingRequests(now)
	require.True(t, got)
	name, err := pick()
	require.NoError(t, err)
	require.Equal(t, "limited", name)
	_, err = pick()
	require.ErrorIs(t, err, ErrNoCapacity, "one permit is for one request")
}
