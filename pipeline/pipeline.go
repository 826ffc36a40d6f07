package pipeline

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"net/http"
	"runtime/debug"
	"time"

	"github.com/go-logr/logr"

	"github.com/eiderspring/eiderspring/allowance"
	"github.com/eiderspring/eiderspring/engine"
	"github.com/eiderspring/eiderspring/outcome"
	"github.com/eiderspring/eiderspring/permit"
	"github.com/eiderspring/eiderspring/quarantine"
	"github.com/eiderspring/eiderspring/routing"
	"github.com/eiderspring/eiderspring/settings"
)

// Filter is one step of the pipeline. An error ends the way forward; it is a
// Failure that says what became of the request.
type Filter interface {
	Process(ctx context.Context, x *Exchange) error
}

// Config sets up a pipeline.
type Config struct {
	// Catalog returns the settings in force.
	Catalog func() *settings.Catalog
	Router  *routing.Router
	Gates   *Gates
	Claims  Claims
	Engine  *engine.Client
	Metrics *Metrics
	Log     logr.Logger
	Now     func() time.Time
	// FailureDomain is the instance's own.
	FailureDomain string
	// Dialect is how callers speak.
	Dialect Dialect
	// Demand is told what is asked for; nil tells nobody.
	Demand *Demand
	// Refusals remembers who was refused; nil remembers nobody.
	Refusals *Refusals
	// OnNoReplica is told when a request finds no replica of its unit.
	OnNoReplica func()
	// EndpointsAgeMS is how long ago it was certain which endpoints leave, in
	// milliseconds and for the log; -1 if it never was. Nil means always certain.
	EndpointsAgeMS func() int64
	// SettingsOutdated tells whether newer settings are known to be accepted than those in force;
	// nil means never.
	SettingsOutdated func() bool
	// Revisions tells which settings that concerns; nil means that nobody knows.
	Revisions func() Revisions
	// Retries bounds second attempts; nil means DefaultRetryLimits.
	Retries *RetryBudgets
	// Quarantine holds back requests that end endpoints; nil holds none.
	Quarantine *quarantine.Manager
	// Allowances bounds what accounts may ask; nil bounds nothing.
	Allowances *allowance.Limiter
	// Permits is told the limits that endpoints name; nil tells nobody.
	Permits *permit.Limiter
}

// Pipeline serves callers. It is an http.Handler.
type Pipeline struct {
	cfg     Config
	prepare []Filter
	attempt []Filter
	settle  settle
	retries *RetryBudgets
	breaks  *breaks
	// deadlines are those of the requests in progress.
	deadlines deadlines
}

// maxAttempts bounds the attempts of one request.
const maxAttempts = 4

// New returns a pipeline.
func New(cfg Config) *Pipeline {
	if cfg.Retries == nil {
		cfg.Retries = NewRetryBudgets(DefaultRetryLimits)
	}
	if cfg.OnNoReplica == nil {
		cfg.OnNoReplica = func() {}
	}
	if cfg.SettingsOutdated == nil {
		cfg.SettingsOutdated = func() bool { return false }
	}
	if cfg.EndpointsAgeMS == nil {
		cfg.EndpointsAgeMS = func() int64 { return 0 }
	}
	limits := limits{client: cfg.Engine, permits: cfg.Permits, catalog: cfg.Catalog, log: cfg.Log, now: cfg.Now}
	return &Pipeline{
		cfg:       cfg,
		deadlines: deadlines{now: cfg.Now, ends: map[*Exchange]context.CancelFunc{}},
		prepare:   cfg.Dialect.PrepareFilters(),
		attempt: []Filter{
			admit{gates: cfg.Gates, router: cfg.Router, failureDomain: cfg.FailureDomain, unreachable: cfg.OnNoReplica, refusals: cfg.Refusals, now: cfg.Now},
			route{log: cfg.Log, endpointsAgeMS: cfg.EndpointsAgeMS}, dispatch{client: cfg.Engine, retries: cfg.Retries, router: cfg.Router, limits: limits, now: cfg.Now},
			relay{client: cfg.Engine, dialect: cfg.Dialect, now: cfg.Now},
		},
		settle:  settle{dialect: cfg.Dialect, log: cfg.Log, metrics: cfg.Metrics, now: cfg.Now, allowances: cfg.Allowances},
		retries: cfg.Retries,
		breaks:  &breaks{keeper: cfg.Quarantine, listens: cfg.Engine.IsListening, log: cfg.Log, waiting: map[*routing.Endpoint][]broken{}},
	}
}

