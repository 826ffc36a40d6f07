package counted

import (
	"math"
	"time"
)

// demand follows how much work is asked of each unit. It rises at once and
// falls slowly, as a replica too many costs less than one too few.
type demand struct {
	rate map[string]float64
	// lasting is the mean rate over lastingTime.
	lasting map[string]float64
	waiting map[string]int
	// askedAt is when each unit was last asked for.
	askedAt map[string]time.Time
	at      time.Time
	// since is when anything was first asked for.
	since time.Time
}

// warmTime is how long demand must have been seen before replicas give way to
// it: where units lie at first says more than a few requests.
const warmTime = 2500 * time.Millisecond

// warm tells whether demand has been seen for long enough.
func (d *demand) warm(now time.Time) bool { return !d.since.IsZero() && now.Sub(d.since) >= warmTime }

// lastingTime is the time over which the lasting demand is averaged.
const lastingTime = 3 * time.Second

// lastingTotal is the lasting demand for all units.
func (d *demand) lastingTotal() float64 {
	total := 0.0
	for _, rate := range d.lasting {
		total += rate
	}
	return total
}

// fallTime is the time in which a demand that has ended falls to a third.
const fallTime = 4 * time.Second

func newDemand() demand {
	return demand{rate: map[string]float64{}, lasting: map[string]float64{}, waiting: map[string]int{}, askedAt: map[string]time.Time{}}
}

func (d *demand) observe(now time.Time, e DemandReport) {
	elapsed := now.Sub(d.at).Seconds()
	d.average(math.Exp(-elapsed/lastingTime.Seconds()), e.Rate)
	kept := math.Exp(-elapsed / fallTime.Seconds())
	d.at = now
	for unit, rate := range d.rate {
		if rate *= kept; rate < 1 {
			delete(d.rate, unit)
			continue
		}
		d.rate[unit] = rate
	}
	if d.since.IsZero() && len(e.Rate) > 0 {
		d.since = now
	}
	for unit, rate := range e.Rate {
		d.rate[unit] = max(d.rate[unit], rate)
	}
	for unit, at := range e.LastRequestAt {
		if at.After(d.askedAt[unit]) {
			d.askedAt[unit] = at
		}
	}
	d.waiting = e.Waiting
}

// average takes the rates into the lasting demand, of which a share is kept.
func (d *demand) average(kept float64, rates map[string]float64) {
	for unit, rate := range d.lasting {
		if rate *= kept; rate < 1 {
			delete(d.lasting, unit)
			continue
		}
		d.lasting[unit] = rate
	}
	for unit, rate := range rates {
		d.lasting[unit] += rate * (1 - kept)
	}
}

// idle is how long ago the unit was last asked for.
func (d *demand) idle(now time.Time, unit string) time.Duration {
	if at, asked := d.askedAt[unit]; asked {
		return now.Sub(at)
	}
	return math.MaxInt64
}
