package daemon

import (
	"fmt"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"

	"github.com/eiderspring/eiderspring/broadcast"
	"github.com/eiderspring/eiderspring/peer"
	"github.com/eiderspring/eiderspring/routing"
)

// TestFullPacketsFitADatagram fills each kind of packet up to its bounds, with names as long
// as the platform's.
func TestFullPacketsFitADatagram(t *testing.T) {
	endpoint := func(i int) string { return fmt.Sprintf("i-%010x", i) }
	unit := func(i int) string { return fmt.Sprintf("abcd%06x/a%02d", i, i) }
	head := peer.Packet{
		Version: peer.PacketVersion, From: "edge-hall-outremeuse-12", Process: "ABCDEFGHIJKLMNOPQRSTUVWXYZ", Address: "10.200.100.100:17380",
		Seq: 1 << 40, Revision: 1 << 30,
	}
	summary, announcement, placed := head, head, head
	for i := range maxLoads {
		summary.Loads = append(summary.Loads, peer.EndpointLoad{Endpoint: endpoint(i), Running: 60, PrefillMicros: 900_000})
	}
	for i := range maxDemands {
		summary.Demands = append(summary.Demands, peer.UnitDemand{Unit: unit(i), Work: 1234567.25, Waiting: 30})
	}
	for i := range maxSuspects {
		summary.Suspects = append(summary.Suspects, endpoint(i))
	}
	for i := range maxReplaced {
		summary.Replaced = append(summary.Replaced, endpoint(i))
		announcement.Replaced = append(announcement.Replaced, endpoint(i))
	}
	// Starts are Unix times in milliseconds.
	const start = int64(1_782_399_000_000)
	for range maxReplaced {
		summary.ReplacedStarts = append(summary.ReplacedStarts, start)
		announcement.ReplacedStarts = append(announcement.ReplacedStarts, start)
	}
	for range maxWithdrawn {
		announcement.WithdrawnStarts = append(announcement.WithdrawnStarts, start)
	}
	announcement.Instances, announcement.StoreCurrent = 390, true
	for i := range maxTotals {
		announcement.Totals = append(announcement.Totals, peer.EndpointLoad{Endpoint: endpoint(i), Running: 600, PrefillMicros: 90_000_000})
	}
	for i := range maxWithdrawn {
		announcement.Withdrawn = append(announcement.Withdrawn, endpoint(i))
	}
	// This many placements with the longest names fill a packet.
	const maxPlacements = 4
	for i := range maxPlacements {
		p := peer.Placement{Epoch: 1 << 20, Endpoint: endpoint(i), StartedAtMS: start, Draining: []string{unit(1)}}
		for k := range 3 + 8 {
			p.Units = append(p.Units, unit(k))
		}
		placed.Placements = append(placed.Placements, p)
	}
	for name, p := range map[string]peer.Packet{"summary": summary, "announcement": announcement, "placements": placed} {
		data, err := peer.EncodePacket(p)
		require.NoError(t, err)
		require.LessOrEqual(t, len(data), peer.MaxPacketBytes, name)
	}
}

// TestPossiblyPartitioned covers an instance that loses contact with the others for a while,
// and one that never had any.
func TestPossiblyPartitioned(t *testing.T) {
	now := time.Unix(1000, 0)
	m := &mesh{instance: "a", fleetView: peer.NewFleetView(), now: func() time.Time { return now }}
	require.False(t, m.possiblyPartitioned(), "there may be no others")
	m.fleetView.Receive(now, peer.Packet{From: "b", Process: "p", Seq: 1})
	require.False(t, m.possiblyPartitioned())
	now = now.Add(partitionAfter)
	m.fleetView.Receive(now, peer.Packet{From: "a", Process: "own", Seq: 1})
	require.True(t, m.possiblyPartitioned(), "its own packets do not count")
	now = now.Add(peer.PeerTimeout)
	m.fleetView.Expire(now)
	require.True(t, m.possiblyPartitioned())
	m.fleetView.Receive(now, peer.Packet{From: "b", Process: "p", Seq: 2})
	require.False(t, m.possiblyPartitioned())
	now = now.Add(partitionTimeout)
	require.False(t, m.possiblyPartitioned(), "after that the others count as gone")
}

