package daemon

import (
	"math"
	"sync"
	"time"

	"github.com/go-logr/logr"

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
	// answeredAt is when the store last answered any call.
	answeredAt time.Time
	// confirmedAt is when the watch on a kind was last answered closely.
	confirmedAt map[store.Kind]time.Time
}

// vouchAge is how old the store's last answer may be for what this instance
// knows to count as current: the holder of the lease, which vouches for that,
// renews it about every leaseRenewal.
const vouchAge = 700 * time.Millisecond

// answered notes that the store has answered a call.
func (l *storeLink) answered() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.answeredAt = l.now()
}

// current tells whether the store has answered lately.
func (l *storeLink) current() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.now().Sub(l.answeredAt) < vouchAge
}

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
