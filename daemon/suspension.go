package daemon

import (
	"context"
	"io"
	"net/http"
	"sync"
	"time"
)

// suspensionsCapacity bounds the queue of suspensions; each is handled at once.
const suspensionsCapacity = 4

// handleSuspensions handles the suspensions of the machine that the clock detects. The lease is
// checked ten times a second, which reads the clock, so that none stays undetected for long.
func (n *Node) handleSuspensions(ctx context.Context) {
	for {
		slept, err := n.suspensions.Take(ctx)
		if err != nil {
			return
		}
		n.resume(slept)
	}
}

// resume is called after a suspension of the given length. All ages come from one clock that
// includes suspension, so they are right already. What remains are waits on timers, which
// would expire late by the same length: resume ends them.
func (n *Node) resume(slept time.Duration) {
	n.log.Info("woke from suspension", "slept_ms", slept.Milliseconds(), "times", n.clock.Suspensions())
	// Connections may have been closed meanwhile, or may never be answered again.
	n.storeTransport.interrupt()
	n.engine.Close()
	n.control.Close()
	n.cancelOverdue()
	n.mesh.sendSoon()
	n.gates.Wake()
}

// handleSuspensions handles suspensions as Node.handleSuspensions does. It leaves calls to the
// platform alone, which end within seconds; the settings are confirmed before a request is
// served by them.
func (i *Instance) handleSuspensions(ctx context.Context) {
	for {
		slept, err := i.suspensions.Take(ctx)
		if err != nil {
			return
		}
		i.vars.Add("suspensions", 1)
		i.log.Info("woke from suspension", "slept_ms", slept.Milliseconds())
		i.engine.Close()
		i.control.Close()
		i.cancelOverdue()
		i.gates.Wake()
	}
}

// interruptibleTransport is a transport whose calls in progress can be cancelled all at once.
type interruptibleTransport struct {
	next *http.Transport

	mu sync.Mutex
	// callsCtx is cancelled, by cancelCalls, at the next interruption.
	callsCtx    context.Context
	cancelCalls context.CancelFunc
}

func newInterruptibleTransport(next *http.Transport) *interruptibleTransport {
	t := &interruptibleTransport{next: next}
	t.callsCtx, t.cancelCalls = context.WithCancel(context.Background())
	return t
}

// interrupt cancels all calls in progress and closes idle connections.
func (t *interruptibleTransport) interrupt() {
	t.mu.Lock()
	end := t.cancelCalls
	t.callsCtx, t.cancelCalls = context.WithCancel(context.Background())
	t.mu.Unlock()
	end()
	t.next.CloseIdleConnections()
}

// CloseIdleConnections supports http.Client.CloseIdleConnections.
func (t *interruptibleTransport) CloseIdleConnections() { t.next.CloseIdleConnections() }

// RoundTrip implements http.RoundTripper.
func (t *interruptibleTransport) RoundTrip(req *http.Request) (*http.Response, error) {
	t.mu.Lock()
	calls := t.callsCtx
	t.mu.Unlock()
	ctx, cancel := context.WithCancel(req.Context())
	stop := context.AfterFunc(calls, cancel)
	resp, err := t.next.RoundTrip(req.WithContext(ctx))
	if err != nil {
		stop()
		cancel()
		return nil, err
	}
	resp.Body = interruptibleBody{ReadCloser: resp.Body, done: func() { stop(); cancel() }}
	return resp, nil
}

// interruptibleBody releases the resources of a call once its response body is closed.
type interruptibleBody struct {
	io.ReadCloser
	done func()
}

// Close implements io.Closer.
func (b interruptibleBody) Close() error {
	defer b.done()
	return b.ReadCloser.Close()
}
