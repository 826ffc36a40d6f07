package daemon

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/eiderspring/eiderspring/membership"
	"github.com/eiderspring/eiderspring/store"
)

// An instance that alone cannot reach the store, while endpoints leave, must know of them once
// it counts as in contact again. The test fails if the time for which lapsed entries are kept is
// measured from the instance's own first answer, although the store was reachable for all
// others, as the holder of the lease continued to announce.

// storeCut is a loss of one instance's connection to the store.
type storeCut struct {
	// phase is when the cut begins within the instance's cycle of calls.
	phase time.Duration
	// announced tells whether the holder's announcements arrive meanwhile.
	announced bool
	// leaving tells whether the endpoint reports that it leaves before its entry is removed.
	leaving bool
}

// detectionDelay returns how long after the end of the cut the instance knows that the endpoint
// is gone.
func (c storeCut) detectionDelay(t *testing.T) time.Duration {
	t.Helper()
	var delay time.Duration
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		s := newStaleStore(staleAnswers)
		s.put("e", membership.Live)
		i := newEntriesInstance(s, "cut", func() bool { return false })
		i.follow(ctx)
		settings := &staleStoreClient{store: newStaleStore(staleAnswers), storeLink: i.storeLink, fresh: i.client.fresh, cut: make(chan struct{})}
		go store.NewReflector(settings, "settings", store.WatchOptions{}, func(store.List) {}, func(store.Event) {}, func(error) {}).Run(ctx)
		go s.churn(ctx)
		var receiving atomic.Bool
		receiving.Store(true)
		go func() {
			for ctx.Err() == nil {
				if receiving.Load() {
					i.mesh.totals.receive(time.Now(), time.Now(), holderAnnouncement(true))
				}
				time.Sleep(minAnnounceInterval)
			}
		}()
		time.Sleep(6*time.Second + c.phase)
		settings.set(false, true, false)
		i.client.set(false, true, false)
		receiving.Store(c.announced)
		time.Sleep(1200 * time.Millisecond)
		if c.leaving {
			s.put("e", membership.Leaving)
			time.Sleep(2300 * time.Millisecond)
		}
		s.remove("e")
		time.Sleep(2500 * time.Millisecond)
		settings.set(false, false, false)
		i.client.set(false, false, false)
		receiving.Store(true)
		healed := time.Now()
		time.Sleep(10 * time.Second)
		delay = i.lateness(t, "e", healed)
		stop()
		time.Sleep(time.Second)
		synctest.Wait()
	})
	return delay
}

func TestEndpointRemovedDuringAStoreCutIsKnownInTime(t *testing.T) {
	const phases, phase = 60, 37 * time.Millisecond
	for _, c := range []storeCut{{}, {announced: true}, {leaving: true}, {leaving: true, announced: true}} {
		var worst time.Duration
		for n := range phases {
			c.phase = time.Duration(n) * phase
			worst = max(worst, c.detectionDelay(t))
		}
		t.Logf("announced=%v leaving=%v: %v after the cut", c.announced, c.leaving, worst)
		require.Less(t, worst, milliseconds(DefaultNodeConfig().Fresh.ContactMS))
	}
}

// A holder of the lease that was itself cut off from the store must not attest as soon as its
// watches are answered, while it still keeps an endpoint whose removed entry it takes for a
// lapsed one. The others would rely on its attestation in place of their own lagging watches,
// and would not learn of the removal.
func TestHolderAfterAStoreCutDoesNotAttestKeptEntries(t *testing.T) {
	const step = 50 * time.Millisecond
	var worst time.Duration
	for after := time.Duration(0); after < 3*time.Second; after += step {
		worst = max(worst, removalDelayAfterHolderCut(t, after))
	}
	t.Logf("worst %v", worst)
	require.Less(t, worst, milliseconds(DefaultNodeConfig().Fresh.LeavingMS))
}

// removalDelayAfterHolderCut returns how late a follower learns of the removal of an endpoint,
// which comes a time after the end of a cut of the holder's connection to the store.
func removalDelayAfterHolderCut(t *testing.T, after time.Duration) time.Duration {
	t.Helper()
	var delay time.Duration
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		s := newStaleStore(staleAnswers)
		s.put("e", membership.Live)
		holder := newEntriesInstance(s, "holder", func() bool { return true })
		follower := newEntriesInstance(s, "follower", func() bool { return false })
		go s.churn(ctx)
		holder.follow(ctx)
		holder.announceTo(ctx, follower)
		follower.follow(ctx)
		time.Sleep(8 * time.Second)
		holder.client.set(true, false, true)
		time.Sleep(2500 * time.Millisecond)
		holder.client.set(false, false, false)
		time.Sleep(after)
		removedAt := time.Now()
		s.remove("e")
		time.Sleep(15 * time.Second)
		delay = follower.lateness(t, "e", removedAt)
		stop()
		time.Sleep(time.Second)
		synctest.Wait()
	})
	return delay
}
