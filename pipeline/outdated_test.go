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

// A caller gets 404 for an existing name if this instance's outdated settings do not
// contain it yet. The answer must be a refusal that allows a retry.
func TestUnknownNameIsNotRejectedByOldSettings(t *testing.T) {
	outdated := false
	p := &Pipeline{cfg: Config{SettingsOutdated: func() bool { return outdated }}}
	unknown := &ResolveError{Name: "m"}
	require.Equal(t, unknown, p.checkOutdated(unknown))
	outdated = true
	other := errors.New("another")
	require.Equal(t, other, p.checkOutdated(other))
	var failure Failure
	require.ErrorAs(t, p.checkOutdated(unknown), &failure)
	require.Equal(t, outcome.NotRun, failure.Outcome())
	require.Equal(t, http.StatusServiceUnavailable, failure.Answer().Status)
	require.Positive(t, failure.Answer().RetryAfter)
}

// Requests refused because of outdated settings must be visible: they are counted, and the
// log line gives both revisions.
func TestOutdatedSettingsAreCounted(t *testing.T) {
	vars := new(expvar.Map).Init()
	var line string
	log := funcr.New(func(_, args string) { line = args }, funcr.Options{})
	f := settle{log: log, metrics: NewMetrics(vars), now: time.Now}
	p := &Pipeline{cfg: Config{SettingsOutdated: func() bool { return true }, Revisions: func() Revisions { return Revisions{InForce: 6, Newest: 7} }}}
	x := &Exchange{Received: time.Now(), Request: httptest.NewRequest(http.MethodGet, "/", nil)}
	f.report(x, p.checkOutdated(&ResolveError{Name: "m"}))
	require.Equal(t, "1", vars.Get("requests_outdated").String())
	require.Contains(t, line, "revision 6 of 7")
	f.report(x, &ResolveError{Name: "m"})
	require.Equal(t, "1", vars.Get("requests_outdated").String(), "an unknown name alone is not counted")
	require.Nil(t, vars.Get("requests_stale_keys"))
	f.report(x, &StaleSettingsError{})
	require.Equal(t, "1", vars.Get("requests_stale_keys").String())
}
