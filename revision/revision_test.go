package revision

import (
	"context"
	"fmt"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/eiderspring/eiderspring/examples"
	_ "github.com/eiderspring/eiderspring/internal/seeded"
	"github.com/eiderspring/eiderspring/settings"
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

func TestSplitAndJoinKeepEveryByte(t *testing.T) {
	for _, text := range [][]byte{examples.Tideline, examples.Liege} {
		chunks, err := Split(text)
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
		chunks, err := Split([]byte(b.String()))
		require.NoError(t, err)
		require.Equal(t, b.String(), join(t, chunks))
	})
}

// TestEditTouchesFewChunks checks that a change to one model changes only the skeleton and the
// chunk that holds the model.
func TestEditTouchesFewChunks(t *testing.T) {
	before, err := Split(examples.Liege)
	require.NoError(t, err)
	after, err := Split([]byte(strings.Replace(string(examples.Liege), `"weightsMB": 16384`, `"weightsMB": 16385`, 1)))
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

// TestTwoOperatorsEditAtOnce lets several operators edit different fields from the same base at
// the same time, while the store loses answers. Every edit must survive; a second edit of a
// field must be a conflict.
func TestTwoOperatorsEditAtOnce(t *testing.T) {
	api := standin.NewObjectAPI()
	s := httptest.NewServer(api)
	defer s.Close()
	client := store.NewHTTPClient(store.Config{URL: s.URL})
	ctx := context.Background()
	p := NewPublisher(client, time.Now)
	first, err := p.Edit(ctx, "f", examples.Tideline, "ann", 0)
	require.NoError(t, err)
	api.SetMode(standin.StoreLostAnswers)
	edits := []struct{ old, next string }{
		{`"firstTokenMS": 1000`, `"firstTokenMS": 1001`},
		{`"betweenTokensMS": 120`, `"betweenTokensMS": 121`},
		{`"movePrice": 2`, `"movePrice": 3`},
		{`"concurrent": 15`, `"concurrent": 14`},
	}
	var all sync.WaitGroup
	for _, e := range edits {
		all.Go(func() {
			text := strings.Replace(string(examples.Tideline), e.old, e.next, 1)
			for range 20 {
				_, err := p.Edit(ctx, "f", []byte(text), "x", first.Revision)
				if !store.IsUnanswered(err) && !store.IsConflict(err) {
					assert.NoError(t, err)
					return
				}
			}
			assert.Fail(t, "the edit was never accepted", e.next)
		})
	}
	all.Wait()
	api.SetMode(standin.StoreUp)
	accepted, err := ReadCurrent(ctx, client)
	require.NoError(t, err)
	for _, e := range edits {
		require.Contains(t, string(accepted.Text), e.next)
	}
	_, err = p.Edit(ctx, "f", []byte(strings.Replace(string(examples.Tideline), `"movePrice": 2`, `"movePrice": 9`, 1)), "late", first.Revision)
	var conflict *settings.ConflictError
	require.ErrorAs(t, err, &conflict)
	require.Equal(t, "/policy/movePrice", conflict.Conflicts[0].Path)
}

func TestHistoryIsKeptAndBounded(t *testing.T) {
	s := httptest.NewServer(standin.NewObjectAPI())
	defer s.Close()
	client := store.NewHTTPClient(store.Config{URL: s.URL})
	now := time.Now()
	p := NewPublisher(client, func() time.Time { return now })
	ctx := context.Background()
	for i := range int64(historyLimit + 5) {
		text := strings.Replace(string(examples.Tideline), `"firstTokenMS": 1000`, fmt.Sprintf(`"firstTokenMS": %d`, 1000+i), 1)
		_, err := p.Publish(ctx, "f", []byte(text), "x", i)
		require.NoError(t, err)
	}
	old, err := ReadRevision(ctx, client, 10)
	require.NoError(t, err)
	require.Contains(t, string(old.Text), `"firstTokenMS": 1009`)
	now = now.Add(2 * minGarbageAge)
	deleted, err := p.CollectGarbage(ctx)
	require.NoError(t, err)
	require.Equal(t, 4+4, deleted, "4 revisions and the skeleton of each")
	_, err = ReadRevision(ctx, client, 1)
	var unknown *UnknownRevisionError
	require.ErrorAs(t, err, &unknown)
	_, err = ReadRevision(ctx, client, 6)
	require.NoError(t, err)
}
