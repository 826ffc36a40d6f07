package daemon

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// campaigner returns a node that starts at *now and has listed no instances yet.
func campaigner(cores float64, now *time.Time) *Node {
	n := &Node{now: func() time.Time { return *now }, startedAt: *now}
	n.cfg.Instance = "self"
	n.mesh = &mesh{
		instance: "self", now: n.now, self: presence{Cores: cores}, listed: map[string]presence{}, reportedAddresses: map[string]string{}, onInstanceCount: func(int) {},
	}
	return n
}

// With 295 instances that started together, all campaigned 1.5 s after the start, as each had
// listed only itself, and a weak one acquired the lease.
func TestNobodyCampaignsWhileInstancesAreNew(t *testing.T) {
	now := time.Unix(1000, 0)
	n := campaigner(0.2, &now)
	now = now.Add(campaignDelay - 200*time.Millisecond)
	n.mesh.updateInstance("strong1", &presence{Cores: 0.8})
	now = now.Add(200 * time.Millisecond)
	require.False(t, n.campaigns("pool", false), "more instances may appear")
	n.mesh.updateInstance("strong2", &presence{Cores: 0.8})
	now = now.Add(joinQuietTime)
	require.False(t, n.campaigns("pool", false), "two rank before it")
	now = now.Add(coordinatorTimeoutAtStart + 2*campaignRankDelay)
	require.True(t, n.campaigns("pool", false), "there was no contact with them")
	now = now.Add(maxJoinWait)
	n.mesh.updateInstance("late", &presence{Cores: 0.1})
	require.True(t, n.campaigns("pool", false), "the wait is bounded")
}

// A holder that is too weak for a large fleet hands the lease over to a stronger instance with
// which it is in contact.
func TestWeakHolderOfALargeFleetHandsOver(t *testing.T) {
	now := time.Unix(1000, 0)
	n := campaigner(0.2, &now)
	for i := range smallFleetSize + 1 {
		n.mesh.updateInstance(string(rune('a'+i)), &presence{Cores: 0.2})
	}
	n.mesh.updateInstance("strong", &presence{Cores: 0.8})
	n.mesh.reportedAddresses["a"] = "10.0.0.1:1"
	require.True(t, n.campaigns("pool", true), "the strong one is only listed: it may be gone")
	n.mesh.reportedAddresses["strong"] = "10.0.0.2:1"
	require.False(t, n.campaigns("pool", true))

	small := campaigner(0.2, &now)
	small.mesh.updateInstance("strong", &presence{Cores: 0.8})
	small.mesh.reportedAddresses["strong"] = "10.0.0.2:1"
	require.True(t, small.campaigns("pool", true), "in a small fleet the holder has little to do")
}
