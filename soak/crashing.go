package soak

import (
	"fmt"
	"log/slog"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/eiderspring/eiderspring/platform/fake"
)

const (
	// crashingPrefix starts the names of requests that crash the endpoints which run them.
	crashingPrefix = "crashing-"
	// resendInterval is the time between two attempts. Attempts continue for resendTail
	// after the last fault: instances count as undisturbed from propagationTime after it
	// on, and only the attempts after that show what they know.
	resendInterval = 150 * time.Millisecond
	resendTail     = 7 * time.Second
	// propagationTime is the time within which undisturbed instances must learn that a
	// request crashes endpoints, or that an endpoint has a limit.
	propagationTime = 3 * time.Second
	// restartDelay is the interval of the checks for crashed endpoints, so that a crashed
	// endpoint is absent for up to that time.
	restartDelay = time.Second
)

// CrashesEndpoint reports whether a request crashes the endpoint that runs it.
func CrashesEndpoint(r *http.Request) bool {
	parts := strings.Split(r.Header.Get(fake.PromptPrefixHeader), ",")
	return strings.Contains(r.URL.Path, "/"+crashingPrefix) ||
		slices.ContainsFunc(parts, func(part string) bool { return strings.HasPrefix(part, crashingPrefix) })
}

// resendCrashing sends a request that crashes endpoints to all instances in turn;
// restartWorkers restarts the endpoints.
func (r *run) resendCrashing(f Fault) {
	kind := []Kind{kindUnsafe, kindStream}[f.Target%2]
	name := newCrashingName()
	r.repeatAtAll(f, func(node int) { r.callers.Resend(node, kind, name) })
	slog.Info("crashing request repeated", "name", name)
}

// shareCrashing sends requests that are all different to all instances in turn. They share a part of
// their prompts that crashes endpoints.
func (r *run) shareCrashing(f Fault) {
	kind := []Kind{kindStream, kindResumable}[f.Target%2]
	part := newCrashingName()
	r.repeatAtAll(f, func(node int) { r.callers.SendWithPart(node, kind, part) })
	slog.Info("crashing part shared", "part", part)
}

// newCrashingName returns a name that no request or part has had.
func newCrashingName() string { return fmt.Sprintf("%s%d", crashingPrefix, time.Now().UnixNano()) }

// repeatAtAll calls send for all instances in turn, until resendTail after the last fault.
func (r *run) repeatAtAll(f Fault, send func(node int)) {
	end := time.Now().Add(r.options.Size.Faults - f.At + resendTail)
	for i := 0; time.Now().Before(end); i++ {
		node := (f.Target + i) % len(r.testbed.nodes)
		r.faults.Go(func() { send(node) })
		time.Sleep(resendInterval)
	}
}

// restartWorkers restarts workers that a request has crashed. Once stop is closed, it
// checks all workers a last time and returns.
func (r *run) restartWorkers(stop <-chan struct{}) {
	for stopped := false; !stopped; {
		select {
		case <-stop:
			stopped = true
		case <-time.After(restartDelay):
		}
		for _, w := range r.testbed.workers {
			r.restartWorker(w)
		}
	}
}

// restartWorker restarts a worker that has exited, unless a fault stopped it: the fault
// then restarts it.
func (r *run) restartWorker(w *worker) {
	if w.running() || w.stopping() {
		return
	}
	if err := r.testbed.startIncarnation(r.options.Programs.StandIns, w, false); err != nil {
		r.addViolation("not started: %s: %v", w.name, err)
	}
}

// undisturbed reports whether the instance of a request was undisturbed from
// propagationTime before the request until its end, and not all instances have been
// killed since the given time: if all were killed, what they knew is lost.
func (t *Testbed) undisturbed(res Result, since time.Time) bool {
	if t.allKilledSince(since) {
		return false
	}
	return !slices.ContainsFunc(t.disturbances[t.nodes[res.Node].name], func(d disturbance) bool {
		return d.from.Before(res.Ended) && d.to.After(res.Sent.Add(-propagationTime))
	})
}

// allKilledSince reports whether every instance has been killed since the given time.
func (t *Testbed) allKilledSince(since time.Time) bool {
	for _, n := range t.nodes {
		if !slices.ContainsFunc(t.disturbances[n.name], func(d disturbance) bool { return d.action == NodeKill && d.to.After(since) }) {
			return false
		}
	}
	return true
}
