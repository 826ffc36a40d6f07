package pipeline

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// A fault in the request path makes net/http end the caller's connection: the caller
// gets neither an answer nor a refusal, and the instance's log has no line of it. It is
// to be told that the request may have run.
func TestFaultInTheRequestPathIsTold(t *testing.T) {
	p := benchPipeline(t, "127.0.0.1:1")
	p.prepare = append([]Filter{faulty{}}, p.prepare...)
	w := httptest.NewRecorder()
	require.NotPanics(t, func() {
		p.ServeHTTP(w, httptest.NewRequest(http.MethodPost, pathChat, strings.NewReader(`{}`)))
	})
	require.Equal(t, http.StatusBadGateway, w.Code)
	require.Contains(t, w.Body.String(), CodeOutcomeUnknown)
}

// faulty is a filter with a fault.
type faulty struct{}

func (faulty) Process(_ context.Context, x *Exchange) error { return x.Attempts[0].missing() }

func (a *Attempt) missing() error { return nil }
