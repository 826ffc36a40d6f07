package daemon

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"

	"github.com/eiderspring/eiderspring/membership"
	"github.com/eiderspring/eiderspring/store"
)

// 295 instances made 13,900 calls to the store in the 17 s around a common start, most of
// them close watches while nobody told what was new, and went on to make two each a second
// that were behind. Whoever is told by the holder of the lease now asks only when its list
// differs from the holder's.

// restingCalls is how many calls a follower makes in a span that begins when it is told.
func followerCalls(t *testing.T, span time.Duration, meanwhile func(s *staleStore)) (all, closely int) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		s := newStaleStore(staleAnswers)
		for i := range 200 {
			s.put(fmt.Sprintf("e%d", i), membership.Live)
		}
		holder := newEntriesInstance(s, "holder", func() bool { return true })
		follower := newEntriesInstance(s, "follower", func() bool { return false })
		holder.follow(ctx)
		holder.announceTo(ctx, follower)
		follower.follow(ctx)
		time.Sleep(staleAnswers + settleTime + 2*time.Second)
		before, closeBefore := follower.client.callCounts()
		go meanwhile(s)
		time.Sleep(span)
		after, closeAfter := follower.client.callCounts()
		all, closely = after-before, closeAfter-closeBefore
		require.NotZero(t, holder.mesh.endpointsDigest.Load())
		require.Equal(t, holder.mesh.endpointsDigest.Load(), follower.mesh.endpointsDigest.Load(), "it lists the same in the end")
		stop()
		time.Sleep(time.Second)
		synctest.Wait()
	})
	return all, closely
}

func TestFollowerMakesNoFreshCallsWhileNothingChanges(t *testing.T) {
	const span = 60 * time.Second
	all, closely := followerCalls(t, span, func(*staleStore) {})
	require.Zero(t, closely)
	require.LessOrEqual(t, all, int(span/maxStalePause)+1)
}

// Units come and go at endpoints all the time, which the holder tells otherwise.
func TestFollowerMakesNoFreshCallsWhileUnitsChange(t *testing.T) {
	const span = 60 * time.Second
	all, closely := followerCalls(t, span, func(s *staleStore) {
		for i := range 600 {
			s.putResident(fmt.Sprintf("e%d", i%200), fmt.Sprintf("m%d", i))
			time.Sleep(80 * time.Millisecond)
		}
	})
	require.Zero(t, closely)
	require.LessOrEqual(t, all, int(span/maxStalePause)+1)
}

// Endpoints that come, leave and go cost some calls each, none of them close.
func TestFollowerMakesOnlyStaleCallsWhenEndpointsChange(t *testing.T) {
	const changes = 4
	all, closely := followerCalls(t, 60*time.Second, func(s *staleStore) {
		s.put("new", membership.Live)
		time.Sleep(10 * time.Second)
		s.put("e1", membership.Leaving)
		time.Sleep(10 * time.Second)
		s.remove("e1")
		time.Sleep(10 * time.Second)
		s.put("e2", membership.Leaving)
	})
	require.Zero(t, closely)
	// Each may be asked for until answers that are behind have it.
	require.LessOrEqual(t, all, changes*(int(staleAnswers/staleBatchDelay)+3)+5)
}

// holding enters an endpoint with a unit that it holds.
func (s *staleStore) putResident(name, unit string) {
	s.putMember(membership.Member{Name: name, Incarnation: name, Pool: "pool", State: membership.Live, Slots: 1, Resident: []string{unit}})
}

func TestDigestCoversMembersAndTheirFields(t *testing.T) {
	list := func(version int64, members ...membership.Member) uint64 {
		l := membership.NewList()
		l.Step(time.Unix(1000, 0), membership.Listed{Listing: membership.Listing{Version: version, Members: members}})
		return l.Digest()
	}
	a := membership.Member{Name: "a", Incarnation: "a", Pool: "p", Address: "1", State: membership.Live, Slots: 4}
	b := membership.Member{Name: "b", Incarnation: "b", Pool: "p", Address: "2", State: membership.Live, Slots: 4}
	require.Zero(t, list(1))
	both := list(1, a, b)
	require.NotZero(t, both)
	loaded := b
	loaded.Resident = []string{"m"}
	require.Equal(t, both, list(7, loaded, a), "order, version and units do not count")
	for what, change := range map[string]func(*membership.Member){
		"start":   func(m *membership.Member) { m.Incarnation = "b@2" },
		"address": func(m *membership.Member) { m.Address = "3" },
		"state":   func(m *membership.Member) { m.State = membership.Leaving },
		"slots":   func(m *membership.Member) { m.Slots = 8 },
		"pool":    func(m *membership.Member) { m.Pool = "q" },
	} {
		other := b
		change(&other)
		require.NotEqual(t, both, list(1, a, other), what)
	}
	require.NotEqual(t, both, list(1, a))
}

// An instance that asks seldom finds an outage late; it counts the time that entries have
// to come back from the store's return all the same.
func TestOutageNoticedLateCountsFromTheReturn(t *testing.T) {
	now := time.Unix(1000, 0)
	l := &storeLink{log: logr.Discard(), now: func() time.Time { return now }}
	l.callStarted(0)
	l.callAnswered()
	began := l.availableSince()
	now = now.Add(10 * time.Second)
	l.callStarted(0)
	now = now.Add(50 * time.Millisecond)
	l.callAnswered()
	require.Equal(t, began, l.availableSince(), "it had asked for nothing")
	now = now.Add(10 * time.Second)
	l.callStarted(0)
	l.watchFailed("servers", store.ErrOlder)
	now = now.Add(800 * time.Millisecond)
	l.callStarted(0)
	l.callAnswered()
	require.Equal(t, now, l.availableSince(), "the outage may have begun right behind the last answer")
	l.callStarted(20 * time.Second)
	now = now.Add(20 * time.Second)
	l.callAnswered()
	require.NotEqual(t, now, l.availableSince(), "a call that is held for long shows nothing")
}

// All instances start at once: those who do not rank first leave the lease to those who
// do, who have taken it and told before the others' patience ends.
func TestFewInstancesCampaignWhenAllStartTogether(t *testing.T) {
	const instances = 295
	start := time.Unix(1000, 0)
	patience := campaignDelay + joinSettle + silentStart
	for _, after := range []time.Duration{0, campaignDelay, patience + 2*silentStep} {
		campaign := 0
		for i := range instances {
			now := start.Add(after)
			n := &Node{now: func() time.Time { return now }, startedAt: start}
			n.cfg.Instance = fmt.Sprintf("n%d", i)
			n.mesh = &mesh{instance: n.cfg.Instance, now: n.now, listed: map[string]presence{}, onInstanceCount: func(int) {}}
			for k := range instances {
				n.mesh.listed[fmt.Sprintf("n%d", k)] = presence{Cores: 1}
			}
			n.mesh.self = presence{Cores: 1}
			if n.campaigns("pool", false) {
				campaign++
			}
		}
		switch {
		case after < campaignDelay:
			require.Zero(t, campaign)
		case after < patience:
			require.Equal(t, nodeCampaigners, campaign)
		default:
			require.Equal(t, nodeCampaigners+1, campaign, "the next one, if nobody was heard")
		}
	}
}
