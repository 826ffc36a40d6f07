package pipeline

import (
	"errors"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/eiderspring/eiderspring/outcome"
)

// TestUnknownNameIsNotRejectedByOldSettings asks for what newer settings may name: a caller
// got 404 for a route that was there.
func TestUnknownNameIsNotRejectedByOldSettings(t *testing.T) {
	outdated := false
	p := &Pipeline{cfg: Config{Outdated: func() bool { return outdated }}}
	unknown := &ResolveError{Name: "m"}
	require.Equal(t, unknown, p.unlessOutdated(unknown))
	outdated = true
	other := errors.New("another")
	require.Equal(t, other, p.unlessOutdated(other))
	var failure Failure
	require.ErrorAs(t, p.unlessOutdated(unknown), &failure)
	require.Equal(t, outcome.NotRun, failure.Outcome())
	require.Equal(t, http.StatusServiceUnavailable, failure.Answer().Status)
	require.Positive(t, failure.Answer().RetryAfter)
}
