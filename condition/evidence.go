package condition

import (
	"math"
	"time"
)

// Half-lives of evidence.
const (
	// failureHalfLife is short, as a failing endpoint costs a request for each attempt.
	failureHalfLife = time.Second
	// speedHalfLife is below the phases of seconds in which endpoints are slow.
	// engineSpeedHalfLife is longer: each of many engines gets a few requests a second, and most
	// of the differences between their speeds last.
	speedHalfLife       = time.Second
	engineSpeedHalfLife = 3 * time.Second
	// goodHalfLife lets several good trials in a row count together; badHalfLife is shorter, so
	// that an endpoint that has failed for long need not be tried for as long.
	goodHalfLife = 4 * time.Second
	badHalfLife  = 1500 * time.Millisecond
)

// evidence is what is known of an endpoint, as counts that decay.
type evidence struct {
	at time.Time
	// attempts counts ended attempts, failures those of them that failed.
	attempts, failures float64
	// speeds counts observations of speed, logSpeed is the sum of their logarithms.
	speeds, logSpeed float64
	// good and bad count the trials that succeeded and failed.
	good, bad float64
	// engine is set for an engine.
	engine bool
}

// decayed returns the evidence as it counts at now.
func (e evidence) decayed(now time.Time) evidence {
	age := now.Sub(e.at)
	if e.at.IsZero() || age <= 0 || e.size() == 0 {
		e.at = now
		return e
	}
	failure, speed := decay(age, failureHalfLife), decay(age, e.speedHalfLife())
	d := evidence{
		at: now, attempts: e.attempts * failure, failures: e.failures * failure,
		speeds: e.speeds * speed, logSpeed: e.logSpeed * speed, good: e.good * decay(age, goodHalfLife), bad: e.bad * decay(age, badHalfLife),
		engine: e.engine,
	}
	if d.size() < negligible {
		return evidence{at: now, engine: e.engine}
	}
	return d
}

// negligible is the evidence, in observations, that counts as none: of most endpoints of a large
// fleet an instance has none.
const negligible = 0.01

func (e evidence) speedHalfLife() time.Duration {
	if e.engine {
		return engineSpeedHalfLife
	}
	return speedHalfLife
}

func decay(age, halfLife time.Duration) float64 {
	return math.Exp2(-age.Seconds() / halfLife.Seconds())
}

// plus returns the sum of two bodies of evidence at now.
func (e evidence) plus(now time.Time, o evidence) evidence { return e.combine(now, o, 1) }

// minus returns e without o, and no count below zero.
func (e evidence) minus(now time.Time, o evidence) evidence {
	if o.size() == 0 {
		return e.decayed(now)
	}
	r := e.combine(now, o, -1)
	r.attempts, r.failures = max(r.attempts, 0), max(r.failures, 0)
	r.good, r.bad = max(r.good, 0), max(r.bad, 0)
	if r.speeds <= 0 {
		r.speeds, r.logSpeed = 0, 0
	}
	return r
}

func (e evidence) combine(now time.Time, o evidence, sign float64) evidence {
	if o.size() == 0 {
		return e.decayed(now)
	}
	e, o = e.decayed(now), o.decayed(now)
	return evidence{
		at: now, attempts: e.attempts + sign*o.attempts, failures: e.failures + sign*o.failures,
		speeds: e.speeds + sign*o.speeds, logSpeed: e.logSpeed + sign*o.logSpeed,
		good: e.good + sign*o.good, bad: e.bad + sign*o.bad,
		engine: e.engine || o.engine,
	}
}

// trials returns the number of trials.
func (e evidence) trials() float64 { return e.good + e.bad }

// size returns how much evidence there is, in observations.
func (e evidence) size() float64 { return e.attempts + e.speeds + e.good + e.bad }

// failureShare returns the share of attempts that failed; 0 without attempts.
func (e evidence) failureShare() float64 {
	if e.attempts == 0 {
		return 0
	}
	return e.failures / e.attempts
}

// speedPrior is how many observations at the usual speed are assumed.
const speedPrior = 4.0

// meanLogSpeed returns the logarithm of the speed, nearer to the usual the less is known.
func (e evidence) meanLogSpeed() float64 { return e.logSpeed / (e.speeds + speedPrior) }

// capped returns the evidence of one reporter, of which no more than reporterCap failures count:
// an instance that is cut off from an endpoint must not leave it out for all others.
func (e evidence) capped() evidence {
	if e.failures > reporterCap {
		share := reporterCap / e.failures
		e.attempts, e.failures = e.attempts*share, e.failures*share
	}
	return e
}

// reporterCap is below half of minFailures, so that at least three instances agree.
const reporterCap = 1.5
