package pipeline

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/eiderspring/eiderspring/quarantine"
)

// decoded returns the prompt parts of a request of the product's own API.
func decoded(t *testing.T, path, body string) []quarantine.Fingerprint {
	t.Helper()
	x := &Exchange{Writer: httptest.NewRecorder(), Request: httptest.NewRequest(http.MethodPost, path, strings.NewReader(body))}
	require.NoError(t, decode{maxBody: 1 << 20}.Process(t.Context(), x))
	return x.Call.PromptParts
}

// TestRequestsShareTheirSystemMessage guards against a system message, a document or an earlier
// turn that nothing identifies, as the requests that share it are all different.
func TestRequestsShareTheirSystemMessage(t *testing.T) {
	const system = `{"role":"system","content":"be brief"}`
	one := decoded(t, pathChat, `{"model":"m","messages":[`+system+`,{"role":"user","content":"a"}]}`)
	other := decoded(t, pathChat, `{"model":"n","temperature":1,"messages": [ `+system+`, {"role":"user","content":"b"}]}`)
	require.Len(t, one, 2)
	require.Equal(t, one[0], other[0])
	require.NotEqual(t, one[1], other[1])
	require.Equal(t, decoded(t, pathCompletions, `{"model":"m","prompt":"p"}`), decoded(t, pathCompletions, `{"model":"m","prompt":"p","seed":1}`))
	require.Empty(t, decoded(t, pathChat, `{"model":"m","messages":"none"}`))
}

// TestPartsOfLongPromptsAreBounded guards against a conversation of hundreds of turns that fills
// the table of suspects, and against one whose system message is then not known.
func TestPartsOfLongPromptsAreBounded(t *testing.T) {
	parts := make([]string, 100)
	for i := range parts {
		parts[i] = fmt.Sprint("part ", i)
	}
	selected := SelectPromptParts(parts)
	require.Len(t, selected, maxPromptParts)
	require.Equal(t, quarantine.PromptPartFingerprint([]byte("part 0")), selected[0])
	require.Equal(t, quarantine.PromptPartFingerprint([]byte("part 99")), selected[maxPromptParts-1])
	require.Len(t, SelectPromptParts([]string{"a", "", "b"}), 2)
}
