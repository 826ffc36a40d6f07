package pipeline

import (
	"context"
	"errors"
	"net/http"
	"strings"
	"time"

	"github.com/go-logr/logr"

	"github.com/eiderspring/eiderspring/admission"
	"github.com/eiderspring/eiderspring/allowance"
	"github.com/eiderspring/eiderspring/outcome"
)

// Headers of answers to callers.
const (
	outcomeHeader  = "Eiderspring-Outcome"
	replayedHeader = "Eiderspring-Replayed"
)

// settle ends an exchange: it gives the caller its final answer, finishes or releases the
// claim, and writes the log line and metrics.
type settle struct {
	dialect Dialect
	log     logr.Logger
	metrics *Metrics
	now     func() time.Time
	// allowances gets a refund for a charged request that has not run.
	allowances *allowance.Limiter
}

// claimTimeout bounds the writes that end a claim.
const claimTimeout = 5 * time.Second

// end settles the exchange with the error that ended it; nil means success.
func (f settle) end(ctx context.Context, x *Exchange, err error) {
	failure := classify(err)
	x.Outcome = outcome.Complete
	if failure != nil {
		x.Outcome = failure.Outcome()
		// A retry may fail with not_run after an earlier attempt that may have run.
		if x.Outcome == outcome.NotRun && x.dispatched {
			failure = &DispatchError{Err: err}
			x.Outcome = outcome.Unknown
		}
	}
	if x.Outcome == outcome.NotRun && x.charged > 0 {
		f.allowances.Refund(f.now(), x.Caller.Name, x.charged)
	}
	f.endClaim(ctx, x)
	f.report(x, err)
	if failure != nil {
		f.answer(x, err, failure.Answer())
	}
}

// classify returns the Failure for an error, or nil for success.
func classify(err error) Failure {
	var failure Failure
	switch {
	case err == nil || errors.Is(err, errReplayed):
		return nil
	case errors.As(err, &failure):
		return failure
	default:
		return &DispatchError{Err: err}
	}
}

// endClaim records the outcome of a claimed request before the caller learns of a failure.
// An unknown outcome leaves the claim open.
func (f settle) endClaim(ctx context.Context, x *Exchange) {
	if x.Claim == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), claimTimeout)
	defer cancel()
	var err error
	switch x.Outcome {
	case outcome.Complete:
		err = x.Claim.Finish(ctx, x.recorder.result)
	case outcome.NotRun:
		err = x.Claim.Cancel(ctx)
	}
	if err != nil {
		f.log.Info("claim left open", "request", x.ID, "outcome", x.Outcome, "error", err.Error())
	}
}

func (f settle) report(x *Exchange, err error) {
	took := f.now().Sub(x.Received)
	f.metrics.count(x, took)
	f.metrics.countStaleSettings(err)
	f.metrics.countFraming(x, err)
	values := []any{
		"request", x.ID, "outcome", x.Outcome, "caller", x.Caller.Name, "from", x.remoteHost(), "fingerprint", x.Fingerprint.String(), "name", x.Call.Name, "unit", x.Target.Unit,
		"revision", x.Revision, "slot", x.slot(), "attempts", len(x.Attempts), "bytes", x.Bytes, "first_ms", x.FirstToken.Milliseconds(), "took_ms", took.Milliseconds(),
	}
	if len(x.Call.PromptParts) > 0 {
		values = append(values, "parts", x.promptPartsText())
	}
	if x.handedTo != "" {
		values = append(values, "handed_to", x.handedTo)
	}
	if x.handedOver != nil {
		values = append(values, "handed_from", x.handedOver.From)
	}
	if x.bound {
		values = append(values, "software_version", x.softwareVersion)
	}
	if x.Call.Continuation.Wanted {
		values = append(values, "continues", x.Call.Continuation.Attempt)
	}
	if framing := x.answerFraming(); framing != "" {
		values = append(values, "framing", framing, "unfinished_bytes", x.unfinished)
	}
	if err != nil {
		values = append(values, "error", err.Error())
	}
	if refused := (*admission.RefusedError)(nil); errors.As(err, &refused) {
		values = append(values, "asked_for_place", x.askedForPlace)
		if refused.By != "" {
			values = append(values, "refused_by", refused.By, "retry_after_ms", refused.RetryAfter.Milliseconds())
		}
	}
	f.log.Info("settle", values...)
}

// answer reports the failure to the caller. A partial answer can report it only by its end:
// the dialect may end an event stream with an error, and any other answer is aborted so that
// the caller sees that it is incomplete.
func (f settle) answer(x *Exchange, err error, a Answer) {
	if !x.answerStarted && x.handedOver != nil {
		x.answerHandedOver(err, a)
		return
	}
	if !x.answerStarted {
		f.dialect.WriteFailure(x.Writer, a)
		return
	}
	stream := strings.HasPrefix(x.Writer.Header().Get("Content-Type"), eventStreamType)
	if !stream || !f.dialect.WriteStreamError(x.Writer, a) {
		f.abort(x)
	}
}

// abort breaks off an answer so that its caller sees that it is incomplete. A caller to whom neither
// a length nor chunks are sent sees that only by a reset.
func (f settle) abort(x *Exchange) {
	framed := x.Request.ProtoAtLeast(1, 1) || x.Writer.Header().Get("Content-Length") != ""
	if !framed {
		if err := resetConn(x.Writer); err != nil {
			f.log.Info("connection not reset", "request", x.ID, "error", err.Error())
		}
	}
	panic(http.ErrAbortHandler)
}

// resetConn closes the connection of a request with a reset.
func resetConn(w http.ResponseWriter) error {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return err
	}
	defer conn.Close()
	if socket, ok := conn.(interface{ SetLinger(seconds int) error }); ok {
		return socket.SetLinger(0)
	}
	return nil
}

// WriteStopping answers a request that did not enter the pipeline because the instance is stopping.
// Another instance can serve it at once.
func WriteStopping(d Dialect, w http.ResponseWriter) {
	d.WriteFailure(w, Answer{Status: http.StatusServiceUnavailable, Code: CodeNotRun, Message: "the instance is stopping", RetryAfter: stoppingRetryAfter})
}

// noStoreRetryAfter is for callers of an instance that has no settings because the store is out of
// reach, which lasts for seconds.
const noStoreRetryAfter = 2 * time.Second

// WriteNoSettings answers a request that did not enter the pipeline because the instance has
// received no settings since its start. storeSilent says whether the store does not answer it.
func WriteNoSettings(d Dialect, w http.ResponseWriter, storeSilent bool) {
	const message = "no settings are known yet"
	if !storeSilent {
		WriteNotRun(d, w, message)
		return
	}
	d.WriteFailure(w, Answer{Status: http.StatusServiceUnavailable, Code: CodeNotRun, Message: message, RetryAfter: addJitter(noStoreRetryAfter)})
}

// WriteNotRun answers a request that did not enter the pipeline.
func WriteNotRun(d Dialect, w http.ResponseWriter, message string) {
	d.WriteFailure(w, Answer{Status: http.StatusServiceUnavailable, Code: CodeNotRun, Message: message, RetryAfter: defaultRetryAfter})
}
