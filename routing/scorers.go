package routing

// reportedScorer rates by the last report alone.
type reportedScorer struct{}

func (reportedScorer) Name() string { return "reported" }
func (reportedScorer) Score(_ *Request, e *Endpoint) float64 {
	l := e.Reported()
	return room(int64(l.Running+l.Waiting), e.Concurrency)
}

// estimateScorer rates by the report corrected by the instance's own attempts.
type estimateScorer struct{}

func (estimateScorer) Name() string { return "estimate" }
func (estimateScorer) Score(_ *Request, e *Endpoint) float64 {
	return room(e.Estimate(), e.Concurrency)
}

func room(load int64, concurrency int) float64 {
	return 1 / (1 + float64(load)/float64(max(1, concurrency)))
}

// domainScorer prefers the instance's own failure domain.
type domainScorer struct{}

func (domainScorer) Name() string { return "domain" }
func (domainScorer) Score(r *Request, e *Endpoint) float64 {
	if r.FailureDomain == e.FailureDomain {
		return 1
	}
	return 0
}
