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

// TestCallersHeadOnlyAsks draws heads whatever and looks at what goes on: no name that
// steers an endpoint or concerns one connection, one value of each field that asks, and
// every other field as it came.
func TestCallersHeadOnlyAsks(t *testing.T) {
	names := rapid.SampledFrom([]string{
		"x-asked", "X-ASKED", "x-steer", "X-Steer", "kv-from", "KV-anything", "connection", "Keep-Alive", "TE",
		"content-length", "Authorization", "x-other", "Accept",
	})
	values := rapid.SampledFrom([]string{"", "a", "b", "x-asked", "x-asked, x-other", "close", "x-steer"})
	rapid.Check(t, func(t *rapid.T) {
		head := http.Header{}
		for range rapid.IntRange(0, 12).Draw(t, "fields") {
			head.Add(names.Draw(t, "name"), values.Draw(t, "value"))
		}
		out := testHeaders.forward(head)
		listed := connectionOptions(head)
		for name, got := range out {
			require.False(t, HopByHop(name) || testHeaders.steers(name), name)
			require.False(t, listed[name] && !testHeaders.FirstValueOnly[name], name)
			if testHeaders.FirstValueOnly[name] {
				require.Equal(t, head[name][:1], got)
				continue
			}
			require.Equal(t, head[name], got)
		}
		for name := range head {
			if testHeaders.FirstValueOnly[name] || !HopByHop(name) && !testHeaders.steers(name) && !listed[name] {
				require.Contains(t, out, name)
			}
		}
	})
}

// TestAskingIsNotUnlisted names what is asked for in the Connection field: were it
// dropped, the endpoint would be asked something else.
func TestAskingIsNotUnlisted(t *testing.T) {
	head := http.Header{"Connection": {"X-Asked, x-other"}, "X-Asked": {"model"}, "X-Other": {"1"}}
	require.Equal(t, http.Header{"X-Asked": {"model"}}, testHeaders.forward(head))
}

// TestOwnHeadersStandBesideTheCallers sends an attempt with both kinds.
func TestOwnHeadersStandBesideTheCallers(t *testing.T) {
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
