package counted

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// scenario is a cell with its demand, from which controllers with settings in any order are made.
type scenario struct {
	units    []Unit
	members  []Member
	reports  map[string]*Report
	rates    map[string]float64
	waiting  map[string]int
	byPlaces bool
}

// drawScenario draws a cell in which endpoints hold some of the models.
func drawScenario(t *rapid.T) scenario {
	s := scenario{reports: map[string]*Report{}, rates: map[string]float64{}, waiting: map[string]int{}, byPlaces: rapid.Bool().Draw(t, "by places")}
	names := rapid.SliceOfNDistinct(rapid.StringMatching("[a-z]{3}"), 2, 12, rapid.ID[string]).Draw(t, "models")
	for _, name := range names {
		s.units = append(s.units, Unit{Name: name, MemoryMB: 70, StoreLoadTime: 3 * time.Second, DiskLoadTime: time.Second})
		for i := range rapid.IntRange(0, 2).Draw(t, "adapters") {
			s.units = append(s.units, Unit{Name: fmt.Sprintf("%s/a%d", name, i), Base: name, MemoryMB: 1})
		}
	}
	for i := range rapid.IntRange(1, 6).Draw(t, "endpoints") {
		m := Member{Name: fmt.Sprintf("e%d", i), FailureDomain: fmt.Sprintf("d%d", i%2)}
		held := rapid.SliceOfNDistinct(rapid.SampledFrom(names), 0, min(3, len(names)), rapid.ID[string]).Draw(t, "held")
		copies := rapid.SliceOfN(rapid.SampledFrom(names), 0, 4).Draw(t, "on disk")
		s.members = append(s.members, m)
		s.reports[m.Name] = &Report{Resident: held, OnDisk: append(copies, held...)}
	}
	for _, u := range s.units {
		s.rates[u.Name] = rapid.SampledFrom([]float64{0, 0, 300, 5000, 60_000}).Draw(t, "rate")
		s.waiting[u.Name] = rapid.SampledFrom([]int{0, 0, 1, 9}).Draw(t, "waiting")
	}
	maps.DeleteFunc(s.rates, func(_ string, rate float64) bool { return rate == 0 })
	maps.DeleteFunc(s.waiting, func(_ string, n int) bool { return n == 0 })
	return s
}

// plan returns the plan of a holder whose settings list the units in the given order.
func (s scenario) plan(units []Unit, epoch int64) []Move {
	now := planStart
	c := NewController(Config{RateWindow: 5 * time.Second, RateFactor: 1, ByPlaces: s.byPlaces})
	c.Step(now, CellSettings{Units: units, CapacityMB: 220, AdapterSlots: 2, LoadsPerSecond: 2, Concurrency: 8})
	c.Step(now, MemberList{Members: s.members})
	c.Step(now, LeaseAcquired{Epoch: epoch})
	c.nextPlanAt = now.Add(time.Hour)
	for _, m := range s.members {
		c.Step(now, ReportReply{Endpoint: m.Name, RequestedAt: now, Report: s.reports[m.Name]})
	}
	for range 40 {
		now = now.Add(100 * time.Millisecond)
		report := demandNow(now, s.rates, s.waiting)
		report.Running = map[string]int{}
		c.Step(now, report)
	}
	return c.plan(now)
}

// TestPlanIsTheSameForEveryOrderOfTheList guards against demand that is guessed from a model's
// position: operators append models, sort their list by name or generate it from a map.
func TestPlanIsTheSameForEveryOrderOfTheList(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := drawScenario(t)
		permuted := rapid.Permutation(s.units).Draw(t, "order")
		require.Equal(t, s.plan(s.units, 1), s.plan(permuted, 1))
	})
}

// TestNoModelIsAlwaysFirst guards against a model that every holder loads last, or unloads first,
// because of its name, while as much is known of others.
func TestNoModelIsAlwaysFirst(t *testing.T) {
	const holders = 200
	models := []string{"m1", "m2", "m3", "m4"}
	units := []Unit{{Name: "busy", MemoryMB: 70, StoreLoadTime: 3 * time.Second, DiskLoadTime: time.Second}}
	for _, name := range models {
		units = append(units, Unit{Name: name, MemoryMB: 70, StoreLoadTime: 3 * time.Second, DiskLoadTime: time.Second})
	}
	missing := scenario{units: units, members: []Member{{Name: "e"}}, reports: map[string]*Report{"e": {}}}
	idle := scenario{
		units: units, members: []Member{{Name: "e"}, {Name: "f"}}, rates: map[string]float64{"busy": 90_000},
		reports: map[string]*Report{"e": {Resident: models[:3], OnDisk: models[:3]}, "f": {Resident: []string{"busy", "m4"}, OnDisk: unitNames(units)}},
	}
	loaded, unloaded := map[string]int{}, map[string]int{}
	for epoch := range int64(holders) {
		loaded[missing.plan(units, epoch)[0].Unit]++
		for _, m := range idle.plan(units, epoch) {
			if m.Op == OpUnload {
				unloaded[m.Unit]++
			}
		}
	}
	require.Len(t, loaded, len(units), "%v", loaded)
	require.Subset(t, slices.Collect(maps.Keys(unloaded)), models[:3], "%v", unloaded)
}

// unitNames returns the names of units.
func unitNames(units []Unit) (names []string) {
	for _, u := range units {
		names = append(names, u.Name)
	}
	return names
}
