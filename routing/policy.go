package routing

import (
	"cmp"
	"slices"
	"time"
)

// Request describes an attempt to the router.
type Request struct {
	ID   string
	Unit string
	// Model is the unit whose weights run the request; empty means Unit.
	Model string
	Pool  string
	// PromptTokens is the length of the prompt; 0 if unknown.
	PromptTokens int64
	// PromptWork is the estimated time to process the prompt; Pick sets it.
	PromptWork time.Duration
	// ServiceTime is how long endpoints of the pool take for a request on average, 0 if that is not
	// known; Pick sets it.
	ServiceTime time.Duration
	// FirstTokenBy is when the first token is due. EventGapTarget is the longest allowed
	// gap between events. Both are zero if there is no target.
	FirstTokenBy   time.Time
	EventGapTarget time.Duration
	// Late is set if the request can no longer meet its target.
	Late bool
	// Repeatable is set if the request may be repeated after a failure.
	Repeatable bool
	// FailureDomain is that of the instance.
	FailureDomain string
	// Regions are sets of regions; the request may be served only in regions that are in
	// all of them.
	Regions [][]string
	// Continues is set if the request asks for the rest of a stream, SoftwareVersion is the version
	// at which the stream began. Only endpoints of that version may serve the request; none may if
	// it is unknown.
	Continues       bool
	SoftwareVersion string
	// Excluded names the endpoints that earlier attempts have tried.
	Excluded []string
	// Instances is the number of live instances that share the endpoints.
	Instances int
	Now       time.Time
	// Claimant describes the request to a lender of places; Pick sets Wanted once it has asked
	// for a place.
	Claimant Claimant
	Wanted   bool
}

// allows reports whether the request may be served in a region.
func (r *Request) allows(region string) bool {
	for _, allowed := range r.Regions {
		if !slices.Contains(allowed, region) {
			return false
		}
	}
	return true
}

func (r *Request) model() string { return cmp.Or(r.Model, r.Unit) }

// Filter drops endpoints that must not be chosen.
type Filter interface {
	Name() string
	Keep(r *Request, e *Endpoint) bool
}

// Scorer rates an endpoint from 0 (worst) to 1 (best).
type Scorer interface {
	Name() string
	Score(r *Request, e *Endpoint) float64
}

// Scored is an endpoint with its total score.
type Scored struct {
	Endpoint *Endpoint
	Score    float64
}

// Picker chooses one of the candidates, which are never empty. random returns numbers in
// [0,1).
type Picker interface {
	Name() string
	Pick(candidates []Scored, random func() float64) Scored
}

// WeightedScorer is a scorer with its weight in the sum.
type WeightedScorer struct {
	Scorer Scorer
	Weight float64
}

// Policy defines how an endpoint is chosen.
type Policy struct {
	Name    string
	Filters []Filter
	Scorers []WeightedScorer
	Picker  Picker
	// Plain is the policy for plain services if more than PlainAbove instances share their
	// endpoints; nil means this policy.
	Plain      *Policy
	PlainAbove int
}

// forRequest returns the policy for a request.
func (p *Policy) forRequest(r *Request) *Policy {
	if r.Unit == "" && p.Plain != nil && r.Instances > p.PlainAbove {
		return p.Plain
	}
	return p
}
