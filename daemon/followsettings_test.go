package daemon

import (
	"cmp"
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"

	"github.com/eiderspring/eiderspring/revision"
	"github.com/eiderspring/eiderspring/ring"
	"github.com/eiderspring/eiderspring/store"
)

// countingStore counts reads.
type countingStore struct {
	store.Client
	reads atomic.Int64
}

func (c *countingStore) Get(context.Context, store.Kind, string) (store.Object, error) {
	c.reads.Add(1)
	return store.Object{Metadata: store.Metadata{Name: "main"}}, nil
}

// TestNewerSettingsAreReadOnce signals newer settings with every packet until they are in
// force, which is a little after they were read.
func TestNewerSettingsAreReadOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		client, newer := &countingStore{}, make(chan struct{}, 1)
		d := &settingsWatch{
			client: client, name: "main", newer: newer, log: logr.Discard(), events: ring.New[event](8, ring.Block),
			decode: func(store.Object) (*revision.Accepted, error) { return &revision.Accepted{}, nil },
		}
		go d.readNewer(ctx)
		hint := func() {
			select {
			case newer <- struct{}{}:
			default:
			}
		}
		for range 5 {
			hint()
			time.Sleep(10 * time.Millisecond)
		}
		time.Sleep(time.Second)
		require.EqualValues(t, 1, client.reads.Load())
		hint()
		time.Sleep(time.Second)
		require.EqualValues(t, 2, client.reads.Load(), "even newer settings")
	})
}

// listingStore records which kind of list is read first.
type listingStore struct {
	store.Client
	first string
}

// List implements store.Client.
func (c *listingStore) List(context.Context, store.Kind) (store.List, error) {
	c.first = cmp.Or(c.first, "fresh")
	return store.List{ResourceVersion: "1"}, nil
}

// ListStale implements store.StaleReader.
func (c *listingStore) ListStale(context.Context, store.Kind, string) (store.List, error) {
	c.first = cmp.Or(c.first, "stale")
	return store.List{ResourceVersion: "1"}, nil
}

// GetStale implements store.StaleReader.
func (c *listingStore) GetStale(context.Context, store.Kind, string) (store.Object, error) {
	return store.Object{}, errStoreAway
}

// Watch implements store.Client.
func (c *listingStore) Watch(ctx context.Context, _ store.Kind, _ string, _ store.WatchOptions, _ func(store.Event)) error {
	<-ctx.Done()
	return ctx.Err()
}

// TestNewProcessBeginsWithFreshSettings guards against a process that is started again and begins
// with settings from a stale list, although another instance announces newer ones to it.
func TestNewProcessBeginsWithFreshSettings(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		client := &listingStore{}
		d := &settingsWatch{
			client: client, name: "main", log: logr.Discard(), events: ring.New[event](8, ring.Block), now: time.Now,
			allowStale: func() bool { return true }, storeLink: &storeLink{log: logr.Discard(), now: time.Now},
		}
		go d.run(ctx)
		time.Sleep(time.Second)
		stop()
		synctest.Wait()
		require.Equal(t, "fresh", client.first)
	})
}
