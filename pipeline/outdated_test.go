package pipeline

import (
	"errors"
	"expvar"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/go-logr/logr/funcr"
	"github.com/stretchr/testify/require"

	"github.com/eiderspring/eiderspring/outcome"
)

// TestUnknownNameIsNotRejectedByOldSettings asks for what newer settings may name: a caller
// got 404 for a route that was there.
func TestUnknownNameIsNotRejectedByOldSettings(t *testing.T) {
	outdated := false
	p := &Pipeline{cfg: Config{SettingsOutdated: func() bool { return outdated }}}
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

// TestLateSettingsAreCounted guards against late settings that nobody sees: what an instance
// refuses for them is counted, and its log names both revisions.
func TestLateSettingsAreCounted(t *testing.T) {
	vars := new(expvar.Map).Init()
	var line string
	log := funcr.New(func(_, args string) { line = args }, funcr.Options{})
	f := settle{log: log, metrics: NewMetrics(vars), now: time.Now}
	p := &Pipeline{cfg: Config{SettingsOutdated: func() bool { return true }, Revisions: func() Revisions { return Revisions{InForce: 6, Newest: 7} }}}
	x := &Exchange{Received: time.Now(), Request: httptest.NewRequest(http.MethodGet, "/", nil)}
	f.report(x, p.unlessOutdated(&ResolveError{Name: "m"}))
	require.Equal(t, "1", vars.Get("requests_outdated").String())
	require.Contains(t, line, "revision 6 of 7")
	f.report(x, &ResolveError{Name: "m"})
	require.Equal(t, "1", vars.Get("requests_outdated").String(), "a name that nobody knows")
	require.Nil(t, vars.Get("requests_stale_keys"))
	f.report(x, &StaleSettingsError{})
	require.Equal(t, "1", vars.Get("requests_stale_keys").String())
}
