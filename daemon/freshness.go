package daemon

import (
	"sync/atomic"
	"time"
)

// freshness keeps how long ago this instance had proof that the settings in force are the
// newest that any instance knows of: an answer of the object API, or contact with a peer. It
// is read on each request and written by several tasks.
type freshness struct {
	now   func() time.Time
	bound time.Duration
	// storeAt and peerAt are nanoseconds since start.
	start           time.Time
	storeAt, peerAt atomic.Int64
	// onStore is called each time that the object API has answered.
	onStore func()
}

func newFreshness(now func() time.Time, bound time.Duration, storeHeard func()) *freshness {
	return &freshness{now: now, bound: bound, start: now().Add(-time.Hour), onStore: storeHeard}
}

func (f *freshness) storeAnswered() {
	f.storeAt.Store(int64(f.now().Sub(f.start)))
	f.onStore()
}

func (f *freshness) peerContacted() { f.peerAt.Store(int64(f.now().Sub(f.start))) }

// age returns the time since the last proof.
func (f *freshness) age() time.Duration {
	return f.now().Sub(f.start) - time.Duration(max(f.storeAt.Load(), f.peerAt.Load()))
}

// fresh reports whether the instance may serve by its settings. After a pause of the process
// it is false until the next proof.
func (f *freshness) fresh() bool { return f.age() < f.bound }

// peersSilent reports whether there was no contact with a peer for a third of the bound.
func (f *freshness) peersSilent() bool {
	return f.now().Sub(f.start)-time.Duration(f.peerAt.Load()) > f.bound/3
}
