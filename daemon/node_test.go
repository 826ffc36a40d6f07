package daemon

import (
	"fmt"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"

	"github.com/eiderspring/eiderspring/peer"
	"github.com/eiderspring/eiderspring/pipeline"
	"github.com/eiderspring/eiderspring/quarantine"
)

// TestHolderKeepsTheLeaseWhenStrongerInstancesJoin lists stronger instances after this one has
// acquired the lease: it keeps it, but does not campaign for one that it does not hold.
func TestHolderKeepsTheLeaseWhenStrongerInstancesJoin(t *testing.T) {
	n := &Node{now: time.Now}
	n.cfg.Instance = "weak"
	n.mesh = &mesh{
		instance: "weak", now: time.Now, self: presence{Cores: 0.2}, listed: map[string]presence{},
		onInstanceCount: func(int) {}, fleetView: peer.NewFleetView(),
	}
	n.mesh.totals.receive(time.Now(), time.Now(), peer.Packet{Address: "coordinator", Instances: 1})
	require.True(t, n.campaigns("pool", false), "no other instance is known")
	n.mesh.updateInstance("strong", &presence{Cores: 0.8})
	n.mesh.updateInstance("stronger", &presence{Cores: 0.9})
	require.False(t, n.campaigns("pool", false))
	require.True(t, n.campaigns("pool", true))
	now := time.Now()
	n.stopping.Store(&now)
	require.False(t, n.campaigns("pool", true), "a planned stop hands the lease over")
}

// TestNobodyCampaignsBeforeItKnowsTheOthers starts a weak instance that has not read the list of
// the other instances yet.
func TestNobodyCampaignsBeforeItKnowsTheOthers(t *testing.T) {
	now := time.Now()
	n := &Node{now: func() time.Time { return now }, startedAt: now}
	n.cfg.Instance = "weak"
	n.mesh = &mesh{instance: "weak", now: n.now, self: presence{Cores: 0.2}, listed: map[string]presence{}, onInstanceCount: func(int) {}}
	n.mesh.totals.receive(now, now, peer.Packet{Address: "coordinator", Instances: 1})
	require.False(t, n.campaigns("pool", false))
	now = now.Add(campaignDelay)
	n.mesh.totals.receive(now, now, peer.Packet{Address: "coordinator", Instances: 1})
	require.True(t, n.campaigns("pool", false), "no other instance is known")
	n.mesh.updateInstance("strong", &presence{Cores: 0.8})
	n.mesh.updateInstance("stronger", &presence{Cores: 0.9})
	require.False(t, n.campaigns("pool", false))
}

// TestCoordinatorLeavesItsLinkToCallers compares the bandwidth of the coordinator's packets with
// its link.
func TestCoordinatorLeavesItsLinkToCallers(t *testing.T) {
	m := &mesh{now: time.Now, listed: map[string]presence{}, onInstanceCount: func(int) {}, fleetTotals: make([]peer.EndpointLoad, 140)}
	for i := range 90 {
		m.updateInstance(fmt.Sprint(i), &presence{})
	}
	const bytesPerRound = 6 * peer.MaxPacketBytes * 90
	m.linkBytesPerSecond = 200 * bytesPerMbit
	require.LessOrEqual(t, bytesPerRound/m.announceInterval().Seconds(), announceLinkShare*m.linkBytesPerSecond*1.01)
	require.GreaterOrEqual(t, m.announceInterval(), minAnnounceInterval)
	m.linkBytesPerSecond = 10 * bytesPerMbit
	require.Equal(t, maxAnnounceInterval, m.announceInterval())
	require.Less(t, m.announceInterval()+meshTick, minHolderTimeout, "the others still receive its packets in time")
}

// TestSilentCoordinatorIsReplaced lets entries of stopped instances rank first.
func TestSilentCoordinatorIsReplaced(t *testing.T) {
	now := time.Now()
	n := &Node{now: func() time.Time { return now }}
	n.cfg.Instance = "weak"
	n.mesh = &mesh{
		instance: "weak", now: n.now, self: presence{Cores: 0.2}, onInstanceCount: func(int) {},
		listed: map[string]presence{"gone1": {Cores: 1}, "gone2": {Cores: 1}, "gone3": {Cores: 1}},
	}
	n.mesh.totals.receive(now, now, peer.Packet{Address: "coordinator", Instances: 1})
	require.False(t, n.campaigns("pool", false))
	now = now.Add(coordinatorTimeout + 4*campaignRankDelay)
	require.True(t, n.campaigns("pool", false))
}

// TestReloadKeepsTheShareOfRetries reloads while many instances are known: the
// slack is still divided among them all.
func TestReloadKeepsTheShareOfRetries(t *testing.T) {
	const instances = 90
	n := &Node{log: logr.Discard(), retries: pipeline.NewRetryBudgets(pipeline.RetryLimits{})}
	n.retrySettings.Store(&NodeRetry{})
	n.mesh = &mesh{now: time.Now, listed: map[string]presence{}, onInstanceCount: n.updateRetryLimits}
	for i := range instances {
		n.mesh.updateInstance(fmt.Sprint(i), &presence{})
	}
	cfg := NodeConfig{Retries: NodeRetry{Ratio: 0.2, Slack: 220}}
	n.Reload(cfg, nil)
	require.LessOrEqual(t, n.retries.Limits().Burst*instances, 220.0)
	n.mesh.updateInstance("one more", &presence{})
	require.LessOrEqual(t, n.retries.Limits().Burst*(instances+1), 220.0, "the reloaded configuration stays in force")
	require.Positive(t, n.retries.Limits().Burst)
}

// TestReloadReopensNothingInAStop reloads a configuration with a longer grace period behind the time at
// which a stopping instance accepts requests.
func TestReloadReopensNothingInAStop(t *testing.T) {
	n := &Node{now: time.Now, log: logr.Discard(), retries: pipeline.NewRetryBudgets(pipeline.RetryLimits{})}
	n.cfg = DefaultNodeConfig()
	n.mesh = &mesh{now: time.Now, listed: map[string]presence{}, onInstanceCount: n.updateRetryLimits}
	n.quarantine = quarantine.NewManager(quarantine.Config{Limits: n.cfg.Quarantine.limits(), Now: n.now, Log: n.log})
	began := time.Now().Add(-refuseAfter)
	n.stopping.Store(&began)
	reloaded := DefaultNodeConfig()
	reloaded.Limits.GraceMS = 10 * n.cfg.Limits.GraceMS
	reloaded.Retries = NodeRetry{Ratio: 0, Slack: 0}
	n.Reload(reloaded, nil)
	require.True(t, n.refusesRequests())
	require.Equal(t, DefaultNodeConfig().Limits.GraceMS, n.cfg.Limits.GraceMS, "the platform gives the process no more time")
	require.Equal(t, reloaded.Retries.instanceLimits(0), n.retries.Limits(), "a bound on what endpoints get holds to the end")
}

func TestRetrySharesKeepToTheSlackOfAll(t *testing.T) {
	r := NodeRetry{Ratio: 0.2, Slack: 52}
	for _, instances := range []int{1, 6, 9, 20} {
		require.LessOrEqual(t, r.instanceLimits(instances).Burst*float64(instances), 52.0, "%d instances", instances)
	}
	require.LessOrEqual(t, r.instanceLimits(0).Ratio, 0.2)
}
