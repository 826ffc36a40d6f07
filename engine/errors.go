package engine

import (
	"fmt"
	"net/http"
)

// NotStartedError is proof that an attempt did not start at the endpoint: no
// byte of it was sent, or the endpoint refused it as a whole.
type NotStartedError struct {
	Endpoint string
	// Unsent is set when no byte of it was sent.
	Unsent bool
	// Busy is set when the endpoint refused for lack of room.
	Busy bool
	// NotResident is set when the endpoint does not hold the unit.
	NotResident bool
	// Replaced is set when another incarnation answers at the endpoint's address:
	// the one that was meant is gone.
	Replaced bool
	// Header is that of the endpoint's refusal; nil if none came.
	Header http.Header
	Err    error
}

// Error names the endpoint and the cause.
func (e *NotStartedError) Error() string {
	return fmt.Sprintf("endpoint %s did not start the attempt: %v", e.Endpoint, e.Err)
}

// Unwrap returns the cause.
func (e *NotStartedError) Unwrap() error { return e.Err }

// UnknownError is a failure after which the attempt may have run.
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

// RefusalError is the endpoint's own refusal with its HTTP status.
type RefusalError struct {
	Status int
	Code   string
	Reason string
}

// Error gives the status, code and reason.
func (e *RefusalError) Error() string {
	return fmt.Sprintf("status %d: %s: %s", e.Status, e.Code, e.Reason)
}
