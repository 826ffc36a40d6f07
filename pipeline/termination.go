package pipeline

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"github.com/eiderspring/eiderspring/engine"
	"github.com/eiderspring/eiderspring/quarantine"
	"github.com/eiderspring/eiderspring/routing"
)

// terminationDetector detects whether endpoints at which attempts broke have terminated. A
// connection breaks for many reasons; an endpoint whose port is closed has terminated, and
// so have the requests that it ran.
type terminationDetector struct {
	quarantine *quarantine.Manager
	// isListening reports whether a port is open; an error means that this is unknown.
	isListening func(ctx context.Context, address string) (bool, error)
	// reachable waits until it is known whether endpoints can be reached from here, and reports
	// whether they can; nil means that they can.
	reachable func(ctx context.Context) bool
	log       logr.Logger

	mu sync.Mutex
	// pending holds the broken requests of each endpoint that is to be probed.
	pending map[*routing.Endpoint][]brokenAttempt
}

// brokenAttempt identifies a request of which an attempt broke.
type brokenAttempt struct {
	request quarantine.Request
	// answerBegan is set if a part of the answer had arrived.
	answerBegan bool
}

const (
	// probeDelay is the delay between a break and the probe of the endpoint's port: a
	// process that ends closes its connections and its port in any order. The delay is far
	// shorter than the seconds that a terminated endpoint takes to restart.
	probeDelay = 50 * time.Millisecond
	// probeTimeout bounds the probe.
	probeTimeout = time.Second
)

// add records that an attempt broke at an endpoint. Attempts that break there at about the
// same time share one probe. Breaks at a leaving endpoint are ignored: a planned stop ends
// the requests that run there, which says nothing about them.
func (d *terminationDetector) add(e *routing.Endpoint, request brokenAttempt) {
	if d.quarantine == nil || e.Leaving() {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	first := d.pending[e] == nil
	d.pending[e] = append(d.pending[e], request)
	if first {
		time.AfterFunc(probeDelay, func() { d.probe(e) })
	}
}

// probe reports the pending requests of an endpoint to quarantine if the endpoint has
// terminated.
func (d *terminationDetector) probe(e *routing.Endpoint) {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	open, err := d.isListening(ctx, e.Address)
	d.mu.Lock()
	requests := d.pending[e]
	delete(d.pending, e)
	d.mu.Unlock()
	// While this instance has lost its path, connections to any endpoint may be refused.
	closed := err == nil && !open && (d.reachable == nil || d.reachable(ctx))
	if terminated := closed || e.Replaced(); !terminated {
		return
	}
	d.log.Info("endpoint terminated", "endpoint", e.Name, "address", e.Address, "requests", len(requests))
	for _, r := range requests {
		d.quarantine.RecordTermination(r.request, r.answerBegan, e.Name, e.StartedAtMS)
	}
}

// connectionLost reports whether a failed attempt lost its connection to the endpoint
// before its answer was complete.
func connectionLost(err error) bool {
	var relayed *RelayError
	if errors.As(err, &relayed) {
		return !relayed.CallerGone && !relayed.TimedOut
	}
	var unknown *engine.UnknownError
	var foreign *engine.ForeignAnswerError
	return errors.As(err, &unknown) && !errors.As(err, &foreign)
}
