package pipeline

import (
	"errors"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/eiderspring/eiderspring/admission"
	"github.com/eiderspring/eiderspring/routing"
	"github.com/eiderspring/eiderspring/settings"
)

func engineExchange() *Exchange {
	return &Exchange{
		Received: time.Unix(1000, 0), offset: -1,
		Target: settings.Target{Unit: "m", Kind: settings.KindEngine, Policy: settings.Effective{
			FirstToken: 400 * time.Millisecond, Deadline: 12 * time.Second, GiveUp: 2 * time.Second,
		}},
	}
}

// TestWaitsForAsLongAsItsCaller guards against a caller that is sent away while it could still be
// served, and against one that is kept until it has left. It leaves after two seconds without an
// event, and can be answered for 100 ms of work.
func TestWaitsForAsLongAsItsCaller(t *testing.T) {
	const work = 100 * time.Millisecond
	after := func(x *Exchange) time.Duration { return x.startBy(work).Sub(x.Received) }
	x := engineExchange()
	require.Equal(t, 1900*time.Millisecond, after(x), "beyond its target")
	require.False(t, x.late(x.Received.Add(300*time.Millisecond), work))
	require.True(t, x.late(x.Received.Add(301*time.Millisecond), work), "it is late once the work cannot be done by the target")

	returned := engineExchange()
	returned.returned = Return{Promised: true, InTime: true}
	require.False(t, returned.late(returned.Received, work))
	require.Equal(t, after(x), after(returned), "one that comes back as it was promised has a time to wait of its own")

	patient := engineExchange()
	patient.Target.Policy.MayWait = true
	require.Equal(t, 12*time.Second, after(patient))

	hurried := engineExchange()
	hurried.Call.Timeout = 300 * time.Millisecond
	require.Equal(t, 200*time.Millisecond, after(hurried))

	plain := engineExchange()
	plain.Target.Unit, plain.Target.Policy.GiveUp = "", 0
	require.Equal(t, 11900*time.Millisecond, after(plain))
	require.True(t, plain.late(plain.Received.Add(301*time.Millisecond), work), "plain services have the same order")

	aimless := engineExchange()
	aimless.Target.Policy.FirstToken = 0
	require.False(t, aimless.late(aimless.Received.Add(time.Hour), work), "nothing to miss")
}

// Checks status and retry delay for each reason of a refusal.
func TestRefusalsGiveARetryDelay(t *testing.T) {
	expired := &admission.RefusedError{Reason: admission.ReasonExpired}
	for name, tc := range map[string]struct {
		err, pick   error
		status      int
		least, most time.Duration
	}{
		"no replica": {expired, routing.ErrNoReplica, 503, noReplicaRetryAfter, 2 * noReplicaRetryAfter},
		"no room":    {expired, routing.ErrNoCapacity, 503, noCapacityRetryAfter, 2 * noCapacityRetryAfter},
		"queue full": {&admission.RefusedError{Reason: admission.ReasonQueueFull}, routing.ErrNoCapacity, 429, noCapacityRetryAfter, 2 * defaultRetryAfter},
		"stopping":   {&admission.RefusedError{Reason: admission.ReasonStopping}, routing.ErrNoCapacity, 503, stoppingRetryAfter, stoppingRetryAfter},
		"other":      {errors.New("left"), nil, 503, defaultRetryAfter, defaultRetryAfter},
	} {
		var failure Failure
		require.ErrorAs(t, newAdmitError(tc.err, tc.pick), &failure, name)
		a := failure.Answer()
		require.Equal(t, tc.status, a.Status, name)
		require.Equal(t, CodeNotRun, a.Code, name)
		require.GreaterOrEqual(t, a.RetryAfter, tc.least, name)
		require.LessOrEqual(t, a.RetryAfter, tc.most, name)
	}
}

// A request whose policy allows one attempt must still get it after endpoints have refused
// it.
func TestAttemptsThatHaveNotRunDoNotCount(t *testing.T) {
	x := engineExchange()
	x.Target.Policy.MaxAttempts = 1
	e := &routing.Endpoint{Name: "e"}
	x.Attempts = []Attempt{{NotStarted: true, Decision: routing.Decision{Endpoint: e}}}
	require.True(t, x.attemptsLeft())
	require.Empty(t, x.triedEndpoints())
	x.Attempts = append(x.Attempts, Attempt{Decision: routing.Decision{Endpoint: e}})
	require.False(t, x.attemptsLeft())
	require.Equal(t, []string{"e"}, x.triedEndpoints())
	x.Attempts = make([]Attempt, maxAttempts)
	for i := range x.Attempts {
		x.Attempts[i] = Attempt{NotStarted: true, Decision: routing.Decision{Endpoint: e}}
	}
	require.False(t, x.attemptsLeft(), "attempts that have not run are bounded too")
}
