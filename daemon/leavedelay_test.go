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

// staleAnswers is how old a stale answer of the store may be.
const staleAnswers = 3 * time.Second

// leaveCase is the timing of one run: how long after the lease holder began to follow the
// store it starts to announce, how long after that the follower starts, when the endpoint
// leaves, and how long after that the holder fails. In a calm store nothing else changes, so
// that the follower's watch gets no answers.
type leaveCase struct {
	announceAt, start, leave, failure time.Duration
	calm                              bool
}

// runLeaveCase lets an endpoint leave and then applies injectFault to the holder. It returns how
// long after the endpoint began to leave the follower knows it.
func runLeaveCase(t *testing.T, c leaveCase, injectFault func(holder *entriesInstance, kill func())) time.Duration {
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
		time.Sleep(c.failure)
		injectFault(holder, kill)
		time.Sleep(5 * time.Second)
		late = follower.lateness(t, "e", began)
		kill()
		stop()
		time.Sleep(time.Second)
		synctest.Wait()
	})
	return late
}

// leaveCases is the number of cases that worstLateness runs, leaveCaseSeed their random seed.
const (
	leaveCases    = 400
	leaveCaseSeed = 1
)

// worstLateness returns the greatest lateness of many random cases, and its case.
func worstLateness(t *testing.T, injectFault func(holder *entriesInstance, kill func())) (worst time.Duration, at leaveCase) {
	t.Helper()
	random := rand.New(rand.NewPCG(leaveCaseSeed, 0))
	upTo := func(d time.Duration) time.Duration { return time.Duration(random.Int64N(int64(d))) }
	for range leaveCases {
		c := leaveCase{
			announceAt: upTo(minAnnounceInterval), start: upTo(staleBatchDelay), leave: upTo(staleBatchDelay), failure: upTo(entriesBatchDelay + minAnnounceInterval),
		}
		// The same moments with and without other changes.
		for _, c.calm = range []bool{false, true} {
			if late := runLeaveCase(t, c, injectFault); late > worst {
				worst, at = late, c
			}
		}
	}
	return worst, at
}

// latenessAfterSilence returns how long after the holder's last packet, sent at the offset last,
// a follower has learned from the store of a change made right after that packet.
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
			follower.mesh.totals.receive(time.Now(), time.Now(), holderAnnouncement(true))
			time.Sleep(min(minAnnounceInterval, time.Until(silent)))
		}
		follower.mesh.totals.receive(time.Now(), time.Now(), holderAnnouncement(true))
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

// Guards against late changes when the lease holder stops, or the store rejects it, in the pause
// before its next call. The others rely on its last attestation until that is too old, and then
// complete the pause or call that they have begun. The sum of these waits must fit the bound.
func TestChangesAreKnownInTimeWhateverTheOthersDoWhenTheHolderIsLost(t *testing.T) {
	fresh := DefaultNodeConfig().Fresh
	wider := NodeFreshness{LeavingMS: 3000, SettingsMS: 3000, ContactMS: 4000}
	for _, f := range []NodeFreshness{fresh, wider} {
		var lateness time.Duration
		for last := time.Duration(0); last < 2*staleBatchDelay+f.staleWatchHold(); last += 5 * time.Millisecond {
			lateness = max(lateness, latenessAfterSilence(t, f, last))
		}
		t.Logf("leaving within %d ms: others know %v after the last packet", f.LeavingMS, lateness)
		assert.Less(t, f.maxAttestedAge()+lateness, milliseconds(f.LeavingMS))
	}
}

// Guards against late changes when the store rejects the lease holder while an endpoint leaves.
// The holder still attests for a while, and then the others complete the pause that they have
// begun.
func TestLeavingEndpointIsKnownInTimeWhenTheStoreRejectsTheHolder(t *testing.T) {
	worst, at := worstLateness(t, func(holder *entriesInstance, _ func()) { holder.client.set(true, false, true) })
	require.Less(t, worst, milliseconds(DefaultNodeConfig().Fresh.LeavingMS), "%+v", at)
}

// Guards against attestations that rest on the wrong calls. The store has dropped the holder's
// watch without an error while it answers the renewals of its lease. These must not make the
// holder attest to entries that it does not follow.
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

