package routing

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"github.com/eiderspring/eiderspring/credit"
	"github.com/eiderspring/eiderspring/issuing"
)

// Lending makes a router send requests to contended endpoints only with a credit.
type Lending struct {
	Lender *credit.Lender
	// InstancesAbove is the largest number of instances among which no places are lent.
	InstancesAbove int
	Now            func() time.Time

	// times holds how long the endpoints of each pool take for requests.
	times *serviceTimes
}

// SetLending makes the router use credits. It must be called before the first Pick.
func (r *Router) SetLending(l Lending) {
	l.times = &r.serviceTimes
	r.lending = l
}

// Claimant describes to a lender a request that waits.
type Claimant struct {
	// Number identifies the request among those of the process; 0 if it asks for no credit.
	Number uint64
	// Account is the hash of the client account, 0 for none; Weight is the account's weight in
	// hundredths.
	Account  uint32
	Weight   int64
	Priority int
	// Since is when the request began to wait, StartBy when starting it becomes pointless.
	Since, StartBy time.Time
	// MeetBy is the latest start at which it is expected to meet its target; zero if unknown.
	MeetBy time.Time
	// ReturnBy is until when a return is of use to the caller, should it be refused.
	ReturnBy time.Time
}

// late reports whether the request can no longer meet its target, as far as is known.
func (c Claimant) late(now time.Time) bool { return !c.MeetBy.IsZero() && now.After(c.MeetBy) }

// maxWantedEndpoints bounds the endpoints that are asked for a place for one request. Two leave
// a choice where one endpoint is slow; more would make the asks longer than what they decide.
const maxWantedEndpoints = 3

// enabled reports whether places are lent among the given number of instances.
func (l Lending) enabled(instances int) bool {
	return l.Lender != nil && l.InstancesAbove > 0 && instances > l.InstancesAbove
}

// covers reports whether the endpoint's places are lent while it is contended: an even part of
// them is less than one place for each instance.
func (l Lending) covers(req *Request, e *Endpoint) bool {
	return l.enabled(req.Instances) && e.Concurrency < req.Instances && l.times.lent(req.Now, e.Pool)
}

// LendsPlaces reports whether places of a pool's endpoints are lent while they are contended. The
// endpoints of a pool are alike.
func (r *Router) LendsPlaces(now time.Time, pool string) bool {
	view := r.view.Load()
	endpoints, instances := view.Pools[pool], r.instanceCount(view)
	return r.lending.enabled(instances) && len(endpoints) > 0 && endpoints[0].Concurrency < instances && r.serviceTimes.lent(now, pool)
}

// decides reports whether a credit decides about the endpoint, instead of what is known of the
// other instances' requests there.
func (l Lending) decides(req *Request, e *Endpoint) bool {
	return l.covers(req, e) && l.Lender.Decides(req.Now, e.CreditKey())
}

// ready reports whether a request may be sent to the endpoint as far as credits are concerned.
func (l Lending) ready(req *Request, e *Endpoint) bool {
	return !l.covers(req, e) || l.Lender.Ready(req.Now, e.CreditKey())
}

// take uses a credit for a request if the endpoint's places are lent. It returns false if none
// is held.
func (l Lending) take(req *Request, e *Endpoint) (taken, ok bool) {
	if !l.covers(req, e) {
		return false, true
	}
	taken = l.Lender.Take(req.Now, e.CreditKey(), req.Claimant.Account)
	return taken, taken
}

// preference rates an endpoint for one request that waits: by its score, of which up to a half is
// left to chance. All instances have nearly the same scores, and would together ask for places of
// the same few endpoints, whose prompts would then follow one another. The chance is the same
// each time that the request asks.
func preference(number uint64, s Scored) float64 {
	const steps = 1 << 32
	chance := float64(issuing.Weight(s.Endpoint.Name, strconv.FormatUint(number, 10))%steps) / steps
	return s.Score * (1 + chance) / 2
}

