package claim

import (
	"context"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/eiderspring/eiderspring/standin"
	"github.com/eiderspring/eiderspring/store"
)

func TestDecide(t *testing.T) {
	for _, tc := range []struct {
		name   string
		record *Record
		want   Verdict
	}{
		{"fresh key", nil, Create},
		{"held", &Record{State: Claimed, Fingerprint: "f"}, Wait},
		{"done", &Record{State: Done, Fingerprint: "f"}, Replay},
		{"cancelled", &Record{State: Cancelled, Fingerprint: "f"}, Reclaim},
		{"other content", &Record{State: Done, Fingerprint: "g"}, Mismatch},
		{"other content after cancel", &Record{State: Cancelled, Fingerprint: "g"}, Mismatch},
	} {
		t.Run(tc.name, func(t *testing.T) { require.Equal(t, tc.want, Decide(tc.record, "f")) })
	}
}

func newKeepers(t *testing.T, n int) (*standin.ObjectAPI, []*Keeper) {
	t.Helper()
	api := standin.NewObjectAPI()
	s := httptest.NewServer(api)
	t.Cleanup(func() { s.CloseClientConnections(); s.Close() })
	keepers := make([]*Keeper, n)
	for i := range keepers {
		keepers[i] = NewKeeper(store.NewHTTPClient(store.Config{URL: s.URL}), string(rune('a'+i)), time.Now)
	}
	return api, keepers
}

var testKey = Key{Caller: "c", Service: "s", Key: "k"}

// TestOneOfManyRuns sends one key through several instances at once while the
// store loses answers.
func TestOneOfManyRuns(t *testing.T) {
	api, keepers := newKeepers(t, 6)
	api.SetMode(standin.StoreLostAnswers)
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	var mu sync.Mutex
	runs, replays := 0, 0
	var all sync.WaitGroup
	for _, k := range keepers {
		all.Go(func() {
			c, result, err := k.Begin(ctx, testKey, "f")
			mu.Lock()
			defer mu.Unlock()
			switch {
			case c != nil:
				runs++
				_ = c.Finish(ctx, Result{Status: 200, Body: []byte("done")})
			case result != nil:
				replays++
				require.Equal(t, "done", string(result.Body))
			default:
				require.ErrorIs(t, err, ErrUnknown)
			}
		})
	}
	all.Wait()
	require.Equal(t, 1, runs)
	require.Positive(t, replays)
}

func TestCancelledKeyIsFreeAgain(t *testing.T) {
	_, keepers := newKeepers(t, 2)
	ctx := context.Background()
	c, _, err := keepers[0].Begin(ctx, testKey, "f")
	require.NoError(t, err)
	require.NoError(t, c.Cancel(ctx))
	again, _, err := keepers[1].Begin(ctx, testKey, "f")
	require.NoError(t, err)
	require.NotNil(t, again)
	require.True(t, store.IsConflict(c.Finish(ctx, Result{})), "the first holder has no say any more")
}

func TestHeldKeyIsUnknownInTheEnd(t *testing.T) {
	_, keepers := newKeepers(t, 2)
	_, _, err := keepers[0].Begin(context.Background(), testKey, "f")
	require.NoError(t, err)
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	_, _, err = keepers[1].Begin(ctx, testKey, "f")
	require.ErrorIs(t, err, ErrUnknown)
	_, _, err = keepers[1].Begin(context.Background(), testKey, "other")
	require.ErrorIs(t, err, ErrMismatch)
}

func TestSweepKeepsTheHorizon(t *testing.T) {
	_, keepers := newKeepers(t, 1)
	ctx := context.Background()
	k := keepers[0]
	for i, at := range []time.Time{time.Unix(1000, 0), time.Unix(1500, 0)} {
		k.now = func() time.Time { return at }
		_, _, err := k.Begin(ctx, Key{Key: string(rune('a' + i))}, "f")
		require.NoError(t, err)
	}
	deleted, err := Sweep(ctx, k.client, time.Unix(2000, 0), 600*time.Second)
	require.NoError(t, err)
	require.Equal(t, 1, deleted)
	_, _, err = k.Begin(ctx, Key{Key: "b"}, "other")
	require.ErrorIs(t, err, ErrMismatch, "the younger claim is kept")
}
