package pipeline

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"net/http"
	"runtime/debug"
	"sync/atomic"
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

// Filter is one step of the pipeline. An error stops the pipeline; it is a Failure that
// gives the outcome of the request.
type Filter interface {
	Process(ctx context.Context, x *Exchange) error
}

// Config configures a pipeline.
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
	// FailureDomain is that of the instance.
	FailureDomain string
	// Dialect is the API that callers use.
	Dialect Dialect
	// Demand counts the requested work; nil counts nothing.
	Demand *Demand
	// Promises remembers when refused callers were told to come back; nil remembers nothing.
	Promises *Promises
	// Outlook knows when requests can start; nil knows nothing, and requests wait.
	Outlook Outlook
	// OnNoReplica is called when a request finds no replica of its unit.
	OnNoReplica func()
	// EndpointsAgeMS returns the time in milliseconds, for the log, since this instance
	// last knew for certain which endpoints are leaving; -1 if it never did. Nil means that
	// it always does.
	EndpointsAgeMS func() int64
	// SettingsOutdated reports whether settings newer than those in force are known to
	// have been accepted; nil means never.
	SettingsOutdated func() bool
	// Revisions returns the revisions for which SettingsOutdated holds; nil means unknown.
	Revisions func() Revisions
	// Retries bounds retries; nil means DefaultRetryLimits.
	Retries *RetryBudgets
	// Quarantine holds back requests that terminate endpoints; nil holds back none.
	Quarantine *quarantine.Manager
	// Allowances bounds what accounts may request; nil bounds nothing.
	Allowances *allowance.Limiter
	// Permits receives the limits that endpoints announce; nil ignores them.
	Permits *permit.Limiter
	// Conditions receives how attempts end, by endpoint; nil ignores it.
	Conditions Conditions
	// StreamVersions knows where streams began; nil knows none, and keeps none.
	StreamVersions StreamVersions
	// Refuses reports whether the instance, as it stops, has no time for a request with a deadline that no
	// endpoint may have run; nil means never.
	Refuses func(deadline time.Time) bool
	// Handover hands requests over to other instances while this one reaches no endpoint; nil
	// means that they stay.
	Handover Handover
}

// Pipeline serves callers. It implements http.Handler.
type Pipeline struct {
	cfg          Config
	prepare      []Filter
	attempt      []Filter
	settle       settle
	retries      *RetryBudgets
	terminations *terminationDetector
	// deadlines tracks the requests in progress.
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
	if cfg.Conditions == nil {
		cfg.Conditions = noConditions{}
	}
	p := &Pipeline{cfg: cfg}
	limits := limitRecorder{client: cfg.Engine, permits: cfg.Permits, catalog: cfg.Catalog, log: cfg.Log, now: cfg.Now}
	p.deadlines = deadlines{now: cfg.Now, cancels: map[*Exchange]context.CancelFunc{}}
	p.prepare = cfg.Dialect.PrepareFilters()
	p.attempt = []Filter{
		admit{
			cutOff: p.cutOff, refuses: p.refuses,
			gates: cfg.Gates, router: cfg.Router, failureDomain: cfg.FailureDomain, onNoReplica: cfg.OnNoReplica, promises: cfg.Promises,
			numbers: &atomic.Uint64{}, demand: cfg.Demand, outlook: cfg.Outlook, log: cfg.Log, now: cfg.Now,
		},
		route{log: cfg.Log, endpointsAgeMS: cfg.EndpointsAgeMS},
		dispatch{client: cfg.Engine, retries: cfg.Retries, router: cfg.Router, limits: limits, conditions: cfg.Conditions, now: cfg.Now},
		relay{client: cfg.Engine, dialect: cfg.Dialect, versions: cfg.StreamVersions, now: cfg.Now, quarantine: cfg.Quarantine},
	}
	p.settle = settle{dialect: cfg.Dialect, log: cfg.Log, metrics: cfg.Metrics, now: cfg.Now, allowances: cfg.Allowances}
	p.retries = cfg.Retries
	p.terminations = &terminationDetector{quarantine: cfg.Quarantine, isListening: cfg.Engine.IsListening, log: cfg.Log, pending: map[*routing.Endpoint][]brokenAttempt{}}
	if cfg.Handover != nil {
		p.terminations.reachable = cfg.Handover.Reachable
	}
	return p
}

// ServeHTTP implements http.Handler.
func (p *Pipeline) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	x := p.newExchange(w, r)
	p.settle.end(r.Context(), x, p.serveRecovered(r.Context(), x))
}

func (p *Pipeline) newExchange(w http.ResponseWriter, r *http.Request) *Exchange {
	return &Exchange{ID: rand.Text(), Received: p.cfg.Now(), Writer: w, Request: r, offset: -1}
}

