package daemon

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/eiderspring/eiderspring/membership"
	"github.com/eiderspring/eiderspring/peer"
)

func TestNewestResidencyReportWins(t *testing.T) {
	r := newResidency()
	entry := func(units ...string) { r.applyEntry(membership.Member{Name: "e", Resident: units}) }
	entry("m0")
	require.Equal(t, []string{"m0"}, r.serving("e"))

	require.True(t, r.applyPlacement(peer.Placement{Epoch: 2, Endpoint: "e", Units: []string{"m0", "m1"}, Draining: []string{"m0"}}))
	require.Equal(t, []string{"m1"}, r.serving("e"))
	entry("m0")
	require.Equal(t, []string{"m1"}, r.serving("e"), "an unchanged entry may be stale")

	require.False(t, r.applyPlacement(peer.Placement{Epoch: 1, Endpoint: "e", Units: []string{"m9"}}), "a placement of an earlier holder")
	entry("m0", "m1")
	require.Equal(t, []string{"m1"}, r.serving("e"), "a draining unit gets no requests, whatever the entry says")
	require.True(t, r.applyPlacement(peer.Placement{Epoch: 2, Endpoint: "e", Units: []string{"m1"}}))
	require.Equal(t, []string{"m1"}, r.serving("e"))
	r.forget("e")
	require.Empty(t, r.serving("e"))
}
