package routing

import (
	"errors"
	"slices"
	"sync/atomic"
	"time"

	"github.com/eiderspring/eiderspring/permit"
)

// Errors of Router.Pick.
var (
	// ErrNoReplica means that no endpoint holds the unit.
	ErrNoReplica = errors.New("no endpoint holds the unit")
	// ErrNoEndpointLeft means that every endpoint that holds the unit was tried, or
	// those that were not are leaving.
	ErrNoEndpointLeft = errors.New("no endpoint is left to try")
	// ErrNoOpenRegion means that all endpoints are evacuated, or in regions that the request may
	// not be served in.
	ErrNoOpenRegion = errors.New("no endpoint may get the request")
	// ErrNoCapacity means that the endpoints that hold the unit are full.
	ErrNoCapacity = errors.New("no endpoint has room")
)

// Decision is a choice with the numbers that led to it.
type Decision struct {
	Endpoint *Endpoint
	Policy   string
	Score    float64
	// Candidates is how many endpoints held the unit, Eligible how many of
	// them passed the filters.
	Candidates, Eligible int
	// PromptWork is what was reserved for the prompt, ExpectedFirstToken how long the first token
	// was expected to take from At on.
	PromptWork, ExpectedFirstToken time.Duration
	// Late is set if the request could not be in time.
	Late bool
	At   time.Time
	// Estimate is the load that the endpoint was taken to have.
	Estimate int64
	// model is whose pace the attempt teaches.
	model string
}

// Router chooses endpoints and counts what is under way at each.
type Router struct {
	policy Policy
	random func() float64
	view   atomic.Pointer[View]
	paces  paces
	// instances is how many share the endpoints, where the view does not tell.
	instances atomic.Int64
	// permits keeps the limits that endpoints name; nil where none does.
	permits *permit.Limiter
}

// SetPermits makes the router keep the limits that endpoints name. It is called before the
// first Pick.
func (r *Router) SetPermits(p *permit.Limiter) { r.permits = p }

// SetInstances says how many instances share the endpoints, where the view does not tell.
func (r *Router) SetInstances(n int) { r.instances.Store(int64(n)) }

// NewRouter returns a router with an empty view. random returns numbers in
// [0,1) and must be safe for concurrent use.
func NewRouter(p Policy, random func() float64) *Router {
	r := &Router{policy: p, random: random}
	r.view.Store(&View{})
	return r
}

// SetView replaces the view.
func (r *Router) SetView(v *View) { r.view.Store(v) }

// View returns the view in force.
func (r *Router) View() *View { return r.view.Load() }

// Concurrency is how many requests an endpoint runs at once; 0 if it is not listed.
func (r *Router) Concurrency(endpoint string) int {
	if e := r.View().ByName[endpoint]; e != nil {
		return e.Concurrency
	}
	return 0
}

// Pick chooses an endpoint and reserves a place at it; Release gives it back.
func (r *Router) Pick(req *Request) (Decision, error) {
	view := r.view.Load()
	req.Instances = max(view.Instances, int(r.instances.Load()))
	req.PromptWork = r.paces.work(req.model(), req.PromptTokens)
	if view.closed(req) {
		return Decision{}, ErrNoOpenRegion
	}
	candidates := view.Candidates(req.Unit, req.Pool)
	if len(candidates) == 0 {
		return Decision{}, ErrNoReplica
	}
	scored := r.score(req, candidates)
	chosen, found := r.choose(req, scored)
	if !found {
		return Decision{}, whyNone(req, candidates)
	}
	d := Decision{
		Endpoint: chosen.Endpoint, Policy: r.policy.Name, Score: chosen.Score,
		Candidates: len(candidates), Eligible: len(scored), Estimate: chosen.Endpoint.Estimate(),
	}
	d.ExpectedFirstToken, d.PromptWork, d.At, d.model = chosen.Endpoint.ExpectedFirstToken(req.PromptWork), req.PromptWork, req.Now, req.model()
	d.Late = req.Late
	chosen.Endpoint.own.Add(1)
	chosen.Endpoint.ownPrompt.Add(int64(req.PromptWork))
	return d, nil
}

// choose picks one of the endpoints, with a permit if it names a limit.
func (r *Router) choose(req *Request, scored []Scored) (chosen Scored, found bool) {
	for len(scored) > 0 {
		chosen = r.policy.of(req).Picker.Pick(scored, r.random)
		if r.permits.Take(req.Now, chosen.Endpoint.ColdPermitKey()) && r.permits.Take(req.Now, chosen.Endpoint.PermitKey()) {
			return chosen, true
		}
		// Another request has taken the permit that was there.
		scored = slices.DeleteFunc(scored, func(s Scored) bool { return s.Endpoint == chosen.Endpoint })
	}
	return Scored{}, false
}

