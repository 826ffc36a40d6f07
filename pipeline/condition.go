package pipeline

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/eiderspring/eiderspring/engine"
	"github.com/eiderspring/eiderspring/routing"
)

// Conditions receives what attempts show of their endpoints.
type Conditions interface {
	// Ended records that the endpoint has served an attempt or failed it.
	Ended(e *routing.Endpoint, failed, trial bool)
	// Took records a time of an attempt that shows the endpoint's speed.
	Took(e *routing.Endpoint, t Timing)
	// Slowdown records how many times the usual work takes at the endpoint, as it states itself.
	Slowdown(e *routing.Endpoint, slowdown float64)
	// Withheld records that the endpoint has rejected a unit that it holds although it has room;
	// Served that it has served one.
	Withheld(e *routing.Endpoint, unit string)
	Served(e *routing.Endpoint, unit string)
}

// Timing is a time that shows an endpoint's speed.
type Timing struct {
	Kind TimingKind
	// Model is empty for a plain service.
	Model string
	// Crowd is how full the endpoint was, as by routing.Endpoint.Crowd.
	Crowd int
	Took  time.Duration
}

// TimingKind is what was timed.
type TimingKind string

// Kinds of timings.
const (
	// TimedFirstToken is the time to the first token; Took is relative to one second for an
	// endpoint at the usual speed.
	TimedFirstToken TimingKind = "first"
	// TimedEvents is the mean time between the events of an answer.
	TimedEvents TimingKind = "events"
	// TimedPlain is the time of a plain request without its wait at the endpoint.
	TimedPlain TimingKind = "plain"
)

type noConditions struct{}

func (noConditions) Ended(*routing.Endpoint, bool, bool)       {}
func (noConditions) Took(*routing.Endpoint, Timing)            {}
func (noConditions) Slowdown(*routing.Endpoint, float64)       {}
func (noConditions) Withheld(e *routing.Endpoint, unit string) {}
func (noConditions) Served(e *routing.Endpoint, unit string)   {}

// recordResult records the result of an attempt at its endpoint.
func (p *Pipeline) recordResult(ctx context.Context, x *Exchange, err error) {
	a := x.attempt()
	e := a.Decision.Endpoint
	var notStarted *engine.NotStartedError
	switch {
	case err == nil:
		p.recordAnswer(x, a)
	case ctx.Err() != nil || callerGone(err):
		// The cancellation or deadline of the request, or its caller, says nothing about the
		// endpoint.
	case errors.As(err, &notStarted) && notStarted.Declined:
		// The endpoint was not asked.
	case p.lostHere(err):
		e.MarkUnreachable(p.cfg.Now())
	case errors.As(err, &notStarted) && notStarted.Replaced:
		e.SetReplaced()
	case errors.As(err, &notStarted) && notStarted.NotResident:
		// A refusal is not a failure of the endpoint; this instance's view of its units is
		// wrong.
		e.MarkNotResident(x.Target.Unit, p.cfg.Now())
	case errors.As(err, &notStarted) && notStarted.Busy:
		p.recordBusy(x, a, notStarted.Header)
	case errors.As(err, &notStarted) && notStarted.Unsent:
		e.RecordFailure(p.cfg.Now())
		e.MarkUnreachable(p.cfg.Now())
		p.cfg.Conditions.Ended(e, true, a.Decision.Trial)
	case notStarted != nil || passedDeadline(err):
		// Another refusal, or the request's own deadline has passed at the endpoint.
		e.RecordFailure(p.cfg.Now())
	default:
		e.RecordFailure(p.cfg.Now())
		p.cfg.Conditions.Ended(e, true, a.Decision.Trial)
	}
}

// callerGone reports whether the caller ended the attempt.
func callerGone(err error) bool {
	var relayed *RelayError
	return errors.As(err, &relayed) && relayed.CallerGone
}

// passedDeadline reports whether the endpoint answered that the request's deadline has passed.
func passedDeadline(err error) bool {
	var failed *FailedAnswerError
	return errors.As(err, &failed) && failed.Status == http.StatusGatewayTimeout
}

