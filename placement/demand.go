package placement

import (
	"math"
	"time"

	"github.com/eiderspring/eiderspring/engine"
)

// demandEstimates follows the demand of each unit from the inventories. It
// rises fast and falls slowly: a replica too many costs memory that is free, a
// replica too few costs targets.
type demandEstimates struct {
	// byEndpoint holds the requests under way by endpoint and unit.
	byEndpoint map[string]map[string]float64
	waiting    map[string]float64
	smoothed   map[string]float64
	at         time.Time
}

// Time constants of the estimates.
const (
	riseTime = 3 * time.Second
	fallTime = 60 * time.Second
)

func newDemandEstimates() demandEstimates {
	return demandEstimates{byEndpoint: map[string]map[string]float64{}, waiting: map[string]float64{}, smoothed: map[string]float64{}}
}

func (d *demandEstimates) observe(now time.Time, endpoint string, r *engine.Report) {
	units := make(map[string]float64, len(r.Units))
	for _, u := range r.Units {
		if u.Running > 0 {
			units[u.Name] = float64(u.Running)
		}
	}
	d.byEndpoint[endpoint] = units
	d.smooth(now)
}

func (d *demandEstimates) forget(endpoint string) { delete(d.byEndpoint, endpoint) }

func (d *demandEstimates) smooth(now time.Time) {
	elapsed := now.Sub(d.at)
	d.at = now
	current := map[string]float64{}
	for _, units := range d.byEndpoint {
		for unit, n := range units {
			current[unit] += n
		}
	}
	for unit, n := range current {
		d.smoothed[unit] = approach(d.smoothed[unit], n, elapsed)
	}
	for unit, n := range d.smoothed {
		if _, active := current[unit]; !active {
			d.smoothed[unit] = approach(n, 0, elapsed)
		}
	}
}

func approach(from, to float64, elapsed time.Duration) float64 {
	constant := riseTime
	if to < from {
		constant = fallTime
	}
	return to + (from-to)*math.Exp(-elapsed.Seconds()/constant.Seconds())
}

// of returns the smoothed demand of a unit.
func (d *demandEstimates) of(unit string) float64 { return d.smoothed[unit] }
