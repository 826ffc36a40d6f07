package pipeline

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"

	"github.com/eiderspring/eiderspring/admission"
	"github.com/eiderspring/eiderspring/outlook"
	"github.com/eiderspring/eiderspring/routing"
)

// fakeOutlook tells the same of every unit.
type fakeOutlook struct {
	forecast outlook.Forecast
	known    bool
	// at is the time that it promises, if any.
	at time.Time
	// refused counts the refusals because of a forecast, started the requests sent.
	refused, started int
}

func (o *fakeOutlook) Look(time.Time, string, int) (outlook.Forecast, bool) {
	return o.forecast, o.known
}
func (o *fakeOutlook) Reserve(_ time.Time, _ string, _ outlook.Caller, latest time.Time) (time.Time, bool) {
	return o.at, !o.at.IsZero() && !o.at.After(latest)
}
func (o *fakeOutlook) Promise(time.Time, string, outlook.Caller, time.Time) {}
func (o *fakeOutlook) CountStart(string)                                    { o.started++ }
func (o *fakeOutlook) CountRefusal(time.Time, string, outlook.Forecast)     { o.refused++ }

// admitOne sends a request to a filter whose router knows the given endpoints of unit m, and
// returns its error and how long it was held by a clock that stands still but for waiting.
func admitOne(t *testing.T, o Outlook, p *Promises, x *Exchange, endpoints ...*routing.Endpoint) error {
	t.Helper()
	router := routing.NewRouter(routing.Policies()[routing.PolicyTimely], func() float64 { return 0 })
	router.SetView(&routing.View{Replicas: map[string][]*routing.Endpoint{"m": endpoints}, Pools: map[string][]*routing.Endpoint{"p": endpoints}, Instances: 20})
	now := func() time.Time { return x.Received }
	f := admit{
		cutOff: func(*Exchange) bool { return false }, refuses: func(*Exchange) bool { return false },
		gates: NewGates(admission.Limits{MaxWaiters: 10, MaxBytes: 1000}, now), router: router, onNoReplica: func() {},
		promises: p, outlook: o, log: logr.Discard(), now: now,
	}
	x.Target.Pool = "p"
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	return f.Process(ctx, x)
}

func fullEndpoint() *routing.Endpoint {
	e := &routing.Endpoint{Name: "e", Pool: "p", Concurrency: 12}
	e.SetPeerLoad(routing.PeerLoad{Running: 12})
	return e
}

// TestRefusedAtOnce guards against holding a request that cannot start in its time, and against
// refusing one that may. Its caller leaves after 2 s without an event.
func TestRefusedAtOnce(t *testing.T) {
	load := func(in time.Duration) *fakeOutlook {
		return &fakeOutlook{forecast: outlook.Forecast{In: in, NoReplica: true}, known: true}
	}
	queue := func(in time.Duration) *fakeOutlook {
		return &fakeOutlook{forecast: outlook.Forecast{In: in}, known: true}
	}
	free := &routing.Endpoint{Name: "e", Pool: "p", Concurrency: 12}
	for name, tc := range map[string]struct {
		outlook   *fakeOutlook
		endpoints []*routing.Endpoint
		refused   bool
	}{
		"load too long":               {load(3800 * time.Millisecond), nil, true},
		"load in time":                {load(1900 * time.Millisecond), nil, false},
		"load, but a replica in view": {load(3800 * time.Millisecond), []*routing.Endpoint{fullEndpoint()}, false},
		"queue too long":              {queue(2500 * time.Millisecond), []*routing.Endpoint{fullEndpoint()}, true},
		"queue in time":               {queue(1500 * time.Millisecond), []*routing.Endpoint{fullEndpoint()}, false},
		"queue, but a free place":     {queue(2500 * time.Millisecond), []*routing.Endpoint{free}, false},
		"queue, but no replica":       {queue(2500 * time.Millisecond), nil, false},
		"nothing known":               {&fakeOutlook{}, []*routing.Endpoint{fullEndpoint()}, false},
	} {
		err := admitOne(t, tc.outlook, &Promises{}, engineExchange(), tc.endpoints...)
		var refused *admission.RefusedError
		if tc.refused {
			require.ErrorAs(t, err, &refused, name)
			require.Equal(t, admission.ReasonCannotStart, refused.Reason, name)
			require.Equal(t, 1, tc.outlook.refused, name)
			continue
		}
		require.NotErrorAs(t, err, &refused, name)
		require.Zero(t, tc.outlook.refused, name)
	}
	require.Equal(t, 1, func() int { o := &fakeOutlook{}; _ = admitOne(t, o, nil, engineExchange(), free); return o.started }())
}

// TestQueueIsForecastForWhoJoins guards against refusing by a queue's forecast, which is for who comes
// now, a request that waits already and is ahead of those. A load's end is the same for both.
func TestQueueIsForecastForWhoJoins(t *testing.T) {
	now := time.Unix(1000, 0)
	startBy := now.Add(400 * time.Millisecond)
	queue := outlook.Forecast{In: time.Second}
	require.True(t, cannotStart(queue, true, now, startBy))
	require.False(t, cannotStart(queue, false, now, startBy))
	require.False(t, cannotStart(outlook.Forecast{In: 390 * time.Millisecond}, true, now, startBy))
	load := outlook.Forecast{In: time.Second, NoReplica: true}
	require.True(t, cannotStart(load, false, now, startBy))
	require.False(t, cannotStart(outlook.Forecast{In: 390 * time.Millisecond, NoReplica: true}, false, now, startBy))
}

