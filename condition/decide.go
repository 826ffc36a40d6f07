package condition

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

// Change is a change of an endpoint's state.
type Change struct {
	Key
	Pool     string
	From, To State
	// LeftOutFor is for how long the endpoint was left out, if it comes back.
	LeftOutFor time.Duration
	Status
}

// Decide judges all endpoints anew and returns what has changed.
func (t *Tracker) Decide(now time.Time) []Change {
	t.usual.forget(now)
	for _, e := range t.endpoints {
		e.before = e.state()
		e.weigh(now)
	}
	for _, pool := range slices.Sorted(maps.Keys(t.pools)) {
		decideSpeeds(t.pools[pool])
		decideLeftOut(now, t.pools[pool])
	}
	return t.changes(now)
}

// weigh takes all evidence on the endpoint together.
func (e *endpoint) weigh(now time.Time) {
	if e.own.size() == 0 && len(e.told) == 0 && e.total.size() == 0 {
		e.fleetNow = evidence{at: now}
		return
	}
	e.own, e.total = e.own.decayed(now), e.total.decayed(now)
	e.fleetNow = e.fleet(now)
}

func (t *Tracker) changes(now time.Time) []Change {
	var changes []Change
	for k, e := range t.endpoints {
		if e.state() == e.before {
			continue
		}
		e.changedAt = now
		status, _ := t.Status(k)
		change := Change{Key: k, Pool: e.pool, From: e.before, To: e.state(), Status: status}
		if e.before == LeftOut {
			change.LeftOutFor = now.Sub(e.leftOutSince)
		}
		changes = append(changes, change)
	}
	slices.SortFunc(changes, func(a, b Change) int { return cmp.Compare(a.Name, b.Name) })
	return changes
}

// decideSpeeds sets the speeds of a pool's endpoints relative to the middle one.
func decideSpeeds(pool []*endpoint) {
	logs := make([]float64, len(pool))
	known := false
	for i, e := range pool {
		logs[i] = e.fleetNow.meanLogSpeed()
		known = known || e.fleetNow.speeds >= minSpeeds || e.speedState != Usual
	}
	if !known {
		return
	}
	slices.Sort(logs)
	middle := (logs[(len(logs)-1)/2] + logs[len(logs)/2]) / 2
	for _, e := range pool {
		speed := math.Exp(e.fleetNow.meanLogSpeed() - middle)
		e.speedState = nextSpeedState(e.speedState, speed, e.fleetNow.speeds)
		e.speed = 1
		if e.speedState != Usual {
			e.speed = min(max(speed, minSpeed), maxSpeed)
		}
	}
}

// nextSpeedState returns the state of an endpoint with the given relative speed and number of
// observations.
func nextSpeedState(state State, speed, speeds float64) State {
	switch {
	case speeds >= minSpeeds && speed < slowBelow:
		return Slow
	case speeds >= minSpeeds && speed > fastAbove:
		return Fast
	case state == Slow && speed < slowUntil, state == Fast && speed > fastUntil:
		return state
	default:
		return Usual
	}
}

// decideLeftOut decides which of a pool's endpoints get no requests.
func decideLeftOut(now time.Time, pool []*endpoint) {
	var out, in []*endpoint
	var rest evidence
	for _, e := range pool {
		if e.leftOut && e.recovered(now) {
			e.bringBack()
		}
		if e.leftOut {
			out = append(out, e)
			continue
		}
		e.against = e.fleetNow.minus(now, e.settled)
		rest.attempts, rest.failures = rest.attempts+e.against.attempts, rest.failures+e.against.failures
		if e.against.failures >= minFailures {
			in = append(in, e)
		}
	}
	room := len(pool) / leftOutPart
	slices.SortStableFunc(in, func(a, b *endpoint) int { return cmp.Compare(b.against.failureShare(), a.against.failureShare()) })
	for _, e := range in {
		others := evidence{attempts: rest.attempts - e.against.attempts, failures: rest.failures - e.against.failures}
		if len(out) >= room || !e.fails(others) {
			break
		}
		e.leaveOut(now)
		out, rest = append(out, e), others
	}
	// The rest fails as well, or the pool has shrunk.
	for len(out) > 0 && (len(out) > room || restShare(rest) >= leftOutShare) {
		out[len(out)-1].bringBack()
		out = out[:len(out)-1]
	}
}

// fails reports whether an endpoint fails far more often than the rest of its pool.
func (e *endpoint) fails(rest evidence) bool {
	share := e.against.failureShare()
	return share >= leftOutShare && share >= leftOutRatio*restShare(rest)
}

// restShare returns the share of failed attempts over several endpoints. One attempt that
// succeeded is assumed, so that the first failure does not count as all.
func restShare(rest evidence) float64 { return rest.failures / (rest.attempts + 1) }

// recovered reports whether the endpoint serves again, by trials or by requests of instances that
// have brought it back already.
func (e *endpoint) recovered(now time.Time) bool {
	since := e.fleetNow.minus(now, e.entered)
	tried := since.trials()
	if tried < minReported && now.Sub(e.leftOutSince) >= maxUntried {
		return true
	}
	if now.Sub(e.leftOutSince) >= goodAttemptsAfter && since.attempts >= goodAttempts && since.failureShare() <= trialFailures {
		return true
	}
	return since.good >= goodTrials && since.bad <= trialFailures*tried
}

// leaveOut begins that an endpoint gets no requests but trials.
func (e *endpoint) leaveOut(now time.Time) {
	e.leftOut, e.leftOutSince, e.entered = true, now, e.fleetNow
}

// bringBack ends that an endpoint is left out. What it was left out for counts no more.
func (e *endpoint) bringBack() {
	e.leftOut = false
	e.settled = e.fleetNow
}
