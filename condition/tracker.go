package condition

import (
	"math"
	"time"
)

// Key identifies an incarnation of an endpoint.
type Key struct {
	Name string
	// StartedAtMS is when it started, in Unix milliseconds of its own clock; 0 if unknown.
	StartedAtMS int64
}

// State is the condition of an endpoint in one word.
type State string

// States of endpoints.
const (
	Usual   State = "usual"
	Slow    State = "slow"
	Fast    State = "fast"
	LeftOut State = "left_out"
)

// Condition is what an instance decides about an endpoint.
type Condition struct {
	// Speed is relative to the middle endpoint of the pool; 1 unless it is clearly another.
	Speed float64
	// LeftOut is set if the endpoint gets no requests but trials.
	LeftOut bool
}

// UsualCondition is the condition of an endpoint of which nothing is known.
var UsualCondition = Condition{Speed: 1}

// endpoint is what a Tracker knows of an endpoint.
type endpoint struct {
	pool string
	// own is this instance's own evidence, told that of other instances, by instance, and total
	// that of all as the coordinator announced it.
	own   evidence
	told  map[string]evidence
	total evidence
	// reported and announced are what was sent last of own and of all.
	reported, announced sentReport
	// entered is the evidence when the endpoint was left out last, settled that when it came
	// back, which no longer counts against it.
	entered, settled evidence
	// fleetNow caches all evidence as of the last decision.
	// against is the part of it that counts against the endpoint.
	fleetNow, against evidence
	speed             float64
	speedState        State
	// before is the state before the current decision.
	before State
	// changedAt is when the state changed last.
	changedAt    time.Time
	leftOut      bool
	leftOutSince time.Time
}

// Tracker judges the endpoints that one instance sends requests to.
type Tracker struct {
	instance  string
	endpoints map[Key]*endpoint
	pools     map[string][]*endpoint
	usual     usualTimes
	// ignoreHints drops what endpoints state of themselves.
	ignoreHints bool
}

// NewTracker returns the tracker of an instance.
func NewTracker(instance string) *Tracker {
	return &Tracker{instance: instance, endpoints: map[Key]*endpoint{}, usual: usualTimes{}}
}

// SetEndpoints sets the endpoints of each pool that may get requests. Others are forgotten. The
// pools in engines hold engines.
func (t *Tracker) SetEndpoints(pools map[string][]Key, engines map[string]bool) {
	next, lists := make(map[Key]*endpoint, len(t.endpoints)), make(map[string][]*endpoint, len(pools))
	for pool, keys := range pools {
		for _, k := range keys {
			e := t.endpoints[k]
			if e == nil {
				e = &endpoint{speed: 1, speedState: Usual}
			}
			e.pool, e.own.engine = pool, engines[pool]
			next[k], lists[pool] = e, append(lists[pool], e)
		}
	}
	t.endpoints, t.pools = next, lists
}

// Result is how an attempt ended.
type Result struct {
	// Failed is set if the endpoint failed: it answered with an error of its own, broke off, or
	// could not be reached. What the caller, the request's own deadline or a refusal ended is no
	// result.
	Failed bool
	// Trial is set if the endpoint was left out.
	Trial bool
}

// Observe records the result of one of the instance's own attempts.
func (t *Tracker) Observe(now time.Time, k Key, r Result) {
	e := t.endpoints[k]
	if e == nil {
		return
	}
	e.own = e.own.decayed(now)
	e.own.attempts++
	if r.Failed {
		e.own.failures++
	}
	switch {
	case r.Trial && r.Failed:
		e.own.bad++
	case r.Trial:
		e.own.good++
	}
}

// ObserveTime records how long one of the instance's own attempts took, relative to what was
// expected of an endpoint at the usual speed.
func (t *Tracker) ObserveTime(now time.Time, k Key, m Measure, took time.Duration) {
	logSpeed, known := t.usual.observe(now, m, took)
	if e := t.endpoints[k]; e != nil && known {
		e.addSpeed(now, logSpeed, 1)
	}
}

// hintWeight is the weight of an endpoint's statement, which changes from one to the next, in
// observations.
const hintWeight = 0.25

// ObserveHint records that an endpoint states that work takes slowdown times the usual there.
func (t *Tracker) ObserveHint(now time.Time, k Key, slowdown float64) {
	if e := t.endpoints[k]; e != nil && slowdown > 0 && !t.ignoreHints {
		e.addSpeed(now, min(max(-math.Log(slowdown), -maxLogSpeed), maxLogSpeed), hintWeight)
	}
}

