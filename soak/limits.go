package soak

import (
	"slices"
	"time"

	"github.com/eiderspring/eiderspring/platform/fake"
)

const (
	// limitWindow is the sliding window in which the requests at an endpoint with a limit
	// are counted.
	limitWindow = 4 * time.Second
	// In limitWindow, undisturbed instances may send limitFactor times the requests that
	// the limit allows, plus limitSlack requests.
	limitFactor = 1.5
	limitSlack  = 5
)

// checkLimits checks that endpoints that announce a limit receive no more requests than it
// allows, starting propagationTime after the first run behind the announcement: a limit is
// announced with answers, and an endpoint that is paused gives none.
func (c *checker) checkLimits(results []Result, records []Record) {
	if c.rules.LimitWindow == 0 {
		return
	}
	sent := make(map[string]Result, len(results))
	for _, res := range results {
		sent[res.Attempt] = res
	}
	// limited holds when the limit of an endpoint was first announced; zero while no request has
	// run since it began.
	limited := map[string]time.Time{}
	runs := map[string][]time.Time{}
	for _, r := range records {
		from, isLimited := limited[r.Worker]
		switch {
		case r.What == EventLimited && !isLimited:
			limited[r.Worker] = time.Time{}
		case r.What == EventUnlimited || r.What == EventStarted:
			c.checkLimitedRuns(r.Worker, runs[r.Worker])
			delete(limited, r.Worker)
			delete(runs, r.Worker)
		case r.What == fake.EventRun && isLimited && from.IsZero():
			limited[r.Worker] = r.At
		case r.What == fake.EventRun && isLimited && r.At.Sub(from) >= propagationTime && c.undisturbed(sent[r.Attempt], from):
			runs[r.Worker] = append(runs[r.Worker], r.At)
		}
	}
	for worker, at := range runs {
		c.checkLimitedRuns(worker, at)
	}
}

func (c *checker) undisturbed(res Result, since time.Time) bool {
	return c.rules.Undisturbed == nil || c.rules.Undisturbed(res, since)
}

// checkLimitedRuns checks the runs at one endpoint while it announced a limit.
func (c *checker) checkLimitedRuns(worker string, at []time.Time) {
	slices.SortFunc(at, time.Time.Compare)
	const allowed = limitFactor*LimitPerSecond*float64(limitWindow/time.Second) + limitSlack
	first := 0
	for i := range at {
		for at[i].Sub(at[first]) >= c.rules.LimitWindow {
			first++
		}
		if n := i - first + 1; float64(n) > allowed {
			c.addViolation("beyond its limit: %s, limited to %d requests per second, ran %d requests in %s", worker, LimitPerSecond, n, c.rules.LimitWindow)
			return
		}
	}
}
