package daemon

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/eiderspring/eiderspring/pipeline"
	"github.com/eiderspring/eiderspring/wait"
)

// admit passes requests to next while settings are in force and the node still accepts
// requests, and rejects them otherwise.
func (n *Node) admit(d pipeline.Dialect, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w = &closingWriter{ResponseWriter: w, ends: func() bool { return n.stopping.Load() != nil || n.idle.crowded() }}
		catalog := n.catalog.Load()
		switch {
		case catalog == nil:
			n.vars.Add("requests_without_settings", 1)
			pipeline.WriteNoSettings(d, w, n.storeLink.silentSince(n.startedAt))
		case n.refusesRequests():
			pipeline.WriteStopping(d, w)
		case headerBytes(r) > catalog.Tree.Edge.Limits.HeaderBytes:
			http.Error(w, "the header is too large", http.StatusRequestHeaderFieldsTooLarge)
		default:
			next.ServeHTTP(w, r)
		}
	})
}

// closingWriter closes the connection after the response, and announces that with it, if ends tells so
// when the response begins.
type closingWriter struct {
	http.ResponseWriter
	ends func() bool
}

// WriteHeader implements http.ResponseWriter.
func (w *closingWriter) WriteHeader(status int) {
	if w.ends() {
		w.Header().Set("Connection", "close")
	}
	w.ResponseWriter.WriteHeader(status)
}

// Unwrap supports http.ResponseController.
func (w *closingWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// headerBytes returns the size of a request's header as sent, without separators.
func headerBytes(r *http.Request) int {
	total := len(r.Method) + len(r.RequestURI) + len(r.Proto) + len(r.Host)
	for name, values := range r.Header {
		for _, v := range values {
			total += len(name) + len(v)
		}
	}
	return total
}

// Times of a planned stop, within the grace period that the platform gives.
const (
	// refuseAfter is how long after its start new requests are refused: by then the platform
	// has probed readiness twice and sends none.
	refuseAfter = 3 * time.Second
	// exitMargin is how long before the end of the grace period requests in progress are ended, so that
	// their callers get an answer within lastAnswers and the process exits in time.
	exitMargin  = 300 * time.Millisecond
	lastAnswers = exitMargin / 2
)

// refusesRequests reports whether a planned stop has progressed so far that a request which
// nobody has sent yet might not be completed.
func (n *Node) refusesRequests() bool {
	since := n.stopping.Load()
	return since != nil && n.now().Sub(*since) >= refuseAfter
}

// refusesUnsent implements pipeline.Config.Refuses. Other instances can serve the request at once.
func (n *Node) refusesUnsent(time.Time) bool { return n.refusesRequests() }

// drain makes a planned stop. The node is not ready at once. For refuseAfter it still serves
// requests, on connections that are closed after their response; then it refuses those that
// nobody has sent yet and completes those in progress.
func (n *Node) drain() {
	began := n.now()
	n.stopping.Store(&began)
	n.mesh.sendSoon()
	n.done.Go(func() { n.presence.withdraw(n.runCtx) })
	n.log.Info("draining", "waiting", n.gates.Len())
	wait.For(context.Background(), refuseAfter)
	n.gates.Stop()
	end := began.Add(milliseconds(n.cfg.Limits.GraceMS) - exitMargin)
	if err := n.awaitRequests(end.Sub(n.now())); err != nil {
		n.log.Info("requests cut off at the end of the grace period", "error", err.Error())
		n.endRequests()
		if err := n.awaitRequests(lastAnswers); err != nil {
			n.log.Info("connections cut off at the end of the grace period", "error", err.Error())
		}
		return
	}
	n.log.Info("drained", "took_ms", n.now().Sub(began).Milliseconds())
}

// awaitRequests returns once no request is in progress, or with an error after a time.
func (n *Node) awaitRequests(timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	return errors.Join(n.idle.drain(ctx), n.handovers.drain(ctx))
}
