package routing

import (
	"sync/atomic"
	"time"
)

// maxRest bounds the time of rest that an endpoint may ask for.
const maxRest = 10 * time.Minute

// statementState is what the endpoint has said of itself with its answers.
type statementState struct {
	leaving atomic.Bool
	// restUntil is the Unix time in nanoseconds until which the endpoint wants no requests.
	restUntil atomic.Int64
	// brittleBits holds the bits of the number of rejections per second that the endpoint bears,
	// plus 1; 0 if it has not said so.
	brittleBits atomic.Uint64
}

// SetSaidLeaving records that the endpoint has said that it leaves, and reports whether that is
// news. No entry of the platform's list undoes it.
func (e *Endpoint) SetSaidLeaving() (news bool) { return !e.said.leaving.Swap(true) }

// SetRest records that the endpoint wants nothing from this instance for the given time. A rest
// that was asked for earlier is not shortened.
func (e *Endpoint) SetRest(now time.Time, rest time.Duration) {
	until := now.Add(min(rest, maxRest)).UnixNano()
	for {
		known := e.said.restUntil.Load()
		if known >= until || e.said.restUntil.CompareAndSwap(known, until) {
			return
		}
	}
}

// Resting reports whether the endpoint wants nothing from this instance now.
func (e *Endpoint) Resting(now time.Time) bool { return now.UnixNano() < e.said.restUntil.Load() }

// restLeft returns for how long the endpoint still wants nothing.
func (e *Endpoint) restLeft(now time.Time) time.Duration {
	return max(time.Duration(e.said.restUntil.Load()-now.UnixNano()), 0)
}

// AdoptStatements takes over what the same incarnation has said as another Endpoint.
func (e *Endpoint) AdoptStatements(previous *Endpoint) {
	if previous == nil || previous.Incarnation != e.Incarnation {
		return
	}
	e.said.leaving.Store(previous.said.leaving.Load())
	e.said.restUntil.Store(previous.said.restUntil.Load())
	e.said.brittleBits.Store(previous.said.brittleBits.Load())
}

// RestEnds returns in how long the first endpoint that could serve the request takes requests
// again, if all of them have asked for rest. It reports false if one of them takes requests, or, for
// a unit, if it may be loaded at an endpoint that does.
func (r *Router) RestEnds(req *Request) (in time.Duration, found bool) {
	view := r.view.Load()
	candidates := view.Candidates(req.Unit, req.Pool)
	if len(candidates) > 0 && req.Unit != "" {
		candidates = view.Pools[req.Pool]
	}
	for _, e := range candidates {
		if e.Leaving() || e.Replaced() || !(regionFilter{}).Keep(req, e) || !(softwareFilter{}).Keep(req, e) {
			continue
		}
		left := e.restLeft(req.Now)
		if left == 0 {
			return 0, false
		}
		if !found || left < in {
			in, found = left, true
		}
	}
	return in, found
}
