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

// dispatch sends the attempt to its endpoint and waits for the answer's header.
type dispatch struct {
	client  *engine.Client
	retries *RetryBudgets
	router  *routing.Router
	limits  limits
	now     func() time.Time
}

// Process implements Filter.
func (f dispatch) Process(ctx context.Context, x *Exchange) error {
	a := x.attempt()
	resp, err := f.client.Do(ctx, x.engineAttempt())
	var notStarted *engine.NotStartedError
	if errors.As(err, &notStarted) {
		f.limits.cold(x, a.Decision.Endpoint, notStarted.Header)
		f.limits.refused(a.Decision.Endpoint, notStarted.Header)
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
	a.Decision.ReleasePrompt()
	f.noteLoad(x, resp)
	f.limits.cold(x, a.Decision.Endpoint, resp.Header)
	f.limits.answered(a.Decision, resp)
	if f.better(x, resp) {
		resp.Body.Close()
		return &DispatchError{Err: &FailedAnswerError{Status: resp.StatusCode}}
	}
	a.response = resp
	return nil
}

// noteLoad records the load that the endpoint told with its answer.
func (f dispatch) noteLoad(x *Exchange, resp *http.Response) {
	running, waiting, told := f.client.ReportedLoad(resp)
	if !told {
		return
	}
	e := x.attempt().Decision.Endpoint
	e.SetReportedLoad(routing.Load{At: f.now(), Running: running, Waiting: waiting, OwnAtReport: e.OwnInFlight()})
}

// FailedAnswerError is an endpoint's failure that is not passed on, as another
// attempt may do better.
type FailedAnswerError struct{ Status int }

// Error gives the status.
func (e *FailedAnswerError) Error() string {
	return fmt.Sprintf("the endpoint failed with status %d", e.Status)
}

// better tells whether another attempt is to be made in place of passing the
// endpoint's failure on.
func (f dispatch) better(x *Exchange, resp *http.Response) bool {
	return resp.StatusCode >= http.StatusInternalServerError &&
		x.Target.Policy.Repeatable && x.triesLeft() && f.retries.CanRetry(x.Target.Pool)
}

// rank is the priority of the newest attempt at its endpoint: one that cannot be in
// time goes behind all others there too.
func (x *Exchange) rank() int {
	if x.attempt().Decision.Late {
		return leastPriority
	}
	return x.Target.Policy.Priority
}

// leastPriority is behind all that settings give.
const leastPriority = 0

// engineAttempt is the newest attempt as it goes to the endpoint.
func (x *Exchange) engineAttempt() engine.Attempt {
	a := x.attempt()
	e := a.Decision.Endpoint
	out := engine.Attempt{
		ID: a.ID, Endpoint: e.Name, Incarnation: e.Incarnation, Address: e.Address,
		Method: x.Call.Method, Path: x.Call.Path, Host: x.Call.Host, CallerHeader: x.Request.Header, Body: x.Call.Body,
		Account: x.Caller.Name, Priority: x.rank(), Resume: x.reached, ResumeAfter: x.offset,
	}
	return out
}
