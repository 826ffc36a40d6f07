package routing

import (
	"math"
	"time"
)

// SetBrittle records how many rejections per second the endpoint says that it bears; brittle is
// false if it says nothing of the kind. It reports whether that is news.
func (e *Endpoint) SetBrittle(brittle bool, perSecond float64) (news bool) {
	bits := uint64(0)
	if brittle {
		bits = math.Float64bits(max(perSecond, 0) + 1)
	}
	return e.said.brittleBits.Swap(bits) != bits
}

// Brittle returns how many rejections per second the endpoint says that it bears; false if it says
// nothing of the kind.
func (e *Endpoint) Brittle() (perSecond float64, brittle bool) {
	bits := e.said.brittleBits.Load()
	if bits == 0 {
		return 0, false
	}
	return math.Float64frombits(bits) - 1, true
}

const (
	// brittleShare is the part of the rejections that a brittle endpoint bears that all instances
	// together cause on average, so that rarely more than it bears come in one second.
	brittleShare = 0.1
	// maxBrittlePause bounds for how long an instance avoids a brittle endpoint that has rejected
	// one of its requests.
	maxBrittlePause = time.Minute
)

// fullPause returns for how long an endpoint is not selected after it has rejected a request for lack
// of capacity. If it is brittle, the instances leave so much time between two rejections each that all
// together keep to brittleShare, at random, as they may have been rejected at the same moment.
func (r *Router) fullPause(e *Endpoint) time.Duration {
	perSecond, brittle := e.Brittle()
	if !brittle {
		return fullTime
	}
	instances := float64(max(r.instanceCount(r.view.Load()), 1))
	mean := instances / max(brittleShare*perSecond, 1/maxBrittlePause.Seconds())
	seconds := min(mean, maxBrittlePause.Seconds()) * (0.5 + r.random())
	return max(time.Duration(seconds*float64(time.Second)), fullTime)
}
