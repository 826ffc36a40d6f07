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
	// ErrNoEndpointLeft means that all endpoints that hold the unit were tried or are
	// leaving.
	ErrNoEndpointLeft = errors.New("no endpoint is left to try")
	// ErrNoOpenRegion means that every endpoint is evacuated or in a region that may not
	// serve the request.
	ErrNoOpenRegion = errors.New("no endpoint may get the request")
	// ErrNoSoftwareVersion means that no endpoint that is left to try holds the unit and has the
	// software version at which the stream began, or that this version is unknown.
	ErrNoSoftwareVersion = errors.New("no endpoint of the stream's software version is left")
	// ErrNoCapacity means that the endpoints that hold the unit are full.
	ErrNoCapacity = errors.New("no endpoint has room")
)

// Decision is the chosen endpoint with the values that led to the choice.
type Decision struct {
	Endpoint *Endpoint
	Policy   string
	Score    float64
	// Candidates is how many endpoints held the unit; Eligible is how many of them passed
	// the filters.
	Candidates, Eligible int
	// PromptWork is the work reserved for the prompt. ExpectedFirstToken is the expected
	// time from At to the first token.
	PromptWork, ExpectedFirstToken time.Duration
	// Late is set if the request could no longer meet its target.
	Late bool
	At   time.Time
	// Estimate is the estimated load of the endpoint.
	Estimate int64
	// Lent is set if the attempt counts against the places that are lent of the endpoint.
	Lent bool
	// rejected is set if the endpoint had no place for the attempt.
	rejected bool
	// account is the client account that the place was taken for.
	account uint32
	// Speed is the endpoint's speed that was assumed, Trial is set if the endpoint was left
	// out and is tried, Crowd is how full it was.
	Speed float64
	Trial bool
	Crowd int
	// model is the model whose prefill estimate the attempt updates.
	model string
}

// Router chooses endpoints and counts this instance's attempts in flight at each.
type Router struct {
	policy  Policy
	random  func() float64
	view    atomic.Pointer[View]
	prefill prefillEstimator
	// instances is the number of instances that share the endpoints, used if the view does
	// not give it.
	instances atomic.Int64
	// permits enforces the rate limits that endpoints announce; nil if none does.
	permits *permit.Limiter
	// lending lends the places of contended endpoints; the zero value lends none.
	lending Lending
	// serviceTimes holds how long endpoints whose places are lent take for requests.
	serviceTimes serviceTimes
}

// SetPermits makes the router enforce the rate limits that endpoints announce. It must be
// called before the first Pick.
func (r *Router) SetPermits(p *permit.Limiter) { r.permits = p }

// SetInstances sets the number of instances that share the endpoints, used if the view
// does not give it.
func (r *Router) SetInstances(n int) { r.instances.Store(int64(n)) }

// NewRouter returns a router with an empty view. random returns numbers in [0,1) and must
// be safe for concurrent use.
func NewRouter(p Policy, random func() float64) *Router {
	r := &Router{policy: p, random: random}
	r.view.Store(&View{})
	return r
}

// SetView replaces the view.
func (r *Router) SetView(v *View) { r.view.Store(v) }

// View returns the current view.
func (r *Router) View() *View { return r.view.Load() }

// Concurrency returns how many requests an endpoint runs at once; 0 if it is unknown.
func (r *Router) Concurrency(endpoint string) int {
	if e := r.View().ByName[endpoint]; e != nil {
		return e.Concurrency
	}
	return 0
}

// instanceCount returns the number of instances that share the endpoints.
func (r *Router) instanceCount(v *View) int { return max(v.Instances, int(r.instances.Load())) }

// prepare completes a request by what is known now, and returns the view that applies to it.
func (r *Router) prepare(req *Request) *View {
	view := r.view.Load()
	req.Instances = r.instanceCount(view)
	req.ServiceTime = r.serviceTimes.mean(req.Now, req.Pool)
	req.PromptWork = r.prefill.promptWork(req.model(), req.PromptTokens)
	return view
}

