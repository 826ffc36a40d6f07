package pipeline

import (
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/eiderspring/eiderspring/outcome"
	"github.com/eiderspring/eiderspring/quarantine"
)

// Answer is a failure as reported to the caller.
type Answer struct {
	Status  int
	Code    string
	Message string
	// Field names the invalid part of the request, if any.
	Field      string
	RetryAfter time.Duration
}

// NotRun reports whether the answer guarantees that the request has not run, and therefore
// says when to retry.
func (a Answer) NotRun() bool {
	return a.Code == CodeNotRun || a.Code == CodeQuarantined || a.Code == CodeAllowance
}

// Failure is an error of a filter, with the outcome of the request and the answer to the
// caller.
type Failure interface {
	error
	Outcome() outcome.Outcome
	Answer() Answer
}

// Error codes in answers.
const (
	codeInvalid      = "invalid_request"
	codeUnauthorized = "unauthorized"
	codeForbidden    = "forbidden"
	codeNotFound     = "not_found"
	codeTooLarge     = "request_too_large"
	codeKeyReused    = "idempotency_key_reused"
	// CodeNotRun means that the request has not run and never will.
	CodeNotRun = "not_run"
	// CodeQuarantined means that the request has not run, and will not for a while,
	// because endpoints that ran it before terminated.
	CodeQuarantined = "request_quarantined"
	// CodeAllowance means that the request has not run because its caller's allowance is
	// used up.
	CodeAllowance = "allowance_exceeded"
	// CodeOutcomeUnknown means that the request may have run.
	CodeOutcomeUnknown = "outcome_unknown"
)

// DecodeError reports a malformed or unsupported request.
type DecodeError struct {
	Status int
	Field  string
	Reason string
}

func (e *DecodeError) Error() string            { return "decode: " + e.Field + ": " + e.Reason }
func (e *DecodeError) Outcome() outcome.Outcome { return outcome.Rejected }

// Answer implements Failure.
func (e *DecodeError) Answer() Answer {
	code := codeInvalid
	if e.Status == http.StatusRequestEntityTooLarge {
		code = codeTooLarge
	}
	return Answer{Status: e.Status, Code: code, Message: e.Reason, Field: e.Field}
}

// AuthError reports an unknown caller, or one that may not use what it requests.
type AuthError struct {
	Status int
	Reason string
}

func (e *AuthError) Error() string            { return "authenticate: " + e.Reason }
func (e *AuthError) Outcome() outcome.Outcome { return outcome.Rejected }

// Answer implements Failure.
func (e *AuthError) Answer() Answer {
	code := codeUnauthorized
	if e.Status == http.StatusForbidden {
		code = codeForbidden
	}
	return Answer{Status: e.Status, Code: code, Message: e.Reason, Field: "Authorization"}
}

// StaleSettingsError reports a token that this instance currently cannot trust, because it
// receives no revocations. No endpoint has started the request.
type StaleSettingsError struct{}

func (e *StaleSettingsError) Error() string {
	return "authenticate: the settings are not known to be current"
}
func (e *StaleSettingsError) Outcome() outcome.Outcome { return outcome.NotRun }

// Answer implements Failure. Another instance may have current settings.
func (e *StaleSettingsError) Answer() Answer {
	return Answer{Status: http.StatusServiceUnavailable, Code: CodeNotRun, Message: e.Error(), RetryAfter: addJitter(staleRetryAfter)}
}

// staleRetryAfter is the delay for a caller whose token or name this instance cannot
// check. Another instance can be tried at once; jitter spreads the callers' retries if no
// instance has newer settings.
const staleRetryAfter = 100 * time.Millisecond

// AllowanceError reports a request beyond its caller's allowance. No endpoint has started
// it.
type AllowanceError struct {
	Account string
	// RetryAfter is when the allowance may permit another request.
	RetryAfter time.Duration
}

func (e *AllowanceError) Error() string            { return "allowance: that of " + e.Account + " is used up" }
func (e *AllowanceError) Outcome() outcome.Outcome { return outcome.NotRun }

// Answer implements Failure.
func (e *AllowanceError) Answer() Answer {
	return Answer{Status: http.StatusTooManyRequests, Code: CodeAllowance, Message: e.Error(), RetryAfter: e.RetryAfter}
}

// ResolveError reports an unknown name.
type ResolveError struct{ Name string }

func (e *ResolveError) Error() string            { return fmt.Sprintf("resolve: nothing is named %q", e.Name) }
func (e *ResolveError) Outcome() outcome.Outcome { return outcome.Rejected }

// Answer implements Failure.
func (e *ResolveError) Answer() Answer {
	return Answer{Status: http.StatusNotFound, Code: codeNotFound, Message: fmt.Sprintf("no model or service %q", e.Name), Field: "model"}
}

// OutdatedSettingsError reports a name that is unknown here while newer settings are known
// to have been accepted. No endpoint has started the request.
type OutdatedSettingsError struct {
	Name      string
	Revisions Revisions
}

// Revisions holds the revision of the settings in force at an instance, and the newest
// revision that any instance is known to have.
type Revisions struct{ InForce, Newest int64 }

func (e *OutdatedSettingsError) Error() string {
	return fmt.Sprintf("resolve: nothing is named %q, and newer settings are not in force yet: revision %d of %d",
		e.Name, e.Revisions.InForce, e.Revisions.Newest)
}
func (e *OutdatedSettingsError) Outcome() outcome.Outcome { return outcome.NotRun }

