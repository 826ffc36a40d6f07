package daemon

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/eiderspring/eiderspring/membership"
)

// staleAnswers is how old an answer may be that may be behind.
const staleAnswers = 3 * time.Second

// lateCase is when things happen in one run: how long after the holder began to follow
// the store it begins to speak, how long after that the follower starts, when the
// endpoint leaves, and how long after that the holder runs into trouble.
// A calm store has nothing else that changes, so that the follower's watch rests.
type leaveCase struct {
	announceAt, start, leave, trouble time.Duration
	calm                              bool
}

// lateRun has an endpoint leave before a follower and a holder that runs into trouble,
// and returns how late the follower knows.
func runLeaveCase(t *testing.T, c leaveCase, strike func(holder *entriesInstance, kill func())) time.Duration {
	t.Helper()
	var late time.Duration
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		holderLives, kill := context.WithCancel(ctx)
		s := newStaleStore(staleAnswers)
		s.put("e", membership.Live)
		holder := newEntriesInstance(s, "holder", func() bool { return true })
		follower := newEntriesInstance(s, "follower", func() bool { return false })
		if !c.calm {
			go s.churn(ctx)
		}
		holder.follow(holderLives)
		time.Sleep(c.announceAt)
		holder.announceTo(holderLives, follower)
		time.Sleep(c.start)
		follower.follow(ctx)
		time.Sleep(staleAnswers + 2*time.Second + c.leave - c.start - c.announceAt)
		began := time.Now()
		s.put("e", membership.Leaving)
		time.Sleep(c.trouble)
		strike(holder, kill)
		time.Sleep(5 * time.Second)
		late = follower.lateness(t, "e", began)
		kill()
		stop()
		time.Sleep(time.Second)
		synctest.Wait()
	})
	return late
}

// lateRuns is how many cases latest tries, lateSeed what they are drawn from.
const (
	leaveCases    = 400
	leaveCaseSeed = 1
)

// latest is the worst of many cases.
func worstLateness(t *testing.T, strike func(holder *entriesInstance, kill func())) (worst time.Duration, at leaveCase) {
	t.Helper()
	random := rand.New(rand.NewPCG(leaveCaseSeed, 0))
	upTo := func(d time.Duration) time.Duration { return time.Duration(random.Int64N(int64(d))) }
	for range leaveCases {
		c := leaveCase{
			announceAt: upTo(minAnnounceInterval), start: upTo(staleBatchDelay), leave: upTo(staleBatchDelay), trouble: upTo(entriesBatchDelay + minAnnounceInterval),
		}
		// The same moments with and without other changes.
		for _, c.calm = range []bool{false, true} {
			if late := runLeaveCase(t, c, strike); late > worst {
				worst, at = late, c
			}
		}
	}
	return worst, at
}

// lookAfterSilence is how long after the last word of the holder, which comes at that
// offset, a follower has looked closely at what changed right after it.
func latenessAfterSilence(t *testing.T, fresh NodeFreshness, last time.Duration) time.Duration {
	t.Helper()
	var late time.Duration
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		s := newStaleStore(staleAnswers)
		s.put("e", membership.Live)
		follower := newEntriesInstance(s, "follower", func() bool { return false })
		follower.client.fresh, follower.mesh.totals.holderTimeout = fresh, fresh.holderTimeout()
		follower.follow(ctx)
		silent := time.Now().Add(5*time.Second + last)
		for time.Now().Before(silent) {
			follower.mesh.totals.receive(time.Now(), holderAnnouncement(true))
			time.Sleep(min(minAnnounceInterval, time.Until(silent)))
		}
		follower.mesh.totals.receive(time.Now(), holderAnnouncement(true))
		began := time.Now()
		s.put("e", membership.Leaving)
		time.Sleep(staleAnswers + 5*time.Second)
		late = follower.lateness(t, "e", began)
		stop()
		time.Sleep(time.Second)
		synctest.Wait()
	})
	return late
}

