package permit

import "time"

// An endpoint is cold for a while after its start, and can process few requests then. Its cold
// limit is kept like a limit that the endpoint reports, except for its end: it ends by time,
// at each instance by what that instance knows, because an instance that knows less must not
// end it for all. What the endpoint gets then grows in steps, because otherwise all instances
// would send it their waiting requests at the same moment.
const (
	// coldMargin is added to the cold time that an endpoint reports, which is outdated by the
	// time that the report takes to arrive.
	coldMargin = 300 * time.Millisecond
	// coldByRequest is how long a permit request of another instance makes an endpoint cold here.
	coldByRequest = time.Second
	// warmUpSteps is the number of steps in which an endpoint that is no longer cold gets more,
	// warmUpStepTime the length of a step, and warmUpGrowth the factor by which each multiplies
	// the rate.
	warmUpSteps    = 2
	warmUpStepTime = 500 * time.Millisecond
	warmUpGrowth   = 2
)

// RecordCold records that an endpoint stays cold for the remaining time, in which it accepts
// perSecond requests a second from all instances together, and reports whether it was not
// cold before.
func (l *Limiter) RecordCold(now time.Time, e LimitKey, perSecond float64, remaining time.Duration) (changed bool) {
	if l == nil || perSecond <= 0 || remaining <= 0 {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.recordCold(now, e, perSecond, now.Add(remaining+coldMargin))
}

// recordCold records that an endpoint is cold at least until a time.
func (l *Limiter) recordCold(now time.Time, e LimitKey, perSecond float64, until time.Time) (changed bool) {
	e.Cold = true
	changed = l.record(now, now, e, perSecond, false)
	known := l.limits[e]
	if known == nil {
		// The table of limits is full.
		return false
	}
	if until.After(known.coldUntil) {
		known.coldUntil = until
	}
	if known.coldUntil.After(now) {
		known.warmUpStep = 0
	}
	return changed
}

// receiveCold applies a report of another instance on a cold endpoint. It never ends a cold
// limit.
func (l *Limiter) receiveCold(now time.Time, e LimitKey, r LimitReport) (changed bool) {
	if r.Ended || r.PerSecond <= 0 {
		return false
	}
	if known := l.limits[e]; known != nil && !known.ended {
		// The cold limit is known here already and ends by what this instance knows: the report
		// does not extend it.
		known.touchedAt = now
		return false
	}
	return l.recordCold(now, e, r.PerSecond, now.Add(coldByRequest))
}

// AdvanceWarmUp raises the rates of endpoints that are no longer cold, and returns those that
// have become warm.
func (l *Limiter) AdvanceWarmUp(now time.Time) (warm []LimitKey) {
	if !l.AnyLimit() {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for e, k := range l.limits {
		if !e.Cold || k.ended || now.Before(k.coldUntil) {
			continue
		}
		k.warmUpStep = int(now.Sub(k.coldUntil)/warmUpStepTime) + 1
		if k.warmUpStep > warmUpSteps && l.record(now, now, e, 0, true) {
			warm = append(warm, e)
		}
	}
	return warm
}

// warmUpFactor returns the factor by which the rate of the endpoint exceeds its cold rate.
func (k *limit) warmUpFactor() int {
	factor := 1
	for range k.warmUpStep {
		factor *= warmUpGrowth
	}
	return factor
}
