package daemon

import (
	"context"
	"net/http"
	"time"

	"github.com/eiderspring/eiderspring/pipeline"
	"github.com/eiderspring/eiderspring/wait"
)

// guard lets callers in while there are settings to serve them by and the node
// has not stopped taking work.
func (n *Node) admit(d pipeline.Dialect, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w = &closingWriter{ResponseWriter: w, stopping: func() bool { return n.stopping.Load() != nil }}
		catalog := n.catalog.Load()
		switch {
		case catalog == nil:
			pipeline.WriteNotRun(d, w, "no settings are known yet")
		case n.refusesRequests():
			pipeline.WriteNotRun(d, w, "the instance is stopping")
		case headerBytes(r) > catalog.Tree.Edge.Limits.HeaderBytes:
			http.Error(w, "the header is too large", http.StatusRequestHeaderFieldsTooLarge)
		default:
			next.ServeHTTP(w, r)
		}
	})
}

// closingWriter ends a connection with its answer once the node stops, also if
// the request came before.
type closingWriter struct {
	http.ResponseWriter
	stopping func() bool
}

// WriteHeader implements http.ResponseWriter.
func (w *closingWriter) WriteHeader(status int) {
	if w.stopping() {
		w.Header().Set("Connection", "close")
	}
	w.ResponseWriter.WriteHeader(status)
}

// Unwrap is for http.ResponseController.
func (w *closingWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// headerBytes is the size of a request's head as it was sent, but for blanks.
func headerBytes(r *http.Request) int {
	total := len(r.Method) + len(r.RequestURI) + len(r.Proto) + len(r.Host)
	for name, values := range r.Header {
		for _, v := range values {
			total += len(name) + len(v)
		}
	}
	return total
}

// Times of a planned stop, as shares of the grace that the platform gives.
const (
	// stopTaking is when new requests are refused: by then the platform has
	// asked for readiness twice and sends none.
	refuseAfter = 3 * time.Second
	// stopEarly is how long before the end of the grace the process ends.
	exitMargin = 300 * time.Millisecond
)

// takesNoMore tells whether a planned stop has gone so far that a new request
// might not be finished in it.
func (n *Node) refusesRequests() bool {
	since := n.stopping.Load()
	return since != nil && n.now().Sub(*since) >= refuseAfter
}

// drain makes a planned stop: not ready at once, while callers that are still
// sent here are served on connections that end with their answer; then nothing
// new, and what is in progress is finished.
func (n *Node) drain() {
	began := n.now()
	n.stopping.Store(&began)
	n.mesh.sendSoon()
	n.done.Go(func() { n.presence.withdraw(n.runCtx) })
	n.log.Info("draining", "waiting", n.gates.Len())
	wait.For(context.Background(), refuseAfter)
	n.gates.Stop()
	left := began.Add(milliseconds(n.cfg.Limits.GraceMS) - exitMargin).Sub(n.now())
	ctx, cancel := context.WithTimeout(context.Background(), left)
	defer cancel()
	if err := n.idle.drain(ctx); err != nil {
		n.log.Info("requests cut by the end of the grace", "error", err.Error())
		return
	}
	n.log.Info("drained", "took_ms", n.now().Sub(began).Milliseconds())
}
