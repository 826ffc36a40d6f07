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