// Pick chooses an endpoint and reserves a slot at it; Release releases the slot.
func (r *Router) Pick(req *Request) (Decision, error) {
	view := r.prepare(req)
	if view.noOpenRegion(req) {
		return Decision{}, ErrNoOpenRegion
	}
	candidates := view.Candidates(req.Unit, req.Pool)
	if len(candidates) == 0 {
		return Decision{}, noCandidateError(req, view)
	}
	passed := r.filter(req, candidates)
	ready, wanted := r.splitByCredit(req, passed.usable(req, candidates))
	chosen, lent, found := r.try(req, passed.trial)
	if !found {
		chosen, lent, found = r.choose(req, ready)
	}
	if !found {
		r.lending.want(req, wanted)
		return Decision{}, pickError(req, view, candidates)
	}
	d := Decision{
		Endpoint: chosen.Endpoint, Policy: r.policy.Name, Score: chosen.Score,
		Candidates: len(candidates), Eligible: len(ready), Estimate: chosen.Endpoint.Estimate(),
	}
	d.ExpectedFirstToken, d.PromptWork, d.At, d.model = chosen.Endpoint.ExpectedFirstToken(req.PromptWork), req.PromptWork, req.Now, req.model()
	d.Late, d.Lent, d.account = req.Late, lent, req.Claimant.Account
	d.Speed, d.Trial, d.Crowd = chosen.Endpoint.Speed(), chosen.Endpoint.LeftOut(), chosen.Endpoint.Crowd()
	if chosen.Endpoint.ownInFlight.Add(1) == 1 {
		chosen.Endpoint.answeredAt.Store(req.Now.UnixNano())
	}
	chosen.Endpoint.ownPromptWork.Add(int64(req.PromptWork))
	return d, nil
}

// try makes the request the trial of an endpoint that is left out, if there is one. It is a single
// request in a time slot of the fleet, and needs no place that is lent: it shows whether there are any.
func (r *Router) try(req *Request, trial *Scored) (chosen Scored, lent, found bool) {
	if trial == nil || !trial.Endpoint.takeTrial(req) {
		return Scored{}, false, false
	}
	return *trial, false, r.takePermits(req, trial.Endpoint)
}

// choose picks one of the endpoints, if any can be taken. It takes a permit if the endpoint announces a limit, and a
// place if its places are lent.
func (r *Router) choose(req *Request, scored []Scored) (chosen Scored, lent, found bool) {
	left := scored
	for len(left) > 0 {
		chosen = r.policy.forRequest(req).Picker.Pick(left, r.random)
		if lent, taken := r.take(req, chosen.Endpoint); taken {
			return chosen, lent, true
		}
		// Another request has taken the available permit or credit.
		left = slices.DeleteFunc(slices.Clone(left), func(s Scored) bool { return s.Endpoint == chosen.Endpoint })
	}
	return Scored{}, false, false
}

// take takes what the endpoint requires for one more request. lent reports whether that includes
// a place that is lent.
func (r *Router) take(req *Request, e *Endpoint) (lent, taken bool) {
	lent, taken = r.lending.take(req, e)
	if !taken {
		return false, false
	}
	if r.takePermits(req, e) {
		return lent, true
	}
	if lent {
		r.lending.Lender.Release(req.Now, e.CreditKey(), req.Claimant.Account)
	}
	return false, false
}

// takePermits takes the permits that the endpoint's limits require for one more request.
func (r *Router) takePermits(req *Request, e *Endpoint) bool {
	return r.permits.Take(req.Now, e.ColdPermitKey()) && r.permits.Take(req.Now, e.PermitKey())
}

// RateLimit returns how many requests a second are accepted in total by the endpoints that
// could serve the request, if all of them announce limits. It returns false if one of them
// does not, or if the unit can be loaded next to its model at an endpoint that does not.
func (r *Router) RateLimit(req *Request) (perSecond float64, limited bool) {
	if !r.permits.AnyLimit() {
		return 0, false
	}
	view := r.view.Load()
	perSecond, limited = r.sumRates(req, view.Candidates(req.Unit, req.Pool))
	if limited && req.model() != req.Unit {
		_, limited = r.sumRates(req, view.Replicas[req.model()])
	}
	return perSecond, limited
}

// sumRates adds up the limits of the endpoints that take requests.
func (r *Router) sumRates(req *Request, candidates []*Endpoint) (perSecond float64, limited bool) {
	for _, e := range candidates {
		if !(liveFilter{}).Keep(req, e) || !(regionFilter{}).Keep(req, e) || !(softwareFilter{}).Keep(req, e) {
			continue
		}
		rate, hasLimit := r.endpointRate(e)
		if !hasLimit {
			return 0, false
		}
		perSecond += rate
		limited = true
	}
	return perSecond, limited
}

// ReleasePrompt releases the reserved prompt work once the prompt has been processed and
// the answer has begun.
func (d *Decision) ReleasePrompt() {
	d.Endpoint.ownPromptWork.Add(-int64(d.PromptWork))
	d.PromptWork = 0
}