// TestTotalsFillPackets cuts lists of totals with short and long names.
func TestTotalsFillPackets(t *testing.T) {
	for _, length := range []int{3, 12, 120, 600} {
		var list []peer.EndpointLoad
		for i := range 300 {
			list = append(list, peer.EndpointLoad{Endpoint: fmt.Sprintf("%0*d", length, i), Running: int64(i * i), PrefillMicros: int64(i) << 20})
		}
		sent := 0
		for len(list) > 0 {
			p := peer.Packet{Version: 1, From: "edge-pnw-hillsboro-13", Address: "10.1.0.38:7380", Seq: 1 << 40, Instances: 390}
			p.Totals, list = cutLoads(list, remainingBytes(p))
			sent += len(p.Totals)
			requireFilled(t, p, length+30, len(list) == 0)
		}
		require.Equal(t, 300, sent)
	}
}

// TestPlacementsFillPackets queues placements with few and many units.
func TestPlacementsFillPackets(t *testing.T) {
	for _, units := range []int{0, 3, 11, 40} {
		var queue broadcast.Residency
		most := 0
		for i := range 300 {
			p := peer.Placement{Epoch: 1 << 20, Endpoint: fmt.Sprintf("i-%010x", i), StartedAtMS: 1_782_399_000_000, Draining: []string{"abcd123456/a01"}}
			for k := range units {
				p.Units = append(p.Units, fmt.Sprintf("abcd%06x/a%02d", k, k))
			}
			most = max(most, p.EncodedSize())
			queue.Put(p, broadcast.Changed)
		}
		for queue.Len() > 0 {
			p := peer.Packet{Version: 1, From: "edge-pnw-hillsboro-13", Address: "10.1.0.38:7380", Seq: 1 << 40}
			p.Placements = queue.Next(remainingBytes(p), broadcast.Refresh)
			requireFilled(t, p, most+30, queue.Len() == 0)
		}
	}
}

// requireFilled checks that a packet fits its datagram and, unless it is the last, that little
// more than the given number of bytes is left in it.
func requireFilled(t *testing.T, p peer.Packet, left int, last bool) {
	t.Helper()
	data, err := peer.EncodePacket(p)
	require.NoError(t, err)
	require.LessOrEqual(t, len(data), peer.MaxPacketBytes)
	if !last {
		// The size of an entry is estimated slightly larger than it is.
		require.Greater(t, len(data)+left+4*len(p.Placements), peer.MaxPacketBytes-fieldOverhead)
	}
}

// recordedDatagrams keeps what is sent.
type recordedDatagrams struct{ sent [][]byte }

func (r *recordedDatagrams) Send(_ string, data []byte) { r.sent = append(r.sent, data) }
func (r *recordedDatagrams) Close()                     {}

// TestHolderAnnouncesAllLeavingEndpoints lets more endpoints leave at once than fit into one
// packet.
func TestHolderAnnouncesAllLeavingEndpoints(t *testing.T) {
	now := time.Now()
	sealer, err := peer.NewSealer([][]byte{make([]byte, peer.KeyBytes)})
	require.NoError(t, err)
	datagrams := &recordedDatagrams{}
	m := &mesh{
		instance: "n1", now: func() time.Time { return now }, log: logr.Discard(), sealer: sealer, datagrams: datagrams,
		listed: map[string]presence{"n2": {Datagrams: "127.0.0.1:1"}}, withdrawn: map[string]withdrawal{},
		router: routing.NewRouter(routing.Policies()[routing.PolicyTimely], nil), revision: func() int64 { return 1 }, storeCurrent: func() bool { return true },
	}
	const leaving = 2*maxWithdrawn + 3
	for i := range leaving {
		m.recordWithdrawal(endpointIncarnation{name: fmt.Sprintf("i-%03d", i)})
	}
	m.announceTotals()
	announced := map[string]bool{}
	for _, sealed := range datagrams.sent {
		plain, err := sealer.Open(sealed)
		require.NoError(t, err)
		p, err := peer.DecodePacket(plain)
		require.NoError(t, err)
		require.True(t, p.StoreCurrent)
		for _, name := range p.Withdrawn {
			announced[name] = true
		}
	}
	require.Len(t, announced, leaving)
}
