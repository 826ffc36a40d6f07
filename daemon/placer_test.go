package daemon

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/eiderspring/eiderspring/lease"
	"github.com/eiderspring/eiderspring/membership"
	"github.com/eiderspring/eiderspring/peer"
	"github.com/eiderspring/eiderspring/placement/counted"
	"github.com/eiderspring/eiderspring/ring"
	"github.com/eiderspring/eiderspring/settings"
)

// TestBusyPlacerDoesNotBlockSenders fills the ring of a placer that plans for long, and sends it
// more inputs. A sender that waits would hold the lock that all tasks of the holder need to
// check the lease.
func TestBusyPlacerDoesNotBlockSenders(t *testing.T) {
	busy := &placer{events: ring.New[counted.Event](placerEventsCapacity, ring.Block), runner: lease.NewRunner(lease.RunnerConfig{})}
	for range placerEventsCapacity {
		busy.put(counted.Tick{})
	}
	p := &placers{running: map[string]*placer{}}
	p.add("pool", busy)
	catalog := settings.NewCatalog(&settings.Tree{Pools: map[string]*settings.Pool{"pool": {Kind: settings.KindEngine}}})
	for i := range 3 {
		p.update(catalog, membership.NewList())
		p.requestsFailed([]string{"e1", "e2"})
		p.endpointsReplaced([]endpointIncarnation{{name: "e3", startedAtMS: int64(i)}})
		p.demandReported(map[string]peer.Demand{"m": {Waiting: i}})
	}
	require.False(t, p.holds())
	events := busy.inputs.take()
	require.Len(t, events, 5, "the last event of each kind")
	require.Equal(t, counted.EndpointsReplaced{Endpoints: []string{"e3"}, StartedAtMS: map[string]int64{"e3": 2}}, events[2])
	require.Equal(t, counted.RequestsFailed{Endpoints: []string{"e1", "e2"}}, events[3])
	require.Equal(t, 2, events[4].(counted.DemandReport).Waiting["m"])
	require.Empty(t, busy.inputs.take())
}
