package daemon

import (
	"fmt"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"

	"github.com/eiderspring/eiderspring/peer"
	"github.com/eiderspring/eiderspring/pipeline"
)

// TestHolderStaysWhenStrongerOnesCome lists stronger instances after this one has
// taken the lease: it keeps it, but does not campaign for one that it lacks.
func TestHolderStaysWhenStrongerOnesCome(t *testing.T) {
	n := &Node{now: time.Now}
	n.cfg.Instance = "weak"
	n.mesh = &mesh{
		instance: "weak", now: time.Now, self: presence{Cores: 0.2}, listed: map[string]presence{},
		counted: func(int) {}, board: peer.NewBoard(),
	}
	n.mesh.totals.take(time.Now(), peer.Packet{Address: "hub", Instances: 1})
	require.True(t, n.campaigns("pool", false), "it knows nobody else")
	n.mesh.find("strong", &presence{Cores: 0.8})
	n.mesh.find("stronger", &presence{Cores: 0.9})
	require.False(t, n.campaigns("pool", false))
	require.True(t, n.campaigns("pool", true))
	now := time.Now()
	n.stopping.Store(&now)
	require.False(t, n.campaigns("pool", true), "a stop hands the lease over")
}

// TestNobodyCampaignsBeforeItKnowsTheOthers starts a weak instance that has not
// read yet who the others are.
func TestNobodyCampaignsBeforeItKnowsTheOthers(t *testing.T) {
	now := time.Now()
	n := &Node{now: func() time.Time { return now }, startedAt: now}
	n.cfg.Instance = "weak"
	n.mesh = &mesh{instance: "weak", now: n.now, self: presence{Cores: 0.2}, listed: map[string]presence{}, counted: func(int) {}}
	n.mesh.totals.take(now, peer.Packet{Address: "hub", Instances: 1})
	require.False(t, n.campaigns("pool", false))
	now = now.Add(campaignDelay)
	n.mesh.totals.take(now, peer.Packet{Address: "hub", Instances: 1})
	require.True(t, n.campaigns("pool", false), "it knows nobody else")
	n.mesh.find("strong", &presence{Cores: 0.8})
	n.mesh.find("stronger", &presence{Cores: 0.9})
	require.False(t, n.campaigns("pool", false))
}

// TestHubLeavesItsLinkToCallers compares what the hub's sums take with its link.
func TestHubLeavesItsLinkToCallers(t *testing.T) {
	for _, tc := range []struct {
		instances, endpoints int
		mbits                float64
		// share is that of the link which sums may take, rounds how many ticks a round may
		// take.
		share  float64
		rounds int
	}{
		{9, 21, 1000, hubLinkShare, 1},
		{63, 90, 1000, hubLinkShare, 1},
		{90, 140, 200, hubLinkShare, 3},
		{295, 720, 1000, mostHubLinkShare, 4},
		{390, 720, 200, mostHubLinkShare, 15},
		{300, 3000, 200, mostHubLinkShare, 45},
	} {
		m := &mesh{now: time.Now, listed: map[string]presence{}, counted: func(int) {}, linkBytes: tc.mbits * bytesPerMbit}
		for i := range tc.instances {
			m.find(fmt.Sprint(i), &presence{})
		}
		atOnce := m.sumsAtOnce(tc.endpoints)
		packets := 1 + (max(min(atOnce, tc.endpoints)-maxTotals, 0)+usualTotals-1)/usualTotals
		bytes := float64(packets * peer.MaxPacketBytes * tc.instances)
		require.LessOrEqual(t, bytes/hubTick.Seconds(), tc.share*m.linkBytes, "%+v", tc)
		require.LessOrEqual(t, (tc.endpoints+atOnce-1)/atOnce, tc.rounds, "%+v", tc)
		require.Less(t, time.Duration(tc.rounds)*hubTick, sumExpiry, "%+v", tc)
	}
	m := &mesh{now: time.Now, listed: map[string]presence{"a": {}}, counted: func(int) {}}
	require.Equal(t, maxTotals, m.sumsAtOnce(100), "a link that carries next to nothing")
}

