package pipeline

import (
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/eiderspring/eiderspring/outlook"
)

// Promises remembers which refused callers were told to come back at a time at which there is
// room for them, by this instance and others. Who comes at that time takes the place in the queue
// that it had, because it was told so; who comes at another time comes as anyone. A promise is
// kept once. The zero value is ready for use; a nil Promises remembers nothing.
type Promises struct {
	mu sync.Mutex
	// byRequest maps the RequestHash of each promised request to its promise.
	byRequest map[uint32]promise
}

// promise is when a caller was told to come back, and since when it has waited.
type promise struct{ at, since time.Time }

// Return is what is known of a request's return.
type Return struct {
	// Promised is set if the caller was told a time to come back at, InTime if it does so.
	Promised, InTime bool
	// Since is when the request joined the queue that it was sent away from.
	Since time.Time
}

const (
	// returnTolerance is by how much a caller may miss the time that it was promised and still
	// come in time: networks and the callers' timers delay it.
	returnTolerance = 300 * time.Millisecond
	// promiseMemory is how long after its time a promise is remembered, to count late returns.
	promiseMemory = 8 * time.Second
	// maxPromises bounds the number of remembered promises.
	maxPromises = 20_000
)

// RequestHash returns a short hash that identifies a request across its attempts by what all of
// them carry.
func RequestHash(carried ...string) uint32 {
	return uint32(xxhash.Sum64String(strings.Join(carried, "\x00"))) | 1
}

// Record records that a refused caller was told to come back at the given time.
func (p *Promises) Record(now time.Time, who outlook.Caller, at time.Time) {
	if p == nil || who.Request == 0 {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.byRequest == nil {
		p.byRequest = map[uint32]promise{}
	}
	if len(p.byRequest) >= maxPromises {
		p.evict(now)
	}
	p.byRequest[who.Request] = promise{at: at, since: who.Since}
}

// evict drops promises that are long past, or all of them if that is not enough.
func (p *Promises) evict(now time.Time) {
	for request, made := range p.byRequest {
		if now.Sub(made.at) >= promiseMemory {
			delete(p.byRequest, request)
		}
	}
	if len(p.byRequest) >= maxPromises {
		clear(p.byRequest)
	}
}

// Take returns what is known of the return of a request that arrives now, and uses up the promise
// if it comes in time.
func (p *Promises) Take(now time.Time, request uint32) Return {
	if p == nil || request == 0 {
		return Return{}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	made, known := p.byRequest[request]
	if !known || now.Sub(made.at) >= promiseMemory {
		return Return{}
	}
	inTime := now.Sub(made.at).Abs() <= returnTolerance
	if inTime {
		delete(p.byRequest, request)
	}
	return Return{Promised: true, InTime: inTime, Since: made.since}
}
