package placement

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	_ "github.com/eiderspring/eiderspring/internal/seeded"
)

// TestPlannerGolden runs the sessions in testdata: they define units and endpoints, and
// plan prints the moves of successive plans and applies them.
func TestPlannerGolden(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		var s Snapshot
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			switch d.Cmd {
			case "endpoint":
				e := EndpointState{Concurrency: 8, AcceptsLoads: true, Live: true, Units: map[string]PlacedUnit{}}
				d.ScanArgs(t, "name", &e.Name)
				d.ScanArgs(t, "domain", &e.FailureDomain)
				d.ScanArgs(t, "mb", &e.CapacityMB)
				e.FreeMB = e.CapacityMB
				s.Endpoints = append(s.Endpoints, e)
			case "unit":
				u := UnitSpec{Replicas: 1, LoadCost: 1}
				d.ScanArgs(t, "name", &u.Name)
				d.ScanArgs(t, "mb", &u.MemoryMB)
				d.MaybeScanArgs(t, "base", &u.Base)
				d.MaybeScanArgs(t, "replicas", &u.Replicas)
				s.Units = append(s.Units, u)
			case "demand":
				var name string
				var n int
				d.ScanArgs(t, "name", &name)
				d.ScanArgs(t, "n", &n)
				for i := range s.Units {
					if s.Units[i].Name == name {
						s.Units[i].Demand = float64(n)
					}
				}
			case "lose", "leave":
				var name string
				d.ScanArgs(t, "name", &name)
				loseEndpoint(&s, name, d.Cmd == "leave")
			case "plan":
				s.LoadBudget = 10
				return runPlan(&s)
			}
			return ""
		})
	})
}

func loseEndpoint(s *Snapshot, name string, leaving bool) {
	for i := range s.Endpoints {
		if s.Endpoints[i].Name == name && leaving {
			s.Endpoints[i].AcceptsLoads, s.Endpoints[i].Live = false, false
		} else if s.Endpoints[i].Name == name {
			s.Endpoints = append(s.Endpoints[:i], s.Endpoints[i+1:]...)
			return
		}
	}
}

// runPlan prints plans and applies their moves until there is nothing to do.
func runPlan(s *Snapshot) string {
	var b strings.Builder
	for round := 1; round < 20; round++ {
		moves := Plan(*s)
		if len(moves) == 0 {
			break
		}
		fmt.Fprintf(&b, "round %d\n", round)
		for _, m := range moves {
			fmt.Fprintf(&b, "  %s %s at %s: %s %s\n", m.Op, m.Unit, m.Endpoint, m.Reason, m.For)
			applyMove(s, m)
		}
	}
	if b.Len() == 0 {
		return "nothing to do\n"
	}
	return b.String()
}

func applyMove(s *Snapshot, m Move) {
	for i := range s.Endpoints {
		e := &s.Endpoints[i]
		if e.Name != m.Endpoint {
			continue
		}
		if m.Op == OpUnload {
			delete(e.Units, m.Unit)
			e.FreeMB += m.MemoryMB
			continue
		}
		e.Units[m.Unit] = PlacedUnit{State: Ready, MemoryMB: m.MemoryMB, Base: m.Base, Stable: true}
		e.FreeMB -= m.MemoryMB
	}
}

// TestPlansConverge guards against plans that never end, exceed the memory of an
// endpoint or leave a unit without a replica, for random deployments that fit with spare
// memory.
func TestPlansConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := randomSnapshot(rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0)), rapid.IntRange(3, 10).Draw(t, "endpoints"))
		runPlan(&s)
		require.Empty(t, Plan(s), "plans do not converge")
		loseEndpoint(&s, s.Endpoints[0].Name, false)
		runPlan(&s)
		for _, e := range s.Endpoints {
			require.GreaterOrEqual(t, e.FreeMB, int64(0))
		}
		for _, u := range s.Units {
			require.NotEmpty(t, holdersOf(s, u.Name), "%s has no replica", u.Name)
		}
	})
}

func holdersOf(s Snapshot, unit string) []string {
	var names []string
	for _, e := range s.Endpoints {
		if e.Units[unit].State == Ready {
			names = append(names, e.Name)
		}
	}
	return names
}

// randomSnapshot fills half of the memory of the endpoints with units.
func randomSnapshot(r *rand.Rand, endpoints int) Snapshot {
	const capacity = 1000
	s := Snapshot{LoadBudget: 1 << 20}
	for i := range endpoints {
		s.Endpoints = append(s.Endpoints, EndpointState{
			Name: fmt.Sprintf("e%03d", i), FailureDomain: fmt.Sprintf("d%d", i%3), CapacityMB: capacity, FreeMB: capacity,
			Concurrency: 16, AcceptsLoads: true, Live: true, Units: map[string]PlacedUnit{},
		})
	}
	for used, i := int64(0), 0; used < int64(endpoints)*capacity/2; i++ {
		u := UnitSpec{Name: fmt.Sprintf("m%04d", i), MemoryMB: int64(100 + r.IntN(200)), Replicas: 1 + r.IntN(2), LoadCost: 1, Demand: r.ExpFloat64() * 3}
		s.Units = append(s.Units, u)
		used += u.MemoryMB
	}
	return s
}

func BenchmarkPlan(b *testing.B) {
	for _, size := range []struct{ endpoints, units int }{{12, 26}, {90, 120}, {720, 950}} {
		b.Run(fmt.Sprintf("endpoints=%d/units=%d", size.endpoints, size.units), func(b *testing.B) {
			s := randomSnapshot(rand.New(rand.NewPCG(1, 0)), size.endpoints)
			s.Units = s.Units[:min(len(s.Units), size.units)]
			runPlan(&s)
			// The benchmark measures the plan after the loss of an endpoint.
			loseEndpoint(&s, s.Endpoints[0].Name, false)
			b.ReportAllocs()
			for b.Loop() {
				Plan(s)
			}
		})
	}
}