// The holder of the lease ends, or the store turns it away, in the pause before its own
// next look. The others go by its last word until that is too old, and then finish the
// pause or the call that they had begun. All these waits follow each other.
func TestChangesAreKnownInTimeWhateverTheOthersDoWhenTheHolderIsLost(t *testing.T) {
	fresh := DefaultNodeConfig().Fresh
	wider := NodeFreshness{LeavingMS: 3000, SettingsMS: 3000, ContactMS: 4000}
	for _, f := range []NodeFreshness{fresh, wider} {
		var look time.Duration
		for last := time.Duration(0); last < 2*staleBatchDelay+f.staleWatchHold(); last += 5 * time.Millisecond {
			look = max(look, latenessAfterSilence(t, f, last))
		}
		t.Logf("leaving within %d ms: others look %v after the last word", f.LeavingMS, look)
		assert.Less(t, f.maxAttestedAge()+look, milliseconds(f.LeavingMS))
	}
}

// The store turns the holder of the lease away while an endpoint leaves. The holder
// vouches on for a while, then the others sleep on in the pause that they had begun.
func TestLeavingEndpointIsKnownInTimeWhenTheStoreRejectsTheHolder(t *testing.T) {
	worst, at := worstLateness(t, func(holder *entriesInstance, _ func()) { holder.client.set(true, false, true) })
	require.Less(t, worst, milliseconds(DefaultNodeConfig().Fresh.LeavingMS), "%+v", at)
}

// The store has forgotten the holder's watch in silence while it answers the renewals
// of its lease. These make the holder vouch for entries that it does not follow.
func TestHolderDoesNotAttestWhileItsWatchIsSilent(t *testing.T) {
	var late time.Duration
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		s := newStaleStore(staleAnswers)
		s.put("e", membership.Live)
		holder := newEntriesInstance(s, "holder", func() bool { return true })
		follower := newEntriesInstance(s, "follower", func() bool { return false })
		holder.follow(ctx)
		holder.announceTo(ctx, follower)
		follower.follow(ctx)
		time.Sleep(5 * time.Second)
		holder.client.set(false, true, true)
		time.Sleep(time.Second)
		holder.client.set(false, false, false)
		began := time.Now()
		s.put("e", membership.Leaving)
		time.Sleep(20 * time.Second)
		late = follower.lateness(t, "e", began)
		stop()
		time.Sleep(time.Second)
		synctest.Wait()
	})
	require.Less(t, late, milliseconds(DefaultNodeConfig().Fresh.LeavingMS))
}

// A watch is cut once, as the store may do at any time, and the next one hears nothing
// for a while as nothing changes. The first that it hears is that an endpoint has gone.
// As if the store were back only now, the endpoint is kept for entries that lapsed.
func TestRemovalLongAfterACutWatchIsKnownInTime(t *testing.T) {
	const step = 50 * time.Millisecond
	var worst time.Duration
	for quiet := time.Second; quiet < 2500*time.Millisecond; quiet += step {
		worst = max(worst, latenessAfterCutWatch(t, quiet))
	}
	t.Logf("worst %v", worst)
	require.Less(t, worst, milliseconds(DefaultNodeConfig().Fresh.LeavingMS))
}

// goneAfterACut is how late the holder of the lease knows that an endpoint has gone, so
// long after its watch was cut.
func latenessAfterCutWatch(t *testing.T, quiet time.Duration) time.Duration {
	t.Helper()
	var late time.Duration
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		s := newStaleStore(staleAnswers)
		s.put("e", membership.Live)
		s.put("other", membership.Live)
		holder := newEntriesInstance(s, "holder", func() bool { return true })
		holder.follow(ctx)
		time.Sleep(5 * time.Second)
		holder.client.set(false, false, true)
		time.Sleep(quiet)
		began := time.Now()
		s.remove("e")
		time.Sleep(10 * time.Second)
		late = holder.lateness(t, "e", began)
		stop()
		time.Sleep(time.Second)
		synctest.Wait()
	})
	return late
}

