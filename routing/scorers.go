package routing

import "time"

// reportedScorer rates by the last load report alone.
type reportedScorer struct{}

func (reportedScorer) Name() string { return "reported" }
func (reportedScorer) Score(_ *Request, e *Endpoint) float64 {
	l := e.ReportedLoad()
	return room(int64(l.Running+l.Waiting), e.Concurrency)
}

// estimateScorer rates by the load report corrected by the instance's own attempts.
type estimateScorer struct{}

func (estimateScorer) Name() string { return "estimate" }
func (estimateScorer) Score(_ *Request, e *Endpoint) float64 {
	return room(e.Estimate(), e.Concurrency)
}

func room(load int64, concurrency int) float64 {
	return 1 / (1 + float64(load)/float64(max(1, concurrency)))
}

// inFlightScorer rates by the requests that all instances have in flight at the endpoint, and by
// its speed: picked in proportion to the score, an endpoint at half the usual speed gets half as
// many requests.
type inFlightScorer struct{}

func (inFlightScorer) Name() string { return "told" }
func (inFlightScorer) Score(_ *Request, e *Endpoint) float64 {
	return e.Speed() * room(e.OwnInFlight()+e.PeerLoad().Running, e.Concurrency)
}

// soonestScorer prefers the endpoint with the shortest expected time to the first token.
type soonestScorer struct{}

func (soonestScorer) Name() string { return "soonest" }
func (soonestScorer) Score(r *Request, e *Endpoint) float64 {
	return 1 / (1 + float64(e.ExpectedFirstToken(r.PromptWork)+e.EventGap(r.Now))/float64(soonestScale))
}

// soonestScale is the time at which the score has fallen to one half.
const soonestScale = 200 * time.Millisecond

// domainScorer prefers the instance's own failure domain.
type domainScorer struct{}

func (domainScorer) Name() string { return "domain" }
func (domainScorer) Score(r *Request, e *Endpoint) float64 {
	if r.FailureDomain == e.FailureDomain {
		return 1
	}
	return 0
}
