package peer

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var fleetViewStart = time.Unix(1000, 0)

func fleetViewTime(ms int) time.Time { return fleetViewStart.Add(time.Duration(ms) * time.Millisecond) }

func TestFleetViewTotalsOthersLoads(t *testing.T) {
	b := NewFleetView()
	for i, from := range []string{"a", "b", "c"} {
		require.True(t, b.Receive(fleetViewTime(0), Packet{
			From: from, Process: "p", Seq: 1, Address: from + ":1",
			Loads: []EndpointLoad{{Endpoint: "e", Running: int64(i + 1), PrefillMicros: 10}},
		}))
	}
	require.Equal(t, EndpointLoad{Endpoint: "e", Running: 5, PrefillMicros: 20}, b.Loads("a")["e"])
	require.False(t, b.Receive(fleetViewTime(1), Packet{From: "b", Process: "p", Seq: 1}), "a duplicate packet")
	require.True(t, b.Receive(fleetViewTime(2), Packet{From: "b", Process: "later", Seq: 1}), "a new process restarts its sequence numbers")
	require.Equal(t, EndpointLoad{Endpoint: "e", Running: 3, PrefillMicros: 10}, b.Loads("a")["e"])
	b.Expire(fleetViewTime(0).Add(PeerTimeout))
	require.Equal(t, []string{"b"}, b.Live(), "the others have timed out")
}

// TestPlacementPacketKeepsLoads receives a packet that carries only placements: it
// must not clear the loads that the sender reported before.
func TestPlacementPacketKeepsLoads(t *testing.T) {
	b := NewFleetView()
	b.Receive(fleetViewTime(0), Packet{From: "a", Process: "p", Seq: 1, Loads: []EndpointLoad{{Endpoint: "e", Running: 4}}})
	b.Receive(fleetViewTime(1), Packet{From: "a", Process: "p", Seq: 2, Placements: []Placement{{Endpoint: "e"}}})
	require.EqualValues(t, 4, b.Loads("")["e"].Running)
}

// TestDemandIsARate reports work that grows by 1000 per second, with some packets
// lost, and then omits the unit for a while.
func TestDemandIsARate(t *testing.T) {
	b := NewFleetView()
	seq, work := uint64(0), 5000.0
	for ms := 0; ms < 8000; ms += 100 {
		work += 100
		seq++
		if ms%700 == 0 {
			continue
		}
		b.Receive(fleetViewTime(ms), Packet{From: "a", Process: "p", Seq: seq, Demands: []UnitDemand{{Unit: "m", Work: work, Waiting: 2}}})
	}
	d := b.Demand()["m"]
	require.InDelta(t, 1000, d.WorkPerSecond, 150)
	require.Equal(t, 2, d.Waiting)
	require.Equal(t, fleetViewTime(7900), d.LastRequestAt)
	for ms := 8000; ms < 13000; ms += 100 {
		seq++
		b.Receive(fleetViewTime(ms), Packet{From: "a", Process: "p", Seq: seq})
	}
	d = b.Demand()["m"]
	require.Less(t, d.WorkPerSecond, 20.0)
	require.Zero(t, d.Waiting)
	require.Equal(t, fleetViewTime(7900), d.LastRequestAt, "a rate that is still decaying is no new request")
}

// TestFirstDemandCounts reports a unit for the first time from a process that is
// already known: that work must enter the rate.
func TestFirstDemandCounts(t *testing.T) {
	b := NewFleetView()
	b.Receive(fleetViewTime(0), Packet{From: "a", Process: "p", Seq: 1})
	b.Receive(fleetViewTime(100), Packet{From: "a", Process: "p", Seq: 2, Demands: []UnitDemand{{Unit: "m", Work: 3000}}})
	require.Greater(t, b.Demand()["m"].WorkPerSecond, 1000.0)
}

func FuzzDecodePacket(f *testing.F) {
	whole, err := EncodePacket(Packet{
		Version: PacketVersion, From: "a", Process: "p", Seq: 3, Loads: []EndpointLoad{{Endpoint: "e", Running: 1}},
		Demands: []UnitDemand{{Unit: "m", Work: 2}}, Placements: []Placement{{Endpoint: "e", Units: []string{"m"}}},
	})
	require.NoError(f, err)
	f.Add(whole)
	f.Add([]byte{0xa0})
	f.Fuzz(func(t *testing.T, data []byte) {
		p, err := DecodePacket(data)
		if err == nil {
			require.Equal(t, PacketVersion, p.Version)
		}
	})
}