// TestSumsFillPackets cuts lists of sums with short and long names.
func TestSumsFillPackets(t *testing.T) {
	for _, length := range []int{3, 12, 120, 600} {
		var list []peer.EndpointLoad
		for i := range 300 {
			list = append(list, peer.EndpointLoad{Endpoint: fmt.Sprintf("%0*d", length, i), Running: int64(i * i), Prompt: int64(i) << 20})
		}
		told := 0
		for len(list) > 0 {
			p := peer.Packet{Version: 1, From: "edge-pnw-hillsboro-13", Address: "10.1.0.38:7380", Seq: 1 << 40, Instances: 390}
			p.Totals, list = cutSums(list, roomIn(p))
			told += len(p.Totals)
			data, err := peer.EncodePacket(p)
			require.NoError(t, err)
			require.LessOrEqual(t, len(data), peer.MaxPacketBytes)
			if len(list) > 0 {
				require.Greater(t, len(data)+length+30, peer.MaxPacketBytes-endingsHead, "it is filled")
			}
		}
		require.Equal(t, 300, told)
	}
}

// TestHubTellsOfEndpointsThatAreIdleAgain deals out sums in rounds of several ticks.
func TestHubTellsOfEndpointsThatAreIdleAgain(t *testing.T) {
	load := func(name string, running int64) peer.EndpointLoad {
		return peer.EndpointLoad{Endpoint: name, Running: running}
	}
	var s hubSums
	all := []peer.EndpointLoad{load("a", 1), load("b", 2), load("c", 3)}
	require.Equal(t, all[:2], s.next(all, 2))
	require.Equal(t, all[2:], s.next(all, 2))
	later := []peer.EndpointLoad{load("b", 5), load("c", 3)}
	require.Equal(t, append(later, load("a", 0)), s.next(later, 5))
	require.Equal(t, append(later, load("a", 0)), s.next(later, 5), "told twice")
	require.Equal(t, later, s.next(later, 5))
	require.Empty(t, s.next(nil, 0))
	require.Len(t, s.next(nil, 5), 2)
}

// TestSilentHubIsReplaced lets entries of instances that are gone rank first.
func TestSilentHubIsReplaced(t *testing.T) {
	now := time.Now()
	n := &Node{now: func() time.Time { return now }}
	n.cfg.Instance = "weak"
	n.mesh = &mesh{
		instance: "weak", now: n.now, self: presence{Cores: 0.2}, counted: func(int) {},
		listed: map[string]presence{"gone1": {Cores: 1}, "gone2": {Cores: 1}, "gone3": {Cores: 1}},
	}
	n.mesh.totals.take(now, peer.Packet{Address: "hub", Instances: 1})
	require.False(t, n.campaigns("pool", false))
	now = now.Add(silentCampaign + 4*silentStep)
	require.True(t, n.campaigns("pool", false))
}

// TestReloadKeepsTheShareOfRetries reloads while many instances are known: the
// slack is still divided among them all.
func TestReloadKeepsTheShareOfRetries(t *testing.T) {
	const instances = 90
	n := &Node{log: logr.Discard(), retries: pipeline.NewRetryBudgets(pipeline.RetryLimits{})}
	n.retrySettings.Store(&NodeRetry{})
	n.mesh = &mesh{now: time.Now, listed: map[string]presence{}, counted: n.shareRetries}
	for i := range instances {
		n.mesh.find(fmt.Sprint(i), &presence{})
	}
	cfg := NodeConfig{Retries: NodeRetry{Ratio: 0.2, Slack: 220}}
	n.Reload(cfg, nil)
	require.LessOrEqual(t, n.retries.Limits().Burst*instances, 220.0)
	n.mesh.find("one more", &presence{})
	require.LessOrEqual(t, n.retries.Limits().Burst*(instances+1), 220.0, "what was reloaded stays in force")
	require.Positive(t, n.retries.Limits().Burst)
}

func TestRetrySharesKeepToTheSlackOfAll(t *testing.T) {
	r := NodeRetry{Ratio: 0.2, Slack: 52}
	for _, instances := range []int{1, 6, 9, 20} {
		require.LessOrEqual(t, r.limits(instances).Burst*float64(instances), 52.0, "%d instances", instances)
	}
	require.LessOrEqual(t, r.limits(0).Ratio, 0.2)
}
