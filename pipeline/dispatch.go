package pipeline

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/eiderspring/eiderspring/engine"
	"github.com/eiderspring/eiderspring/routing"
)

// dispatch sends the attempt to its endpoint and waits for the header of the answer.
type dispatch struct {
	client  *engine.Client
	retries *RetryBudgets
	router  *routing.Router
	limits  limitRecorder
	// conditions is Config.Conditions.
	conditions Conditions
	now        func() time.Time
}

// Process implements Filter.
func (f dispatch) Process(ctx context.Context, x *Exchange) error {
	a := x.attempt()
	resp, err := f.client.Do(ctx, x.engineAttempt())
	var notStarted *engine.NotStartedError
	if errors.As(err, &notStarted) {
		f.limits.recordCold(x, a.Decision.Endpoint, notStarted.Header)
		f.limits.recordRefusal(a.Decision.Endpoint, notStarted.Header)
		a.NotStarted, a.Unsent = true, notStarted.Unsent
		return &DispatchError{NotStarted: true, Err: err}
	}
	x.dispatched = true
	if err != nil {
		return &DispatchError{TimedOut: errors.Is(err, context.DeadlineExceeded), Err: err}
	}
	if x.Target.Unit != "" && resp.StatusCode == http.StatusOK {
		f.router.ObserveFirstToken(&a.Decision, f.now())
	}
	f.observeTime(x, resp)
	a.Decision.ReleasePrompt()
	f.recordLoad(x, resp)
	f.limits.recordCold(x, a.Decision.Endpoint, resp.Header)
	f.limits.recordAnswer(a.Decision, resp)
	if f.retryInstead(x, resp) {
		resp.Body.Close()
		return &DispatchError{Err: &FailedAnswerError{Status: resp.StatusCode}}
	}
	a.response = resp
	return nil
}

// recordLoad records the load that the endpoint reported with its answer.
func (f dispatch) recordLoad(x *Exchange, resp *http.Response) {
	l, reported := f.client.ReportedLoad(resp.Header)
	if !reported {
		return
	}
	e := x.attempt().Decision.Endpoint
	e.SetReportedLoad(routing.Load{At: f.now(), Running: l.Running, Waiting: l.Waiting, OwnAtReport: e.OwnInFlight()})
	if l.Slowdown > 0 {
		f.conditions.Slowdown(e, l.Slowdown)
	}
}

// FailedAnswerError is an endpoint's failure that is not passed on, because another
// attempt may succeed.
type FailedAnswerError struct{ Status int }

// Error returns the status.
func (e *FailedAnswerError) Error() string {
	return fmt.Sprintf("the endpoint failed with status %d", e.Status)
}

// retryInstead reports whether to make another attempt instead of passing on the
// endpoint's failure.
func (f dispatch) retryInstead(x *Exchange, resp *http.Response) bool {
	return resp.StatusCode >= http.StatusInternalServerError &&
		x.Target.Policy.Repeatable && x.attemptsLeft() && f.retries.CanRetry(x.Target.Pool)
}

// enginePriority is the priority of the latest attempt at its endpoint: a request that can
// no longer meet its target goes a level lower there too.
func (x *Exchange) enginePriority() int {
	if x.attempt().Decision.Late {
		return max(x.Target.Policy.Priority-1, lowestPriority)
	}
	return x.Target.Policy.Priority
}

// lowestPriority is the lowest priority that settings allow.
const lowestPriority = 0

// engineAttempt returns the latest attempt as it is sent to the endpoint.
func (x *Exchange) engineAttempt() engine.Attempt {
	a := x.attempt()
	e := a.Decision.Endpoint
	out := engine.Attempt{
		ID: a.ID, Endpoint: e.Name, Incarnation: e.Incarnation, Address: e.Address,
		Method: x.Call.Method, Path: x.Call.Path, Host: x.Call.Host, CallerHeader: x.Request.Header, Body: x.Call.Body,
		Account: x.Caller.Name, Priority: x.enginePriority(), Resume: x.begun(), ResumeAfter: x.offset,
	}
	return out
}