// TestReturnAtItsTime guards against a caller that is refused again, or set back behind others,
// though it came back when it was told: it has the place that it had, and the forecast no longer
// counts. One that is early or late comes as anyone.
func TestReturnAtItsTime(t *testing.T) {
	const request = 77
	first := engineExchange()
	first.Call.RequestHash = request
	promised := first.Received.Add(900 * time.Millisecond)
	for name, tc := range map[string]struct {
		after  time.Duration
		inTime bool
	}{
		"early":   {200 * time.Millisecond, false},
		"in time": {950 * time.Millisecond, true},
		"late":    {1500 * time.Millisecond, false},
	} {
		o := &fakeOutlook{forecast: outlook.Forecast{In: 3 * time.Second}, known: true, at: promised}
		p := &Promises{}
		first.queuedAt = time.Time{}
		err := admitOne(t, o, p, first, fullEndpoint())
		var refusal *AdmitError
		require.ErrorAs(t, err, &refusal)
		require.Equal(t, 900*time.Millisecond, refusal.RetryAfter)
		require.NotErrorIs(t, err, errNoSlot)

		again := engineExchange()
		again.Call.RequestHash = request
		again.Received = first.Received.Add(tc.after)
		err = admitOne(t, o, p, again, fullEndpoint())
		require.True(t, again.returned.Promised, name)
		require.Equal(t, tc.inTime, again.returned.InTime, name)
		var refused *admission.RefusedError
		if tc.inTime {
			require.NotErrorAs(t, err, &refused, name)
			require.Equal(t, first.Received, again.queuedAt, name)
			continue
		}
		require.ErrorAs(t, err, &refused, name)
		require.Equal(t, again.Received, again.queuedAt, name)
	}
}

// TestRetryWhenReachable guards against calling callers of a plain service back a second after
// its endpoints, which refused connections, are tried again.
func TestRetryWhenReachable(t *testing.T) {
	x := engineExchange()
	x.Target.Unit = ""
	down, leaving := &routing.Endpoint{Name: "e", Pool: "p"}, &routing.Endpoint{Name: "l", Pool: "p"}
	down.MarkUnreachable(x.Received.Add(-200 * time.Millisecond))
	leaving.MarkUnreachable(x.Received.Add(-400 * time.Millisecond))
	leaving.SetLeaving(true)
	x.Target.Policy.FirstToken = 0
	err := admitOne(t, nil, nil, x, down, leaving)
	var refusal *AdmitError
	require.ErrorAs(t, err, &refusal)
	require.GreaterOrEqual(t, refusal.RetryAfter, 300*time.Millisecond)
	require.LessOrEqual(t, refusal.RetryAfter, 390*time.Millisecond)
}

// TestPromiseOfAnother guards against overriding the time that whoever lends the places has kept a
// place for.
func TestPromiseOfAnother(t *testing.T) {
	x := engineExchange()
	x.Call.RequestHash = 79
	r := &Promises{}
	f := admit{outlook: &fakeOutlook{at: x.Received.Add(time.Minute)}, promises: r}
	refusal := &AdmitError{RetryAfter: 700 * time.Millisecond, Promised: true}
	require.True(t, f.promiseReturn(x, refusal, x.Received))
	require.Equal(t, 700*time.Millisecond, refusal.RetryAfter)
	require.True(t, r.Take(x.Received.Add(700*time.Millisecond), 79).InTime)
}

// TestNoSlotIsSaid guards against calling a caller back to a time that it does not have: a third
// of its 12 s.
func TestNoSlotIsSaid(t *testing.T) {
	x := engineExchange()
	x.Call.RequestHash = 78
	o := &fakeOutlook{forecast: outlook.Forecast{In: 3 * time.Second}, known: true, at: x.Received.Add(4001 * time.Millisecond)}
	r := &Promises{}
	err := admitOne(t, o, r, x, fullEndpoint())
	require.ErrorIs(t, err, errNoSlot)
	var refusal *AdmitError
	require.ErrorAs(t, err, &refusal)
	require.Equal(t, 4001*time.Millisecond, refusal.RetryAfter, "the first time with room is told all the same")
	require.False(t, r.Take(x.Received, 78).Promised)
}

// failureRecorder is a dialect that keeps the failure that it is to write.
type failureRecorder struct {
	Dialect
	answer Answer
}

func (d *failureRecorder) WriteFailure(_ http.ResponseWriter, a Answer) { d.answer = a }

// TestNoSettingsYet guards against callers who use up their tries at instances that have started
// while the store is out of reach. One that has just started has its settings in a moment.
func TestNoSettingsYet(t *testing.T) {
	var d failureRecorder
	WriteNoSettings(&d, nil, false)
	require.Equal(t, defaultRetryAfter, d.answer.RetryAfter)
	WriteNoSettings(&d, nil, true)
	require.GreaterOrEqual(t, d.answer.RetryAfter, noStoreRetryAfter)
	require.True(t, d.answer.NotRun())
	WriteStopping(&d, nil)
	require.Equal(t, stoppingRetryAfter, d.answer.RetryAfter)
	require.True(t, d.answer.NotRun())
}
