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

// breaks finds out whether endpoints at which attempts broke have ended. A connection
// breaks for many reasons; an endpoint whose port is closed has ended, and all that it
// ran with it.
type breaks struct {
	keeper *quarantine.Manager
	// listens tells whether a port is open; an error says that it is not known.
	listens func(ctx context.Context, address string) (bool, error)
	log     logr.Logger

	mu sync.Mutex
	// waiting holds the requests that broke at each endpoint that is being asked.
	waiting map[*routing.Endpoint][]broken
}

// broken is a request of which an attempt broke.
type broken struct {
	fingerprint quarantine.Fingerprint
	account     string
}

const (
	// askBehind is how long behind a break an endpoint's port is asked for: a process
	// that ends closes its connections and its port in any order. It is far below the
	// seconds in which an endpoint that ended is back.
	askBehind = 50 * time.Millisecond
	// askTimeout bounds the question.
	askTimeout = time.Second
)

// add records that an attempt broke at an endpoint; requests that break there together
// are asked for once. A planned stop ends what an endpoint runs, which proves nothing.
func (b *breaks) add(e *routing.Endpoint, request broken) {
	if b.keeper == nil || e.Leaving() {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	first := b.waiting[e] == nil
	b.waiting[e] = append(b.waiting[e], request)
	if first {
		time.AfterFunc(askBehind, func() { b.ask(e) })
	}
}

// ask tells the keeper which requests an endpoint ended with, if it has.
func (b *breaks) ask(e *routing.Endpoint) {
	ctx, cancel := context.WithTimeout(context.Background(), askTimeout)
	defer cancel()
	open, err := b.listens(ctx, e.Address)
	b.mu.Lock()
	requests := b.waiting[e]
	delete(b.waiting, e)
	b.mu.Unlock()
	if ended := err == nil && !open || e.Replaced(); !ended {
		return
	}
	b.log.Info("endpoint ended", "endpoint", e.Name, "address", e.Address, "requests", len(requests))
	for _, r := range requests {
		b.keeper.RecordTermination(r.fingerprint, r.account, e.Name, e.StartedAtMS)
	}
}

// brokeOff tells whether a failed attempt lost its connection to the endpoint before its
// answer was whole.
func brokeOff(err error) bool {
	var relayed *RelayError
	if errors.As(err, &relayed) {
		return !relayed.CallerGone && !relayed.TimedOut
	}
	var unknown *engine.UnknownError
	var foreign *engine.ForeignAnswerError
	return errors.As(err, &unknown) && !errors.As(err, &foreign)
}
