package daemon

import (
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/eiderspring/eiderspring/peer"
	"github.com/eiderspring/eiderspring/relay"
	"github.com/eiderspring/eiderspring/settings"
	"github.com/eiderspring/eiderspring/store"
	"github.com/eiderspring/eiderspring/wait"
)

// holderAnnouncement returns an announcement of the lease holder.
func holderAnnouncement(current bool) peer.Packet {
	return peer.Packet{From: "holder", Address: "10.0.0.1:1", Instances: 6, StoreCurrent: current}
}

// TestInstancesFollowTheStoreUnlessTheHolderAttests covers the ways in which attestations
// cease: the holder is silent, the store does not answer it, or this instance becomes the
// holder.
func TestInstancesFollowTheStoreUnlessTheHolderAttests(t *testing.T) {
	now := time.Now()
	holds := false
	m := &mesh{now: func() time.Time { return now }, isHolder: func() bool { return holds }}
	require.False(t, m.holderAttests(), "no announcement was received")

	m.totals.receive(now, now, holderAnnouncement(true))
	require.True(t, m.holderAttests())
	now = now.Add(minHolderTimeout)
	require.False(t, m.holderAttests(), "silence")

	m.totals.receive(now, now, holderAnnouncement(true))
	for range 3 {
		now = now.Add(minHolderTimeout / 2)
		m.totals.receive(now, now, holderAnnouncement(false))
	}
	require.False(t, m.holderAttests(), "the holder announces but has lost the store")

	m.totals.receive(now, now, holderAnnouncement(true))
	holds = true
	require.False(t, m.holderAttests(), "the holder itself must follow the store")
}

// attestingNode returns a node with only its link to the store and its mesh.
func attestingNode(now *time.Time) *Node {
	n := &Node{now: func() time.Time { return *now }, platform: PlatformAdapter{MembersKind: "members", SettingsKind: "settings"}}
	n.cfg = DefaultNodeConfig()
	n.cfg.PeerPorts = []int{1, 1}
	n.storeLink = &storeLink{log: logr.Discard(), now: n.now}
	n.mesh = n.newMesh()
	return n
}

func TestHolderAttestsOnlyWhileTheStoreAnswers(t *testing.T) {
	now := time.Now()
	n := attestingNode(&now)
	require.False(t, n.mesh.storeCurrent())
	n.storeLink.watchConfirmed(n.platform.MembersKind)
	require.False(t, n.mesh.storeCurrent(), "no settings were received yet")
	n.storeLink.watchConfirmed(n.platform.SettingsKind)
	require.True(t, n.mesh.storeCurrent())
	now = now.Add(n.cfg.Fresh.maxAttestedAge())
	require.False(t, n.mesh.storeCurrent())
}

// TestHolderAttestsOnlyWhatIsInForce guards against attesting while the store answers but its
// answers wait in the queue after other events, as at a holder that thousands of endpoints keep
// busy: the other instances would rely on it, and use older settings for as long.
func TestHolderAttestsOnlyWhatIsInForce(t *testing.T) {
	now := time.Now()
	n := attestingNode(&now)
	added := int64(0)
	n.eventsLag = newLagTracker(func() int64 { return added }, n.now)
	answered := func() {
		n.storeLink.watchConfirmed(n.platform.MembersKind)
		n.storeLink.watchConfirmed(n.platform.SettingsKind)
	}
	answered()
	require.True(t, n.mesh.storeCurrent())
	added++
	require.True(t, n.mesh.storeCurrent(), "it has just arrived")
	now = now.Add(n.cfg.Fresh.maxAttestedAge())
	answered()
	require.False(t, n.mesh.storeCurrent(), "the store answers, but its last change is not in force")
	n.eventsLag.markProcessed(1)
	require.True(t, n.mesh.storeCurrent())
}

// changeBoundsMS are times within which changes must be in force, in milliseconds.
var changeBoundsMS = []int{1700, 2000, 3000, 5000, 10_000}

// TestChangesAreInTimeWhenTheHolderIsLost adds up the longest time until an instance whose
// watch is stale uses a fresh one, if the holder is cut off right after it has attested: by
// then its calls have ended and its pauses have been checked again.
func TestChangesAreInTimeWhenTheHolderIsLost(t *testing.T) {
	for _, ms := range changeBoundsMS {
		f := NodeFreshness{LeavingMS: ms, SettingsMS: 10_000, ContactMS: 4000}
		for range 2 {
			noticed := f.maxAttestedAge() + f.holderTimeout() + max(f.staleWatchHold(), wait.PollInterval)
			require.LessOrEqual(t, noticed+applyReserve, milliseconds(ms), "%d ms", ms)
			f.LeavingMS, f.SettingsMS = f.SettingsMS, f.LeavingMS
		}
	}
}

// TestSettingsAreInTimeWhenTheHolderOfARelayIsLost adds up the same for settings at an instance
// that follows a relay, whose attestation rests on the one of the lost holder: the relay may send
// one that it encoded a little before, and that counts as long again at its follower.
func TestSettingsAreInTimeWhenTheHolderOfARelayIsLost(t *testing.T) {
	for _, ms := range changeBoundsMS {
		f := NodeFreshness{LeavingMS: ms, SettingsMS: ms, ContactMS: 4000}
		relayed := f.relayAttestationLifetime() + encodedLifetime + f.relayAttestationLifetime()
		noticed := f.maxAttestedAge() + relayed + wait.PollInterval
		assert.LessOrEqual(t, noticed+applyReserve, milliseconds(ms), "%d ms", ms)
	}
}

