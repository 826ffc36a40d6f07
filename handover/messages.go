package handover

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/eiderspring/eiderspring/outcome"
)

// Fields of the header between instances, in the canonical form of net/http. They never reach
// callers or endpoints.
const (
	// EnvelopeHeader carries the Envelope of a request.
	EnvelopeHeader = "Eiderspring-Handover"
	// RefusedHeader carries the Reason for which a request was not taken.
	RefusedHeader = "Eiderspring-Handover-Refused"
	// FailureHeader carries the Failure of a request that was taken.
	FailureHeader = "Eiderspring-Handover-Failure"
)

// Envelope is what the receiver of a request must know beyond the caller's own message.
type Envelope struct {
	// From is the instance that sends the request.
	From string `json:"from"`
	// Account is the client account that the sender has identified and charged; empty for none.
	Account string `json:"account,omitempty"`
	// Revision is the revision of the settings in force at the sender. An instance with older
	// ones must not serve the request.
	Revision int64 `json:"revision"`
	// AgeMS is how long ago the sender received the request, in milliseconds.
	AgeMS int64 `json:"age_ms"`
	// Tried lists the endpoints at which an attempt of the sender may have run.
	Tried []string `json:"tried,omitempty"`
	// Counted is set if the sender has already counted the request as demand.
	Counted bool `json:"counted,omitempty"`
	// ResumeAfter is the last event of a stream that the caller has received; nil for a request
	// of which nothing has been answered.
	ResumeAfter *int64 `json:"resume_after,omitempty"`
	// SoftwareVersion is the version of the endpoints' software at which the stream began that the
	// request continues; empty for a request of which nothing has been answered, or if unknown.
	SoftwareVersion string `json:"software_version,omitempty"`
}

// Age returns AgeMS as a duration.
func (e Envelope) Age() time.Duration { return time.Duration(e.AgeMS) * time.Millisecond }

// Reason is why an instance does not take a request.
type Reason string

// Reasons.
const (
	// CutOff means that the receiver reaches no endpoint either.
	CutOff Reason = "cut_off"
	// Stopping means that the receiver makes a planned stop.
	Stopping Reason = "stopping"
	// Busy means that the receiver serves as many requests of other instances as it may.
	Busy Reason = "busy"
	// Outdated means that the receiver has older settings, or none.
	Outdated Reason = "outdated"
)

// Failure is how a request ended that was taken and not answered by an endpoint.
type Failure struct {
	Outcome outcome.Outcome `json:"outcome"`
	Status  int             `json:"status"`
	Code    string          `json:"code"`
	Message string          `json:"message"`
	Field   string          `json:"field,omitempty"`
	// RetryAfterMS is when the caller may return, in milliseconds; 0 if the failure does not
	// say.
	RetryAfterMS int64 `json:"retry_after_ms,omitempty"`
}

// HeaderError reports a field of the header between instances that cannot be read.
type HeaderError struct {
	Name string
	Err  error
}

// Error names the field and the cause.
func (e *HeaderError) Error() string { return fmt.Sprintf("header %s: %v", e.Name, e.Err) }

// Unwrap returns the cause.
func (e *HeaderError) Unwrap() error { return e.Err }

// Encode returns the text of a field of the header.
func Encode(v any) string {
	// The types of this package have no field that cannot be encoded.
	text, _ := json.Marshal(v)
	return string(text)
}

// DecodeEnvelope takes the Envelope out of the header of a request.
func DecodeEnvelope(h http.Header) (Envelope, error) {
	var e Envelope
	err := take(h, EnvelopeHeader, &e)
	return e, err
}

// DecodeFailure returns the Failure in the header of an answer; false if there is none.
func DecodeFailure(h http.Header) (Failure, bool, error) {
	if h.Get(FailureHeader) == "" {
		return Failure{}, false, nil
	}
	var f Failure
	err := take(h, FailureHeader, &f)
	return f, true, err
}

// take decodes a field and removes it.
func take(h http.Header, name string, into any) error {
	text := h.Get(name)
	h.Del(name)
	if err := json.Unmarshal([]byte(text), into); err != nil {
		return &HeaderError{Name: name, Err: err}
	}
	return nil
}

// Refuse answers a request that is not taken.
func Refuse(w http.ResponseWriter, why Reason) {
	w.Header().Set(RefusedHeader, string(why))
	w.WriteHeader(http.StatusServiceUnavailable)
}

// WriteFailure answers a request that was taken and has failed.
func WriteFailure(w http.ResponseWriter, f Failure) {
	w.Header().Set(FailureHeader, Encode(f))
	w.WriteHeader(f.Status)
}
