package soak

import (
	"fmt"
	"log/slog"
	"slices"
	"strings"
	"time"
)

const (
	// crashing begins the names of requests that end the endpoints which run them.
	crashing = "crashing-"
	// repeatEvery is the time between two repeats, repeatMore how long behind the last
	// fault they go on: instances are in touch knownTime behind it, and then it shows what
	// they know.
	repeatEvery = 150 * time.Millisecond
	repeatMore  = 7 * time.Second
	// knownTime is how long instances in touch have to know that a request ends endpoints.
	knownTime = 3 * time.Second
	// backTime is how long an endpoint that has ended is gone.
	backTime = time.Second
)

// EndsEndpoint tells whether a request is one that ends the endpoint which runs it.
func CrashesEndpoint(path string) bool { return strings.Contains(path, "/"+crashing) }

// repeatCrashing sends a request that ends endpoints to all instances in turn, and starts
// the endpoints again.
func (r *run) repeatCrashing(f Fault) {
	kind := []Kind{kindUnsafe, kindStream}[f.Target%2]
	name := fmt.Sprintf("%s%d", crashing, time.Now().UnixNano())
	end := time.Now().Add(r.options.Size.Faults - f.At + repeatMore)
	for i := 0; time.Now().Before(end); i++ {
		node := (f.Target + i) % len(r.site.nodes)
		r.faults.Go(func() { r.callers.Repeat(node, kind, name) })
		time.Sleep(repeatEvery)
	}
	slog.Info("crashing request repeated", "name", name)
}

// keepWorkers starts workers again that have ended by a request, until stop is closed and
// all run.
func (r *run) keepWorkers(stop <-chan struct{}) {
	for stopped := false; !stopped; {
		select {
		case <-stop:
			stopped = true
		case <-time.After(backTime):
		}
		for _, w := range r.site.workers {
			r.keepWorker(w)
		}
	}
}

// keepWorker starts a worker again, unless a fault has ended it and will.
func (r *run) keepWorker(w *worker) {
	if w.running() || w.ending() {
		return
	}
	if err := r.site.startAgain(r.options.Programs.StandIns, w, false); err != nil {
		r.add("not started: %s: %v", w.name, err)
	}
}

// inTouch tells whether an instance was undisturbed for knownTime before it took a
// request, and since a moment not all instances were killed, who then know nothing.
func (s *Site) inTouch(a Result, since time.Time) bool {
	if s.killedAllSince(since) {
		return false
	}
	return !slices.ContainsFunc(s.disturbances[s.nodes[a.Node].name], func(d disturbance) bool {
		return d.from.Before(a.Ended) && d.to.After(a.Sent.Add(-knownTime))
	})
}

// killedAllSince tells whether a moment came since, in which every instance had been
// killed since.
func (s *Site) killedAllSince(since time.Time) bool {
	for _, n := range s.nodes {
		if !slices.ContainsFunc(s.disturbances[n.name], func(d disturbance) bool { return d.action == NodeKill && d.to.After(since) }) {
			return false
		}
	}
	return true
}