// ServeHTTP implements http.Handler.
func (p *Pipeline) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	x := &Exchange{ID: rand.Text(), Received: p.cfg.Now(), Writer: w, Request: r, offset: -1}
	p.settle.end(r.Context(), x, p.guarded(r.Context(), x))
}

// PanicError is a fault in the request path.
type PanicError struct{ Value any }

// Error gives the fault.
func (e *PanicError) Error() string { return fmt.Sprintf("fault: %v", e.Value) }

// guarded serves a request and turns a fault into an error: net/http would end the
// connection, and the caller would get neither an answer nor a refusal.
func (p *Pipeline) guarded(ctx context.Context, x *Exchange) (err error) {
	defer func() {
		if v := recover(); v != nil {
			err = &DispatchError{Err: &PanicError{Value: v}}
			p.cfg.Log.Error(err, "fault in the request path", "request", x.ID, "stack", string(debug.Stack()))
		}
	}()
	return p.serve(ctx, x)
}

func (p *Pipeline) serve(ctx context.Context, x *Exchange) error {
	if err := run(ctx, p.prepare, x); err != nil {
		return p.unlessOutdated(err)
	}
	if err := p.allow(x); err != nil {
		return err
	}
	x.Fingerprint = quarantine.FingerprintOf(x.Caller.Name, x.Call.Method, x.Request.RequestURI, x.Call.Body)
	if !x.Target.Policy.Repeatable && x.Call.IdempotencyKey != "" {
		// A claimed request goes on without its caller, who may ask again.
		ctx = context.WithoutCancel(ctx)
	}
	ctx, cancel := context.WithTimeout(ctx, x.deadline().Sub(p.cfg.Now()))
	defer cancel()
	if err := p.cfg.Quarantine.Begin(&x.flight, x.Fingerprint, cancel); err != nil {
		return &QuarantineError{Err: err}
	}
	defer x.flight.End()
	p.deadlines.add(x, cancel)
	defer p.deadlines.remove(x)
	return x.reason(p.attempts(ctx, x))
}

// unlessOutdated says of a name that is not known whether newer settings may know it.
func (p *Pipeline) unlessOutdated(err error) error {
	if unknown := (*ResolveError)(nil); errors.As(err, &unknown) && p.cfg.SettingsOutdated() {
		return &OutdatedSettingsError{Name: unknown.Name, Revisions: p.revisions()}
	}
	return err
}

// revisions tells which settings are in force; nothing where nobody knows.
func (p *Pipeline) revisions() Revisions {
	if p.cfg.Revisions == nil {
		return Revisions{}
	}
	return p.cfg.Revisions()
}

// allow counts a request against its caller's allowance.
func (p *Pipeline) allow(x *Exchange) error {
	limit := x.Caller.Allowance
	if limit == nil {
		return nil
	}
	cost := limit.Cost(x.Call.PromptTokens + x.Call.OutputTokens)
	admitted, retryAfter := p.cfg.Allowances.Admit(p.cfg.Now(), x.Caller.Name, cost)
	if !admitted {
		return &AllowanceError{Account: x.Caller.Name, RetryAfter: spread(retryAfter)}
	}
	x.charged = cost
	return nil
}

// attempts makes attempts until one succeeds or another makes no sense.
func (p *Pipeline) attempts(ctx context.Context, x *Exchange) error {
	if err := (claimKey{claims: p.cfg.Claims}).Process(ctx, x); err != nil {
		return err
	}
	p.retries.Deposit(x.Target.Pool)
	p.cfg.Demand.asked(x)
	for {
		err := p.try(ctx, x)
		if err == nil || !p.again(ctx, x, err) {
			return err
		}
	}
}

// reason gives the reason of a request that may have been ended from elsewhere.
func (x *Exchange) reason(err error) error {
	if err == nil {
		return nil
	}
	if held := x.flight.Held(); held != nil {
		return &QuarantineError{Err: held}
	}
	if x.overdue.Load() && x.dispatched {
		return &DispatchError{TimedOut: true, Err: errOverdue}
	}
	return err
}

