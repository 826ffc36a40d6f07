package engine

import (
	"fmt"
	"net/http"
)

// NotStartedError proves that an attempt did not start at the endpoint: no byte of it was
// sent, or the endpoint refused it entirely.
type NotStartedError struct {
	Endpoint string
	// Unsent is set if no byte of the attempt was sent.
	Unsent bool
	// Declined is set if the attempt was not sent because of what the endpoint has said of itself
	// (Statements).
	Declined bool
	// Busy is set if the endpoint refused for lack of capacity.
	Busy bool
	// NotResident is set if the endpoint does not hold the unit.
	NotResident bool
	// Replaced is set if another incarnation answers at the endpoint's address: the one
	// addressed no longer exists.
	Replaced bool
	// Header is the header of the endpoint's refusal; nil if there was none.
	Header http.Header
	Err    error
}

// Error names the endpoint and the cause.
func (e *NotStartedError) Error() string {
	return fmt.Sprintf("endpoint %s did not start the attempt: %v", e.Endpoint, e.Err)
}

// Unwrap returns the cause.
func (e *NotStartedError) Unwrap() error { return e.Err }

// UnknownError is returned for a failure after which the attempt may have run.
type UnknownError struct {
	Endpoint string
	Err      error
}

// Error names the endpoint and the cause.
func (e *UnknownError) Error() string {
	return fmt.Sprintf("endpoint %s may have run the attempt: %v", e.Endpoint, e.Err)
}

// Unwrap returns the cause.
func (e *UnknownError) Unwrap() error { return e.Err }

// RefusalError holds the HTTP status, code and reason of an endpoint's refusal.
type RefusalError struct {
	Status int
	Code   string
	Reason string
}

// Error gives the status, code and reason.
func (e *RefusalError) Error() string {
	return fmt.Sprintf("status %d: %s: %s", e.Status, e.Code, e.Reason)
}

// StatusError is returned for a response whose status is none of a final response: an endpoint in trouble
// sends bytes that are no answer.
type StatusError struct{ Status int }

// Error gives the status.
func (e *StatusError) Error() string {
	return fmt.Sprintf("status %03d is not that of an answer", e.Status)
}

// ProtocolError is returned for a response that names a version of HTTP which its connection does not carry.
type ProtocolError struct{ Protocol string }

// Error names the protocol.
func (e *ProtocolError) Error() string {
	return fmt.Sprintf("%q is not the protocol of the connection", e.Protocol)
}

// ForeignAnswerError is returned for an answer that belongs to another attempt.
type ForeignAnswerError struct{ Want, Got string }

// Error names both attempts.
func (e *ForeignAnswerError) Error() string {
	return "answer of attempt " + e.Got + " in place of " + e.Want
}
