package daemon

import (
	"math"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"github.com/eiderspring/eiderspring/membership"
	"github.com/eiderspring/eiderspring/store"
)

// storeLink tracks whether the object store answers. It logs once when the store is lost and
// once when it is regained, however many tasks use it, and records for each watch how long ago
// its data was last confirmed to be current.
type storeLink struct {
	log logr.Logger
	now func() time.Time

	mu     sync.Mutex
	lostAt time.Time
	// lastAnswerAt is when the store last answered any call, unansweredSince when the first
	// call since then was made that should be answered promptly; both are zero for none.
	// returnedAt is since when the store has answered without a gap of outageThreshold.
	lastAnswerAt, unansweredSince, returnedAt time.Time
	// watchFailing is set from the failure of a watch until the next answer.
	watchFailing bool
	// confirmedAt is when the watch on a kind last got an answer that was not stale.
	confirmedAt map[store.Kind]time.Time
}

// outageThreshold is how long a call must go unanswered for the store to count as having been
// unavailable. Entries of endpoints expire only after several missed heartbeats of a second or
// more. An instance that makes no calls, because another announces changes to it, sees no
// outage.
const outageThreshold = 2 * time.Second

// callStarted records a call that the store may hold for the given time.
func (l *storeLink) callStarted(hold time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if hold < outageThreshold && l.unansweredSince.IsZero() {
		l.unansweredSince = l.now()
	}
}

// listReceived records that the store has answered with a complete list, and logs how long
// that took.
func (l *storeLink) listReceived(kind store.Kind, list store.List) {
	l.markReachable()
	if !list.RequestedAt.IsZero() {
		l.log.Info("list read", "kind", kind, "objects", len(list.Items), "took_ms", l.now().Sub(list.RequestedAt).Milliseconds())
	}
}

// callAnswered records that the store has answered a call.
func (l *storeLink) callAnswered() {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	unanswered := !l.unansweredSince.IsZero() && now.Sub(l.unansweredSince) >= outageThreshold
	// An instance that makes few calls notices an outage late: it may have begun right after
	// the last answer.
	missed := l.watchFailing && now.Sub(l.lastAnswerAt) >= outageThreshold
	if l.lastAnswerAt.IsZero() || unanswered || missed {
		l.returnedAt = now
	}
	l.lastAnswerAt, l.unansweredSince, l.watchFailing = now, time.Time{}, false
}

// restoredFromCopy records that the store was restored from a copy: its contents are settled
// only after the time that members take to write their entries again.
func (l *storeLink) restoredFromCopy() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.returnedAt = l.now()
	clear(l.confirmedAt)
}

// availableSince returns since when the store has answered without a gap, whatever the call: a
// watch that began while it was unavailable may hang long after its return.
func (l *storeLink) availableSince() time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.returnedAt
}

// settleTime is for how long after the store's return entries may still be due to be rewritten
// and be missing in slightly stale answers.
const settleTime = membership.StoreReturnGrace + time.Second

// settled reports whether the store has answered for so long that every entry which expired
// while it was unavailable has been rewritten.
func (l *storeLink) settled() bool { return l.now().Sub(l.availableSince()) >= settleTime }

// watchConfirmed records that the watch on a kind got an answer that was not stale.
func (l *storeLink) watchConfirmed(kind store.Kind) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.confirmedAt == nil {
		l.confirmedAt = map[store.Kind]time.Time{}
	}
	l.confirmedAt[kind] = l.now()
}

// neverConfirmed is the age of data that has never been confirmed.
const neverConfirmed = time.Duration(math.MaxInt64)

// confirmedAge returns how long ago the watch on a kind last got an answer that was not stale.
func (l *storeLink) confirmedAge(kind store.Kind) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	at, known := l.confirmedAt[kind]
	if !known {
		return neverConfirmed
	}
	return l.now().Sub(at)
}

// firstAnswerTime is the time within which the first call is answered also by a slow store.
const firstAnswerTime = 400 * time.Millisecond

// silentSince reports whether the store has answered nothing since the start of the process.
func (l *storeLink) silentSince(start time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lastAnswerAt.IsZero() && l.now().Sub(start) >= firstAnswerTime
}

// isLost reports whether the store currently does not answer.
func (l *storeLink) isLost() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.lostAt.IsZero()
}

func (l *storeLink) markReachable() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.lostAt.IsZero() {
		return
	}
	l.log.Info("store regained", "away_ms", l.now().Sub(l.lostAt).Milliseconds())
	l.lostAt = time.Time{}
}

// watchFailed logs why a watch has ended, and that the store is lost unless it answered.
func (l *storeLink) watchFailed(kind store.Kind, err error) {
	l.log.Info("watch ended", "kind", kind, "confirmed_ms", ageMS(l.confirmedAge(kind)), "error", err.Error())
	if store.IsExpired(err) {
		// The store answers; only its history of the changes since then is gone.
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.watchFailing = true
	if !l.lostAt.IsZero() {
		return
	}
	l.lostAt = l.now()
	l.log.Info("store lost", "kind", kind, "error", err.Error())
}

// ageMS returns an age in milliseconds for logs and metrics; -1 for neverConfirmed.
func ageMS(age time.Duration) int64 {
	if age == neverConfirmed {
		return -1
	}
	return age.Milliseconds()
}
