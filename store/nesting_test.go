package store

import (
	"encoding/json"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// nested returns an array of arrays.
func nested(levels int) string {
	return strings.Repeat("[", levels) + strings.Repeat("]", levels)
}

// limited returns what a nestingLimiter leaves of data that arrives byte by byte.
func limited(t require.TestingT, data string) string {
	out, err := io.ReadAll(&nestingLimiter{from: iotest.OneByteReader(strings.NewReader(data))})
	require.NoError(t, err)
	return string(out)
}

func TestValuesWithinTheNestingLimitStay(t *testing.T) {
	for _, data := range []string{
		``, `7`, `{"a":[1,{"b":"[[\"{"}],"c":"\\"}`, `"` + strings.Repeat("[", 2*maxNesting) + `"`, nested(maxNesting),
		`{"a":"` + strings.Repeat(`\"`, maxNesting) + strings.Repeat("{", 2*maxNesting) + `"}`,
	} {
		require.Equal(t, data, limited(t, data))
	}
}

// TestDeepValueDoesNotEndItsAnswer guards against an answer that cannot be decoded, as one value in
// it is nested more deeply than encoding/json reads.
func TestDeepValueDoesNotEndItsAnswer(t *testing.T) {
	const decodable = 10_000
	for _, levels := range []int{maxNesting, decodable - 1, decodable + 1, 20 * decodable} {
		var answer struct {
			Before, After int
			Deep          json.RawMessage
		}
		data := limited(t, `{"before":1,"deep":`+nested(levels)+`,"after":2}`)
		require.NoError(t, json.Unmarshal([]byte(data), &answer), "%d levels", levels)
		require.Equal(t, 1, answer.Before)
		require.Equal(t, 2, answer.After)
		require.True(t, NestedTooDeeply(answer.Deep), "%d levels", levels)
	}
}

// TestLimitedNestingIsValidJSON joins values of any depth and expects that what remains is decodable.
func TestLimitedNestingIsValidJSON(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var values []string
		for range rapid.IntRange(1, 6).Draw(t, "values") {
			levels := rapid.IntRange(0, 3*maxNesting).Draw(t, "levels")
			text, err := json.Marshal(rapid.String().Draw(t, "text"))
			require.NoError(t, err)
			values = append(values, strings.Repeat(`{"k[":[`, levels)+string(text)+strings.Repeat(`]}`, levels))
		}
		out := limited(t, "["+strings.Join(values, ",")+"]")
		var decoded []json.RawMessage
		require.NoError(t, json.Unmarshal([]byte(out), &decoded))
		require.Len(t, decoded, len(values))
	})
}
