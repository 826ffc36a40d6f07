package pipeline

import (
	"errors"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/eiderspring/eiderspring/admission"
	"github.com/eiderspring/eiderspring/outcome"
	"github.com/eiderspring/eiderspring/routing"
)

// promises are the statuses that guarantee that a request has not run and never will.
var promises = []int{http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest}

// A failure with a status that guarantees that the request has not run must have such an
// outcome and give a retry delay, and no other status may come with that outcome.
func TestNotRunStatusMatchesOutcome(t *testing.T) {
	cause := errors.New("cause")
	failures := []Failure{
		&DecodeError{Status: http.StatusBadRequest}, &DecodeError{Status: http.StatusRequestEntityTooLarge},
		&AuthError{Status: http.StatusUnauthorized}, &AuthError{Status: http.StatusForbidden}, &StaleSettingsError{},
		&AllowanceError{RetryAfter: time.Second}, &ResolveError{}, &OutdatedSettingsError{}, &ClaimError{Err: cause}, &ClaimError{Reused: true, Err: cause},
		&QuarantineError{Err: cause}, &RouteError{Err: routing.ErrNoOpenRegion}, &RouteError{Err: routing.ErrNoEndpointLeft},
		&DispatchError{NotStarted: true, Err: cause}, &DispatchError{TimedOut: true, Err: cause}, &DispatchError{Err: cause},
		&RelayError{Err: cause}, &RelayError{TimedOut: true, Err: cause}, &RelayError{CallerGone: true, Err: cause},
	}
	for _, reason := range []admission.Reason{admission.ReasonQueueFull, admission.ReasonTooManyAhead, admission.ReasonStopping} {
		failures = append(failures, newAdmitError(&admission.RefusedError{Reason: reason}, routing.ErrNoCapacity))
	}
	for _, f := range failures {
		a := f.Answer()
		if slices.Contains(promises, a.Status) {
			require.Equal(t, outcome.NotRun, f.Outcome(), "%T: %d", f, a.Status)
			require.Positive(t, a.RetryAfter, "%T: %d", f, a.Status)
			require.True(t, a.NotRun(), "%T: %d", f, a.Status)
			continue
		}
		require.NotEqual(t, outcome.NotRun, f.Outcome(), "%T: %d", f, a.Status)
	}
}
