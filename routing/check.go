package routing

import (
	"slices"
	"time"
)

// Check returns the error that Pick would return now, without reserving a slot or trying an
// endpoint that is left out. An endpoint that is only short of a credit is not full.
func (r *Router) Check(req *Request) error {
	view := r.view.Load()
	req.Instances = max(view.Instances, int(r.instances.Load()))
	req.PromptWork = r.prefill.promptWork(req.model(), req.PromptTokens)
	if view.noOpenRegion(req) {
		return ErrNoOpenRegion
	}
	candidates := view.Candidates(req.Unit, req.Pool)
	switch {
	case len(candidates) == 0:
		return noCandidateError(req, view)
	case !slices.ContainsFunc(candidates, func(e *Endpoint) bool { return r.keep(req, e) }):
		return pickError(req, view, candidates)
	}
	return nil
}

// NextReachable returns in how long the first of the endpoints that could serve the request, but to
// which no connection could be opened, is tried again. It reports false if there is none.
func (r *Router) NextReachable(req *Request) (in time.Duration, found bool) {
	view := r.view.Load()
	for _, e := range view.Candidates(req.Unit, req.Pool) {
		if e.Leaving() || e.Replaced() || !(regionFilter{}).Keep(req, e) || !(softwareFilter{}).Keep(req, e) || !(residentFilter{}).Keep(req, e) || !e.Unreachable(req.Now) {
			continue
		}
		left := time.Duration(e.unreachableUntil.Load() - req.Now.UnixNano())
		if !found || left < in {
			in, found = left, true
		}
	}
	return in, found
}
