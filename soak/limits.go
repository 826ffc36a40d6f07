package soak

import (
	"slices"
	"time"

	"github.com/eiderspring/eiderspring/platform/fake"
)

const (
	// limitWindow is the time in which requests beyond an endpoint's limit are counted.
	limitWindow = 4 * time.Second
	// limitOver and limitSlack are what instances in touch may send in limitWindow: so many
	// times what the limit allows, and so many requests more.
	limitOver  = 1.5
	limitSlack = 5
)

// limits checks that endpoints which name limits get no more, from knownTime behind that on.
func (j *judge) limits(answers []Result, records []Record) {
	if j.rules.LimitWindow == 0 {
		return
	}
	asked := make(map[string]Result, len(answers))
	for _, a := range answers {
		asked[a.Attempt] = a
	}
	limited := map[string]time.Time{}
	runs := map[string][]time.Time{}
	for _, r := range records {
		from, is := limited[r.Worker]
		switch {
		case r.What == HappenedLimited && !is:
			limited[r.Worker] = r.At
		case r.What == HappenedUnlimited:
			j.limited(r.Worker, runs[r.Worker])
			delete(limited, r.Worker)
			delete(runs, r.Worker)
		case r.What == fake.EventRun && is && r.At.Sub(from) >= knownTime && j.inTouch(asked[r.Attempt], from):
			runs[r.Worker] = append(runs[r.Worker], r.At)
		}
	}
	for worker, at := range runs {
		j.limited(worker, at)
	}
}

func (j *judge) inTouch(a Result, since time.Time) bool {
	return j.rules.InTouch == nil || j.rules.InTouch(a, since)
}

// limited checks the runs at one endpoint while it named a limit.
func (j *judge) limited(worker string, at []time.Time) {
	slices.SortFunc(at, time.Time.Compare)
	const allowed = limitOver*LimitPerSecond*float64(limitWindow/time.Second) + limitSlack
	first := 0
	for i := range at {
		for at[i].Sub(at[first]) >= j.rules.LimitWindow {
			first++
		}
		if n := i - first + 1; float64(n) > allowed {
			j.add("beyond its limit: %s, which named %d a second, ran %d requests in %s", worker, LimitPerSecond, n, j.rules.LimitWindow)
			return
		}
	}
}
