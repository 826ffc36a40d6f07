package routing

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func timelyRouter(endpoints ...*Endpoint) *Router {
	r := NewRouter(Policies()[PolicyTimely], noRandom)
	r.SetView(&View{Replicas: map[string][]*Endpoint{"m": endpoints}})
	return r
}

// Prompts are reserved at one endpoint, so the next request must go to the other one, also
// where the prompts ahead are those of other instances.
func TestTimelyPicksShortestExpectedFirstToken(t *testing.T) {
	a, b := &Endpoint{Name: "a", Concurrency: 8}, &Endpoint{Name: "b", Concurrency: 8}
	r := timelyRouter(a, b)
	a.SetPeerLoad(PeerLoad{Running: 2, PromptWork: 50 * time.Millisecond})
	req := &Request{Unit: "m", PromptTokens: 400, Now: testNow, FirstTokenBy: testNow.Add(time.Second)}
	d, err := r.Pick(req)
	require.NoError(t, err)
	require.Equal(t, "b", d.Endpoint.Name)
	d2, err := r.Pick(&Request{Unit: "m", PromptTokens: 4000, Now: testNow, FirstTokenBy: testNow.Add(time.Second)})
	require.NoError(t, err)
	require.Equal(t, "b", d2.Endpoint.Name, "20 ms of prompts are ahead there, 50 ms at the other")
	d3, err := r.Pick(req)
	require.NoError(t, err)
	require.Equal(t, "a", d3.Endpoint.Name)
	r.Release(&d)
	d2.ReleasePrompt()
	require.Zero(t, b.OwnPromptWork())
	require.EqualValues(t, 1, b.OwnInFlight())
}

// An endpoint whose pending prompts take all the remaining time must not get the request.
func TestTimelySkipsEndpointThatWouldMissTarget(t *testing.T) {
	e := &Endpoint{Name: "a", Concurrency: 8}
	r := timelyRouter(e)
	e.SetPeerLoad(PeerLoad{Running: 3, PromptWork: 700 * time.Millisecond})
	req := Request{Unit: "m", PromptTokens: 2000, Now: testNow, FirstTokenBy: testNow.Add(800 * time.Millisecond)}
	_, err := r.Pick(&req)
	require.ErrorIs(t, err, ErrNoCapacity)
	e.SetPeerLoad(PeerLoad{})
	_, err = r.Pick(&req)
	require.NoError(t, err, "no endpoint would be sooner than an idle one")
}

// An endpoint whose streams have gaps above half of the allowed gap must not get more
// requests with a target for gaps.
func TestTimelySkipsEndpointWithLongGaps(t *testing.T) {
	e := &Endpoint{Name: "a", Concurrency: 8}
	r := timelyRouter(e)
	e.SetPeerLoad(PeerLoad{Running: 1})
	for range 100 {
		e.ObserveEventGap(testNow, 300*time.Millisecond)
	}
	_, err := r.Pick(&Request{Unit: "m", PromptTokens: 10, Now: testNow, EventGapTarget: 400 * time.Millisecond})
	require.ErrorIs(t, err, ErrNoCapacity)
	_, err = r.Pick(&Request{Unit: "m", PromptTokens: 10, Now: testNow})
	require.NoError(t, err, "a request without a target for gaps goes there")
}

// The estimate must converge to the 20 µs a token that an engine takes, and a single
// outlier must change it little.
func TestPrefillTimeIsLearned(t *testing.T) {
	e := &Endpoint{Name: "a", Concurrency: 8}
	r := timelyRouter(e)
	for range 60 {
		d, err := r.Pick(&Request{Unit: "m", PromptTokens: 1000, Now: testNow})
		require.NoError(t, err)
		r.ObserveFirstToken(&d, testNow.Add(firstTokenOverhead+20*time.Millisecond))
		r.Release(&d)
	}
	require.InDelta(t, float64(20*time.Millisecond), float64(r.prefill.promptWork("m", 1000)), float64(time.Millisecond))
	r.prefill.observe("m", time.Second, time.Hour)
	require.Less(t, r.prefill.promptWork("m", 1000), 30*time.Millisecond, "a single outlier changes little")
}

func TestSlotsOfAllInstancesCount(t *testing.T) {
	e := &Endpoint{Name: "a", Concurrency: 2}
	r := timelyRouter(e)
	e.SetPeerLoad(PeerLoad{Running: 1})
	_, err := r.Pick(&Request{Unit: "m", Now: testNow})
	require.NoError(t, err)
	_, err = r.Pick(&Request{Unit: "m", Now: testNow})
	require.ErrorIs(t, err, ErrNoCapacity)
}

// An engine takes a fifth of the assumed time a token. A few observations by an adapter of
// the model must be enough to learn it.
func TestFirstObservationsWeighMore(t *testing.T) {
	e := &Endpoint{Name: "a", Concurrency: 8}
	r := timelyRouter(e)
	r.SetView(&View{Replicas: map[string][]*Endpoint{"m": {e}, "m/a1": {e}}})
	for range 4 {
		d, err := r.Pick(&Request{Unit: "m/a1", Model: "m", PromptTokens: 1000, Now: testNow})
		require.NoError(t, err)
		r.ObserveFirstToken(&d, testNow.Add(firstTokenOverhead+10*time.Millisecond))
		r.Release(&d)
	}
	require.InDelta(t, 0.2, float64(r.prefill.tokenTime("m"))/float64(initialTokenTime), 0.05)
	require.Equal(t, initialTokenTime, r.prefill.tokenTime("other"))
}

