package daemon

import (
	"fmt"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"

	"github.com/eiderspring/eiderspring/peer"
	"github.com/eiderspring/eiderspring/quarantine"
)

// gossipFleet runs Instances in virtual time, each of which sends gossip to a few others.
type gossipFleet struct {
	now   time.Time
	names []string
	peers map[string]*peersTask
	seq   int
}

func newGossipFleet(n int) *gossipFleet {
	f := &gossipFleet{now: time.Unix(1_000, 0), peers: map[string]*peersTask{}}
	for i := range n {
		f.names = append(f.names, fmt.Sprintf("i%d", i))
	}
	for _, name := range f.names {
		f.start(name)
	}
	return f
}

// start starts a new process of an instance.
func (f *gossipFleet) start(name string) {
	f.seq++
	d := &peersTask{
		gossip: peer.NewGossip(peer.GossipConfig{Name: name, Process: fmt.Sprint(f.seq)}), log: logr.Discard(),
		now: func() time.Time { return f.now }, quarantine: quarantine.NewManager(quarantine.Config{
			Limits: quarantine.DefaultLimits, Now: func() time.Time { return f.now }, Log: logr.Discard(),
		}),
	}
	d.gossip.Step(f.now, peer.LiveInstances{Names: f.names})
	f.peers[name] = d
}

// tick advances time by one tick for every instance. Gossip is received in the tick in which it
// is sent.
func (f *gossipFleet) tick(t *testing.T) {
	t.Helper()
	f.now = f.now.Add(peerTickInterval)
	for _, name := range f.names {
		f.step(t, name, peer.Tick{})
	}
}

func (f *gossipFleet) step(t *testing.T, name string, e peer.Event) {
	t.Helper()
	d := f.peers[name]
	actions := d.gossip.Step(f.now, d.markForReply(e))
	reports := d.endingsToSend(actions)
	for _, a := range actions {
		switch a := a.(type) {
		case peer.Send:
			a.Hint.Endings, a.Hint.EndingsDigest = reports, d.quarantine.Digest()
			data, err := peer.EncodeHint(a.Hint)
			require.NoError(t, err)
			require.LessOrEqual(t, len(data), peer.MaxHintBytes)
			hint, err := peer.DecodeHint(data)
			require.NoError(t, err)
			f.step(t, a.To, peer.Received{Hint: hint})
		case peer.EndingsReceived:
			d.quarantine.ReceiveReports(a.Reports, true)
		}
	}
}

// TestGossipSpreadsHoldsToAllInstances terminates endpoints under requests at up to three
// instances. Within 3 s all must hold the requests, and an instance that starts afterwards
// within 4 s.
func TestGossipSpreadsHoldsToAllInstances(t *testing.T) {
	const requests = 20
	for _, n := range []int{2, 6, 18, 63} {
		f := newGossipFleet(n)
		for r := range requests {
			for e := range 3 {
				d := f.peers[f.names[e%n]]
				d.quarantine.RecordTermination(quarantine.Request{Fingerprint: quarantine.Fingerprint{byte(r)}, Account: "account"}, false, "e", int64(100*r+e))
			}
		}
		for range 3 * time.Second / peerTickInterval {
			f.tick(t)
		}
		for name, d := range f.peers {
			require.Equal(t, requests, d.quarantine.Stats().Held, "%d instances, %s", n, name)
		}
		f.start(f.names[n-1])
		for range 4 * time.Second / peerTickInterval {
			f.tick(t)
		}
		require.Equal(t, requests, f.peers[f.names[n-1]].quarantine.Stats().Held, "%d instances, a new process", n)
	}
}

// TestQuarantineReportsFitThePacket fills packets with loads and demands while many requests are
// to be reported. No packet may be too large, and each must carry only requests that were not
// reported before, until all 200 were.
func TestQuarantineReportsFitThePacket(t *testing.T) {
	now := time.Unix(1_000, 0)
	manager := quarantine.NewManager(quarantine.Config{Limits: quarantine.DefaultLimits, Now: func() time.Time { return now }, Log: logr.Discard()})
	for r := range 200 {
		manager.RecordTermination(quarantine.Request{Fingerprint: quarantine.Fingerprint{byte(r)}, Account: "account"}, false, "e", int64(r))
	}
	m := &mesh{quarantine: manager}
	reported := map[string]bool{}
	for load := 0; load < maxLoads; load++ {
		p := peer.Packet{Version: peer.PacketVersion, From: "instance-with-a-long-name-1", Address: "10.0.0.1:12345", Seq: 1 << 40}
		for i := range load {
			p.Loads = append(p.Loads, peer.EndpointLoad{Endpoint: fmt.Sprintf("i-%010d", i), Running: 60, PrefillMicros: 1 << 30})
		}
		for i := range maxDemands {
			p.Demands = append(p.Demands, peer.UnitDemand{Unit: fmt.Sprintf("model-%d/adapter", i), Work: 1e9, Waiting: 100})
		}
		p.EndingsDigest = manager.Digest()
		p.Endings = manager.PendingReports(m.endingsRoom(p))
		data, err := peer.EncodePacket(p)
		require.NoError(t, err)
		require.LessOrEqual(t, len(data), peer.MaxPacketBytes)
		decoded, err := peer.DecodePacket(data)
		require.NoError(t, err)
		require.Equal(t, p.Endings, decoded.Endings)
		before := len(reported)
		for _, w := range decoded.Endings {
			reported[string(w.Fingerprint)] = true
		}
		require.Equal(t, min(before+len(decoded.Endings), 200), len(reported))
	}
}
