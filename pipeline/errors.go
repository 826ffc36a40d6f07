package pipeline

import (
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/eiderspring/eiderspring/outcome"
	"github.com/eiderspring/eiderspring/quarantine"
)

// Answer is what a failure tells the caller.
type Answer struct {
	Status  int
	Code    string
	Message string
	// Field names the part of the request that is at fault, if any.
	Field      string
	RetryAfter time.Duration
}

// NotRun tells whether the answer promises that the request has not run, and says when
// to return.
func (a Answer) NotRun() bool {
	return a.Code == CodeNotRun || a.Code == CodeQuarantined || a.Code == CodeAllowance
}

// Failure is an error of a filter. It says what became of the request and
// what to tell the caller.
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
	// CodeNotRun says that the request has not run and never will.
	CodeNotRun = "not_run"
	// CodeQuarantined says that the request has not run, and will not for a while, as it
	// ended the endpoints that ran it before.
	CodeQuarantined = "request_quarantined"
	// CodeAllowance says that the request has not run, as its caller's allowance is used up.
	CodeAllowance = "allowance_exceeded"
	// CodeOutcomeUnknown says that the request may have run.
	CodeOutcomeUnknown = "outcome_unknown"
)

// DecodeError is a request that cannot be understood.
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

// AuthError is a caller who is not known or may not use what it asks for.
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

// StaleSettingsError is a request with a token that this instance cannot go by now, as it does not
// hear of tokens that were taken away. No endpoint has started it.
type StaleSettingsError struct{}

func (e *StaleSettingsError) Error() string {
	return "authenticate: the settings are not known to be current"
}
func (e *StaleSettingsError) Outcome() outcome.Outcome { return outcome.NotRun }

// Answer implements Failure. Another instance may know.
func (e *StaleSettingsError) Answer() Answer {
	return Answer{Status: http.StatusServiceUnavailable, Code: CodeNotRun, Message: e.Error(), RetryAfter: spread(staleRetryAfter)}
}

// staleRetryAfter is for a caller whose token is not gone by here: another instance can be
// reached at once, and if none knows better, the callers come back spread.
const staleRetryAfter = 100 * time.Millisecond

// AllowanceError is a request beyond its caller's allowance. No endpoint has started it.
type AllowanceError struct {
	Account string
	// RetryAfter is when there may be room again.
	RetryAfter time.Duration
}

func (e *AllowanceError) Error() string            { return "allowance: that of " + e.Account + " is used up" }
func (e *AllowanceError) Outcome() outcome.Outcome { return outcome.NotRun }

// Answer implements Failure.
func (e *AllowanceError) Answer() Answer {
	return Answer{Status: http.StatusTooManyRequests, Code: CodeAllowance, Message: e.Error(), RetryAfter: e.RetryAfter}
}

// ResolveError is a name that stands for nothing.
type ResolveError struct{ Name string }

func (e *ResolveError) Error() string            { return fmt.Sprintf("resolve: nothing is named %q", e.Name) }
func (e *ResolveError) Outcome() outcome.Outcome { return outcome.Rejected }

// Answer implements Failure.
func (e *ResolveError) Answer() Answer {
	return Answer{Status: http.StatusNotFound, Code: codeNotFound, Message: fmt.Sprintf("no model or service %q", e.Name), Field: "model"}
}

// OutdatedSettingsError is a name that stands for nothing here, where newer settings are known to be
// accepted. No endpoint has started the request.
type OutdatedSettingsError struct {
	Name      string
	Revisions Revisions
}

// Revisions are those of the settings in force at an instance, and of the newest that any
// instance is known to have.
type Revisions struct{ InForce, Newest int64 }

func (e *OutdatedSettingsError) Error() string {
	return fmt.Sprintf("resolve: nothing is named %q, and newer settings are not in force yet: revision %d of %d",
		e.Name, e.Revisions.InForce, e.Revisions.Newest)
}
func (e *OutdatedSettingsError) Outcome() outcome.Outcome { return outcome.NotRun }

// Answer implements Failure. Another instance may know.
func (e *OutdatedSettingsError) Answer() Answer {
	return Answer{Status: http.StatusServiceUnavailable, Code: CodeNotRun, Message: e.Error(), RetryAfter: spread(staleRetryAfter)}
}

// ClaimError is an idempotency key that cannot be claimed.
type ClaimError struct {
	// Reused is set when the key was used with another request.
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

// AdmitError is a request that was not let in; no endpoint has started it.
type AdmitError struct {
	Status     int
	RetryAfter time.Duration
	Err        error
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

// QuarantineError is a request that is held back, as endpoints have ended under it.
type QuarantineError struct{ Err error }

func (e *QuarantineError) Error() string { return "quarantine: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *QuarantineError) Unwrap() error { return e.Err }

// Outcome implements Failure. An attempt that was sent before makes it unknown.
func (e *QuarantineError) Outcome() outcome.Outcome { return outcome.NotRun }

// Answer implements Failure.
func (e *QuarantineError) Answer() Answer {
	a := Answer{Status: http.StatusServiceUnavailable, Code: CodeQuarantined, Message: e.Err.Error(), RetryAfter: defaultRetryAfter}
	var held *quarantine.HeldError
	if errors.As(e.Err, &held) {
		// Before that it is rejected again, wherever it comes.
		a.RetryAfter = held.Remaining
	}
	return a
}

// RouteError is a request for which no endpoint is left.
type RouteError struct{ Err error }

func (e *RouteError) Error() string { return "route: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *RouteError) Unwrap() error { return e.Err }

// Outcome implements Failure.
func (e *RouteError) Outcome() outcome.Outcome { return outcome.NotRun }

// defaultRetryAfter is told where nothing better is known.
const defaultRetryAfter = time.Second

// Answer implements Failure.
func (e *RouteError) Answer() Answer {
	return Answer{Status: http.StatusServiceUnavailable, Code: CodeNotRun, Message: e.Err.Error(), RetryAfter: defaultRetryAfter}
}

// DispatchError is an attempt that failed before its answer began.
type DispatchError struct {
	// NotStarted is proof that the endpoint did not start the attempt.
	NotStarted bool
	// TimedOut is set when the request's deadline passed.
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

// RelayError is an answer that broke on its way to the caller.
type RelayError struct {
	// CallerGone is set when it was the caller who left.
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
