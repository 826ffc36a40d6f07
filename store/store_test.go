package store_test

import (
	"context"
	"fmt"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/eiderspring/eiderspring/standin"
	"github.com/eiderspring/eiderspring/store"
)

type value struct {
	N int `json:"n"`
}

func newStore(t *testing.T) (*standin.ObjectAPI, store.Client) {
	t.Helper()
	api := standin.NewObjectAPI()
	s := httptest.NewServer(api)
	t.Cleanup(func() { s.CloseClientConnections(); s.Close() })
	return api, store.NewHTTPClient(store.Config{URL: s.URL})
}

func newValue(t *testing.T, name string, n int) store.Object {
	t.Helper()
	o, err := store.NewObject(store.KindLease, name, value{N: n})
	require.NoError(t, err)
	return o
}

func TestConditionalWrites(t *testing.T) {
	_, c := newStore(t)
	ctx := context.Background()
	_, err := c.Get(ctx, store.KindLease, "x")
	require.True(t, store.IsNotFound(err))
	created, err := c.Create(ctx, newValue(t, "x", 1))
	require.NoError(t, err)
	_, err = c.Create(ctx, newValue(t, "x", 2))
	require.True(t, store.IsConflict(err))
	next, err := created.WithSpec(value{N: 2})
	require.NoError(t, err)
	_, err = c.Update(ctx, next)
	require.NoError(t, err)
	_, err = c.Update(ctx, next)
	require.True(t, store.IsConflict(err), "the version has changed")
}

func TestOutageIsUnanswered(t *testing.T) {
	api, c := newStore(t)
	api.SetMode(standin.StoreDown)
	_, err := c.Create(context.Background(), newValue(t, "x", 1))
	require.True(t, store.IsUnanswered(err))
}

// TestLostAnswersAreResolved makes many writes, one in ten of which loses its answer after
// taking effect: the Writer must determine the effect of each.
func TestLostAnswersAreResolved(t *testing.T) {
	api, c := newStore(t)
	api.SetMode(standin.StoreLostAnswers)
	w := store.NewWriter(c)
	for i := range 60 {
		o, err := w.Create(context.Background(), newValue(t, fmt.Sprint(i), i))
		require.NoError(t, err)
		next, err := o.WithSpec(value{N: -i})
		require.NoError(t, err)
		_, err = w.Update(context.Background(), next)
		require.NoError(t, err)
	}
}

func TestReflectorFollowsThroughOutage(t *testing.T) {
	api, c := newStore(t)
	var mu sync.Mutex
	seen := map[string]bool{}
	record := func(o store.Object) {
		mu.Lock()
		defer mu.Unlock()
		seen[o.Metadata.Name] = true
	}
	has := func(name string) func() bool {
		return func() bool {
			mu.Lock()
			defer mu.Unlock()
			return seen[name]
		}
	}
	r := store.NewReflector(c, store.KindLease, store.WatchOptions{}, func(l store.List) {
		for _, o := range l.Items {
			record(o)
		}
	}, func(e store.Event) { record(e.Object) }, func(error) {})
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); r.Run(ctx) }()
	_, err := c.Create(ctx, newValue(t, "before", 1))
	require.NoError(t, err)
	require.Eventually(t, has("before"), 20*time.Second, time.Millisecond)
	api.SetMode(standin.StoreDown)
	api.SetMode(standin.StoreUp)
	_, err = c.Create(ctx, newValue(t, "after", 1))
	require.NoError(t, err)
	require.Eventually(t, has("after"), 20*time.Second, time.Millisecond)
	stop()
	<-done
}
