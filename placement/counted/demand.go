package counted

import (
	"math"
	"time"
)

// demand estimates the demand for each unit. An estimate rises at once and falls slowly,
// as a superfluous replica costs less than a missing one.
type demand struct {
	rate    map[string]float64
	waiting map[string]int
	// lastRequestAt is when each unit was last requested.
	lastRequestAt map[string]time.Time
	updatedAt     time.Time
	// firstSeenAt is when any unit was first requested.
	firstSeenAt time.Time
}

// warmUpTime is how long demand must have been observed before replicas are unloaded
// because of it: the initial placement is better evidence than a few requests.
const warmUpTime = 2500 * time.Millisecond

// warmedUp reports whether demand has been observed for long enough.
func (d *demand) warmedUp(now time.Time) bool {
	return !d.firstSeenAt.IsZero() && now.Sub(d.firstSeenAt) >= warmUpTime
}

// fallTimeConstant is the time in which a demand that has ended falls to about a third.
const fallTimeConstant = 4 * time.Second

func newDemand() demand {
	return demand{rate: map[string]float64{}, waiting: map[string]int{}, lastRequestAt: map[string]time.Time{}}
}

func (d *demand) observe(now time.Time, e DemandReport) {
	elapsed := now.Sub(d.updatedAt).Seconds()
	kept := math.Exp(-elapsed / fallTimeConstant.Seconds())
	d.updatedAt = now
	for unit, rate := range d.rate {
		if rate *= kept; rate < 1 {
			delete(d.rate, unit)
			continue
		}
		d.rate[unit] = rate
	}
	if d.firstSeenAt.IsZero() && len(e.Rate) > 0 {
		d.firstSeenAt = now
	}
	for unit, rate := range e.Rate {
		d.rate[unit] = max(d.rate[unit], rate)
	}
	for unit, at := range e.LastRequestAt {
		if at.After(d.lastRequestAt[unit]) {
			d.lastRequestAt[unit] = at
		}
	}
	d.waiting = e.Waiting
}

// idleTime returns the time since the last request for the unit.
func (d *demand) idleTime(now time.Time, unit string) time.Duration {
	if at, requested := d.lastRequestAt[unit]; requested {
		return now.Sub(at)
	}
	return math.MaxInt64
}