// TestHungWatchIsReplacedInTime checks the bounds on the longest time until a fresh watch that is
// never answered is repeated, and until the next answer to a healthy holder.
func TestHungWatchIsReplacedInTime(t *testing.T) {
	for _, ms := range changeBoundsMS {
		f := NodeFreshness{LeavingMS: ms, SettingsMS: ms, ContactMS: 4000}
		again := store.WatchSlack + store.MaxFirstRetryDelay + storeAnswerTime
		require.LessOrEqual(t, entriesBatchDelay+f.entriesWatchHold()+again, milliseconds(ms), "endpoints, %d ms", ms)
		require.LessOrEqual(t, f.settingsWatchHold()+again, milliseconds(ms), "settings, %d ms", ms)
		for _, f.ContactMS = range []int{2500, 3000, 4000} {
			afterOutage := store.WatchSlack + store.MaxRetryDelay + storeAnswerTime
			require.LessOrEqual(t, f.settingsWatchHold()+afterOutage, milliseconds(f.ContactMS))
		}
		require.LessOrEqual(t, entriesBatchDelay+f.entriesWatchHold()+storeAnswerTime, f.maxAttestedAge())
		require.LessOrEqual(t, f.settingsWatchHold()+storeAnswerTime, f.maxAttestedAge())
	}
}

// TestHolderWhoseWatchHangsDoesNotAttest guards against a holder that attested for 2.4 s that
// its endpoints were current, although its watch on them had not been answered for 12 s, so that
// the other instances accepted stale answers. Its lease was renewed in time, on another
// connection, and that counted as proof (lease acquired at 35.1 s, attestation received by the
// others at 35.2 s, watch ended at 37.5 s with a last confirmation 12.6 s before).
// Only an answer to the watch itself proves that what it has delivered is current.
func TestHolderWhoseWatchHangsDoesNotAttest(t *testing.T) {
	now := time.Now()
	n := attestingNode(&now)
	m := n.mesh
	for range int(settleTime/leaseRenewal) + 1 {
		n.storeLink.callAnswered()
		now = now.Add(leaseRenewal)
	}
	kinds := []store.Kind{n.platform.MembersKind, n.platform.SettingsKind}
	confirm := func(kind store.Kind) {
		n.storeLink.callAnswered()
		n.storeLink.watchConfirmed(kind)
	}
	for _, hung := range kinds {
		for _, kind := range kinds {
			confirm(kind)
		}
		require.True(t, m.storeCurrent())
		for range 10 {
			now = now.Add(leaseRenewal)
			for _, kind := range kinds {
				if kind != hung {
					confirm(kind)
				}
			}
		}
		require.False(t, m.storeCurrent(), "the watch on %s was not answered for 5 s", hung)
	}
}

// TestNobodyAttestsOrIsStaleUntilEntriesAreSettled guards against relying on entries that have
// lapsed or left during an outage: after one, an instance keeps such entries for a while, and
// until they are settled it does not attest, and its own watch of them is fresh.
func TestNobodyAttestsOrIsStaleUntilEntriesAreSettled(t *testing.T) {
	now := time.Now()
	n := attestingNode(&now)
	n.placers = &placers{}
	answer := func() {
		n.storeLink.callAnswered()
		// The next call is made at once.
		n.storeLink.callStarted(0)
		n.storeLink.watchConfirmed(n.platform.MembersKind)
		n.storeLink.watchConfirmed(n.platform.SettingsKind)
		n.mesh.totals.receive(now, now, holderAnnouncement(true))
	}
	answer()
	for since := time.Duration(0); since < settleTime; since += leaseRenewal {
		require.False(t, n.mesh.storeCurrent(), "%s after the outage", since)
		require.False(t, n.allowStaleEntries(), "%s after the outage", since)
		now = now.Add(leaseRenewal)
		answer()
	}
	require.True(t, n.mesh.storeCurrent())
	require.True(t, n.allowStaleEntries())
	now = now.Add(outageThreshold - time.Millisecond)
	answer()
	require.True(t, n.mesh.storeCurrent(), "a slow answer is no outage")
	now = now.Add(outageThreshold)
	answer()
	require.False(t, n.mesh.storeCurrent())
}

// TestNobodyAttestsOlderSettingsThanItKnowsOf guards against a lease holder or a relay that
// attests while it knows of newer settings that it does not have in force yet: the instances that
// rely on it would rest by the older ones.
func TestNobodyAttestsOlderSettingsThanItKnowsOf(t *testing.T) {
	now := time.Now()
	n := attestingNode(&now)
	n.placers = &placers{}
	n.catalog.Store(&settings.Catalog{Revision: 1})
	relayAttests := func() bool {
		n.mesh.totals.receive(now, now, holderAnnouncement(true))
		var delta relay.Delta
		n.addAttestation(&delta)
		return delta.Current
	}
	require.True(t, relayAttests())
	n.storeLink.watchConfirmed(n.platform.MembersKind)
	n.storeLink.watchConfirmed(n.platform.SettingsKind)
	require.True(t, n.mesh.storeCurrent())
	n.mesh.receiveRevision(2)
	require.False(t, relayAttests())
	require.False(t, n.mesh.storeCurrent())
	n.catalog.Store(&settings.Catalog{Revision: 2})
	require.True(t, relayAttests())
	require.True(t, n.mesh.storeCurrent())
}