// recordAnswer records an answer that was passed on in full. An error of the endpoint is a
// failure, an error of the request says nothing about the endpoint. With a gateway time-out an
// endpoint states that the request's own deadline has passed.
func (p *Pipeline) recordAnswer(x *Exchange, a *Attempt) {
	e, status := a.Decision.Endpoint, a.response.StatusCode
	switch {
	case status == http.StatusGatewayTimeout:
	case status >= http.StatusInternalServerError:
		p.cfg.Conditions.Ended(e, true, a.Decision.Trial)
	case status < http.StatusBadRequest:
		p.cfg.Router.RecordServed(p.cfg.Now(), &a.Decision)
		p.cfg.Conditions.Ended(e, false, a.Decision.Trial)
		if x.Target.Unit != "" {
			p.cfg.Conditions.Served(e, x.Target.Unit)
		}
		if gap := a.meanEventGap(); gap > 0 {
			p.cfg.Conditions.Took(e, Timing{Kind: TimedEvents, Model: x.model(), Crowd: a.Decision.Crowd, Took: gap})
		}
	}
}

// recordBusy records that an endpoint has rejected an attempt. If it has room by its own report,
// and announces no limit and asks for no rest, it withholds the unit: it is about to unload it, or an order is under
// way.
func (p *Pipeline) recordBusy(x *Exchange, a *Attempt, head http.Header) {
	a.Rejected = a.Decision.Lent
	if x.Target.Unit != "" && p.hasRoom(head) {
		p.cfg.Conditions.Withheld(a.Decision.Endpoint, x.Target.Unit)
		return
	}
	p.cfg.Router.RecordRejection(p.cfg.Now(), &a.Decision)
}

// hasRoom reports whether the header of a refusal shows that the endpoint has room.
func (p *Pipeline) hasRoom(head http.Header) bool {
	load, reported := p.cfg.Engine.ReportedLoad(head)
	if !reported || !load.HasRoom() || p.cfg.Engine.ColdRemaining(head) > 0 || p.cfg.Engine.StatementOf(http.StatusServiceUnavailable, head).Rest > 0 {
		return false
	}
	limit, err := p.cfg.Engine.ReportedLimit(head)
	return err == nil && !limit.Present
}

// observeTime records how long the endpoint took to begin an answer.
func (f dispatch) observeTime(x *Exchange, resp *http.Response) {
	if resp.StatusCode >= http.StatusMultipleChoices {
		return
	}
	d := &x.attempt().Decision
	t := Timing{Kind: TimedPlain, Crowd: 0, Took: f.now().Sub(d.At)}
	switch load, reported := f.client.ReportedLoad(resp.Header); {
	case x.Target.Unit != "" && d.Late:
		// It was queued after others there.
		return
	case x.Target.Unit != "":
		t.Kind, t.Model, t.Crowd = TimedFirstToken, x.model(), d.Crowd
		t.Took = time.Duration(d.FirstTokenRatio(t.Took) * float64(time.Second))
	case reported && load.Slots > 0:
		// What waits now is taken for what was ahead.
		t.Took = time.Duration(float64(t.Took) * float64(load.Slots) / float64(load.Slots+load.Waiting))
	}
	f.conditions.Took(d.Endpoint, t)
}

// model returns the model that runs the request; empty for a plain service.
func (x *Exchange) model() string {
	if x.Target.Model != "" {
		return x.Target.Model
	}
	return x.Target.Unit
}

// countEvent counts an event of the answer.
func (a *Attempt) countEvent(now time.Time) {
	if a.events == 0 {
		a.firstEventAt = now
	}
	a.events++
	a.lastEventAt = now
}

// minEventGaps is how many gaps between events show an endpoint's pace.
const minEventGaps = 8

// meanEventGap returns the mean time between the events of the answer; 0 if there are too few.
func (a *Attempt) meanEventGap() time.Duration {
	if a.events <= minEventGaps {
		return 0
	}
	return a.lastEventAt.Sub(a.firstEventAt) / time.Duration(a.events-1)
}
