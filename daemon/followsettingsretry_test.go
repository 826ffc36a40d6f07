package daemon

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"

	"github.com/eiderspring/eiderspring/ring"
	"github.com/eiderspring/eiderspring/store"
)

// endlessReads is a client whose reads get no answer. It records when each read ended.
type endlessReads struct {
	store.Client
	ended []time.Time
}

// Get implements store.Client.
func (c *endlessReads) Get(ctx context.Context, kind store.Kind, name string) (store.Object, error) {
	ctx, cancel := context.WithTimeout(ctx, store.DefaultCallTimeout)
	defer cancel()
	<-ctx.Done()
	c.ended = append(c.ended, time.Now())
	return store.Object{}, &store.UnansweredError{Kind: kind, Name: name, Err: ctx.Err()}
}

// TestFirstReadOfEachRevisionEndsEarly guards against a first read of newer settings that waits
// for the client's whole timeout because a read of an earlier revision, which the watch then
// delivered, had failed.
func TestFirstReadOfEachRevisionEndsEarly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		reads, newer := &endlessReads{}, make(chan struct{}, 1)
		var hasNewest atomic.Bool
		d := &settingsWatch{client: reads, newer: newer, hasNewest: hasNewest.Load, events: ring.New[event](eventsCapacity, ring.Block), log: logr.Discard()}
		go d.readNewer(ctx)
		newer <- struct{}{}
		time.Sleep(watchGrace + checkStoreTimeout/2)
		// The watch delivers the revision while it is read.
		hasNewest.Store(true)
		time.Sleep(time.Minute)
		hasNewest.Store(false)
		began := time.Now()
		newer <- struct{}{}
		time.Sleep(5 * time.Second)
		stop()
		synctest.Wait()
		require.Len(t, reads.ended, 2)
		require.Equal(t, watchGrace+checkStoreTimeout, reads.ended[1].Sub(began))
	})
}
