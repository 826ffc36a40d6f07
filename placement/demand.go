package placement

import (
	"math"
	"time"

	"github.com/eiderspring/eiderspring/engine"
)

// demandEstimates estimates the demand of each unit from the inventories. An estimate
// rises fast and falls slowly: a superfluous replica costs free memory, a missing one
// makes requests miss their targets.
type demandEstimates struct {
	// running is the number of requests in flight by endpoint and unit.
	running    map[string]map[string]float64
	waiting    map[string]float64
	smoothed   map[string]float64
	smoothedAt time.Time
}

// Time constants of the estimates.
const (
	riseTimeConstant = 3 * time.Second
	fallTimeConstant = 60 * time.Second
)

func newDemandEstimates() demandEstimates {
	return demandEstimates{running: map[string]map[string]float64{}, waiting: map[string]float64{}, smoothed: map[string]float64{}}
}

func (d *demandEstimates) observe(now time.Time, endpoint string, r *engine.Report) {
	units := make(map[string]float64, len(r.Units))
	for _, u := range r.Units {
		if u.Running > 0 {
			units[u.Name] = float64(u.Running)
		}
	}
	d.running[endpoint] = units
	d.smooth(now)
}

func (d *demandEstimates) forget(endpoint string) { delete(d.running, endpoint) }

func (d *demandEstimates) smooth(now time.Time) {
	elapsed := now.Sub(d.smoothedAt)
	d.smoothedAt = now
	current := map[string]float64{}
	for _, units := range d.running {
		for unit, n := range units {
			current[unit] += n
		}
	}
	for unit, n := range current {
		d.smoothed[unit] = decayTowards(d.smoothed[unit], n, elapsed)
	}
	for unit, n := range d.smoothed {
		if _, active := current[unit]; !active {
			d.smoothed[unit] = decayTowards(n, 0, elapsed)
		}
	}
}

func decayTowards(from, to float64, elapsed time.Duration) float64 {
	constant := riseTimeConstant
	if to < from {
		constant = fallTimeConstant
	}
	return to + (from-to)*math.Exp(-elapsed.Seconds()/constant.Seconds())
}

// estimate returns the smoothed demand of a unit.
func (d *demandEstimates) estimate(unit string) float64 { return d.smoothed[unit] }
