package store_test

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/eiderspring/eiderspring/store"
	"github.com/eiderspring/eiderspring/wait"
)

// scriptedClient is a store of which only lists and watches are asked.
type scriptedClient struct {
	store.Client
	mu    sync.Mutex
	lists []time.Time
	// watch answers the n-th watch.
	watch   func(n int, version string, handle func(store.Event)) error
	watches int
}

// listed is how often the store was asked for a list.
func (c *scriptedClient) listed() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.lists)
}

func (c *scriptedClient) List(context.Context, store.Kind) (store.List, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lists = append(c.lists, time.Now())
	return store.List{ResourceVersion: "100"}, nil
}

func (c *scriptedClient) Watch(ctx context.Context, _ store.Kind, version string, _ store.WatchOptions, handle func(store.Event)) error {
	c.mu.Lock()
	c.watches++
	n := c.watches
	c.mu.Unlock()
	if err := c.watch(n, version, handle); err != nil {
		return err
	}
	<-ctx.Done()
	return ctx.Err()
}

var errAway = errors.New("away")

// TestReflectorListsSoonAfterHistoryIsGone lets a long outage end with a watch
// whose history is gone. The pauses of the outage must not delay the list: what
// the store acknowledged meanwhile has to be in force within a second or two.
func TestReflectorListsSoonAfterHistoryIsGone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var back time.Time
		c := &scriptedClient{watch: func(n int, _ string, _ func(store.Event)) error {
			switch {
			case n < 30:
				return errAway
			case n == 30:
				back = time.Now()
				return &store.StatusError{Code: http.StatusGone}
			default:
				return nil
			}
		}}
		r := store.NewReflector(c, store.KindLease, store.WatchOptions{}, func(store.List) {}, func(store.Event) {}, func(error) {})
		ctx, stop := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() { defer close(done); r.Run(ctx) }()
		time.Sleep(time.Minute)
		stop()
		<-done
		require.Len(t, c.lists, 2)
		require.LessOrEqual(t, c.lists[1].Sub(back), 300*time.Millisecond)
	})
}

// TestReflectorGoesOnFromItsVersion breaks a watch behind a bookmark: the next
// one goes on from there, without a list.
func TestReflectorGoesOnFromItsVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var versions []string
		c := &scriptedClient{watch: func(n int, version string, handle func(store.Event)) error {
			versions = append(versions, version)
			if n == 1 {
				handle(store.Event{Type: store.EventBookmark, Object: store.Object{Metadata: store.Metadata{ResourceVersion: "107"}}})
				return errAway
			}
			return nil
		}}
		r := store.NewReflector(c, store.KindLease, store.WatchOptions{}, func(store.List) {}, func(store.Event) {}, func(error) {})
		ctx, stop := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() { defer close(done); r.Run(ctx) }()
		time.Sleep(time.Minute)
		stop()
		<-done
		require.Equal(t, []string{"100", "107"}, versions)
		require.Len(t, c.lists, 1)
	})
}

// TestReflectorThatMayBeBehindListsLater lets a store forget its history again and
// again: whoever may be behind lists seldom, and at once when it no longer may.
func TestReflectorThatMayBeBehindListsLater(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := &scriptedClient{watch: func(int, string, func(store.Event)) error { return &store.StatusError{Code: http.StatusGone} }}
		var behind atomic.Bool
		behind.Store(true)
		r := store.NewReflector(c, store.KindLease, store.WatchOptions{AllowStale: behind.Load}, func(store.List) {}, func(store.Event) {}, func(error) {})
		ctx, stop := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() { defer close(done); r.Run(ctx) }()
		time.Sleep(time.Minute)
		synctest.Wait()
		lists := c.listed()
		require.Less(t, lists, 45)
		behind.Store(false)
		time.Sleep(time.Minute)
		synctest.Wait()
		require.Greater(t, c.listed()-lists, 180)
		stop()
		<-done
	})
}

// TestPauseEndsWithTheWordItRestsOn lets a store forget its history while the
// reflector may be behind. What it may leave to others it does not leave to them any
// more once they are silent: the pause of seconds before the list ends with that.
func TestPauseEndsWithTheWordItRestsOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := &scriptedClient{watch: func(n int, _ string, _ func(store.Event)) error {
			if n == 1 {
				return &store.StatusError{Code: http.StatusGone}
			}
			return nil
		}}
		var behind atomic.Bool
		behind.Store(true)
		r := store.NewReflector(c, store.KindLease, store.WatchOptions{AllowStale: behind.Load}, func(store.List) {}, func(store.Event) {}, func(error) {})
		ctx, stop := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() { defer close(done); r.Run(ctx) }()
		time.Sleep(500 * time.Millisecond)
		synctest.Wait()
		require.Equal(t, 1, c.listed(), "the others tell")
		behind.Store(false)
		time.Sleep(wait.PollInterval)
		synctest.Wait()
		require.Equal(t, 2, c.listed(), "nobody tells any more")
		stop()
		<-done
	})
}

// An answer that may be old confirms nothing, one that may not be does, also without
// changes; and so does a list.
func TestOnlyCloseAnswersConfirm(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := &scriptedClient{watch: func(n int, _ string, handle func(store.Event)) error {
			e := store.Event{Type: store.EventBookmark, Object: store.Object{Metadata: store.Metadata{ResourceVersion: "101"}}, Stale: n == 1}
			handle(e)
			if n < 3 {
				return errAway
			}
			return nil
		}}
		confirmed := 0
		options := store.WatchOptions{OnFresh: func() { confirmed++ }}
		r := store.NewReflector(c, store.KindLease, options, func(store.List) {}, func(store.Event) {}, func(error) {})
		ctx, stop := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() { defer close(done); r.Run(ctx) }()
		time.Sleep(time.Minute)
		stop()
		<-done
		require.Equal(t, 3, confirmed, "the list and two of three answers")
	})
}
