package permit

import "time"

// An endpoint is cold for a while behind its start, and bears few requests then. That is kept
// like a limit that the endpoint names, but for how it ends: by time, at each instance by what
// that instance knows, as one that knows less must not end it for all. What the endpoint gets
// then grows in steps: all instances would send it what waits at the same moment.
const (
	// coldReserve is for how much longer an endpoint counts as cold than it says: what it
	// says is as old as its way here.
	coldReserve = 300 * time.Millisecond
	// coldHeard is for how long the ask of another instance makes an endpoint cold here.
	coldHeard = time.Second
	// warmSteps is in how many steps an endpoint that is no longer cold gets more, warmStep
	// how long each lasts, and warmGrowth how many times as much it brings.
	warmSteps  = 2
	warmStep   = 500 * time.Millisecond
	warmGrowth = 2
)

// RecordCold records that an endpoint stays cold for so long, in which it takes so many requests a
// second from all instances together, and reports whether it was not cold before.
func (l *Limiter) RecordCold(now time.Time, e LimitKey, perSecond float64, remaining time.Duration) (news bool) {
	if l == nil || perSecond <= 0 || remaining <= 0 {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.coldUntil(now, e, perSecond, now.Add(remaining+coldReserve))
}

// coldUntil records that an endpoint is cold until a moment at least.
func (l *Limiter) coldUntil(now time.Time, e LimitKey, perSecond float64, until time.Time) (news bool) {
	e.Cold = true
	news = l.said(now, now, e, perSecond, false)
	known := l.limits[e]
	if known == nil {
		// There is no room for more.
		return false
	}
	if until.After(known.coldUntil) {
		known.coldUntil = until
	}
	if known.coldUntil.After(now) {
		known.warmed = 0
	}
	return news
}

// hearCold takes the word of another instance on a cold endpoint. It never ends anything.
func (l *Limiter) hearCold(now time.Time, e LimitKey, w LimitReport) (news bool) {
	if w.Ended || w.PerSecond <= 0 {
		return false
	}
	if known := l.limits[e]; known != nil && !known.ended {
		// By the own list it is as cold as it is.
		known.touchedAt = now
		return false
	}
	return l.coldUntil(now, e, w.PerSecond, now.Add(coldHeard))
}

// AdvanceWarmUp lets endpoints that are no longer cold get more, and returns those that have become
// warm.
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
		k.warmed = int(now.Sub(k.coldUntil)/warmStep) + 1
		if k.warmed > warmSteps && l.said(now, now, e, 0, true) {
			warm = append(warm, e)
		}
	}
	return warm
}

// warmth is how many times as much as a cold endpoint one gets that is warming up.
func (k *limit) warmth() int {
	times := 1
	for range k.warmed {
		times *= warmGrowth
	}
	return times
}
