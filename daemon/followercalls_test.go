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

// These tests guard against overload of the store: at a common start, 295 instances made 13,900
// calls in 17 s, most of them by watches that accepted no stale answers while no lease holder
// announced changes, and then two stale calls each per second. An instance that receives
// announcements calls the store only when its list differs from the holder's.

// followerCalls returns how many calls a follower makes in a span in which it receives
// announcements, and how many of them do not accept stale answers.
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
		require.Equal(t, holder.mesh.endpointsDigest.Load(), follower.mesh.endpointsDigest.Load(), "both list the same endpoints in the end")
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

// Units are loaded and unloaded all the time, which the holder announces by other means.
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

// Endpoints that join, leave and are removed cost some calls each, all of which accept stale
// answers.
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
	// Each change may cause calls until stale answers contain it.
	require.LessOrEqual(t, all, changes*(int(staleAnswers/staleBatchDelay)+3)+5)
}

// putResident writes an endpoint on which a unit is resident.
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
	require.Equal(t, both, list(7, loaded, a), "order, version and resident units are not included")
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

// An instance that makes few calls notices an outage late. The time that entries have to be
// rewritten must count from the store's return all the same.
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
	require.Equal(t, began, l.availableSince(), "no call was pending")
	now = now.Add(10 * time.Second)
	l.callStarted(0)
	l.watchFailed("servers", store.ErrOlder)
	now = now.Add(800 * time.Millisecond)
	l.callStarted(0)
	l.callAnswered()
	require.Equal(t, now, l.availableSince(), "the outage may have begun right after the last answer")
	l.callStarted(20 * time.Second)
	now = now.Add(20 * time.Second)
	l.callAnswered()
	require.NotEqual(t, now, l.availableSince(), "a call that the store may hold for long proves no outage")
}

// All instances start at once. Those that do not rank first leave the lease to those that do,
// which acquire it and announce themselves before the others campaign too.
func TestFewInstancesCampaignWhenAllStartTogether(t *testing.T) {
	const instances = 295
	start := time.Unix(1000, 0)
	patience := campaignDelay + joinQuietTime + coordinatorTimeoutAtStart
	for _, after := range []time.Duration{0, campaignDelay, patience + 2*campaignRankDelay} {
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
			require.Equal(t, maxNodeCampaigners, campaign)
		default:
			require.Equal(t, maxNodeCampaigners+1, campaign, "one more, if no packet of a holder was received")
		}
	}
}
