package daemon

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"

	"github.com/eiderspring/eiderspring/store"
)

// silentWrites is a client of which the next writes get no answer, as on a connection that has
// become silent. They end with the client's own timeout at the latest.
type silentWrites struct {
	store.Client
	silent atomic.Int64
}

// Update implements store.Client.
func (c *silentWrites) Update(ctx context.Context, o store.Object) (store.Object, error) {
	if c.silent.Add(-1) < 0 {
		return c.Client.Update(ctx, o)
	}
	ctx, cancel := context.WithTimeout(ctx, store.DefaultCallTimeout)
	defer cancel()
	<-ctx.Done()
	return store.Object{}, &store.UnansweredError{Kind: o.Kind, Name: o.Metadata.Name, Err: ctx.Err()}
}

// TestUnansweredRenewalIsRepeatedInTime guards against a lease that is lost because one renewal
// gets no answer, though the store answers all other calls.
func TestUnansweredRenewalIsRepeatedInTime(t *testing.T) {
	var without time.Duration
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		var done sync.WaitGroup
		client := &silentWrites{Client: &leaseStore{}}
		p := &placers{
			ctx: ctx, holder: "i0", client: client, log: logr.Discard(), now: time.Now, done: &done, announce: func([]outgoingPlacement) {},
			campaigns: func(string, bool) bool { return true }, observes: func(string) bool { return false },
		}
		pl := p.start("pool")
		time.Sleep(5 * time.Second)
		client.silent.Store(1)
		for range 100 {
			time.Sleep(50 * time.Millisecond)
			if h, held := pl.runner.Hold(); !held || !time.Now().Before(h.Until) {
				without += 50 * time.Millisecond
			}
		}
		stop()
		done.Wait()
		synctest.Wait()
	})
	require.Zero(t, without, "the lease was lost")
}
