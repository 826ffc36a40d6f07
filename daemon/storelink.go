package daemon

import (
	"sync"
	"time"

	"github.com/go-logr/logr"

	"github.com/eiderspring/eiderspring/store"
)

// storeLink logs when the object store is lost and when it is back, once each,
// whatever the number of duties that use it.
type storeLink struct {
	log logr.Logger
	now func() time.Time

	mu     sync.Mutex
	lostAt time.Time
	// answeredAt is when the store last answered any call.
	answeredAt time.Time
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

func (l *storeLink) heard() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.lostAt.IsZero() {
		return
	}
	l.log.Info("store regained", "away_ms", l.now().Sub(l.lostAt).Milliseconds())
	l.lostAt = time.Time{}
}

func (l *storeLink) failed(kind string, err error) {
	if store.IsExpired(err) {
		// The store answers; only the changes meanwhile are gone.
		l.log.V(1).Info("history gone", "kind", kind)
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
