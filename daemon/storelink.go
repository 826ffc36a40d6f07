package daemon

import (
	"math"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"github.com/eiderspring/eiderspring/membership"
	"github.com/eiderspring/eiderspring/store"
)

// storeLink logs when the object store is lost and when it is back, once each,
// whatever the number of duties that use it. It also keeps how old what each
// watch has brought may be.
type storeLink struct {
	log logr.Logger
	now func() time.Time

	mu     sync.Mutex
	lostAt time.Time
	// answeredAt is when the store last answered any call, returnedAt since when it
	// has answered without a break of awayAfter.
	answeredAt, returnedAt time.Time
	// confirmedAt is when the watch on a kind was last answered closely.
	confirmedAt map[store.Kind]time.Time
}

// awayAfter is the time without an answer of the store after which it was away.
// Watches are answered about every second; entries of endpoints lapse only after
// several heartbeats of a second or more.
const awayAfter = 2 * time.Second

// answered notes that the store has answered a call.
func (l *storeLink) answered() {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	if now.Sub(l.answeredAt) >= awayAfter {
		l.returnedAt = now
	}
	l.answeredAt = now
}

// returned is since when the store has answered without a break, whatever the
// call: a watch that began while it was away may hang long after its return.
func (l *storeLink) returned() time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.returnedAt
}

// settleTime is for how long behind the store's return entries may be on their way
// back, and be missing in answers that are a moment old.
const settleTime = membership.ReturnGrace + time.Second

// settled tells whether the store has answered for so long that each entry which
// lapsed while it was away is back.
func (l *storeLink) settled() bool { return l.now().Sub(l.returned()) >= settleTime }

// confirmed notes that the watch on a kind was answered closely.
func (l *storeLink) confirmed(kind store.Kind) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.confirmedAt == nil {
		l.confirmedAt = map[store.Kind]time.Time{}
	}
	l.confirmedAt[kind] = l.now()
}

// neverConfirmed is the age of what was not confirmed yet.
const neverConfirmed = time.Duration(math.MaxInt64)

// age is how long ago the watch on a kind was last answered closely.
func (l *storeLink) age(kind store.Kind) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	at, known := l.confirmedAt[kind]
	if !known {
		return neverConfirmed
	}
	return l.now().Sub(at)
}

// lost tells whether the store gives no answers now.
func (l *storeLink) lost() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.lostAt.IsZero()
}

func (l *storeLink) heard() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.lostAt.IsZero() {
		return
	}
	l.log.Info("store regained", "away_ms", l.now().Sub(l.lostAt).Milliseconds())
	l.lostAt = time.Time{}
}

// failed logs why a watch has ended, and that the store is lost if it is.
func (l *storeLink) failed(kind store.Kind, err error) {
	l.log.Info("watch ended", "kind", kind, "confirmed_ms", ageMS(l.age(kind)), "error", err.Error())
	if store.IsExpired(err) {
		// The store answers; only the changes meanwhile are gone.
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.lostAt.IsZero() {
		return
	}
	l.lostAt = l.now()
	l.log.Info("store lost", "kind", kind, "error", err.Error())
}

// ageMS is an age for the log, in milliseconds; -1 for what was never confirmed.
func ageMS(age time.Duration) int64 {
	if age == neverConfirmed {
		return -1
	}
	return age.Milliseconds()
}
