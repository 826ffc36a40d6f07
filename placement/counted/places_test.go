package counted

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/stretchr/testify/require"
)

// TestPlacesGolden runs the sessions in testdata/places: reports of demand and the estimate of
// needed places after each. The command report takes at=MILLISECONDS and total=PLACES; each
// line of its input is UNIT RATE RUNNING WAITING.
func TestPlacesGolden(t *testing.T) {
	datadriven.Walk(t, "testdata/places", func(t *testing.T, path string) {
		d := newPlaceDemand()
		datadriven.RunTest(t, path, func(t *testing.T, cmd *datadriven.TestData) string {
			var at, total int
			cmd.ScanArgs(t, "at", &at)
			cmd.ScanArgs(t, "total", &total)
			report := DemandReport{Rate: map[string]float64{}, Running: map[string]int{}, Waiting: map[string]int{}}
			for line := range strings.Lines(cmd.Input) {
				var unit string
				var rate float64
				var running, waiting int
				_, err := fmt.Sscan(line, &unit, &rate, &running, &waiting)
				require.NoError(t, err)
				report.Rate[unit], report.Running[unit], report.Waiting[unit] = rate, running, waiting
			}
			d.observe(planStart.Add(time.Duration(at)*time.Millisecond), report, capacity{endpoints: 10, places: total, replicaDemand: 3000})
			var b strings.Builder
			for _, unit := range sortedNames(d.need) {
				fmt.Fprintf(&b, "%s needs %.1f\n", unit, d.need[unit])
			}
			fmt.Fprintf(&b, "scarce %v\n", d.scarce)
			return b.String()
		})
	})
}

// TestSlowLoadsStayWithShares guards deployments whose loads take long, whose places are ample
// or whose instances report no requests at endpoints against another placement than before.
func TestSlowLoadsStayWithShares(t *testing.T) {
	for name, tc := range map[string]struct {
		storeLoad time.Duration
		running   map[string]int
		byPlaces  bool
		want      bool
	}{
		"fast and scarce": {time.Second, map[string]int{"m0": 30}, true, true},
		"slow":            {6 * time.Second, map[string]int{"m0": 30}, true, false},
		"ample":           {time.Second, map[string]int{"m0": 3}, true, false},
		"not reported":    {time.Second, nil, true, false},
		"switched off":    {time.Second, map[string]int{"m0": 30}, false, false},
	} {
		t.Run(name, func(t *testing.T) {
			c := NewController(Config{RateWindow: 5 * time.Second, RateFactor: 1, ByPlaces: tc.byPlaces})
			c.Step(planStart, CellSettings{Units: []Unit{{Name: "m0", MemoryMB: 70, StoreLoadTime: tc.storeLoad}}, CapacityMB: 220, Concurrency: 24})
			c.Step(planStart, MemberList{Members: []Member{{Name: "a"}, {Name: "b"}, {Name: "c"}}})
			c.Step(planStart, DemandReport{Rate: map[string]float64{"m0": 100}, Running: tc.running})
			require.Equal(t, tc.want, c.placesCount())
		})
	}
}
