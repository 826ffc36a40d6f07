package routing

import "slices"

// liveFilter keeps endpoints that take new work, have not asked for rest and were reachable recently.
type liveFilter struct{}

func (liveFilter) Name() string { return "live" }
func (liveFilter) Keep(r *Request, e *Endpoint) bool {
	return !e.Leaving() && !e.Replaced() && !e.Unreachable(r.Now) && !e.Resting(r.Now)
}

// regionFilter keeps endpoints in the regions that may serve the request.
type regionFilter struct{}

func (regionFilter) Name() string                      { return "region" }
func (regionFilter) Keep(r *Request, e *Endpoint) bool { return r.allows(e.Region) }

// softwareFilter keeps endpoints whose software can continue the request's stream.
type softwareFilter struct{}

func (softwareFilter) Name() string { return "software" }
func (softwareFilter) Keep(r *Request, e *Endpoint) bool {
	return !r.Continues || r.SoftwareVersion != "" && e.SoftwareVersion == r.SoftwareVersion
}

// admissible reports whether the request may go to the endpoint at all, whatever it has room for
// and whether the request has tried it.
func admissible(r *Request, e *Endpoint) bool {
	return (liveFilter{}).Keep(r, e) && (regionFilter{}).Keep(r, e) && (softwareFilter{}).Keep(r, e) && (residentFilter{}).Keep(r, e)
}

// residentFilter drops endpoints that recently reported that they do not hold the unit, or that
// withhold it.
type residentFilter struct{}

func (residentFilter) Name() string { return "holding" }
func (residentFilter) Keep(r *Request, e *Endpoint) bool {
	return !e.notResident(r.Unit, r.Now) && !e.withheld(r.Unit, r.Now)
}

// untriedFilter keeps endpoints that this request has not tried.
type untriedFilter struct{}

func (untriedFilter) Name() string { return "untried" }
func (untriedFilter) Keep(r *Request, e *Endpoint) bool {
	return !slices.Contains(r.Excluded, e.Name)
}

// timelyFilter keeps endpoints that are expected to give the first token in time and whose
// streams meet the target between events. An endpoint with nothing in flight is always
// kept, because no other one would be sooner.
type timelyFilter struct {
	// firstTokenShare is the share of the remaining time that the first token may be
	// expected to take. gapShare is the share of the longest allowed gap that the mean gap
	// may take.
	firstTokenShare, gapShare float64
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
	return float64(e.ExpectedFirstToken(r.PromptWork)) <= f.firstTokenShare*float64(r.FirstTokenBy.Sub(r.Now))
}

// pauseFilter keeps endpoints whose running streams tolerate one more prompt. An engine
// processes prompts between the tokens of its streams, so all prompts ahead together cause
// one pause in each stream: a burst that an engine could process within the target for the
// first token still delays every stream that runs there. Where no prompt is ahead, one is
// admitted regardless of its length.
type pauseFilter struct {
	// share is the share of the longest allowed gap that the prompts ahead may take; the
	// rest is for the tokens between the pauses.
	share float64
}

func (pauseFilter) Name() string { return "pause" }
func (f pauseFilter) Keep(r *Request, e *Endpoint) bool {
	ahead := e.PromptWorkAhead()
	return r.EventGapTarget == 0 || ahead == 0 || float64(e.atSpeed(ahead+r.PromptWork)) <= f.share*float64(r.EventGapTarget)
}

// slotFilter keeps endpoints with a free slot, counting the requests of all instances.
type slotFilter struct{}

func (slotFilter) Name() string { return "slot" }
func (slotFilter) Keep(r *Request, e *Endpoint) bool {
	return e.OwnInFlight()+e.PeerLoad().Running < int64(max(1, e.Concurrency)) && !e.full(r.Now)
}

// queueFilter keeps endpoints with a short queue, counting the requests of all instances:
// those whose running and queued requests are fewer than rounds times their concurrency. At a brittle
// endpoint none may queue, and none counts as served before that is announced.
type queueFilter struct{ rounds float64 }

func (queueFilter) Name() string { return "queue" }
func (f queueFilter) Keep(r *Request, e *Endpoint) bool {
	slots := float64(max(1, e.Concurrency))
	if e.full(r.Now) {
		return false
	}
	if _, brittle := e.Brittle(); brittle {
		return float64(e.OwnInFlight()+e.PeerLoad().Running) < slots
	}
	return float64(e.OwnInFlight()+e.othersNow(r.Now, r.ServiceTime)) < f.rounds*slots
}

// headroomFilter keeps endpoints whose estimated load leaves capacity. Instances that see
// the same report must not use up that capacity together, so between two reports each
// takes at most its share of it. The share includes some slack for a load balancer that
// distributes callers unevenly.
type headroomFilter struct {
	// fill is the share of Concurrency up to which the estimate may go.
	fill float64
	// slack multiplies an instance's even share of the free capacity.
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
