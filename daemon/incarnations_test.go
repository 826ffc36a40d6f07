package daemon

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/eiderspring/eiderspring/membership"
	"github.com/eiderspring/eiderspring/peer"
	"github.com/eiderspring/eiderspring/routing"
)

// started returns a live endpoint that was started at a time and holds the units.
func started(name string, at int64, units ...string) membership.Member {
	return membership.Member{
		Name: name, StartedAtMS: at, Incarnation: name + "@" + time.UnixMilli(at).String(), Pool: "plain", State: membership.Live, Resident: units,
	}
}

// list delivers a new member list to the view.
func (h *viewHarness) list(members ...membership.Member) {
	h.version++
	h.step(membersListed{membership.Listing{Version: h.version, Members: members}})
}

// endpointNamed returns the view's endpoint of a name, or nil.
func (h *viewHarness) endpointNamed(name string) *routing.Endpoint {
	for _, e := range h.router.View().Pools["plain"] {
		if e.Name == name {
			return e
		}
	}
	return nil
}

// serves tells whether the view routes requests for a unit to an endpoint.
func (h *viewHarness) serves(name, unit string) bool {
	for _, e := range h.router.View().Replicas[unit] {
		if e.Name == name {
			return true
		}
	}
	return false
}

// A restarted endpoint must not inherit anything from its previous incarnation, also if its entry
// changes without being removed in between.
func TestStateOfPreviousIncarnationIsDropped(t *testing.T) {
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
	require.True(t, h.acceptsRequests("e1"), "the withdrawal was of the previous incarnation")
	require.False(t, h.serves("e1", "m1") || h.serves("e1", "m2"))
}

// Reports that other instances sent before they knew of the new incarnation must change nothing.
func TestReportsOnPreviousIncarnationAreIgnored(t *testing.T) {
	h := newViewHarness()
	h.list(started("e1", 200))
	h.step(endpointsWithdrawn{[]endpointIncarnation{{"e1", 100}}})
	require.True(t, h.acceptsRequests("e1"))
	h.step(placementsReceived{[]peer.Placement{{Epoch: 9, Endpoint: "e1", StartedAtMS: 100, Units: []string{"m1"}}}})
	require.False(t, h.serves("e1", "m1"))
	require.False(t, endpointIncarnation{"e1", 100}.includes(200))

	h.step(placementsReceived{[]peer.Placement{{Epoch: 3, Endpoint: "e1", StartedAtMS: 200, Units: []string{"m2"}}}})
	require.True(t, h.serves("e1", "m2"), "a placement of the previous incarnation with a later epoch does not outrank it")
	h.step(endpointsWithdrawn{[]endpointIncarnation{{"e1", 200}}})
	require.False(t, h.acceptsRequests("e1"))
}

// The instance that places units may learn of a new incarnation before this instance's list
// shows it. The old entry must not bring back the units of the previous incarnation.
func TestPlacementOfNewIncarnationOutranksOldEntry(t *testing.T) {
	h := newViewHarness()
	h.list(started("e1", 100, "m1"), started("e2", 100))
	h.step(placementsReceived{[]peer.Placement{{Epoch: 4, Endpoint: "e1", StartedAtMS: 200, Units: []string{"m2"}}}})
	require.True(t, h.serves("e1", "m2"))
	require.False(t, h.serves("e1", "m1"))
	h.list(started("e1", 100, "m1", "m3"), started("e2", 100))
	require.False(t, h.serves("e1", "m1") || h.serves("e1", "m3"))
	h.list(started("e1", 200), started("e2", 100))
	require.True(t, h.serves("e1", "m2"), "the placement of this incarnation is kept")
}

// Packets carry start times beside placements and replaced endpoints, and no bytes for them where
// none is known.
func TestPacketsCarryStartTimes(t *testing.T) {
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
	names, startedAtMS := splitIncarnations([]endpointIncarnation{{"e1", 0}})
	require.Equal(t, []string{"e1"}, names)
	require.Nil(t, startedAtMS)
}