// Many instances with the same view of eight endpoints each send a request before any of
// them learns of the others' requests. They must not all choose the same endpoint.
func TestInstancesDoNotOverrunOneEndpoint(t *testing.T) {
	const instances, endpoints = 90, 8
	random := rand.New(rand.NewPCG(1, 2)).Float64
	taken := map[string]int{}
	for range instances {
		var known []*Endpoint
		for i := range endpoints {
			e := &Endpoint{Name: fmt.Sprint(i), Concurrency: 64}
			e.SetPeerLoad(PeerLoad{Running: 1, PromptWork: time.Duration(50+i) * time.Millisecond})
			known = append(known, e)
		}
		r := NewRouter(Policies()[PolicyTimely], random)
		r.SetView(&View{Replicas: map[string][]*Endpoint{"m": known}})
		d, err := r.Pick(&Request{Unit: "m", PromptTokens: 2000, Now: testNow, FirstTokenBy: testNow.Add(time.Second)})
		require.NoError(t, err)
		taken[d.Endpoint.Name]++
	}
	for name, n := range taken {
		require.Less(t, n, instances/3, "endpoint %s", name)
	}
}

// Pending prompts would take most of the gap that running streams tolerate, although the
// first token would still be in time. The endpoint must not get another prompt.
func TestPromptsAheadAreBoundedByEventGap(t *testing.T) {
	e := &Endpoint{Name: "a", Concurrency: 48}
	r := timelyRouter(e)
	req := Request{Unit: "m", PromptTokens: 1000, EventGapTarget: 250 * time.Millisecond, Now: testNow, FirstTokenBy: testNow.Add(time.Second)}
	e.SetPeerLoad(PeerLoad{Running: 20, PromptWork: 120 * time.Millisecond})
	_, err := r.Pick(&req)
	require.NoError(t, err, "120 and 50 ms of prompts fit into 175")
	e.SetPeerLoad(PeerLoad{Running: 20, PromptWork: 80 * time.Millisecond})
	_, err = r.Pick(&req)
	require.ErrorIs(t, err, ErrNoCapacity, "50 ms of its own, 80 and 50 ms do not")
	e.SetPeerLoad(PeerLoad{Running: 20})
	e.ownPromptWork.Store(0)
	req.PromptTokens = 6000
	_, err = r.Pick(&req)
	require.NoError(t, err, "a long prompt is admitted where none is ahead")
}

// TestLateRequestsGetFreeSlots guards against slots that stay free while requests wait that can no
// longer meet their target: who goes first is the queue's matter. They must not affect the prefill
// estimate.
func TestLateRequestsGetFreeSlots(t *testing.T) {
	e := &Endpoint{Name: "a", Concurrency: 8}
	r := timelyRouter(e)
	e.SetPeerLoad(PeerLoad{Running: 8})
	late := Request{Unit: "m", PromptTokens: 100, Now: testNow, FirstTokenBy: testNow.Add(-time.Second), Late: true}
	_, err := r.Pick(&late)
	require.ErrorIs(t, err, ErrNoCapacity)
	e.SetPeerLoad(PeerLoad{Running: 7})
	d, err := r.Pick(&late)
	require.NoError(t, err)
	require.True(t, d.Late)
	learned := r.prefill.tokenTime("m")
	r.ObserveFirstToken(&d, testNow.Add(10*time.Second))
	require.Equal(t, learned, r.prefill.tokenTime("m"), "a late attempt does not change the estimate")
}

// An endpoint that was full or unreachable must not be selected again at once, but must be
// selected again after a short time.
func TestRejectingEndpointsAreAvoidedBriefly(t *testing.T) {
	for name, tc := range map[string]struct {
		reject func(e *Endpoint)
		err    error
		until  time.Duration
	}{
		"full":        {func(e *Endpoint) { e.MarkFull(testNow) }, ErrNoCapacity, fullTime},
		"unreachable": {func(e *Endpoint) { e.MarkUnreachable(testNow) }, ErrNoReplica, unreachableTime},
	} {
		e := &Endpoint{Name: "a", Concurrency: 8}
		r := timelyRouter(e)
		tc.reject(e)
		_, err := r.Pick(&Request{Unit: "m", Now: testNow.Add(tc.until - 1)})
		require.ErrorIs(t, err, tc.err, name)
		_, err = r.Pick(&Request{Unit: "m", Now: testNow.Add(tc.until)})
		require.NoError(t, err, name)
	}
}

// The mean gap must be ignored if it rests on too few observations or if the last one is
// too old.
func TestFewGapsAreIgnored(t *testing.T) {
	e := &Endpoint{Name: "a", Concurrency: 8}
	for i := range minGaps {
		require.Zero(t, e.EventGap(testNow), "%d gaps", i)
		e.ObserveEventGap(testNow, 300*time.Millisecond)
	}
	require.Equal(t, 300*time.Millisecond, e.EventGap(testNow))
	require.Zero(t, e.EventGap(testNow.Add(gapExpiry)))
	e.ObserveEventGap(testNow.Add(gapExpiry), 20*time.Millisecond)
	require.Zero(t, e.EventGap(testNow.Add(gapExpiry)), "the mean starts again")
}
