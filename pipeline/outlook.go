package pipeline

import (
	"errors"
	"time"

	"github.com/eiderspring/eiderspring/admission"
	"github.com/eiderspring/eiderspring/outlook"
	"github.com/eiderspring/eiderspring/routing"
)

// Outlook knows when requests can start, and gives refused callers times with room.
type Outlook interface {
	// Look returns when a request of the given priority can start; false if that is not known.
	Look(now time.Time, unit string, priority int) (outlook.Forecast, bool)
	// Reserve promises a caller a time until latest to come back at.
	// It reports false if there is none; at is then the first time with room, or zero if none
	// is known.
	Reserve(now time.Time, unit string, who outlook.Caller, latest time.Time) (at time.Time, ok bool)
	// Promise records that a caller was promised a time by someone else.
	Promise(now time.Time, unit string, who outlook.Caller, at time.Time)
	// CountStart counts a request that is sent to an endpoint.
	CountStart(unit string)
	// CountRefusal counts a request that is refused because of a forecast.
	CountRefusal(now time.Time, unit string, f outlook.Forecast)
}

// errNoSlot tells a refused caller that it need not come back.
var errNoSlot = errors.New("no place is expected in the time that the caller has")

// forecastCheck decides whether a request that finds no slot cannot start in its time.
type forecastCheck struct {
	outlook Outlook
	router  *routing.Router
	x       *Exchange
	w       *admission.Waiter
	req     *routing.Request
	now     func() time.Time
	// waits is set once the request has been asked about, as it then waits.
	waits bool
	// by is the forecast by which the request cannot start; nil if it may.
	by *outlook.Forecast
}

// cannotStart implements admission.Waiter.CannotStart.
func (c *forecastCheck) cannotStart() bool {
	now := c.now()
	joining := !c.waits
	c.waits = true
	f, known := c.outlook.Look(now, c.x.Target.Unit, c.x.Target.Policy.Priority)
	if !known || !cannotStart(f, joining, now, c.w.StartBy) {
		return false
	}
	// What this instance sees goes before what it was told.
	c.req.Now = now
	want := routing.ErrNoCapacity
	if f.NoReplica {
		want = routing.ErrNoReplica
	}
	if !errors.Is(c.router.Check(c.req), want) {
		return false
	}
	c.by = &f
	return true
}

// cannotStart reports whether a forecast says that a request cannot start by startBy. A load ends
// for all at the same time. A queue's forecast is for who joins it now: one that waits already is
// ahead of those, and the queue that it is in knows its turn.
func cannotStart(f outlook.Forecast, joining bool, now, startBy time.Time) bool {
	return (f.NoReplica || joining) && now.Add(f.In).After(startBy)
}

// mayCheckForecast reports whether the request may be refused because of a forecast: not if it
// may have run before, and not at the time that it was promised.
func (x *Exchange) mayCheckForecast() bool {
	return x.Target.Unit != "" && !x.dispatched && !x.answerStarted && !x.returned.InTime
}

// promiseReturn gives a refused caller a time to come back at, if any is known, and reports
// whether it is one with room.
func (f admit) promiseReturn(x *Exchange, refusal *AdmitError, now time.Time) (promised bool) {
	if f.outlook == nil || x.Target.Unit == "" || x.dispatched {
		return false
	}
	who := outlook.Caller{Request: x.Call.RequestHash, Since: x.queuedAt}
	if refusal.Promised {
		at := now.Add(refusal.RetryAfter)
		f.outlook.Promise(now, x.Target.Unit, who, at)
		f.promises.Record(now, who, at)
		return true
	}
	at, ok := f.outlook.Reserve(now, x.Target.Unit, who, x.returnBy(now))
	if at.IsZero() {
		return false
	}
	refusal.RetryAfter = at.Sub(now)
	if !ok {
		refusal.Err = errors.Join(refusal.Err, errNoSlot)
		return false
	}
	refusal.Promised = true
	f.promises.Record(now, who, at)
	return true
}

// retryWhenReachable calls the caller back when an endpoint to which no connection could be opened is
// tried again, if only such endpoints are left.
func (f admit) retryWhenReachable(req *routing.Request, refusal *AdmitError, pickErr error) {
	if !errors.Is(pickErr, routing.ErrNoReplica) {
		return
	}
	req.Now = f.now()
	if in, found := f.router.NextReachable(req); found {
		refusal.RetryAfter = addJitter(in)
	}
}

// refuse gives a caller that could not start by startBy a time to come back at. by is the forecast
// because of which it is refused; nil if it has waited in vain.
func (f admit) refuse(x *Exchange, refusal *AdmitError, startBy time.Time, by *outlook.Forecast) {
	now := f.now()
	promised := f.promiseReturn(x, refusal, now)
	if by == nil {
		return
	}
	f.outlook.CountRefusal(now, x.Target.Unit, *by)
	source := "queue"
	if by.NoReplica {
		source = "load"
	}
	f.log.Info("refused at once", "request", x.ID, "unit", x.Target.Unit, "source", source, "expected_ms", by.In.Milliseconds(), "forecast_age_ms", by.Age.Milliseconds(),
		"patience_ms", startBy.Sub(x.Received).Milliseconds(), "held_ms", now.Sub(x.Received).Milliseconds(), "retry_after_ms", refusal.RetryAfter.Milliseconds(), "slot", promised)
}
