package counted

import (
	"math"
	"slices"
	"time"
)

const (
	// placesFallTime is the time in which the places of a unit whose requests have ended
	// fall to about a third.
	placesFallTime = 1500 * time.Millisecond
	// placesPerWorkTime is the time constant of the learned places per token per second.
	placesPerWorkTime = 5 * time.Second
	// minPlacesUsed is the fraction of all places from which they count as scarce, and
	// amplePlacesUsed the one below which they count as ample again.
	minPlacesUsed   = 0.35
	amplePlacesUsed = 0.25
	// minTotalPlaces is the minimum of all needed places for computing shares: a few
	// requests say little about future demand.
	minTotalPlaces = 8
	// maxPlacesLoadTime is the longest load, in the middle of the models, at which placement
	// by places pays: the places that are held now say little about those of later.
	maxPlacesLoadTime = 5 * time.Second
)

// placeDemand estimates the places that each unit's requests need at endpoints. An estimate
// rises at once and falls slowly.
type placeDemand struct {
	need map[string]float64
	// running is the number of requests at endpoints, by unit.
	running map[string]int
	// perWork is the learned number of places per token per second by unit, meanPerWork that
	// of all units; 0 if unknown.
	perWork     map[string]float64
	meanPerWork float64
	updatedAt   time.Time
	// scarce is set while a large part of all places is needed.
	scarce bool
}

func newPlaceDemand() placeDemand { return placeDemand{perWork: map[string]float64{}} }

// capacity is what the live endpoints of a cell can do.
type capacity struct {
	endpoints, places int
	// replicaDemand is the demand on a replica, in tokens per second, from which another one is
	// worth a load.
	replicaDemand float64
}

// observe updates the estimates.
func (d *placeDemand) observe(now time.Time, e DemandReport, all capacity) {
	if e.Running == nil {
		*d = newPlaceDemand()
		return
	}
	elapsed := now.Sub(d.updatedAt).Seconds()
	d.updatedAt, d.running = now, e.Running
	d.learnPerWork(elapsed, e, all)
	kept := math.Exp(-elapsed / placesFallTime.Seconds())
	need := make(map[string]float64, len(e.Rate))
	for unit, n := range d.need {
		if n *= kept; n >= minNeed {
			need[unit] = n
		}
	}
	for unit, rate := range e.Rate {
		n := max(float64(e.Running[unit]+e.Waiting[unit]), d.expected(unit, rate))
		if n >= minNeed {
			need[unit] = max(need[unit], n)
		}
	}
	d.need = need
	d.updateScarce(all.places)
}

// runningAt returns the number of requests for a model and its adapters at endpoints.
func (d *placeDemand) runningAt(model string, adapters []string) float64 {
	n := d.running[model]
	for _, a := range adapters {
		n += d.running[a]
	}
	return float64(n)
}

// minNeed is the least estimate that is kept, in places.
const minNeed = 0.05

// learnPerWork updates the places per token per second of each unit whose requests mostly
// run, and of all such units together, where they are as many as would be worth a replica, and
// one at each endpoint.
func (d *placeDemand) learnPerWork(elapsed float64, e DemandReport, all capacity) {
	kept := math.Exp(-elapsed / placesPerWorkTime.Seconds())
	running, rate := 0, 0.0
	for _, unit := range sortedNames(e.Rate) {
		r, n := e.Rate[unit], e.Running[unit]
		if r < all.replicaDemand || n < learningRatio*e.Waiting[unit] {
			continue
		}
		running += n
		rate += r
		d.perWork[unit] = average(d.perWork[unit], float64(n)/r, kept)
	}
	if rate >= all.replicaDemand*float64(all.endpoints) {
		d.meanPerWork = average(d.meanPerWork, float64(running)/rate, kept)
	}
}

// learningRatio is the least ratio of running to waiting requests at which a unit's places per token
// are learned.
const learningRatio = 4

// average adds a sample to a moving average of which the fraction kept remains; an average of
// 0 is one without samples.
func average(old, sample, kept float64) float64 {
	if old == 0 {
		return sample
	}
	return old*kept + sample*(1-kept)
}

// expected returns the places that requests of a rate hold once they all run.
func (d *placeDemand) expected(unit string, rate float64) float64 {
	if perWork, learned := d.perWork[unit]; learned {
		return rate * perWork
	}
	return rate * d.meanPerWork
}

// updateScarce updates whether places are scarce.
func (d *placeDemand) updateScarce(total int) {
	sum := 0.0
	for _, unit := range sortedNames(d.need) {
		sum += d.need[unit]
	}
	switch used := sum / float64(max(total, 1)); {
	case used >= minPlacesUsed:
		d.scarce = true
	case used < amplePlacesUsed:
		d.scarce = false
	}
}

// LoadsAreFast reports whether the models of a cell load fast enough for placement by places.
func LoadsAreFast(models []Unit) bool {
	times := make([]time.Duration, 0, len(models))
	for _, u := range models {
		if u.Base == "" && u.StoreLoadTime > 0 {
			times = append(times, u.StoreLoadTime)
		}
	}
	if len(times) == 0 {
		return false
	}
	slices.Sort(times)
	return times[len(times)/2] <= maxPlacesLoadTime
}

// capacity returns what the live endpoints can do.
func (c *Controller) capacity() capacity {
	live := 0
	for _, e := range c.sortedEndpoints {
		if !e.excluded() {
			live++
		}
	}
	return capacity{endpoints: live, places: live * c.settings.Concurrency, replicaDemand: c.replicaDemand()}
}

// replicaDemand returns the demand on a replica, in tokens per second, from which another one is
// worth a load: with thousands of endpoints a single request is many times an endpoint's even share
// of all demand.
func (c *Controller) replicaDemand() float64 { return minKVTurnover * float64(c.settings.KVTokens) }

// placesCount reports whether demand is measured in places.
func (c *Controller) placesCount() bool {
	return c.cfg.ByPlaces && c.placeDemand.scarce && c.fastLoads && c.settings.Concurrency > 0
}
