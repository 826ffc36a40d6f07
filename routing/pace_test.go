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

// TestTimelyTakesTheSoonest reserves prompts at one endpoint and expects the
// next request at the other, also where the prompts are other instances'.
func TestTimelyTakesTheSoonest(t *testing.T) {
	a, b := &Endpoint{Name: "a", Concurrency: 8}, &Endpoint{Name: "b", Concurrency: 8}
	r := timelyRouter(a, b)
	a.SetPeerLoad(PeerLoad{Running: 2, PromptWork: 50 * time.Millisecond})
	req := &Request{Unit: "m", PromptTokens: 400, Now: testNow, FirstTokenBy: testNow.Add(time.Second)}
	d, err := r.Pick(req)
	require.NoError(t, err)
	require.Equal(t, "b", d.Endpoint.Name)
	d2, err := r.Pick(&Request{Unit: "m", PromptTokens: 4000, Now: testNow, FirstTokenBy: testNow.Add(time.Second)})
	require.NoError(t, err)
	require.Equal(t, "b", d2.Endpoint.Name, "20 ms are ahead there, 50 at the other")
	d3, err := r.Pick(req)
	require.NoError(t, err)
	require.Equal(t, "a", d3.Endpoint.Name)
	r.Release(&d)
	d2.ReleasePrompt()
	require.Zero(t, b.OwnPromptWork())
	require.EqualValues(t, 1, b.OwnInFlight())
}

// TestTimelyRefusesWhatWouldBeLate lets prompts ahead take all the time left.
func TestTimelyRefusesWhatWouldBeLate(t *testing.T) {
	e := &Endpoint{Name: "a", Concurrency: 8}
	r := timelyRouter(e)
	e.SetPeerLoad(PeerLoad{Running: 3, PromptWork: 700 * time.Millisecond})
	req := Request{Unit: "m", PromptTokens: 2000, Now: testNow, FirstTokenBy: testNow.Add(800 * time.Millisecond)}
	_, err := r.Pick(&req)
	require.ErrorIs(t, err, ErrNoCapacity)
	e.SetPeerLoad(PeerLoad{})
	_, err = r.Pick(&req)
	require.NoError(t, err, "nowhere would be sooner than where nothing is ahead")
}

// TestTimelyRefusesWhereStreamsPause keeps requests from an endpoint whose
// streams pause for half of what they may.
func TestTimelyRefusesWhereStreamsPause(t *testing.T) {
	e := &Endpoint{Name: "a", Concurrency: 8}
	r := timelyRouter(e)
	e.SetPeerLoad(PeerLoad{Running: 1})
	for range 100 {
		e.ObserveEventGap(testNow, 300*time.Millisecond)
	}
	_, err := r.Pick(&Request{Unit: "m", PromptTokens: 10, Now: testNow, EventGapTarget: 400 * time.Millisecond})
	require.ErrorIs(t, err, ErrNoCapacity)
	_, err = r.Pick(&Request{Unit: "m", PromptTokens: 10, Now: testNow})
	require.NoError(t, err, "a request without a target for pauses goes there")
}

