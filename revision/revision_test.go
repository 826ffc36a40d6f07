package revision

import (
	"context"
	"fmt"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/eiderspring/eiderspring/examples"
	"github.com/eiderspring/eiderspring/standin"
	"github.com/eiderspring/eiderspring/store"
)

func join(t require.TestingT, chunks []Chunk) string {
	byHash := map[string][]byte{}
	for _, c := range chunks {
		byHash[c.Hash] = c.Text
	}
	text, err := Join(chunks[0].Text, func(hash string) ([]byte, error) { return byHash[hash], nil })
	require.NoError(t, err)
	return string(text)
}

func TestCutAndJoinKeepEveryByte(t *testing.T) {
	for _, text := range [][]byte{examples.Tideline, examples.Liege} {
		chunks, err := Cut(text)
		require.NoError(t, err)
		require.Equal(t, string(text), join(t, chunks))
	}
	rapid.Check(t, func(t *rapid.T) {
		var b strings.Builder
		b.WriteString("{// head\n\"services\": {")
		for i := range rapid.IntRange(0, 100).Draw(t, "members") {
			fmt.Fprintf(&b, "\n\t// about %d\n\t\"s%d\": {\"model\": %q},", i, i, rapid.StringMatching(`[a-z]{0,5}`).Draw(t, "model"))
		}
		b.WriteString("\n}, \"callers\": {}}")
		chunks, err := Cut([]byte(b.String()))
		require.NoError(t, err)
		require.Equal(t, b.String(), join(t, chunks))
	})
}

// TestEditTouchesFewChunks checks that a change to one model changes the
// skeleton and the chunk that holds the model, and no other.
func TestEditTouchesFewChunks(t *testing.T) {
	before, err := Cut(examples.Liege)
	require.NoError(t, err)
	after, err := Cut([]byte(strings.Replace(string(examples.Liege), `"weightsMB": 16384`, `"weightsMB": 16385`, 1)))
	require.NoError(t, err)
	old := map[string]bool{}
	for _, c := range before {
		old[c.Hash] = true
	}
	changed := 0
	for _, c := range after {
		if !old[c.Hash] {
			changed++
		}
	}
	require.Equal(t, 2, changed)
}

func TestPublishAndFetch(t *testing.T) {
	s := httptest.NewServer(standin.NewObjectAPI())
	defer s.Close()
	client := store.NewHTTPClient(store.Config{URL: s.URL})
	p := NewPublisher(client, func() time.Time { return time.Unix(1, 0) })
	ctx := context.Background()
	first, err := p.Publish(ctx, "f", examples.Tideline, "ann", 0)
	require.NoError(t, err)
	second, err := p.Publish(ctx, "f", examples.Tideline, "ben", first.Revision)
	require.NoError(t, err)
	_, err = p.Publish(ctx, "f", examples.Tideline, "cas", first.Revision)
	require.True(t, store.IsConflict(err), "revision 2 came first")
	accepted, err := NewFetcher().Fetch(ctx, second, StoreSource(client))
	require.NoError(t, err)
	require.Equal(t, string(examples.Tideline), string(accepted.Text))
	_, err = p.Publish(ctx, "f", []byte(`{}`), "dot", second.Revision)
	require.ErrorContains(t, err, "/deployment: missing")
}
