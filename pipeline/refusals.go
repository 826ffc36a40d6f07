package pipeline

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Refusals remembers what has been refused lately, here or at other instances,
// so that a caller who comes back as told goes before one who comes first: to be
// refused twice costs callers more than to be refused once. The zero value is
// ready; a nil Refusals remembers nothing.
type Refusals struct {
	mu sync.Mutex
	// at holds when each request was refused, by Mark.
	at map[uint32]time.Time
	// fresh holds those of this instance since the last Take.
	fresh []uint32
}

// refusalMemory is for how long a refusal is remembered; callers come back
// within a third of the time that they have.
const refusalMemory = 8 * time.Second

// maxRefusals bounds what is remembered, and maxFresh what Take returns.
const (
	maxRefusals = 20_000
	maxFresh    = 32
)

// SessionHash is the short form of a request's identity across attempts; 0 for none.
func SessionHash(session string) uint32 {
	if session == "" {
		return 0
	}
	return uint32(xxhash.Sum64String(session)) | 1
}

// note records a refusal at this instance.
func (r *Refusals) note(now time.Time, mark uint32) {
	if r == nil || mark == 0 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.put(now, mark)
	if len(r.fresh) < maxFresh {
		r.fresh = append(r.fresh, mark)
	}
}

// RecordRemote records refusals at other instances.
func (r *Refusals) RecordRemote(now time.Time, marks []uint32) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, mark := range marks {
		r.put(now, mark)
	}
}

func (r *Refusals) put(now time.Time, mark uint32) {
	if r.at == nil {
		r.at = map[uint32]time.Time{}
	}
	if len(r.at) >= maxRefusals {
		r.forget(now)
	}
	r.at[mark] = now
}

// forget drops what is too old, and all if that is not enough.
func (r *Refusals) forget(now time.Time) {
	for mark, at := range r.at {
		if now.Sub(at) >= refusalMemory {
			delete(r.at, mark)
		}
	}
	if len(r.at) >= maxRefusals {
		clear(r.at)
	}
}

// again tells whether the request was refused lately.
func (r *Refusals) again(now time.Time, mark uint32) bool {
	if r == nil || mark == 0 {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	at, known := r.at[mark]
	return known && now.Sub(at) < refusalMemory
}

// TakeLocal returns the refusals at this instance since the last call.
func (r *Refusals) TakeLocal() []uint32 {
	r.mu.Lock()
	defer r.mu.Unlock()
	fresh := r.fresh
	r.fresh = nil
	return fresh
}