// TestPaceIsLearned gives observations of an engine that takes 20 µs a token.
func TestPaceIsLearned(t *testing.T) {
	e := &Endpoint{Name: "a", Concurrency: 8}
	r := timelyRouter(e)
	for range 60 {
		d, err := r.Pick(&Request{Unit: "m", PromptTokens: 1000, Now: testNow})
		require.NoError(t, err)
		r.ObserveFirstToken(&d, testNow.Add(firstStep+20*time.Millisecond))
		r.Release(&d)
	}
	require.InDelta(t, float64(20*time.Millisecond), float64(r.paces.work("m", 1000)), float64(time.Millisecond))
	r.paces.learn("m", time.Second, time.Hour)
	require.Less(t, r.paces.work("m", 1000), 30*time.Millisecond, "one surprise changes little")
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

// TestFirstObservationsWeighMore gives few observations of an engine that takes a
// fifth of the assumed time, by an adapter of the model.
func TestFirstObservationsWeighMore(t *testing.T) {
	e := &Endpoint{Name: "a", Concurrency: 8}
	r := timelyRouter(e)
	r.SetView(&View{Replicas: map[string][]*Endpoint{"m": {e}, "m/a1": {e}}})
	for range 4 {
		d, err := r.Pick(&Request{Unit: "m/a1", Model: "m", PromptTokens: 1000, Now: testNow})
		require.NoError(t, err)
		r.ObserveFirstToken(&d, testNow.Add(firstStep+10*time.Millisecond))
		r.Release(&d)
	}
	require.InDelta(t, 0.2, float64(r.paces.token("m"))/float64(assumedTokenTime), 0.05)
	require.Equal(t, assumedTokenTime, r.paces.token("other"))
}

// TestInstancesDoNotOverrunOneEndpoint lets many instances that know the same of
// eight endpoints send a request each before any hears of the others'.
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

// TestPromptsAheadLeaveRoomForStreams lets prompts ahead take most of the pause that
// running streams bear, while the first token would still be in time.
func TestPromptsAheadLeaveRoomForStreams(t *testing.T) {
	e := &Endpoint{Name: "a", Concurrency: 48}
	r := timelyRouter(e)
	req := Request{Unit: "m", PromptTokens: 1000, EventGapTarget: 250 * time.Millisecond, Now: testNow, FirstTokenBy: testNow.Add(time.Second)}
	e.SetPeerLoad(PeerLoad{Running: 20, PromptWork: 120 * time.Millisecond})
	_, err := r.Pick(&req)
	require.NoError(t, err, "120 and 50 ms of prompts fit into 175")
	e.SetPeerLoad(PeerLoad{Running: 20, PromptWork: 80 * time.Millisecond})
	_, err = r.Pick(&req)
	require.ErrorIs(t, err, ErrNoCapacity, "50 of its own, 80 and 50 do not")
	e.SetPeerLoad(PeerLoad{Running: 20})
	e.ownPrompt.Store(0)
	req.PromptTokens = 6000
	_, err = r.Pick(&req)
	require.NoError(t, err, "a long prompt goes where none is ahead")
}

// TestLateRequestsLeavePlaces lets requests that cannot be in time fill a part of the
// places only.
func TestLateRequestsLeavePlaces(t *testing.T) {
	e := &Endpoint{Name: "a", Concurrency: 8}
	r := timelyRouter(e)
	e.SetPeerLoad(PeerLoad{Running: 6})
	late := Request{Unit: "m", PromptTokens: 100, Now: testNow, FirstTokenBy: testNow.Add(-time.Second), Late: true}
	_, err := r.Pick(&late)
	require.ErrorIs(t, err, ErrNoCapacity)
	e.SetPeerLoad(PeerLoad{Running: 5})
	d, err := r.Pick(&late)
	require.NoError(t, err)
	require.True(t, d.Late)
	learned := r.paces.token("m")
	r.ObserveFirstToken(&d, testNow.Add(10*time.Second))
	require.Equal(t, learned, r.paces.token("m"), "what went behind others says nothing of the pace")
}

// TestRejectionsAreBelievedForAMoment asks an endpoint again that could not be reached
// or was full, but not at once.
func TestRejectionsAreBelievedForAMoment(t *testing.T) {
	for name, tc := range map[string]struct {
		reject func(e *Endpoint)
		err    error
		until  time.Duration
	}{
		"full":    {func(e *Endpoint) { e.MarkFull(testNow) }, ErrNoCapacity, fullTime},
		"no host": {func(e *Endpoint) { e.MarkUnreachable(testNow) }, ErrNoReplica, unreachedTime},
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

// TestFewGapsSayNothing asks for the mean gap before it rests on enough of them, and
// when the last one is long ago.
func TestFewGapsSayNothing(t *testing.T) {
	e := &Endpoint{Name: "a", Concurrency: 8}
	for i := range gapLeast {
		require.Zero(t, e.EventGap(testNow), "%d gaps", i)
		e.ObserveEventGap(testNow, 300*time.Millisecond)
	}
	require.Equal(t, 300*time.Millisecond, e.EventGap(testNow))
	require.Zero(t, e.EventGap(testNow.Add(gapStale)))
	e.ObserveEventGap(testNow.Add(gapStale), 20*time.Millisecond)
	require.Zero(t, e.EventGap(testNow.Add(gapStale)), "it begins anew")
}
