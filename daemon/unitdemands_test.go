package daemon

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/eiderspring/eiderspring/peer"
	"github.com/eiderspring/eiderspring/pipeline"
)

// TestUnitsThatOnlyRunGiveWay guards against units with requests at endpoints that crowd out
// those that are requested or waited for: the placer would not learn of these.
func TestUnitsThatOnlyRunGiveWay(t *testing.T) {
	running, waiting := map[string]int{}, map[string]int{"rare": 1}
	for i := range 2 * maxDemands {
		running[fmt.Sprintf("m%02d", i)] = i + 1
	}
	demands := unitDemands(&pipeline.Demand{}, waiting, running)
	require.Equal(t, []peer.UnitDemand{{Unit: "rare", Waiting: 1}}, demands)
}

// TestEncodedSizeOfDemand guards against summaries that are too large for a packet, as units
// are added by this size.
func TestEncodedSizeOfDemand(t *testing.T) {
	p := peer.Packet{Version: peer.PacketVersion, From: "a"}
	before, err := peer.EncodePacket(p)
	require.NoError(t, err)
	size := 0
	for i := range maxRunningDemands {
		d := peer.UnitDemand{Unit: fmt.Sprintf("abcd%06x/a%02d", i, i), Work: 1234567.25, Running: 1 << i}
		p.Demands = append(p.Demands, d)
		size += d.EncodedSize()
	}
	after, err := peer.EncodePacket(p)
	require.NoError(t, err)
	require.LessOrEqual(t, len(after)-len(before), size+fieldOverhead)
}

// TestSummaryWithRunningFitsThePacket guards against summaries that are too large to be sent.
func TestSummaryWithRunningFitsThePacket(t *testing.T) {
	p := peer.Packet{
		Version: peer.PacketVersion, From: "edge-hall-outremeuse-12", Process: "ABCDEFGHIJKLMNOPQRSTUVWXYZ", Address: "10.200.100.100:17380",
		Seq: 1 << 40, Revision: 1 << 30,
	}
	for i := range maxLoads {
		p.Loads = append(p.Loads, peer.EndpointLoad{Endpoint: fmt.Sprintf("i-%010x", i), Running: 60, PrefillMicros: 900_000})
	}
	for i := range maxDemandsRunning {
		p.Demands = append(p.Demands, peer.UnitDemand{Unit: fmt.Sprintf("abcd%06x/a%02d", i, i), Work: 1234567.25, Waiting: 30, Running: 60})
	}
	for i := range maxSuspects {
		p.Suspects = append(p.Suspects, fmt.Sprintf("i-%010x", i))
	}
	for i := range maxReplaced {
		p.Replaced, p.ReplacedStarts = append(p.Replaced, fmt.Sprintf("i-%010x", i)), append(p.ReplacedStarts, 1_782_399_000_000)
	}
	data, err := peer.EncodePacket(p)
	require.NoError(t, err)
	require.LessOrEqual(t, len(data), peer.MaxPacketBytes)
}

// TestRunningIsToldWhereItIsUsed guards small fleets, and deployments whose models load slowly,
// against larger packets that nobody uses.
func TestRunningIsToldWhereItIsUsed(t *testing.T) {
	yes, no := func() bool { return true }, func() bool { return false }
	for name, tc := range map[string]struct {
		instances int
		byPlaces  func() bool
		want      bool
	}{
		"large, fast loads": {smallFleetSize + 1, yes, true},
		"large, slow loads": {smallFleetSize + 1, no, false},
		"small, fast loads": {smallFleetSize, yes, false},
		"no placement":      {smallFleetSize + 1, nil, false},
	} {
		t.Run(name, func(t *testing.T) {
			m := &mesh{listed: map[string]presence{}, placesByPlaces: tc.byPlaces}
			for i := range tc.instances {
				m.listed[fmt.Sprint(i)] = presence{}
			}
			require.Equal(t, tc.want, m.tellsRunning())
		})
	}
}
