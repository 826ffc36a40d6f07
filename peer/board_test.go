package peer

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var boardStart = time.Unix(1000, 0)

func boardAt(ms int) time.Time { return boardStart.Add(time.Duration(ms) * time.Millisecond) }

func TestBoardSumsOthersLoads(t *testing.T) {
	b := NewFleetView()
	for i, from := range []string{"a", "b", "c"} {
		require.True(t, b.Receive(boardAt(0), Packet{
			From: from, Process: "p", Seq: 1, Address: from + ":1",
			Loads: []EndpointLoad{{Endpoint: "e", Running: int64(i + 1), PrefillMicros: 10}},
		}))
	}
	require.Equal(t, EndpointLoad{Endpoint: "e", Running: 5, PrefillMicros: 20}, b.Loads("a")["e"])
	require.False(t, b.Receive(boardAt(1), Packet{From: "b", Process: "p", Seq: 1}), "the same packet twice")
	require.True(t, b.Receive(boardAt(2), Packet{From: "b", Process: "later", Seq: 1}), "a new process counts anew")
	require.Equal(t, EndpointLoad{Endpoint: "e", Running: 3, PrefillMicros: 10}, b.Loads("a")["e"])
	b.Expire(boardAt(0).Add(PeerTimeout))
	require.Equal(t, []string{"b"}, b.Live(), "the others were not heard since")
}

// TestPlacementsLeaveTheRest takes a packet that tells placements only.
func TestPlacementsLeaveTheRest(t *testing.T) {
	b := NewFleetView()
	b.Receive(boardAt(0), Packet{From: "a", Process: "p", Seq: 1, Loads: []EndpointLoad{{Endpoint: "e", Running: 4}}})
	b.Receive(boardAt(1), Packet{From: "a", Process: "p", Seq: 2, Placements: []Placement{{Endpoint: "e"}}})
	require.EqualValues(t, 4, b.Loads("")["e"].Running)
}

// TestDemandIsARate tells work that grows by 1000 a second, with packets lost and
// the unit left out for a while.
func TestDemandIsARate(t *testing.T) {
	b := NewFleetView()
	seq, work := uint64(0), 5000.0
	for ms := 0; ms < 8000; ms += 100 {
		work += 100
		seq++
		if ms%700 == 0 {
			continue
		}
		b.Receive(boardAt(ms), Packet{From: "a", Process: "p", Seq: seq, Demands: []UnitDemand{{Unit: "m", Work: work, Waiting: 2}}})
	}
	d := b.Demand()["m"]
	require.InDelta(t, 1000, d.WorkPerSecond, 150)
	require.Equal(t, 2, d.Waiting)
	require.Equal(t, boardAt(7900), d.AskedAt)
	for ms := 8000; ms < 13000; ms += 100 {
		seq++
		b.Receive(boardAt(ms), Packet{From: "a", Process: "p", Seq: seq})
	}
	d = b.Demand()["m"]
	require.Less(t, d.WorkPerSecond, 20.0)
	require.Zero(t, d.Waiting)
	require.Equal(t, boardAt(7900), d.AskedAt, "a rate that has not fallen to nothing yet is no request")
}

// TestFirstDemandCounts asks for a unit for the first time at a process that is
// known: the work is not lost.
func TestFirstDemandCounts(t *testing.T) {
	b := NewFleetView()
	b.Receive(boardAt(0), Packet{From: "a", Process: "p", Seq: 1})
	b.Receive(boardAt(100), Packet{From: "a", Process: "p", Seq: 2, Demands: []UnitDemand{{Unit: "m", Work: 3000}}})
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
