package condition

import (
	"math"
	"time"
)

// Measure is what a time was measured of; times of different measures are not compared.
type Measure struct {
	// Kind names what was timed, Pool the pool of the endpoint, Model what it runs; Model is
	// empty for a plain service.
	Kind, Pool, Model string
	// Crowd is how full the endpoint was, in quarters of its places.
	Crowd int
}

// usualTimes holds the usual time of each measure, over all endpoints, as this instance has
// observed it.
type usualTimes map[Measure]*usualTime

// usualTime is a decaying mean of logarithms.
type usualTime struct {
	at             time.Time
	weight, logSum float64
}

const (
	// usualHalfLife is long against the phases in which single endpoints are slow.
	usualHalfLife = 30 * time.Second
	// minUsual is how many times must be known before one is compared with them.
	minUsual = 8
	// modelPrior is how many times of the pool count in the usual time of one of its models: a
	// model that few endpoints hold is not compared with these endpoints alone.
	modelPrior = 20
)

func (u usualTimes) entry(m Measure) *usualTime {
	known := u[m]
	if known == nil {
		known = &usualTime{}
		u[m] = known
	}
	return known
}

func (u *usualTime) add(now time.Time, logTime float64) {
	if !u.at.IsZero() {
		d := decay(max(now.Sub(u.at), 0), usualHalfLife)
		u.weight, u.logSum = u.weight*d, u.logSum*d
	}
	u.at = now
	u.weight++
	u.logSum += logTime
}

// observe returns the logarithm of the speed that a time shows, and adds the time to what is
// usual. It returns false if too little is known to compare it with.
func (u usualTimes) observe(now time.Time, m Measure, took time.Duration) (logSpeed float64, known bool) {
	logTime := math.Log(max(took, time.Microsecond).Seconds())
	pool := u.entry(Measure{Kind: m.Kind, Pool: m.Pool, Crowd: m.Crowd})
	usual, known := 0.0, pool.weight >= minUsual
	if known {
		usual = pool.logSum / pool.weight
	}
	pool.add(now, logTime)
	if m.Model != "" {
		model := u.entry(m)
		if known {
			usual = (model.logSum + modelPrior*usual) / (model.weight + modelPrior)
		}
		model.add(now, logTime)
	}
	return min(max(usual-logTime, -maxLogSpeed), maxLogSpeed), known
}

// forget removes measures that have not been observed for long.
func (u usualTimes) forget(now time.Time) {
	for m, known := range u {
		if now.Sub(known.at) > 4*usualHalfLife {
			delete(u, m)
		}
	}
}
