package store

import (
	"errors"
	"fmt"
	"net/http"
)

// StatusError is an answer of the object API other than success.
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

// UnansweredError is a call to which no whole answer came; a write may have
// taken effect.
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

// ErrOlder is an answer from before what is known already.
var ErrOlder = errors.New("object API: the answer is older than what is known")

// EncodeError is an object that cannot be encoded or decoded.
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

// IsNotFound tells whether the object does not exist.
func IsNotFound(err error) bool { return hasStatus(err, http.StatusNotFound) }

// IsConflict tells whether a conditional write met another version, or a
// create met an object that exists.
func IsConflict(err error) bool { return hasStatus(err, http.StatusConflict) }

// IsExpired tells whether a watch began at a version that is no longer kept.
func IsExpired(err error) bool { return hasStatus(err, http.StatusGone) }

// IsUnanswered tells whether the call may have taken effect.
func IsUnanswered(err error) bool {
	var e *UnansweredError
	return errors.As(err, &e)
}

// ExpiredError is the error of a watch from a version that is not kept.
func ExpiredError(kind Kind) error {
	return &StatusError{Code: http.StatusGone, Kind: kind, Message: ErrEarlierEra.Error()}
}

// ConflictError is the error of a write whose condition cannot hold.
func ConflictError(kind Kind, name string) error {
	return &StatusError{Code: http.StatusConflict, Kind: kind, Name: name, Message: ErrEarlierEra.Error()}
}

func hasStatus(err error, code int) bool {
	var e *StatusError
	return errors.As(err, &e) && e.Code == code
}