// PanicError reports a panic while a request was served.
type PanicError struct{ Value any }

// Error returns the value of the panic.
func (e *PanicError) Error() string { return fmt.Sprintf("fault: %v", e.Value) }

// serveRecovered serves a request and turns a panic into an error. Otherwise net/http
// would close the connection, and the caller would get neither an answer nor a refusal.
func (p *Pipeline) serveRecovered(ctx context.Context, x *Exchange) (err error) {
	defer func() {
		if v := recover(); v != nil {
			err = &DispatchError{Err: &PanicError{Value: v}}
			p.cfg.Log.Error(err, "panic while serving a request", "request", x.ID, "stack", string(debug.Stack()))
		}
	}()
	return p.serve(ctx, x)
}

func (p *Pipeline) serve(ctx context.Context, x *Exchange) error {
	if err := run(ctx, p.prepare, x); err != nil {
		return p.checkOutdated(err)
	}
	if err := p.chargeAllowance(x); err != nil {
		return err
	}
	x.Fingerprint = quarantine.FingerprintOf(x.Caller.Name, x.Call.Method, x.Request.RequestURI, x.Call.Body)
	if !x.Target.Policy.Repeatable && x.Call.IdempotencyKey != "" {
		// A claimed request continues without its caller, who may ask for the result
		// again.
		ctx = context.WithoutCancel(ctx)
	}
	ctx, cancel := context.WithTimeout(ctx, x.deadline().Sub(p.cfg.Now()))
	defer cancel()
	if err := p.cfg.Quarantine.Begin(ctx, &x.flight, x.suspects(), cancel); err != nil {
		return &QuarantineError{Err: err}
	}
	defer x.endFlight()
	p.deadlines.add(x, cancel)
	defer p.deadlines.remove(x)
	if err := p.bindContinuation(ctx, x); err != nil {
		return err
	}
	return x.finalError(p.runAttempts(ctx, x))
}

// endFlight ends the request's entry among those in flight.
func (x *Exchange) endFlight() {
	if !x.sent() {
		x.flight.ReturnTrials()
	}
	x.flight.End()
}

// checkOutdated turns the error for an unknown name into one that says that newer settings
// may contain it, if the settings in force are outdated.
func (p *Pipeline) checkOutdated(err error) error {
	if unknown := (*ResolveError)(nil); errors.As(err, &unknown) && p.cfg.SettingsOutdated() {
		return &OutdatedSettingsError{Name: unknown.Name, Revisions: p.revisions()}
	}
	return err
}

// revisions returns the known revisions, or zeros if there is no source of them.
func (p *Pipeline) revisions() Revisions {
	if p.cfg.Revisions == nil {
		return Revisions{}
	}
	return p.cfg.Revisions()
}

// chargeAllowance charges a request to its caller's allowance.
func (p *Pipeline) chargeAllowance(x *Exchange) error {
	limit := x.Caller.Allowance
	if limit == nil || x.handedOver != nil {
		return nil
	}
	cost := limit.Cost(x.Call.PromptTokens + x.Call.OutputTokens)
	admitted, retryAfter := p.cfg.Allowances.Admit(p.cfg.Now(), x.Caller.Name, cost)
	if !admitted {
		return &AllowanceError{Account: x.Caller.Name, RetryAfter: addJitter(retryAfter)}
	}
	x.charged = cost
	return nil
}

// runAttempts makes attempts until one succeeds or another is pointless.
func (p *Pipeline) runAttempts(ctx context.Context, x *Exchange) error {
	if x.handedOver == nil {
		if err := (claimKey{claims: p.cfg.Claims}).Process(ctx, x); err != nil {
			return err
		}
	}
	for {
		err := p.serveAttempt(ctx, x)
		if err == nil || !p.shouldRetry(ctx, x, err) {
			return err
		}
	}
}

// serveAttempt makes the next attempt, here or at another instance.
func (p *Pipeline) serveAttempt(ctx context.Context, x *Exchange) error {
	if p.refuses(x) {
		return newStoppingError()
	}
	if p.cutOff(x) {
		if x.handedOver != nil {
			return &RouteError{Err: errCutOff}
		}
		if taken, err := p.handOver(ctx, x); taken {
			return err
		}
	}
	p.countOnce(x)
	return p.runAttempt(ctx, x)
}

// countOnce counts the request as demand and for the retry budget, at the instance that makes its
// first attempt.
func (p *Pipeline) countOnce(x *Exchange) {
	if x.counted {
		return
	}
	x.counted = true
	p.retries.Deposit(x.Target.Pool)
	p.cfg.Demand.add(x)
}

