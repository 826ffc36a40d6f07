package routing

import (
	"math"
	"sync/atomic"
	"time"
)

// Condition is how well an endpoint serves, as the instances have observed together.
type Condition struct {
	// Speed is relative to the usual of the pool; 1 unless it is clearly another.
	Speed float64
	// LeftOut is set if the endpoint gets no requests but trials, as it fails far more often
	// than the rest of its pool.
	LeftOut bool
}

// conditionState is the condition of an endpoint as routing reads it.
type conditionState struct {
	// speedBits holds the bits of Condition.Speed; 0 means 1.
	speedBits atomic.Uint64
	leftOut   atomic.Bool
	// trialUntil is the Unix time in nanoseconds until which one request may be sent there
	// although the endpoint is left out; 0 for none.
	trialUntil atomic.Int64
}

// SetCondition sets the condition of the endpoint.
func (e *Endpoint) SetCondition(c Condition) {
	e.condition.speedBits.Store(math.Float64bits(c.Speed))
	e.condition.leftOut.Store(c.LeftOut)
	if !c.LeftOut {
		e.condition.trialUntil.Store(0)
	}
}

// Speed returns the speed of the endpoint relative to the usual of its pool.
func (e *Endpoint) Speed() float64 {
	if bits := e.condition.speedBits.Load(); bits != 0 {
		return math.Float64frombits(bits)
	}
	return 1
}

// LeftOut reports whether the endpoint gets no requests but trials.
func (e *Endpoint) LeftOut() bool { return e.condition.leftOut.Load() }

// AllowTrial lets one request go to the endpoint until the given time although it is left out.
func (e *Endpoint) AllowTrial(until time.Time) { e.condition.trialUntil.Store(until.UnixNano()) }

// anyTrialTime is the part of a trial's time, at its end, in which a request that cannot be
// repeated may be the trial, because none that can has come.
const anyTrialTime = 100 * time.Millisecond

// mayTry reports whether a request may be the trial that AllowTrial allowed.
func (e *Endpoint) mayTry(r *Request) bool {
	left := time.Duration(e.condition.trialUntil.Load() - r.Now.UnixNano())
	return left > 0 && (r.Repeatable || left <= anyTrialTime)
}

// takeTrial makes a request the trial, unless another one has become it.
func (e *Endpoint) takeTrial(r *Request) bool {
	until := e.condition.trialUntil.Load()
	return e.mayTry(r) && e.condition.trialUntil.CompareAndSwap(until, 0)
}

// atSpeed returns how long the endpoint takes for what takes an endpoint at the usual speed the
// given time.
func (e *Endpoint) atSpeed(usual time.Duration) time.Duration {
	speed := e.Speed()
	if speed == 1 {
		return usual
	}
	return time.Duration(float64(usual) / speed)
}

// Crowd returns how full the endpoint is, in quarters of its slots up to four, counting the
// requests of all instances.
func (e *Endpoint) Crowd() int {
	const quarters = 4
	return int(min(quarters*(e.OwnInFlight()+e.PeerLoad().Running)/int64(max(1, e.Concurrency)), quarters))
}

// eligible sorts eligible endpoints by whether they are to be used.
type eligible struct {
	healthy, ejected, leftOut []Scored
	// trial is one of leftOut that the request may try.
	trial *Scored
}

// add takes an eligible endpoint.
func (l *eligible) add(r *Request, s Scored) {
	switch {
	case s.Endpoint.LeftOut():
		if l.trial == nil && s.Endpoint.mayTry(r) {
			l.trial = &s
		}
		l.leftOut = append(l.leftOut, s)
	case s.Endpoint.Ejected(r.Now):
		l.ejected = append(l.ejected, s)
	default:
		l.healthy = append(l.healthy, s)
	}
}

// usable returns the endpoints to choose from without a trial. Those that failed recently are used only if no
// other is eligible, so ejection never makes a unit unreachable. Those that are left out are used
// only if no other is left to try: a full endpoint is worth waiting for, one that fails is not
// worth going to instead.
func (l *eligible) usable(r *Request, candidates []*Endpoint) []Scored {
	switch {
	case len(l.healthy) > 0:
		return l.healthy
	case len(l.ejected) > 0:
		return l.ejected
	case len(l.leftOut) > 0 && !anyServes(r, candidates):
		return l.leftOut
	default:
		return nil
	}
}

// anyServes reports whether a candidate that is not left out may serve the request once it has
// room.
func anyServes(r *Request, candidates []*Endpoint) bool {
	for _, e := range candidates {
		if !e.LeftOut() && admissible(r, e) && (untriedFilter{}).Keep(r, e) {
			return true
		}
	}
	return false
}

// MarkWithheld records that the endpoint withholds a unit that it holds until the given time: it
// rejects requests for it although it has room.
func (e *Endpoint) MarkWithheld(unit string, until time.Time) {
	e.withheldUntil.Store(unit, until.UnixNano())
}

// withheld reports whether the endpoint withholds the unit.
func (e *Endpoint) withheld(unit string, now time.Time) bool {
	until, found := e.withheldUntil.Load(unit)
	return found && now.UnixNano() < until.(int64)
}
