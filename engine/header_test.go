package engine

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var testHeaders = Headers{
	FirstValueOnly:  map[string]bool{"X-Asked": true},
	Control:         map[string]bool{"X-Steer": true},
	ControlPrefixes: []string{"Kv-"},
}

// TestCallersHeaderIsFiltered generates arbitrary headers and checks what is forwarded: no
// control or hop-by-hop field, one value of each FirstValueOnly field, and every other field
// unchanged.
func TestCallersHeaderIsFiltered(t *testing.T) {
	names := rapid.SampledFrom([]string{
		"x-asked", "X-ASKED", "x-steer", "X-Steer", "kv-from", "KV-anything", "connection", "Keep-Alive", "TE",
		"content-length", "Authorization", "x-other", "Accept",
	})
	values := rapid.SampledFrom([]string{"", "a", "b", "x-asked", "x-asked, x-other", "close", "x-steer"})
	rapid.Check(t, func(t *rapid.T) {
		header := http.Header{}
		for range rapid.IntRange(0, 12).Draw(t, "fields") {
			header.Add(names.Draw(t, "name"), values.Draw(t, "value"))
		}
		out := testHeaders.forward(header)
		listed := connectionOptions(header)
		for name, got := range out {
			require.False(t, HopByHop(name) || testHeaders.isControl(name), name)
			require.False(t, listed[name] && !testHeaders.FirstValueOnly[name], name)
			if testHeaders.FirstValueOnly[name] {
				require.Equal(t, header[name][:1], got)
				continue
			}
			require.Equal(t, header[name], got)
		}
		for name := range header {
			if testHeaders.FirstValueOnly[name] || !HopByHop(name) && !testHeaders.isControl(name) && !listed[name] {
				require.Contains(t, out, name)
			}
		}
	})
}

// TestConnectionDoesNotDropRequestFields lists a FirstValueOnly field in the Connection
// field: dropping it would make the endpoint run another request.
func TestConnectionDoesNotDropRequestFields(t *testing.T) {
	header := http.Header{"Connection": {"X-Asked, x-other"}, "X-Asked": {"model"}, "X-Other": {"1"}}
	require.Equal(t, http.Header{"X-Asked": {"model"}}, testHeaders.forward(header))
}

// TestOwnHeadersAreAddedToTheCallers builds the request of an attempt with both kinds: a
// field that only the instance may set must not come from the caller.
func TestOwnHeadersAreAddedToTheCallers(t *testing.T) {
	c := NewClient(Config{})
	req, err := c.newRequest(t.Context(), Attempt{
		ID: "mine", Method: http.MethodPost, Path: "/",
		CallerHeader: http.Header{RequestIDHeader: {"forged"}, "X-Other": {"1"}},
		Header:       http.Header{"Content-Type": {"application/json"}},
	})
	require.NoError(t, err)
	require.Equal(t, []string{"mine"}, req.Header[RequestIDHeader])
	require.Equal(t, "1", req.Header.Get("X-Other"))
	require.Equal(t, "application/json", req.Header.Get("Content-Type"))
}
