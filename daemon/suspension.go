package daemon

import (
	"context"
	"io"
	"net/http"
	"sync"
	"time"
)

// wakesCapacity bounds the suspensions that wait; each is acted on at once.
const suspensionsCapacity = 4

// wake acts on suspensions that the clock notices. The lease's duty reads the clock ten
// times a second, so that none goes unnoticed for long.
func (n *Node) handleSuspensions(ctx context.Context) {
	for {
		slept, err := n.suspensions.Take(ctx)
		if err != nil {
			return
		}
		n.resume(slept)
	}
}

// woke is told that the machine was suspended. What was known is judged by its true age
// from then on, as all times come from one clock. What remains are waits on timers, which
// would end late by as long: they are ended here.
func (n *Node) resume(slept time.Duration) {
	n.log.Info("woke from suspension", "slept_ms", slept.Milliseconds(), "times", n.clock.Suspensions())
	// Connections may have ended meanwhile, or be silent for good.
	n.storeTransport.interrupt()
	n.engine.Close()
	n.control.Close()
	n.cancelOverdue()
	n.mesh.sendSoon()
	n.gates.Wake()
}

// wake acts on suspensions that the clock notices, as Node.wake does. Calls to the
// platform are bounded by seconds, and the settings are confirmed before a request is
// served by them.
func (i *Instance) handleSuspensions(ctx context.Context) {
	for {
		slept, err := i.wakes.Take(ctx)
		if err != nil {
			return
		}
		i.vars.Add("suspensions", 1)
		i.log.Info("woke from suspension", "slept_ms", slept.Milliseconds())
		i.engine.Close()
		i.control.Close()
		i.overdue()
		i.gates.Wake()
	}
}

// interruptible is a transport whose calls in progress can be given up, all at once.
type interruptibleTransport struct {
	next *http.Transport

	mu sync.Mutex
	// calls ends with the next interruption.
	callsCtx    context.Context
	cancelCalls context.CancelFunc
}

func newInterruptibleTransport(next *http.Transport) *interruptibleTransport {
	t := &interruptibleTransport{next: next}
	t.callsCtx, t.cancelCalls = context.WithCancel(context.Background())
	return t
}

// interrupt gives up all calls in progress, and the connections at rest.
func (t *interruptibleTransport) interrupt() {
	t.mu.Lock()
	end := t.cancelCalls
	t.callsCtx, t.cancelCalls = context.WithCancel(context.Background())
	t.mu.Unlock()
	end()
	t.next.CloseIdleConnections()
}

// CloseIdleConnections is for http.Client.
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

// interruptibleBody ends the call once its answer is closed.
type interruptibleBody struct {
	io.ReadCloser
	done func()
}

// Close implements io.Closer.
func (b interruptibleBody) Close() error {
	defer b.done()
	return b.ReadCloser.Close()
}