// The holder stops as planned and hands its lease over in the pause before its own next
// look, so it never tells that an endpoint leaves. Its successor has just begun a pause
// too, one as long as those who are told in time may make. It tells at once that what it
// knows is current, as the store has answered its call for the lease.
func TestSuccessorReadsTheStoreBeforeItAttests(t *testing.T) {
	const step, startStep = 15 * time.Millisecond, 150 * time.Millisecond
	// takes is how long the successor may need to see that the lease is free, and less
	// than what makes the others look closely.
	const takes = min(leaseRenewal+leaseLook, minHolderTimeout) - step
	var worst time.Duration
	for last := time.Duration(0); last < staleBatchDelay+step; last += step {
		for start := time.Duration(0); start < staleBatchDelay; start += startStep {
			worst = max(worst, latenessAfterHandover(t, last, start, takes))
		}
	}
	t.Logf("worst %v", worst)
	require.Less(t, worst, milliseconds(DefaultNodeConfig().Fresh.LeavingMS))
}

// handOver has an endpoint leave before the lease is handed over, and returns how late
// another instance knows, which starts a while after the successor.
func latenessAfterHandover(t *testing.T, last, start, takes time.Duration) time.Duration {
	t.Helper()
	var late time.Duration
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		s := newStaleStore(staleAnswers)
		s.put("e", membership.Live)
		var holds atomic.Bool
		successor := newEntriesInstance(s, "successor", holds.Load)
		other := newEntriesInstance(s, "other", func() bool { return false })
		hear := func() {
			successor.mesh.totals.receive(time.Now(), holderAnnouncement(true))
			other.mesh.totals.receive(time.Now(), holderAnnouncement(true))
		}
		successor.follow(ctx)
		successor.announceTo(ctx, other)
		go func() {
			time.Sleep(start)
			other.follow(ctx)
		}()
		handed := time.Now().Add(5*time.Second + last)
		began := handed.Add(-entriesBatchDelay)
		go func() {
			time.Sleep(time.Until(began))
			s.put("e", membership.Leaving)
		}()
		for time.Now().Before(handed) {
			hear()
			time.Sleep(min(minAnnounceInterval, time.Until(handed)))
		}
		hear()
		time.Sleep(takes)
		holds.Store(true)
		time.Sleep(staleAnswers + 5*time.Second)
		late = other.lateness(t, "e", began)
		stop()
		time.Sleep(time.Second)
		synctest.Wait()
	})
	return late
}

// The store was away for all and has been back for longer than instances may need to be
// in contact, but nothing has changed since, so that no watch has had an answer yet. Its
// first is that an endpoint has gone, which all of them then keep for entries that
// lapsed, the holder of the lease too.
func TestRemovalAfterAStoreOutageIsKnownInTime(t *testing.T) {
	const phases, phase = 40, 37 * time.Millisecond
	var worst time.Duration
	for n := range phases {
		worst = max(worst, latenessAfterOutage(t, time.Duration(n)*phase))
	}
	t.Logf("worst %v", worst)
	require.Less(t, worst, milliseconds(DefaultNodeConfig().Fresh.LeavingMS))
}

// goneAfterAnOutage is how late a follower knows that an endpoint has gone, the instances
// being in contact again after an outage of the store that began so long after them.
func latenessAfterOutage(t *testing.T, began time.Duration) time.Duration {
	t.Helper()
	const outage = 4 * time.Second
	var late time.Duration
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		s := newStaleStore(staleAnswers)
		s.put("e", membership.Live)
		s.put("other", membership.Live)
		holder := newEntriesInstance(s, "holder", func() bool { return true })
		follower := newEntriesInstance(s, "follower", func() bool { return false })
		holder.follow(ctx)
		holder.announceTo(ctx, follower)
		follower.follow(ctx)
		time.Sleep(2*staleAnswers + began)
		holder.client.set(true, false, true)
		follower.client.set(true, false, true)
		time.Sleep(outage)
		holder.client.set(false, false, false)
		follower.client.set(false, false, false)
		time.Sleep(milliseconds(holder.client.fresh.ContactMS))
		gone := time.Now()
		s.remove("e")
		time.Sleep(outage + 2*staleAnswers)
		late = follower.lateness(t, "e", gone)
		stop()
		time.Sleep(time.Second)
		synctest.Wait()
	})
	return late
}