// RateLimit returns how many requests a second the endpoints take that could serve the
// request, where all of them name limits; false if one does not, or if the unit can be
// loaded beside its model at one that does not.
func (r *Router) RateLimit(req *Request) (perSecond float64, limited bool) {
	if !r.permits.AnyLimit() {
		return 0, false
	}
	view := r.view.Load()
	perSecond, limited = r.limitedTo(req, view.Candidates(req.Unit, req.Pool))
	if limited && req.model() != req.Unit {
		_, limited = r.limitedTo(req, view.Replicas[req.model()])
	}
	return perSecond, limited
}

// limitedTo sums up the limits of endpoints that take requests.
func (r *Router) limitedTo(req *Request, candidates []*Endpoint) (perSecond float64, limited bool) {
	for _, e := range candidates {
		if !(liveFilter{}).Keep(req, e) || !(regionFilter{}).Keep(req, e) {
			continue
		}
		rate, named := r.rateOf(e)
		if !named {
			return 0, false
		}
		perSecond += rate
		limited = true
	}
	return perSecond, limited
}

// ReleasePrompt tells that the prompt of an attempt has been read: its answer has
// begun.
func (d *Decision) ReleasePrompt() {
	d.Endpoint.ownPrompt.Add(-int64(d.PromptWork))
	d.PromptWork = 0
}

// ObserveFirstToken takes the time at which the first token of an attempt has come. One that was
// late went behind others at the endpoint, so it says nothing.
func (r *Router) ObserveFirstToken(d *Decision, now time.Time) {
	if d.Late {
		return
	}
	r.paces.learn(d.model, d.ExpectedFirstToken, now.Sub(d.At))
}

// Release gives back what Pick reserved.
func (r *Router) Release(d *Decision) {
	d.ReleasePrompt()
	d.Endpoint.own.Add(-1)
}

// score filters and rates. Endpoints that failed lately are used only if
// nothing else is left, so ejection never makes a unit unreachable.
func (r *Router) score(req *Request, candidates []*Endpoint) []Scored {
	healthy := make([]Scored, 0, len(candidates))
	var ejected []Scored
	for _, e := range candidates {
		if !r.keep(req, e) {
			continue
		}
		s := Scored{Endpoint: e}
		for _, w := range r.policy.of(req).Scorers {
			s.Score += w.Weight * w.Scorer.Score(req, e)
		}
		if e.Ejected(req.Now) {
			ejected = append(ejected, s)
			continue
		}
		healthy = append(healthy, s)
	}
	if len(healthy) == 0 {
		return ejected
	}
	return healthy
}

func (r *Router) keep(req *Request, e *Endpoint) bool {
	for _, f := range r.policy.of(req).Filters {
		if !f.Keep(req, e) {
			return false
		}
	}
	return r.permitted(req, e)
}

// rateOf is how many requests a second an endpoint takes; false if nothing bounds them.
func (r *Router) rateOf(e *Endpoint) (perSecond float64, limited bool) {
	named, limited := r.permits.Rate(e.PermitKey())
	cold, isCold := r.permits.Rate(e.ColdPermitKey())
	switch {
	case !isCold:
		return named, limited
	case !limited:
		return cold, true
	default:
		return min(named, cold), true
	}
}

// permitted tells whether an endpoint that would do takes one more request by the limit
// that it names for all instances together, and wants a permit if it does not.
func (r *Router) permitted(req *Request, e *Endpoint) bool {
	if !r.permits.AnyLimit() {
		return true
	}
	return r.permitOf(req, e.ColdPermitKey()) && r.permitOf(req, e.PermitKey())
}

// permitOf tells whether there is a permit, and wants one if there is none.
func (r *Router) permitOf(req *Request, e permit.LimitKey) bool {
	if r.permits.Ready(req.Now, e) {
		return true
	}
	r.permits.RecordDemand(req.Now, e)
	return false
}

// whyNone tells a full unit from one with no endpoint left to try, and from one
// whose endpoints all leave or turn out not to hold it: that one is as good as
// held by nobody, until it is loaded elsewhere.
func whyNone(req *Request, candidates []*Endpoint) error {
	held := false
	for _, e := range candidates {
		if !(liveFilter{}).Keep(req, e) || !(regionFilter{}).Keep(req, e) || !(holdingFilter{}).Keep(req, e) {
			continue
		}
		held = true
		if (untriedFilter{}).Keep(req, e) {
			return ErrNoCapacity
		}
	}
	if !held && len(req.Excluded) == 0 {
		return ErrNoReplica
	}
	return ErrNoEndpointLeft
}
