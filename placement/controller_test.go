package placement

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/eiderspring/eiderspring/commit"
	_ "github.com/eiderspring/eiderspring/internal/seeded"
)

// schedules is the number of seeds of the simulation for each kind of endpoint.
var schedules = flag.Int("schedules", 300, "seeds of the placement simulation")

func seeded(seed uint64) func(int) int { return rand.New(rand.NewPCG(seed, 1)).IntN }

func TestMemoryAndReachability(t *testing.T) {
	for _, checks := range []bool{true, false} {
		t.Run(fmt.Sprintf("checks=%v", checks), func(t *testing.T) {
			for seed := range uint64(*schedules) {
				s := newSimulation(seeded(seed), checks, mutation{})
				require.NoError(t, s.run(), "seed %d", seed)
				require.True(t, s.settle(), "seed %d: not every unit is reachable once the faults end: %v", seed, s.err)
			}
		})
	}
}

func TestMemoryAndReachabilityRapid(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		draw := func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "draw") }
		require.NoError(t, newSimulation(draw, rapid.Bool().Draw(t, "checks"), mutation{}).run())
	})
}

// TestSimulationDetectsBrokenRules guards against a simulation that cannot fail: without each of
// the rules, its check must find an endpoint over its memory or a unit that lost its
// last replica.
func TestSimulationDetectsBrokenRules(t *testing.T) {
	for name, m := range map[string]mutation{
		"order before commit": {sendBeforeCommit: true},
		"late orders ignored": {ignoreLateOrders: true},
		"order delay ignored": {ignoreOrderDelay: true},
		"unloads not counted": {countReadyOnly: true},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(3000) {
				if err := newSimulation(seeded(seed), false, m).run(); err != nil {
					t.Logf("seed %d: %v", seed, err)
					return
				}
			}
			t.Fatal("no schedule detects this mutation")
		})
	}
}

// TestOrderNotSentToOtherIncarnation guards against an order that reaches another
// incarnation of its endpoint. The controller takes over an open order with a list older
// than the one that the ledger was written from; the list does not show the order's
// incarnation of the endpoint.
func TestOrderNotSentToOtherIncarnation(t *testing.T) {
	now := time.Unix(1000, 0)
	c := NewController(DefaultControllerConfig("c", "n/1"))
	ledger := NewLedger()
	ledger.Epoch, ledger.Holder, ledger.ListVersion = 1, "other/1", 5
	ledger.Reset("e", &EndpointRecord{Incarnation: "0", CapacityMB: deviceMB, Units: map[string]*UnitRecord{
		"m": {State: Loading, MemoryMB: 10, Order: "c.1.1"},
	}})
	var sent []Action
	step := func(e Event) {
		for _, a := range c.Step(now, e) {
			switch a := a.(type) {
			case SendOrder:
				sent = append(sent, a)
			case Commit:
				sent = append(sent, c.Step(now, CommitEnded{Seq: a.Seq, Result: commit.Done, Version: "2"})...)
			}
		}
		sent = slices.DeleteFunc(sent, func(a Action) bool { _, isOrder := a.(SendOrder); return !isOrder })
	}
	step(CellSettings{Units: []UnitSpec{{Name: "m", MemoryMB: 10, Replicas: 1}}, CapacityMB: deviceMB, Concurrency: 1, LoadsPerSecond: 1, ConcurrentLoads: 1})
	step(MemberList{Version: 4, Instances: map[string]string{"n": "1"}, Endpoints: []Member{{Name: "e", Address: "e/1", Incarnation: "1"}}})
	step(LeaseAcquired{Epoch: 2})
	step(LedgerRead{Ledger: ledger, Version: "1"})
	require.True(t, c.Running())
	require.Empty(t, sent)
	step(MemberList{Version: 4, Instances: map[string]string{"n": "1"}, Endpoints: []Member{{Name: "e", Address: "e/0", Incarnation: "0"}}})
	require.Len(t, sent, 1)
}

// TestNoMovesWithStaleMemberList guards against unloading the only live replica. With a
// list older than the ledger's, another replica on record may be at an endpoint that is
// known to be gone, so this one must not be unloaded to make room for another unit.
func TestNoMovesWithStaleMemberList(t *testing.T) {
	now := time.Unix(1000, 0)
	c := NewController(DefaultControllerConfig("c", "n/1"))
	ledger := NewLedger()
	ledger.Epoch, ledger.Holder, ledger.ListVersion = 1, "n/1", 5
	endpoints := []Member{{Name: "a", Incarnation: "0"}, {Name: "b", Incarnation: "0"}}
	for _, m := range endpoints {
		ledger.Reset(m.Name, &EndpointRecord{Incarnation: "0", CapacityMB: deviceMB, Units: map[string]*UnitRecord{"m": {State: Ready, MemoryMB: 60}}})
	}
	decided := 0
	step := func(e Event) {
		for _, a := range c.Step(now, e) {
			switch a := a.(type) {
			case LogMove:
				decided++
			case Commit:
				c.Step(now, CommitEnded{Seq: a.Seq, Result: commit.Done, Version: "2"})
			}
		}
	}
	step(CellSettings{
		Units:      []UnitSpec{{Name: "m", MemoryMB: 60, Replicas: 1}, {Name: "n", MemoryMB: 60, Replicas: 1}},
		CapacityMB: deviceMB, Concurrency: 1, LoadsPerSecond: 1, ConcurrentLoads: 1,
	})
	list := MemberList{Version: 4, Instances: map[string]string{"n": "1"}, Endpoints: endpoints}
	step(list)
	step(LeaseAcquired{Epoch: 2})
	step(LedgerRead{Ledger: ledger, Version: "1"})
	for range 10 {
		now = now.Add(time.Second)
		step(Tick{})
	}
	require.True(t, c.Running())
	require.Zero(t, decided)
	list.Version = 5
	step(list)
	now = now.Add(time.Second)
	step(Tick{})
	require.Positive(t, decided)
}