// finalError returns the error of a request, which may have been cancelled by quarantine,
// by its deadline or as the instance stops.
func (x *Exchange) finalError(err error) error {
	if err == nil {
		return nil
	}
	if held := x.flight.Held(); held != nil {
		return &QuarantineError{Err: held}
	}
	if x.overdue.Load() && x.dispatched {
		return &DispatchError{TimedOut: true, Err: errOverdue}
	}
	if x.stopped.Load() && x.dispatched && !x.answerStarted {
		return &DispatchError{Err: errStopped}
	}
	return err
}

// runAttempt makes one attempt and releases its slot.
func (p *Pipeline) runAttempt(ctx context.Context, x *Exchange) error {
	ctx, cancel := p.withTimeLeft(ctx, x)
	defer cancel()
	before := len(x.Attempts)
	err := run(ctx, p.attempt, x)
	if len(x.Attempts) == before {
		return err
	}
	a := x.attempt()
	p.recordResult(ctx, x, err)
	p.updateQuarantine(ctx, x, err)
	p.cfg.Router.Release(&a.Decision)
	p.cfg.Demand.ended(x.Target.Unit)
	p.cfg.Gates.Pool(x.Target.Pool).Completed(a.waiter)
	if err != nil && mayStillRun(err) && x.Target.Kind == settings.KindEngine {
		p.cancel(ctx, x)
	}
	return err
}

// mayStillRun reports whether a failed attempt may still be running at its endpoint. Only
// a failed dispatch proves that it is not: a resumption that could not start says nothing
// about the attempt that it was to continue.
func mayStillRun(err error) bool {
	var failed *DispatchError
	return !errors.As(err, &failed) || !failed.NotStarted
}

// updateQuarantine reports an attempt that may have run and lost its connection, since the
// request may have terminated the endpoint, and clears a request that was answered
// successfully.
func (p *Pipeline) updateQuarantine(ctx context.Context, x *Exchange, err error) {
	if err == nil {
		// An endpoint may return an error before it runs the request.
		if x.attempt().response.StatusCode < http.StatusMultipleChoices {
			p.cfg.Quarantine.RecordSuccess(x.suspects())
			p.recordWholeAnswer(x)
		}
		return
	}
	if ctx.Err() != nil || !connectionLost(err) {
		return
	}
	a := x.attempt()
	p.cfg.Log.Info("attempt lost its connection", "request", x.ID, "fingerprint", x.Fingerprint.String(), "caller", x.Caller.Name, "from", x.remoteHost(),
		"endpoint", a.Decision.Endpoint.Name, "ran_ms", p.cfg.Now().Sub(a.Decision.At).Milliseconds(), "bytes", x.Bytes, "parts", x.promptPartsText(), "error", err.Error())
	p.terminations.add(a.Decision.Endpoint, brokenAttempt{request: x.suspects(), answerBegan: a.answerBegan})
}

// recordWholeAnswer records that the parts of a request's prompt do not terminate endpoints, where
// that has not been shown by the first event of a stream.
func (p *Pipeline) recordWholeAnswer(x *Exchange) {
	if !x.attempt().answerBegan {
		p.cfg.Quarantine.RecordAnswer(x.suspects())
	}
}

// cancelTimeout bounds the call that cancels a request at an engine.
const cancelTimeout = 2 * time.Second

func (p *Pipeline) cancel(ctx context.Context, x *Exchange) {
	attempt := x.engineAttempt()
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), cancelTimeout)
	go func() {
		defer cancel()
		if err := p.cfg.Engine.Cancel(ctx, attempt); err != nil {
			p.cfg.Log.Info("cancelling an attempt at its engine failed", "request", x.ID, "attempt", attempt.ID, "error", err.Error())
		}
	}()
}

// shouldRetry reports whether another attempt is safe and useful.
func (p *Pipeline) shouldRetry(ctx context.Context, x *Exchange, err error) bool {
	if errors.Is(err, errCutOff) {
		return x.handedOver == nil && ctx.Err() == nil
	}
	if x.handedTo != "" {
		// Another instance has made the attempts that the request may make.
		return false
	}
	failure := classify(err)
	var fromEndpoint bool
	switch failure.(type) {
	case *DispatchError, *RelayError:
		fromEndpoint = true
	}
	if !fromEndpoint || ctx.Err() != nil || !x.attemptsLeft() {
		return false
	}
	if x.answerStarted && !x.resumable() {
		return false
	}
	if failure.Outcome() != outcome.NotRun && !x.Target.Policy.Repeatable {
		return false
	}
	if x.attempt().Unsent {
		// Nothing was sent to an endpoint, so the retry adds no load to one.
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