func (e *endpoint) addSpeed(now time.Time, logSpeed, weight float64) {
	e.own = e.own.decayed(now)
	e.own.speeds += weight
	e.own.logSpeed += weight * logSpeed
}

// others returns the evidence of the other instances, by what they report or, where that is more,
// by the coordinator's total without this instance's part.
func (e *endpoint) others(now time.Time) evidence {
	told := evidence{at: now}
	for from, v := range e.told {
		if v = v.decayed(now); v.size() < minReported {
			delete(e.told, from)
			continue
		}
		told = told.plus(now, v.capped())
	}
	rest := e.total.minus(now, e.reported.capped())
	if rest.size() > told.size() {
		return rest
	}
	return told
}

// fleet returns all evidence, this instance's own included.
func (e *endpoint) fleet(now time.Time) evidence { return e.others(now).plus(now, e.own) }

// Limits of what counts as not usual.
const (
	// minFailures is how many failed attempts leave an endpoint out.
	minFailures = 4.0
	// leftOutShare is the share of failed attempts from which an endpoint is left out, and
	// leftOutRatio how many times that of the rest of its pool it must be.
	leftOutShare = 0.35
	leftOutRatio = 3.0
	// leftOutPart bounds the part of a pool that is left out.
	leftOutPart = 3
	// goodTrials is how many trials in a row bring an endpoint back, less what has decayed of
	// them.
	goodTrials = 2.2
	// trialFailures is the share of failed trials above which it does not come back.
	trialFailures = 0.3
	// goodAttempts is the same for requests that are no trials, from goodAttemptsAfter on:
	// before, others still report what they saw earlier.
	goodAttempts      = 8.0
	goodAttemptsAfter = 4 * time.Second
	// maxUntried is when an endpoint that nobody has tried comes back.
	maxUntried = 10 * time.Second
	// minSpeeds is how many observations show a speed that is not usual.
	minSpeeds = 6.0
	// slowBelow and fastAbove bound the usual speed; slowUntil and fastUntil end the states.
	slowBelow, slowUntil = 0.75, 0.9
	fastAbove, fastUntil = 1 / slowBelow, 1 / slowUntil
	// minSpeed and maxSpeed bound the speed.
	minSpeed, maxSpeed = 0.2, 3.0
)

// unremarkable reports whether nothing about the endpoint needs to be reported; known is what would
// be.
func (e *endpoint) unremarkable(now time.Time, known evidence) bool {
	if e.leftOut || e.speedState != Usual || now.Sub(e.changedAt) < aftermath {
		return false
	}
	own := e.own.decayed(now)
	return known.failures < remarkableFailures && e.fleetNow.decayed(now).failures < remarkableFailures &&
		math.Abs(own.logSpeed) < remarkableLogSpeed*math.Sqrt(max(own.speeds, hintWeight))
}

// remarkableFailures is how many failures are reported: the last one for a half-life.
const remarkableFailures = 0.5

// aftermath is how long after a change of its state an endpoint is still reported, so that the
// others, which know a little less, follow.
const aftermath = 3 * time.Second

// remarkableLogSpeed is the logarithm of a speed that is reported after one observation, although
// the instance alone has seen too little for a decision. Requests vary by about as much.
const remarkableLogSpeed = 0.4

// Condition returns the decision about an endpoint.
func (t *Tracker) Condition(k Key) Condition {
	e := t.endpoints[k]
	if e == nil {
		return UsualCondition
	}
	return Condition{Speed: e.speed, LeftOut: e.leftOut}
}

// Status is what operators see of an endpoint.
type Status struct {
	State State   `json:"state"`
	Speed float64 `json:"speed"`
	// FailureShare is the recent share of failed attempts at all instances that report it,
	// Attempts and Speeds the numbers of observations behind it and behind Speed.
	FailureShare float64 `json:"failure_share"`
	Attempts     float64 `json:"attempts"`
	Speeds       float64 `json:"speeds"`
	// GoodTrials and BadTrials are the recent trials, at all instances that report them.
	GoodTrials float64 `json:"good_trials"`
	BadTrials  float64 `json:"bad_trials"`
}

// Status returns the status of an endpoint; false if it is not listed.
func (t *Tracker) Status(k Key) (Status, bool) {
	e := t.endpoints[k]
	if e == nil {
		return Status{}, false
	}
	return Status{
		State: e.state(), Speed: e.speed, FailureShare: e.fleetNow.failureShare(), Attempts: e.fleetNow.attempts, Speeds: e.fleetNow.speeds,
		GoodTrials: e.fleetNow.good, BadTrials: e.fleetNow.bad,
	}, true
}

func (e *endpoint) state() State {
	if e.leftOut {
		return LeftOut
	}
	return e.speedState
}
