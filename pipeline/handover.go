package pipeline

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/eiderspring/eiderspring/engine"
	"github.com/eiderspring/eiderspring/handover"
	"github.com/eiderspring/eiderspring/outcome"
	"github.com/eiderspring/eiderspring/routing"
)

// Handover hands requests over to other instances while this one reaches no endpoint.
type Handover interface {
	// Active reports whether no endpoint can be reached from here.
	Active() bool
	// Doubtful reports whether several endpoints could not be reached from here, so that a failure
	// to reach one says nothing about it.
	Doubtful() bool
	// Reachable waits while it is not known whether endpoints can be reached from here, and
	// reports whether they can.
	Reachable(ctx context.Context) bool
	// Send hands a request over. The instance is the one that has taken it, or may have. The
	// error is errors.Is ErrNoHelper if no instance has taken the request, and none will;
	// after any other error it may have run.
	Send(ctx context.Context, a engine.Attempt, e handover.Envelope) (resp *http.Response, instance string, err error)
}

// ErrNoHelper is returned by Handover.Send if no instance takes the request.
var ErrNoHelper = errors.New("no other instance takes the request")

// errCutOff ends an attempt, or the wait for one, that has nowhere to go as this instance reaches
// no endpoint.
var errCutOff = errors.New("this instance reaches no endpoint")

// HandoverError is a failure that another instance has reported for a request that it has taken.
type HandoverError struct {
	Instance string
	Failure  handover.Failure
}

// Error names the instance and the failure.
func (e *HandoverError) Error() string {
	return "instance " + e.Instance + ": " + e.Failure.Code + ": " + e.Failure.Message
}

// Outcome implements Failure.
func (e *HandoverError) Outcome() outcome.Outcome { return e.Failure.Outcome }

// Answer implements Failure.
func (e *HandoverError) Answer() Answer {
	f := e.Failure
	return Answer{Status: f.Status, Code: f.Code, Message: f.Message, Field: f.Field, RetryAfter: time.Duration(f.RetryAfterMS) * time.Millisecond}
}

// cutOff reports whether the request has to leave this instance: it reaches no endpoint, and the
// request may be handed over or was handed over to it.
func (p *Pipeline) cutOff(x *Exchange) bool {
	return p.cfg.Handover != nil && !x.stays && p.cfg.Handover.Active()
}

// lostHere reports whether a failed attempt may only show that this instance has lost its path to
// the endpoints.
func (p *Pipeline) lostHere(err error) bool {
	if p.cfg.Handover == nil || !p.cfg.Handover.Doubtful() {
		return false
	}
	var notStarted *engine.NotStartedError
	if errors.As(err, &notStarted) {
		return notStarted.Unsent
	}
	return connectionLost(err)
}

// handOver sends the request to another instance and passes its answer on. It returns false if no
// instance takes the request, which then stays here.
func (p *Pipeline) handOver(ctx context.Context, x *Exchange) (taken bool, err error) {
	ctx, cancel := p.withTimeLeft(ctx, x)
	defer cancel()
	sentAt := p.cfg.Now()
	resp, instance, err := p.cfg.Handover.Send(ctx, x.handoverAttempt(), x.envelope(sentAt))
	if errors.Is(err, ErrNoHelper) {
		x.stays = true
		return false, nil
	}
	x.handedTo = instance
	x.Attempts = append(x.Attempts, Attempt{ID: x.Call.AttemptID, Decision: routing.Decision{Endpoint: &routing.Endpoint{Name: instance}, At: sentAt}})
	if err != nil {
		x.dispatched = true
		return true, &DispatchError{TimedOut: errors.Is(err, context.DeadlineExceeded), Err: err}
	}
	failure, failed, err := handover.DecodeFailure(resp.Header)
	if err != nil || failed {
		resp.Body.Close()
	}
	if err != nil {
		x.dispatched = true
		return true, &DispatchError{Err: err}
	}
	if failed {
		x.dispatched = x.dispatched || failure.Outcome != outcome.NotRun && failure.Outcome != outcome.Rejected
		return true, &HandoverError{Instance: instance, Failure: failure}
	}
	x.dispatched = true
	x.attempt().response = resp
	return true, relay{client: p.cfg.Engine, dialect: p.cfg.Dialect, now: p.cfg.Now}.Process(ctx, x)
}

// handoverAttempt returns the request as it is sent to another instance: as the caller sent it.
func (x *Exchange) handoverAttempt() engine.Attempt {
	return engine.Attempt{ID: x.ID, Method: x.Request.Method, Path: x.Request.RequestURI, Host: x.Request.Host, CallerHeader: x.Request.Header, Body: x.Call.Body}
}

// envelope returns what the receiver must know of the request besides.
func (x *Exchange) envelope(now time.Time) handover.Envelope {
	e := handover.Envelope{
		Account: x.Caller.Name, Revision: x.Revision, AgeMS: now.Sub(x.Received).Milliseconds(), Tried: x.triedEndpoints(), Counted: x.counted,
	}
	if x.answerStarted {
		e.ResumeAfter = &x.offset
	}
	if x.bound {
		e.SoftwareVersion = x.softwareVersion
	}
	return e
}

// ServeHandedOver serves a request that another instance has handed over.
func (p *Pipeline) ServeHandedOver(w http.ResponseWriter, r *http.Request, e handover.Envelope) {
	x := p.newExchange(w, r)
	x.Received = x.Received.Add(-e.Age())
	x.handedOver, x.counted, x.triedBefore = &e, e.Counted, e.Tried
	if e.ResumeAfter != nil {
		x.continues, x.offset = true, *e.ResumeAfter
	}
	if e.ResumeAfter != nil || e.SoftwareVersion != "" {
		x.bind(e.SoftwareVersion)
	}
	x.Request = r.WithContext(context.WithValue(r.Context(), accountKey{}, e.Account))
	p.settle.end(r.Context(), x, p.serveRecovered(r.Context(), x))
}

// accountKey is the key of a context value: the account of a request that another instance has
// identified.
type accountKey struct{}

// identifiedAccount returns the account that another instance has identified; false if the request
// comes from its caller.
func identifiedAccount(r *http.Request) (string, bool) {
	account, handedOver := r.Context().Value(accountKey{}).(string)
	return account, handedOver
}

// answerHandedOver reports a failure to the instance that has handed the request over. A request
// that has not run, because this instance has lost its path meanwhile, may go to another one.
func (x *Exchange) answerHandedOver(err error, a Answer) {
	if errors.Is(err, errCutOff) && x.Outcome == outcome.NotRun {
		handover.Refuse(x.Writer, handover.CutOff)
		return
	}
	handover.WriteFailure(x.Writer, handover.Failure{
		Outcome: x.Outcome, Status: a.Status, Code: a.Code, Message: a.Message, Field: a.Field, RetryAfterMS: a.RetryAfter.Milliseconds(),
	})
}