// try makes one attempt and gives its place back.
func (p *Pipeline) try(ctx context.Context, x *Exchange) error {
	ctx, cancel := p.timeLeft(ctx, x)
	defer cancel()
	before := len(x.Attempts)
	err := run(ctx, p.attempt, x)
	if len(x.Attempts) == before {
		return err
	}
	a := x.attempt()
	p.rate(ctx, x.Target.Unit, a, err)
	p.noteBreak(ctx, x, err)
	p.cfg.Router.Release(&a.Decision)
	p.cfg.Gates.Pool(x.Target.Pool).Completed()
	if err != nil && mayRun(err) && x.Target.Kind == settings.KindEngine {
		p.cancel(ctx, x)
	}
	return err
}

// mayRun tells whether a failed attempt may still be running at its endpoint.
// Only a failed dispatch proves that it is not: a resumption that could not
// start says nothing of the attempt that it was to go on with.
func mayRun(err error) bool {
	var failed *DispatchError
	return !errors.As(err, &failed) || !failed.NotStarted
}

// rate tells the endpoint's record how the attempt went.
func (p *Pipeline) rate(ctx context.Context, unit string, a *Attempt, err error) {
	var notStarted *engine.NotStartedError
	switch {
	case err == nil:
		a.Decision.Endpoint.RecordSuccess()
	case ctx.Err() != nil:
		// The caller's leaving or deadline says nothing of the endpoint.
	case errors.As(err, &notStarted) && notStarted.Replaced:
		a.Decision.Endpoint.SetReplaced()
	case errors.As(err, &notStarted) && notStarted.NotResident:
		// A refusal is no failure of the endpoint, but what was believed of it is
		// wrong.
		a.Decision.Endpoint.MarkNotResident(unit, p.cfg.Now())
	case errors.As(err, &notStarted) && notStarted.Busy:
		a.Decision.Endpoint.MarkFull(p.cfg.Now())
	case errors.As(err, &notStarted) && notStarted.Unsent:
		a.Decision.Endpoint.RecordFailure(p.cfg.Now())
		a.Decision.Endpoint.MarkUnreachable(p.cfg.Now())
	default:
		a.Decision.Endpoint.RecordFailure(p.cfg.Now())
	}
}

// noteBreak tells of an attempt that may have run and broke at its endpoint, which may
// have ended under it, and of one that was answered well.
func (p *Pipeline) noteBreak(ctx context.Context, x *Exchange, err error) {
	if err == nil {
		// A failure that an endpoint tells may come before it runs the request.
		if x.attempt().response.StatusCode < http.StatusMultipleChoices {
			p.cfg.Quarantine.RecordSuccess(x.Fingerprint)
		}
		return
	}
	if ctx.Err() != nil || !brokeOff(err) {
		return
	}
	a := x.attempt()
	p.cfg.Log.Info("attempt broke", "request", x.ID, "fingerprint", x.Fingerprint.String(), "caller", x.Caller.Name, "from", x.from(),
		"endpoint", a.Decision.Endpoint.Name, "ran_ms", p.cfg.Now().Sub(a.Decision.At).Milliseconds(), "bytes", x.Bytes, "error", err.Error())
	p.breaks.add(a.Decision.Endpoint, broken{fingerprint: x.Fingerprint, account: x.Caller.Name})
}

// cancelTimeout bounds the word to an engine that nobody waits any more.
const cancelTimeout = 2 * time.Second

func (p *Pipeline) cancel(ctx context.Context, x *Exchange) {
	attempt := x.engineAttempt()
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), cancelTimeout)
	go func() {
		defer cancel()
		if err := p.cfg.Engine.Cancel(ctx, attempt); err != nil {
			p.cfg.Log.Info("cancel failed", "request", x.ID, "attempt", attempt.ID, "error", err.Error())
		}
	}()
}

// again tells whether another attempt is sound and worth making.
func (p *Pipeline) again(ctx context.Context, x *Exchange, err error) bool {
	failure := classify(err)
	var fromEndpoint bool
	switch failure.(type) {
	case *DispatchError, *RelayError:
		fromEndpoint = true
	}
	if !fromEndpoint || ctx.Err() != nil || !x.triesLeft() {
		return false
	}
	if x.reached && !x.resumable() {
		return false
	}
	if failure.Outcome() != outcome.NotRun && !x.Target.Policy.Repeatable {
		return false
	}
	if x.attempt().Unsent {
		// Nothing has reached an endpoint, so none is burdened by the retry.
		return true
	}
	return p.retries.TryWithdraw(x.Target.Pool)
}

func run(ctx context.Context, filters []Filter, x *Exchange) error {
	for _, f := range filters {
		if err := f.Process(ctx, x); err != nil {
			return err
		}
	}
	return nil
}