// Answer implements Failure. Another instance may have newer settings.
func (e *OutdatedSettingsError) Answer() Answer {
	return Answer{Status: http.StatusServiceUnavailable, Code: CodeNotRun, Message: e.Error(), RetryAfter: addJitter(staleRetryAfter)}
}

// ClaimError reports an idempotency key that cannot be claimed.
type ClaimError struct {
	// Reused is set if the key was used with another request.
	Reused bool
	Err    error
}

func (e *ClaimError) Error() string { return "claim: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *ClaimError) Unwrap() error { return e.Err }

// Outcome implements Failure.
func (e *ClaimError) Outcome() outcome.Outcome {
	if e.Reused {
		return outcome.Rejected
	}
	return outcome.Unknown
}

// Answer implements Failure.
func (e *ClaimError) Answer() Answer {
	if e.Reused {
		return Answer{Status: http.StatusBadRequest, Code: codeKeyReused, Message: e.Err.Error(), Field: "Idempotency-Key"}
	}
	return unknownAnswer(http.StatusBadGateway, e.Err.Error())
}

// AdmitError reports a request that was not admitted; no endpoint has started it.
type AdmitError struct {
	Status     int
	RetryAfter time.Duration
	// Promised is set if a place is kept for the caller after RetryAfter.
	Promised bool
	Err      error
}

func (e *AdmitError) Error() string { return "admit: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *AdmitError) Unwrap() error { return e.Err }

// Outcome implements Failure.
func (e *AdmitError) Outcome() outcome.Outcome { return outcome.NotRun }

// Answer implements Failure.
func (e *AdmitError) Answer() Answer {
	return Answer{Status: e.Status, Code: CodeNotRun, Message: e.Err.Error(), RetryAfter: e.RetryAfter}
}

// QuarantineError reports a request that is held back because endpoints terminated while
// they ran it.
type QuarantineError struct{ Err error }

func (e *QuarantineError) Error() string { return "quarantine: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *QuarantineError) Unwrap() error { return e.Err }

// Outcome implements Failure. If an attempt was sent before, settle changes the outcome to
// unknown.
func (e *QuarantineError) Outcome() outcome.Outcome { return outcome.NotRun }

// Answer implements Failure.
func (e *QuarantineError) Answer() Answer {
	a := Answer{Status: http.StatusServiceUnavailable, Code: CodeQuarantined, Message: e.Err.Error(), RetryAfter: defaultRetryAfter}
	var held *quarantine.HeldError
	if errors.As(e.Err, &held) {
		// An earlier retry is rejected again at every instance.
		a.RetryAfter = held.Remaining
	}
	return a
}

// RouteError reports a request for which no endpoint is left.
type RouteError struct{ Err error }

func (e *RouteError) Error() string { return "route: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *RouteError) Unwrap() error { return e.Err }

// Outcome implements Failure.
func (e *RouteError) Outcome() outcome.Outcome { return outcome.NotRun }

// defaultRetryAfter is used if no better delay is known.
const defaultRetryAfter = time.Second

// Answer implements Failure.
func (e *RouteError) Answer() Answer {
	a := Answer{Status: http.StatusServiceUnavailable, Code: CodeNotRun, Message: e.Err.Error(), RetryAfter: defaultRetryAfter}
	if rest := (*RestError)(nil); errors.As(e.Err, &rest) {
		a.RetryAfter = addJitter(rest.Left)
	}
	return a
}

// DispatchError reports an attempt that failed before its answer began.
type DispatchError struct {
	// NotStarted is set if the endpoint provably did not start the attempt.
	NotStarted bool
	// TimedOut is set if the request's deadline passed.
	TimedOut bool
	Err      error
}

func (e *DispatchError) Error() string { return "dispatch: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *DispatchError) Unwrap() error { return e.Err }

// Outcome implements Failure.
func (e *DispatchError) Outcome() outcome.Outcome {
	if e.NotStarted {
		return outcome.NotRun
	}
	return outcome.Unknown
}

// Answer implements Failure.
func (e *DispatchError) Answer() Answer {
	if e.NotStarted {
		return Answer{Status: http.StatusServiceUnavailable, Code: CodeNotRun, Message: e.Err.Error(), RetryAfter: defaultRetryAfter}
	}
	if e.TimedOut {
		return unknownAnswer(http.StatusGatewayTimeout, e.Err.Error())
	}
	return unknownAnswer(http.StatusBadGateway, e.Err.Error())
}

// RelayError reports an answer that broke off on its way to the caller.
type RelayError struct {
	// CallerGone is set if the caller closed the connection.
	CallerGone bool
	TimedOut   bool
	Err        error
}

func (e *RelayError) Error() string { return "relay: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *RelayError) Unwrap() error { return e.Err }

// Outcome implements Failure.
func (e *RelayError) Outcome() outcome.Outcome {
	if e.CallerGone {
		return outcome.Cancelled
	}
	return outcome.Unknown
}

// Answer implements Failure.
func (e *RelayError) Answer() Answer {
	if e.TimedOut {
		return unknownAnswer(http.StatusGatewayTimeout, e.Err.Error())
	}
	return unknownAnswer(http.StatusBadGateway, e.Err.Error())
}

func unknownAnswer(status int, message string) Answer {
	return Answer{Status: status, Code: CodeOutcomeUnknown, Message: message}
}
