package pipeline

import (
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"

	"github.com/eiderspring/eiderspring/admission"
	"github.com/eiderspring/eiderspring/allowance"
	"github.com/eiderspring/eiderspring/routing"
	"github.com/eiderspring/eiderspring/settings"
)

// TestRejectionsDoNotEndARequest guards against requests that are refused with time left because
// endpoints with few places rejected them four times. Attempts that failed otherwise stay bounded.
func TestRejectionsDoNotEndARequest(t *testing.T) {
	e := &routing.Endpoint{Name: "e"}
	x := engineExchange()
	for range 2 * maxAttempts {
		x.Attempts = append(x.Attempts, Attempt{NotStarted: true, Rejected: true, Decision: routing.Decision{Endpoint: e, Lent: true}})
	}
	require.True(t, x.attemptsLeft())
	for range maxAttempts {
		x.Attempts = append(x.Attempts, Attempt{NotStarted: true, Decision: routing.Decision{Endpoint: e}})
	}
	require.False(t, x.attemptsLeft())
}

// TestVerdictOfALenderGivesItsRetryDelay checks that a caller learns when a place is kept for it:
// a random delay on top would miss the place.
func TestVerdictOfALenderGivesItsRetryDelay(t *testing.T) {
	verdict := &admission.RefusedError{Reason: admission.ReasonNoPlaceInTime, RetryAfter: 730 * time.Millisecond, By: "n7"}
	a := newAdmitError(verdict, routing.ErrNoCapacity).Answer()
	require.Equal(t, 503, a.Status)
	require.Equal(t, CodeNotRun, a.Code)
	require.Equal(t, 730*time.Millisecond, a.RetryAfter)
	require.NotContains(t, a.Message, "n7", "callers need no names of instances")

	verdict.RetryAfter = 0
	soonest := newAdmitError(verdict, routing.ErrNoCapacity).Answer().RetryAfter
	require.GreaterOrEqual(t, soonest, noCapacityRetryAfter, "no place is kept: a caller that comes back at once meets the same queue")
}

// TestReturnIsOfUseForAThirdOfTheCallersTime checks the time by which a place kept for a refused
// caller must be free: callers with 12 s were promised nothing as they wait only 400 ms to start.
func TestReturnIsOfUseForAThirdOfTheCallersTime(t *testing.T) {
	x := engineExchange()
	require.Equal(t, x.Received.Add(4*time.Second), x.returnBy(x.Received))
	x.Call.Timeout = 3 * time.Second
	require.Equal(t, x.Received.Add(time.Second), x.returnBy(x.Received))
}

// TestAccountOfAWaiter checks what lenders learn of a request's account.
func TestAccountOfAWaiter(t *testing.T) {
	x := engineExchange()
	require.Zero(t, x.accountHash())
	require.EqualValues(t, 100, x.accountWeight(), "without an account")
	x.Caller = settings.Identity{Name: "desk", Weight: 2.5}
	require.Equal(t, uint32(allowance.HashAccount("desk")), x.accountHash())
	require.EqualValues(t, 250, x.accountWeight())
}

// TestRequestIsLateOnceItsWorkTakesTooLong checks from when on a request goes a level lower than those
// that can still meet their target, at an engine and at a plain service.
func TestRequestIsLateOnceItsWorkTakesTooLong(t *testing.T) {
	x := engineExchange()
	for _, unit := range []string{"m", ""} {
		x.Target.Unit = unit
		require.Equal(t, x.Received.Add(350*time.Millisecond), x.meetBy(50*time.Millisecond))
		require.Equal(t, x.Received.Add(400*time.Millisecond), x.meetBy(0), "before anything is known of the work")
	}
	x.answerStarted = true
	require.True(t, x.meetBy(50*time.Millisecond).IsZero(), "the target is for the beginning")
}

// plainExchange returns a request to a plain service that arrives now.
func plainExchange(id string) *Exchange {
	return &Exchange{
		ID: id, Received: time.Now(), offset: -1, Request: httptest.NewRequest(http.MethodGet, "/", nil),
		Target: settings.Target{Pool: "p", Policy: settings.Effective{FirstToken: time.Second, Deadline: 3 * time.Second, Repeatable: true}},
	}
}

// TestFailedAttemptKeepsItsPlaceInTheQueue guards against a request that waits behind all others again
// after an endpoint has failed it, although it has the least time left: where places are short, requests
// of services that fail now and then were served less than others for the same places.
func TestFailedAttemptKeepsItsPlaceInTheQueue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		endpoints := []*routing.Endpoint{{Name: "a", Pool: "p", Concurrency: 1}, {Name: "b", Pool: "p", Concurrency: 1}}
		router := routing.NewRouter(routing.Policies()[routing.PolicyTimely], func() float64 { return 0 })
		router.SetView(&routing.View{Pools: map[string][]*routing.Endpoint{"p": endpoints}})
		gates := NewGates(admission.Limits{MaxWaiters: 10, MaxBytes: 1 << 20}, time.Now)
		f := admit{
			cutOff: func(*Exchange) bool { return false }, refuses: func(*Exchange) bool { return false }, gates: gates, router: router, onNoReplica: func() {},
			promises: &Promises{}, numbers: &atomic.Uint64{}, log: logr.Discard(), now: time.Now,
		}
		failed, holder := plainExchange("failed"), plainExchange("holder")
		require.NoError(t, f.Process(t.Context(), failed))
		require.NoError(t, f.Process(t.Context(), holder))

		var admitted []string
		enter := func(x *Exchange) {
			go func() {
				if f.Process(t.Context(), x) == nil {
					admitted = append(admitted, x.ID)
				}
			}()
			synctest.Wait()
		}
		time.Sleep(50 * time.Millisecond)
		enter(plainExchange("later"))
		time.Sleep(50 * time.Millisecond)
		failed.attempt().Decision.Endpoint.SetLeaving(true)
		enter(failed)
		require.Empty(t, admitted)

		router.Release(&holder.attempt().Decision)
		gates.Pool("p").Completed(holder.attempt().waiter)
		synctest.Wait()
		require.Equal(t, []string{"failed"}, admitted)
		gates.Stop()
	})
}
