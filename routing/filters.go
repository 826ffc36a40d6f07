package routing

import "slices"

// liveFilter keeps endpoints that take new work and could be reached lately.
type liveFilter struct{}

func (liveFilter) Name() string { return "live" }
func (liveFilter) Keep(r *Request, e *Endpoint) bool {
	return !e.Leaving() && !e.Replaced() && !e.unreached(r.Now)
}

// regionFilter keeps a request in the regions that it may be served in.
type regionFilter struct{}

func (regionFilter) Name() string                      { return "region" }
func (regionFilter) Keep(r *Request, e *Endpoint) bool { return r.allows(e.Region) }

// holdingFilter keeps endpoints that have not just said that they lack the unit.
type holdingFilter struct{}

func (holdingFilter) Name() string                      { return "holding" }
func (holdingFilter) Keep(r *Request, e *Endpoint) bool { return !e.lacked(r.Unit, r.Now) }

// untriedFilter keeps endpoints that this request has not tried.
type untriedFilter struct{}

func (untriedFilter) Name() string { return "untried" }
func (untriedFilter) Keep(r *Request, e *Endpoint) bool {
	return !slices.Contains(r.Excluded, e.Name)
}

// timelyFilter keeps endpoints that give the first token in time and whose
// streams flow as they should. An endpoint at which nothing is under way is always
// kept: nowhere else would be sooner.
type timelyFilter struct {
	// firstShare is the share of the time left that the first token may be
	// expected to take; gapShare is the share of the longest pause that pauses may
	// take on the mean.
	firstShare, gapShare float64
}

func (timelyFilter) Name() string { return "timely" }
func (f timelyFilter) Keep(r *Request, e *Endpoint) bool {
	if r.Late || e.OwnInFlight()+e.PeerLoad().Running == 0 {
		return true
	}
	if r.EventGapTarget > 0 && float64(e.EventGap(r.Now)) > f.gapShare*float64(r.EventGapTarget) {
		return false
	}
	if r.FirstTokenBy.IsZero() {
		return true
	}
	return float64(e.ExpectedFirstToken(r.PromptWork)) <= f.firstShare*float64(r.FirstTokenBy.Sub(r.Now))
}

// pauseFilter keeps endpoints whose running streams bear one more prompt. An engine
// reads prompts between the tokens of its streams, so that all the prompts ahead make
// one pause in each of them: a burst that an engine could well read within the target
// for the first token makes every stream late that runs there. One prompt is let in
// where none is ahead, however long it is.
type pauseFilter struct {
	// share is the share of the longest pause that the prompts ahead may take; the
	// tokens between the pauses take the rest.
	share float64
}

func (pauseFilter) Name() string { return "pause" }
func (f pauseFilter) Keep(r *Request, e *Endpoint) bool {
	ahead := e.PromptWorkAhead()
	return r.EventGapTarget == 0 || ahead == 0 || float64(ahead+r.PromptWork) <= f.share*float64(r.EventGapTarget)
}

// slotFilter keeps endpoints with a free place, by what all instances tell.
type slotFilter struct {
	// lateShare is the share of the places that requests may fill which cannot be in
	// time: the others are for those that still can.
	lateShare float64
}

func (slotFilter) Name() string { return "slot" }
func (f slotFilter) Keep(r *Request, e *Endpoint) bool {
	places := float64(max(1, e.Concurrency))
	if r.Late {
		places *= f.lateShare
	}
	return float64(e.OwnInFlight()+e.PeerLoad().Running) < places && !e.saidFull(r.Now)
}

// queueFilter keeps endpoints whose queue is short, by what all instances tell: where the
// requests ahead take so many rounds of the endpoint's places at most.
type queueFilter struct{ rounds float64 }

func (queueFilter) Name() string { return "queue" }
func (f queueFilter) Keep(r *Request, e *Endpoint) bool {
	places := float64(max(1, e.Concurrency))
	return float64(e.OwnInFlight()+e.PeerLoad().Running) < f.rounds*places && !e.saidFull(r.Now)
}

// headroomFilter keeps endpoints whose estimated load leaves room. Instances
// that see the same report must not fill that room together, so between two
// reports each takes no more than its share of it, with slack for a balancer
// that spreads callers unevenly.
type headroomFilter struct {
	// fill is the share of Concurrency up to which the estimate may go.
	fill float64
	// slack multiplies an instance's even share of the free room.
	slack float64
}

func (headroomFilter) Name() string { return "headroom" }
func (f headroomFilter) Keep(r *Request, e *Endpoint) bool {
	limit := float64(e.Concurrency) * f.fill
	if float64(e.Estimate()) >= limit {
		return false
	}
	l := e.ReportedLoad()
	room := limit - float64(l.Running+l.Waiting)
	share := max(1, room*f.slack/float64(max(1, r.Instances)))
	return float64(e.OwnInFlight()-l.OwnAtReport) < share
}