// Guards against taking a cut watch for an outage. The store may cut a watch at any time, and the
// next one gets no answer while nothing changes. If its first answer, that an endpoint was
// removed, counts as the store's return, the endpoint is retained like one whose entry expired
// during an outage.
func TestRemovalLongAfterACutWatchIsKnownInTime(t *testing.T) {
	const step = 50 * time.Millisecond
	var worst time.Duration
	for quiet := time.Second; quiet < 2500*time.Millisecond; quiet += step {
		worst = max(worst, latenessAfterCutWatch(t, quiet))
	}
	t.Logf("worst %v", worst)
	require.Less(t, worst, milliseconds(DefaultNodeConfig().Fresh.LeavingMS))
}

// latenessAfterCutWatch returns how late the lease holder knows of the removal of an endpoint
// that happens quiet after its watch was cut.
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

// Guards against a new lease holder that attests too early. The old holder makes a planned stop
// and hands the lease over in the pause before its next call, so it never announces that an
// endpoint leaves. Its successor has just begun a pause too, as long as followers may make, and
// would attest at once that its data is current, as the store has answered its call for the
// lease.
func TestSuccessorReadsTheStoreBeforeItAttests(t *testing.T) {
	const step, startStep = 15 * time.Millisecond, 150 * time.Millisecond
	// detectionTime is how long the successor may need to see that the lease is free; it is shorter
	// than the time after which the others stop accepting stale answers.
	const detectionTime = min(leaseRenewal+leaseCheckInterval, minHolderTimeout) - step
	var worst time.Duration
	for last := time.Duration(0); last < staleBatchDelay+step; last += step {
		for start := time.Duration(0); start < staleBatchDelay; start += startStep {
			worst = max(worst, latenessAfterHandover(t, last, start, detectionTime))
		}
	}
	t.Logf("worst %v", worst)
	require.Less(t, worst, milliseconds(DefaultNodeConfig().Fresh.LeavingMS))
}

// latenessAfterHandover lets an endpoint leave before the lease is handed over, and returns how
// late another instance knows, which starts at the offset start after the successor.
func latenessAfterHandover(t *testing.T, last, start, detectionTime time.Duration) time.Duration {
	t.Helper()
	var late time.Duration
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		s := newStaleStore(staleAnswers)
		s.put("e", membership.Live)
		var holds atomic.Bool
		successor := newEntriesInstance(s, "successor", holds.Load)
		other := newEntriesInstance(s, "other", func() bool { return false })
		receiveAttestation := func() {
			successor.mesh.totals.receive(time.Now(), time.Now(), holderAnnouncement(true))
			other.mesh.totals.receive(time.Now(), time.Now(), holderAnnouncement(true))
		}
		successor.follow(ctx)
		successor.announceTo(ctx, other)
		go func() {
			time.Sleep(start)
			other.follow(ctx)
		}()
		handedOverAt := time.Now().Add(5*time.Second + last)
		began := handedOverAt.Add(-entriesBatchDelay)
		go func() {
			time.Sleep(time.Until(began))
			s.put("e", membership.Leaving)
		}()
		for time.Now().Before(handedOverAt) {
			receiveAttestation()
			time.Sleep(min(minAnnounceInterval, time.Until(handedOverAt)))
		}
		receiveAttestation()
		time.Sleep(detectionTime)
		holds.Store(true)
		time.Sleep(staleAnswers + 5*time.Second)
		late = other.lateness(t, "e", began)
		stop()
		time.Sleep(time.Second)
		synctest.Wait()
	})
	return late
}

// Guards against a removal that is noticed late after an outage. The store was unavailable to all
// instances and has been back for longer than they may need to be in contact, but nothing has
// changed since, so that no watch has had an answer. If the first answer, that an endpoint was
// removed, counted as the store's return, all instances, the lease holder too, would retain the
// endpoint like one whose entry expired.
func TestRemovalAfterAStoreOutageIsKnownInTime(t *testing.T) {
	const phases, phase = 40, 37 * time.Millisecond
	var worst time.Duration
	for n := range phases {
		worst = max(worst, latenessAfterOutage(t, time.Duration(n)*phase))
	}
	t.Logf("worst %v", worst)
	require.Less(t, worst, milliseconds(DefaultNodeConfig().Fresh.LeavingMS))
}

// latenessAfterOutage returns how late a follower knows of the removal of an endpoint once the
// instances are in contact again after an outage, whose start the offset began shifts.
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
		removedAt := time.Now()
		s.remove("e")
		time.Sleep(outage + 2*staleAnswers)
		late = follower.lateness(t, "e", removedAt)
		stop()
		time.Sleep(time.Second)
		synctest.Wait()
	})
	return late
}