// ObserveFirstToken updates the prefill estimate with the time at which the first token of
// an attempt arrived. A late attempt is ignored, as it was queued after others at the
// endpoint.
func (r *Router) ObserveFirstToken(d *Decision, now time.Time) {
	if d.Late {
		return
	}
	r.prefill.observe(d.model, d.ExpectedFirstToken, now.Sub(d.At))
}

// FirstTokenRatio returns the time to the first token of an attempt relative to that expected of
// an endpoint at the usual speed.
func (d *Decision) FirstTokenRatio(took time.Duration) float64 {
	usual := float64(d.ExpectedFirstToken-firstTokenOverhead) * d.Speed
	return float64(max(took-firstTokenOverhead, 0)+firstTokenOverhead) / (max(usual, 0) + float64(firstTokenOverhead))
}

// Release releases what Pick reserved.
func (r *Router) Release(d *Decision) {
	d.ReleasePrompt()
	d.Endpoint.ownInFlight.Add(-1)
	if !d.rejected {
		r.serviceTimes.countEnded(d.Endpoint.Pool)
	}
	r.releasePlace(d)
}

// splitByCredit returns the endpoints that may get the request now, and those that may get it with a
// credit that is not held.
func (r *Router) splitByCredit(req *Request, usable []Scored) (ready, wanted []Scored) {
	if !r.lending.enabled(req.Instances) {
		return usable, nil
	}
	for _, s := range usable {
		if !r.lending.ready(req, s.Endpoint) {
			wanted = append(wanted, s)
			continue
		}
		ready = append(ready, s)
	}
	return ready, wanted
}

// filter rates the candidates that pass all filters.
func (r *Router) filter(req *Request, candidates []*Endpoint) *eligible {
	passed := &eligible{healthy: make([]Scored, 0, len(candidates))}
	for _, e := range candidates {
		if !r.keep(req, e) {
			continue
		}
		s := Scored{Endpoint: e}
		for _, w := range r.policy.forRequest(req).Scorers {
			s.Score += w.Weight * w.Scorer.Score(req, e)
		}
		passed.add(req, s)
	}
	return passed
}

func (r *Router) keep(req *Request, e *Endpoint) bool {
	lent := r.lending.decides(req, e)
	for _, f := range r.policy.forRequest(req).Filters {
		keep := f.Keep
		if sums, bySums := f.(sumFilter); lent && bySums {
			keep = sums.keepLent
		}
		if !keep(req, e) {
			return false
		}
	}
	return r.permitted(req, e)
}

// endpointRate returns how many requests a second an endpoint accepts; false if it has no
// limit.
func (r *Router) endpointRate(e *Endpoint) (perSecond float64, limited bool) {
	announced, limited := r.permits.Rate(e.PermitKey())
	cold, isCold := r.permits.Rate(e.ColdPermitKey())
	switch {
	case !isCold:
		return announced, limited
	case !limited:
		return cold, true
	default:
		return min(announced, cold), true
	}
}

// permitted reports whether an otherwise eligible endpoint accepts one more request under
// the limit that it announces for all instances together. If not, it records demand for a
// permit.
func (r *Router) permitted(req *Request, e *Endpoint) bool {
	if !r.permits.AnyLimit() {
		return true
	}
	return r.hasPermit(req, e.ColdPermitKey()) && r.hasPermit(req, e.PermitKey())
}

// hasPermit reports whether a permit is available, and records demand for one if not.
func (r *Router) hasPermit(req *Request, e permit.LimitKey) bool {
	if r.permits.Ready(req.Now, e) {
		return true
	}
	r.permits.RecordDemand(req.Now, e)
	return false
}

// pickError tells apart why no candidate was eligible: no capacity, no endpoint left to
// try, or no replica. If all candidates are leaving or turned out not to hold the unit, no
// endpoint effectively holds it until it is loaded elsewhere.
func pickError(req *Request, view *View, candidates []*Endpoint) error {
	held := false
	for _, e := range candidates {
		if !admissible(req, e) {
			continue
		}
		held = true
		if (untriedFilter{}).Keep(req, e) {
			return ErrNoCapacity
		}
	}
	if !held && len(req.Excluded) == 0 {
		return noCandidateError(req, view)
	}
	if req.Continues && !view.onlyVersion(req) {
		return ErrNoSoftwareVersion
	}
	return ErrNoEndpointLeft
}

// noCandidateError tells why no endpoint at all may get the request. A unit can be loaded elsewhere;
// for the rest of a stream that counts only if each endpoint has the stream's software version, as
// placement does not go by versions.
func noCandidateError(req *Request, view *View) error {
	if req.Continues && !view.onlyVersion(req) {
		return ErrNoSoftwareVersion
	}
	return ErrNoReplica
}
