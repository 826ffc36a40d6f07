package daemon

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/eiderspring/eiderspring/outlook"
	"github.com/eiderspring/eiderspring/peer"
)

// TestUnchangedSummariesAreNotSent checks what makes an instance of a large fleet send its summary:
// a change, another coordinator, a refusal, and time. Ten summaries a second from each of 984
// instances kept the coordinator's processor and socket busy.
func TestUnchangedSummariesAreNotSent(t *testing.T) {
	now := time.Unix(1000, 0)
	m := &mesh{now: func() time.Time { return now }, listed: map[string]presence{}, onInstanceCount: func(int) {}}
	for i := range smallFleetSize + 1 {
		m.updateInstance(fmt.Sprint(i), &presence{})
	}
	coordinator := []string{"10.0.0.1:1"}
	seq := uint64(0)
	summary := func(running int64) peer.Packet {
		seq++
		return peer.Packet{From: "a", Seq: seq, Loads: []peer.EndpointLoad{{Endpoint: "e", Running: running}}}
	}
	sent := func(p peer.Packet, to []string) bool { return !m.summaryUnchanged(p, to) }
	require.True(t, sent(summary(1), coordinator))
	require.False(t, sent(summary(1), coordinator))
	require.True(t, sent(summary(2), coordinator), "a change")
	require.True(t, sent(summary(2), []string{"10.0.0.2:1"}), "another coordinator")
	refusal := summary(2)
	refusal.Promises = []outlook.Promise{{Unit: "m", Request: 7, InMS: 900}}
	require.True(t, sent(refusal, []string{"10.0.0.2:1"}))
	require.True(t, sent(refusal, []string{"10.0.0.2:1"}), "packets with promises are always sent")
	require.True(t, sent(summary(2), []string{"10.0.0.2:1"}))
	repeats := 0
	for range 40 {
		now = now.Add(meshTick)
		if sent(summary(2), []string{"10.0.0.2:1"}) {
			repeats++
		}
	}
	require.Equal(t, 10, repeats, "four summaries a second, of ten")
	require.Less(t, 3*summaryRepeatInterval, peer.PeerTimeout)
}
