package store

import (
	"errors"
	"fmt"
	"net/http"
)

// StatusError is an answer of the object API with a status other than success.
type StatusError struct {
	Code    int
	Kind    Kind
	Name    string
	Message string
}

// Error names the object and the status.
func (e *StatusError) Error() string {
	return fmt.Sprintf("object API: %s/%s: status %d: %s", e.Kind, e.Name, e.Code, e.Message)
}

// UnansweredError is returned for a call without a complete answer; a write may have taken
// effect.
type UnansweredError struct {
	Kind Kind
	Name string
	Err  error
}

// Error names the object and the cause.
func (e *UnansweredError) Error() string {
	return fmt.Sprintf("object API: %s/%s: no answer: %v", e.Kind, e.Name, e.Err)
}

// Unwrap returns the transport's error.
func (e *UnansweredError) Unwrap() error { return e.Err }

// ErrOlder is returned for an answer that is older than what is already known.
var ErrOlder = errors.New("object API: the answer is older than what is known")

// EncodeError is returned for an object that cannot be encoded or decoded.
type EncodeError struct {
	Kind Kind
	Name string
	Err  error
}

// Error names the object and the cause.
func (e *EncodeError) Error() string {
	return fmt.Sprintf("object API: %s/%s: encoding: %v", e.Kind, e.Name, e.Err)
}

// Unwrap returns the codec's error.
func (e *EncodeError) Unwrap() error { return e.Err }

// IsNotFound reports whether the object does not exist.
func IsNotFound(err error) bool { return hasStatus(err, http.StatusNotFound) }

// IsConflict reports whether a conditional write failed because the object has another
// version, or a create because the object exists.
func IsConflict(err error) bool { return hasStatus(err, http.StatusConflict) }

// IsExpired reports whether a watch failed because the store no longer keeps its start
// version.
func IsExpired(err error) bool { return hasStatus(err, http.StatusGone) }

// IsUnanswered reports whether the call got no complete answer, so that it may have taken
// effect.
func IsUnanswered(err error) bool {
	var e *UnansweredError
	return errors.As(err, &e)
}

// ExpiredError returns the error of a watch from a version of an earlier era, for which
// IsExpired is true.
func ExpiredError(kind Kind) error {
	return &StatusError{Code: http.StatusGone, Kind: kind, Message: ErrEarlierEra.Error()}
}

// ConflictError returns the error of a write that is conditional on a version of an earlier
// era, for which IsConflict is true.
func ConflictError(kind Kind, name string) error {
	return &StatusError{Code: http.StatusConflict, Kind: kind, Name: name, Message: ErrEarlierEra.Error()}
}

func hasStatus(err error, code int) bool {
	var e *StatusError
	return errors.As(err, &e) && e.Code == code
}
