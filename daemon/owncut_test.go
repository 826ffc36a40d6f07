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

// An instance that alone cannot reach the store, while endpoints leave, knows of them
// once it counts as in contact again. It counted the time that lapsed entries have to
// come back from its own first answer, though the store had been there for all others,
// as the holder of the lease went on to say.

// ownCut is one instance's way to the store being cut off.
type ownCut struct {
	// phase is when it begins, in the instance's round of calls.
	phase time.Duration
	// words tells whether the holder's word comes through meanwhile.
	words bool
	// says tells whether the endpoint says that it leaves before its entry goes.
	says bool
}

// known is how long behind the end of the cut the instance knows of the endpoint.
func (c ownCut) known(t *testing.T) time.Duration {
	t.Helper()
	var late time.Duration
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		s := newStaleStore(staleAnswers)
		s.put("e", membership.Live)
		i := newEntriesInstance(s, "cut", func() bool { return false })
		i.follow(ctx)
		settings := &staleStoreClient{store: newStaleStore(staleAnswers), link: i.link, fresh: i.client.fresh, cut: make(chan struct{})}
		go store.NewReflector(settings, "settings", store.WatchOptions{}, func(store.List) {}, func(store.Event) {}, func(error) {}).Run(ctx)
		go s.churn(ctx)
		var hear atomic.Bool
		hear.Store(true)
		go func() {
			for ctx.Err() == nil {
				if hear.Load() {
					i.mesh.totals.receive(time.Now(), holderAnnouncement(true))
				}
				time.Sleep(minAnnounceInterval)
			}
		}()
		time.Sleep(6*time.Second + c.phase)
		settings.set(false, true, false)
		i.client.set(false, true, false)
		hear.Store(c.words)
		time.Sleep(1200 * time.Millisecond)
		if c.says {
			s.put("e", membership.Leaving)
			time.Sleep(2300 * time.Millisecond)
		}
		s.remove("e")
		time.Sleep(2500 * time.Millisecond)
		settings.set(false, false, false)
		i.client.set(false, false, false)
		hear.Store(true)
		healed := time.Now()
		time.Sleep(10 * time.Second)
		late = i.lateness(t, "e", healed)
		stop()
		time.Sleep(time.Second)
		synctest.Wait()
	})
	return late
}

func TestEndpointThatGoesBehindAnOwnCutIsKnownInContact(t *testing.T) {
	const phases, phase = 60, 37 * time.Millisecond
	for _, c := range []ownCut{{}, {words: true}, {says: true}, {says: true, words: true}} {
		var worst time.Duration
		for n := range phases {
			c.phase = time.Duration(n) * phase
			worst = max(worst, c.known(t))
		}
		t.Logf("words=%v says=%v: %v behind the cut", c.words, c.says, worst)
		require.Less(t, worst, milliseconds(DefaultNodeConfig().Fresh.ContactMS))
	}
}

// A holder of the lease that was cut off itself vouched as soon as its watches were
// answered, while it still kept an endpoint whose entry had gone for one that lapsed.
// The others, whose watches it let be behind, were told nothing.
func TestHolderBehindAnOwnCutVouchesForNothingThatItKeeps(t *testing.T) {
	const step = 50 * time.Millisecond
	var worst time.Duration
	for after := time.Duration(0); after < 3*time.Second; after += step {
		worst = max(worst, goneBehindTheHoldersCut(t, after))
	}
	t.Logf("worst %v", worst)
	require.Less(t, worst, milliseconds(DefaultNodeConfig().Fresh.LeavingMS))
}

// goneBehindTheHoldersCut is how late a follower knows of an endpoint that goes so long
// behind a cut of the holder's way to the store.
func goneBehindTheHoldersCut(t *testing.T, after time.Duration) time.Duration {
	t.Helper()
	var late time.Duration
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
		began := time.Now()
		s.remove("e")
		time.Sleep(15 * time.Second)
		late = follower.lateness(t, "e", began)
		stop()
		time.Sleep(time.Second)
		synctest.Wait()
	})
	return late
}