// want asks for a place for the request at the best of the endpoints that it could be sent to.
func (l Lending) want(req *Request, candidates []Scored) {
	if req.Claimant.Number == 0 || len(candidates) == 0 {
		return
	}
	c := req.Claimant
	slices.SortStableFunc(candidates, func(a, b Scored) int { return cmp.Compare(preference(c.Number, b), preference(c.Number, a)) })
	w := credit.Want{
		ID: c.Number, Account: c.Account, Weight: c.Weight, Priority: int64(c.Priority), Late: req.Late || c.late(req.Now),
		AgeMS: max(req.Now.Sub(c.Since), 0).Milliseconds(), PatienceMS: max(c.StartBy.Sub(req.Now), 0).Milliseconds(),
		// 0 would stand for a part of the patience.
		ReturnMS: max(c.ReturnBy.Sub(req.Now).Milliseconds(), 1),
	}
	for _, s := range candidates[:min(len(candidates), maxWantedEndpoints)] {
		l.Lender.RecordWant(req.Now, s.Endpoint.CreditKey(), w)
	}
	req.Wanted = true
}

// RecordWant asks for a place for a request that waits behind others, as Pick does for one that
// is first.
func (r *Router) RecordWant(req *Request) {
	view := r.prepare(req)
	if !r.lending.enabled(req.Instances) {
		return
	}
	candidates := view.Candidates(req.Unit, req.Pool)
	_, wanted := r.splitByCredit(req, r.filter(req, candidates).usable(req, candidates))
	r.lending.want(req, wanted)
}

// Withdraw ends what a request that waits no longer has asked for.
func (r *Router) Withdraw(req *Request) {
	if req.Wanted {
		r.lending.Lender.Withdraw(req.Claimant.Number)
	}
}

// RecordRejection records that the endpoint has rejected an attempt for lack of places.
func (r *Router) RecordRejection(now time.Time, d *Decision) {
	d.rejected = true
	d.Endpoint.markFullFor(now, r.fullPause(d.Endpoint))
	if d.Lent {
		r.lending.Lender.RecordRejection(now, d.Endpoint.CreditKey())
	}
}

// releasePlace returns the place that an attempt had.
func (r *Router) releasePlace(d *Decision) {
	if d.Lent {
		r.lending.Lender.Release(r.lending.Now(), d.Endpoint.CreditKey(), d.account)
	}
}

// RecordServed records that the endpoint has served an attempt.
func (r *Router) RecordServed(now time.Time, d *Decision) {
	d.Endpoint.RecordSuccess()
	d.Endpoint.answeredAt.Store(now.UnixNano())
	if r.lending.Lender != nil {
		r.serviceTimes.observe(d.Endpoint.Pool, now.Sub(d.At))
	}
}

// CreditKey returns the key under which the places of this incarnation of the endpoint are lent.
func (e *Endpoint) CreditKey() credit.Key {
	return credit.Key{Name: e.Name, StartedAtMS: e.StartedAtMS}
}

// Running returns the number of requests of all instances that are known to run at an endpoint,
// and how many it runs at once; 0 of both if the endpoint is not known.
func (r *Router) Running(k credit.Key) (running, places int64) {
	e := r.View().ByName[k.Name]
	if e == nil || e.StartedAtMS != k.StartedAtMS {
		return 0, 0
	}
	return e.OwnInFlight() + e.PeerLoad().Running, int64(e.Concurrency)
}

// MayQueue reports whether an endpoint may be sent more requests than it runs at once, so that its places
// are not idle between two. An engine may not: in its batch each request more slows all others. A brittle
// endpoint may not, as it bears few rejections.
func (r *Router) MayQueue(k credit.Key) bool {
	e := r.View().ByName[k.Name]
	if e == nil || e.StartedAtMS != k.StartedAtMS || e.Engine {
		return false
	}
	_, brittle := e.Brittle()
	return !brittle
}

// sumFilter is a filter that counts the requests of all instances at an endpoint. Where a credit
// decides, only what the endpoint itself has said lately counts.
type sumFilter interface {
	Filter
	keepLent(r *Request, e *Endpoint) bool
}

func (f slotFilter) keepLent(r *Request, e *Endpoint) bool  { return !e.full(r.Now) }
func (f queueFilter) keepLent(r *Request, e *Endpoint) bool { return !e.full(r.Now) }
