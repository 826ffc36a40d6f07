package daemon

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/eiderspring/eiderspring/membership"
	"github.com/eiderspring/eiderspring/peer"
	"github.com/eiderspring/eiderspring/routing"
)

// started is a live endpoint of the start that holds the units.
func started(name string, at int64, units ...string) membership.Member {
	return membership.Member{
		Name: name, StartedAtMS: at, Incarnation: name + "@" + time.UnixMilli(at).String(), Pool: "plain", State: membership.Live, Resident: units,
	}
}

// list brings a list of members.
func (h *viewHarness) list(members ...membership.Member) {
	h.version++
	h.step(membersListed{membership.Listing{Version: h.version, Members: members}})
}

// endpoint is the endpoint that requests go to.
func (h *viewHarness) endpointNamed(name string) *routing.Endpoint {
	for _, e := range h.router.View().Pools["plain"] {
		if e.Name == name {
			return e
		}
	}
	return nil
}

// serves tells whether an endpoint gets requests for a unit.
func (h *viewHarness) serves(name, unit string) bool {
	for _, e := range h.router.View().Replicas[unit] {
		if e.Name == name {
			return true
		}
	}
	return false
}

// Whatever was known of an endpoint ends with its start: its entry changes without a gap.
func TestNothingOfAFormerStartIsKept(t *testing.T) {
	h := newViewHarness()
	h.list(started("e1", 100, "m1"))
	e := h.endpointNamed("e1")
	e.RecordFailure(h.clock)
	e.SetReplaced()
	e.MarkFull(h.clock)
	e.SetReportedLoad(routing.Load{At: h.clock, Running: 60, Waiting: 9})
	h.step(placementsReceived{[]peer.Placement{{Epoch: 4, Endpoint: "e1", StartedAtMS: 100, Units: []string{"m1", "m2"}}}})
	h.step(endpointsWithdrawn{[]endpointIncarnation{{"e1", 100}}})
	require.False(t, h.acceptsRequests("e1"))

	h.list(started("e1", 200))
	again := h.endpointNamed("e1")
	require.NotSame(t, e, again)
	require.False(t, again.Replaced() || again.Ejected(h.clock))
	require.Zero(t, again.Estimate())
	require.True(t, h.acceptsRequests("e1"), "the word was on the former start")
	require.False(t, h.serves("e1", "m1") || h.serves("e1", "m2"))
}

// Words that others have sent before they knew of the new start change nothing.
func TestWordsOnAFormerStartChangeNothing(t *testing.T) {
	h := newViewHarness()
	h.list(started("e1", 200))
	h.step(endpointsWithdrawn{[]endpointIncarnation{{"e1", 100}}})
	require.True(t, h.acceptsRequests("e1"))
	h.step(placementsReceived{[]peer.Placement{{Epoch: 9, Endpoint: "e1", StartedAtMS: 100, Units: []string{"m1"}}}})
	require.False(t, h.serves("e1", "m1"))
	require.False(t, endpointIncarnation{"e1", 100}.includes(200))

	h.step(placementsReceived{[]peer.Placement{{Epoch: 3, Endpoint: "e1", StartedAtMS: 200, Units: []string{"m2"}}}})
	require.True(t, h.serves("e1", "m2"), "an older holder's word on the former start does not outrank it")
	h.step(endpointsWithdrawn{[]endpointIncarnation{{"e1", 200}}})
	require.False(t, h.acceptsRequests("e1"))
}

// The instance that places units may hear of a new start before the own list tells:
// the old entry does not bring back what the former start held.
func TestPlacementOfANewStartOutranksTheOldEntry(t *testing.T) {
	h := newViewHarness()
	h.list(started("e1", 100, "m1"), started("e2", 100))
	h.step(placementsReceived{[]peer.Placement{{Epoch: 4, Endpoint: "e1", StartedAtMS: 200, Units: []string{"m2"}}}})
	require.True(t, h.serves("e1", "m2"))
	require.False(t, h.serves("e1", "m1"))
	h.list(started("e1", 100, "m1", "m3"), started("e2", 100))
	require.False(t, h.serves("e1", "m1") || h.serves("e1", "m3"))
	h.list(started("e1", 200), started("e2", 100))
	require.True(t, h.serves("e1", "m2"), "what was told of this start holds")
}

// Starts go with words through packets; a packet without any is as short as before.
func TestStartsGoWithWords(t *testing.T) {
	plain, err := peer.EncodePacket(peer.Packet{Version: peer.PacketVersion, Placements: []peer.Placement{{Endpoint: "e1"}}, Replaced: []string{"e1"}})
	require.NoError(t, err)
	p := peer.Packet{Version: peer.PacketVersion, Placements: []peer.Placement{{Endpoint: "e1", StartedAtMS: 7}, {Endpoint: "e2"}}}
	p.Replaced, p.ReplacedStarts = splitIncarnations([]endpointIncarnation{{"e1", 7}, {"e3", 0}})
	data, err := peer.EncodePacket(p)
	require.NoError(t, err)
	require.Greater(t, len(data), len(plain))
	got, err := peer.DecodePacket(data)
	require.NoError(t, err)
	require.EqualValues(t, 7, got.Placements[0].StartedAtMS)
	require.Zero(t, got.Placements[1].StartedAtMS)
	require.Equal(t, []endpointIncarnation{{"e1", 7}, {"e3", 0}}, incarnationsOf(got.Replaced, got.ReplacedStarts))
	names, starts := splitIncarnations([]endpointIncarnation{{"e1", 0}})
	require.Equal(t, []string{"e1"}, names)
	require.Nil(t, starts)
}
