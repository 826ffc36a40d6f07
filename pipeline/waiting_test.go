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

// TestHowLongRequestsWait goes through the reasons to wait longer or shorter.
func TestHowLongRequestsWait(t *testing.T) {
	after := func(x *Exchange, late bool) time.Duration { return x.startBy(late).Sub(x.Received) }
	x := engineExchange()
	require.False(t, x.late(x.Received))
	require.Equal(t, 400*time.Millisecond, after(x, false), "to the target, while it can be met")
	require.True(t, x.late(x.Received.Add(400*time.Millisecond)))
	require.Equal(t, 1040*time.Millisecond, after(x, true), "a late one for a part of the caller's patience")

	back := engineExchange()
	back.again = true
	require.False(t, back.late(back.Received))
	require.Equal(t, back.Target.Policy.Priority+againPriority, back.priority(), "who was refused before goes first")
	require.Equal(t, x.Target.Policy.Priority, x.priority())

	patient := engineExchange()
	patient.Target.Policy.MayWait = true
	require.Equal(t, 12*time.Second, after(patient, false))

	hurried := engineExchange()
	hurried.Call.Timeout = 300 * time.Millisecond
	require.Equal(t, 300*time.Millisecond, after(hurried, false))
	require.Equal(t, 300*time.Millisecond, after(hurried, true))

	plain := engineExchange()
	plain.Target.Unit = ""
	require.False(t, plain.late(plain.Received.Add(time.Hour)), "plain services have no order of urgency")
}

// TestRefusalsSayWhenToComeBack reads the answer for each reason.
func TestRefusalsSayWhenToComeBack(t *testing.T) {
	expired := &admission.RefusedError{Reason: admission.ReasonExpired}
	for name, tc := range map[string]struct {
		err, pick   error
		status      int
		least, most time.Duration
	}{
		"no replica": {expired, routing.ErrNoReplica, 503, loadRetryAfter, 2 * loadRetryAfter},
		"no room":    {expired, routing.ErrNoCapacity, 503, roomRetryAfter, 2 * roomRetryAfter},
		"queue full": {&admission.RefusedError{Reason: admission.ReasonQueueFull}, routing.ErrNoCapacity, 429, roomRetryAfter, 2 * defaultRetryAfter},
		"stopping":   {&admission.RefusedError{Reason: admission.ReasonStopping}, routing.ErrNoCapacity, 503, elsewhereRetryAfter, elsewhereRetryAfter},
		"other":      {errors.New("left"), nil, 503, defaultRetryAfter, defaultRetryAfter},
	} {
		var failure Failure
		require.ErrorAs(t, refusalOf(tc.err, tc.pick), &failure, name)
		a := failure.Answer()
		require.Equal(t, tc.status, a.Status, name)
		require.Equal(t, CodeNotRun, a.Code, name)
		require.GreaterOrEqual(t, a.RetryAfter, tc.least, name)
		require.LessOrEqual(t, a.RetryAfter, tc.most, name)
	}
}

// TestAttemptsThatHaveNotRunDoNotCount leaves a request its one run after endpoints
// have turned it away.
func TestAttemptsThatHaveNotRunDoNotCount(t *testing.T) {
	x := engineExchange()
	x.Target.Policy.MaxAttempts = 1
	e := &routing.Endpoint{Name: "e"}
	x.Attempts = []Attempt{{NotStarted: true, Decision: routing.Decision{Endpoint: e}}}
	require.True(t, x.triesLeft())
	require.Empty(t, x.tried())
	x.Attempts = append(x.Attempts, Attempt{Decision: routing.Decision{Endpoint: e}})
	require.False(t, x.triesLeft())
	require.Equal(t, []string{"e"}, x.tried())
	x.Attempts = make([]Attempt, maxAttempts)
	for i := range x.Attempts {
		x.Attempts[i] = Attempt{NotStarted: true, Decision: routing.Decision{Endpoint: e}}
	}
	require.False(t, x.triesLeft(), "they are bounded all the same")
}
