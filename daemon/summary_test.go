package daemon

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/eiderspring/eiderspring/peer"
)

// TestUnchangedSummariesAreNotSent goes through what makes an instance of a large fleet tell:
// a change, another hub, a word that passes, and time. Ten words a second of 984 instances each
// kept the hub's processor and socket busy.
func TestUnchangedSummariesAreNotSent(t *testing.T) {
	now := time.Unix(1000, 0)
	m := &mesh{now: func() time.Time { return now }, listed: map[string]presence{}, onInstanceCount: func(int) {}}
	for i := range smallFleetSize + 1 {
		m.updateInstance(fmt.Sprint(i), &presence{})
	}
	hub := []string{"10.0.0.1:1"}
	seq := uint64(0)
	summary := func(running int64) peer.Packet {
		seq++
		return peer.Packet{From: "a", Seq: seq, Loads: []peer.EndpointLoad{{Endpoint: "e", Running: running}}}
	}
	sent := func(p peer.Packet, to []string) bool { return !m.summaryUnchanged(p, to) }
	require.True(t, sent(summary(1), hub))
	require.False(t, sent(summary(1), hub))
	require.True(t, sent(summary(2), hub), "a change")
	require.True(t, sent(summary(2), []string{"10.0.0.2:1"}), "another hub")
	refusal := summary(2)
	refusal.Refused = []uint32{7}
	require.True(t, sent(refusal, []string{"10.0.0.2:1"}))
	require.True(t, sent(refusal, []string{"10.0.0.2:1"}), "refusals are told once each")
	require.True(t, sent(summary(2), []string{"10.0.0.2:1"}))
	told := 0
	for range 40 {
		now = now.Add(meshTick)
		if sent(summary(2), []string{"10.0.0.2:1"}) {
			told++
		}
	}
	require.Equal(t, 10, told, "four words a second, of ten")
	require.Less(t, 3*summaryRepeatInterval, peer.PeerTimeout)
}
