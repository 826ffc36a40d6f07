package pipeline

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// On a panic in a handler net/http closes the caller's connection: the caller gets neither
// an answer nor a refusal, and the instance's log has no line about it. The answer must
// report that the request may have run.
func TestPanicIsReportedToTheCaller(t *testing.T) {
	p := newTestPipeline(t, "127.0.0.1:1")
	p.prepare = append([]Filter{panicFilter{}}, p.prepare...)
	w := httptest.NewRecorder()
	require.NotPanics(t, func() {
		p.ServeHTTP(w, httptest.NewRequest(http.MethodPost, pathChat, strings.NewReader(`{}`)))
	})
	require.Equal(t, http.StatusBadGateway, w.Code)
	require.Contains(t, w.Body.String(), CodeOutcomeUnknown)
}

// panicFilter is a filter that panics.
type panicFilter struct{}

func (panicFilter) Process(_ context.Context, x *Exchange) error { return x.Attempts[0].missing() }

func (a *Attempt) missing() error { return nil }
