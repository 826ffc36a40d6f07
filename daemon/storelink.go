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
	// answeredAt is when the store last answered any call, askedAt when the first call
	// since was made that it should have answered soon; zero for none. returnedAt is
	// since when it has answered without a break of awayAfter.
	lastAnswerAt, unansweredSince, returnedAt time.Time
	// failing is set from a watch that got no answer to the next answer.
	watchFailing bool
	// confirmedAt is when the watch on a kind was last answered closely.
	confirmedAt map[store.Kind]time.Time
}

// awayAfter is the time for which a call goes without an answer after which the store
// was away. Entries of endpoints lapse only after several heartbeats of a second or
// more. An instance that asks for nothing, as another tells it, does not find it away.
const outageThreshold = 2 * time.Second

// asked notes that a call is made which the store may hold for so long.
func (l *storeLink) callStarted(hold time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if hold < outageThreshold && l.unansweredSince.IsZero() {
		l.unansweredSince = l.now()
	}
}

// listed notes that the store has answered with a whole list, and logs how long that took.
func (l *storeLink) listReceived(kind store.Kind, list store.List) {
	l.markReachable()
	if !list.RequestedAt.IsZero() {
		l.log.Info("list read", "kind", kind, "objects", len(list.Items), "took_ms", l.now().Sub(list.RequestedAt).Milliseconds())
	}
}

// answered notes that the store has answered a call.
func (l *storeLink) callAnswered() {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	unanswered := !l.unansweredSince.IsZero() && now.Sub(l.unansweredSince) >= outageThreshold
	// Whoever asks seldom meets an outage late: it may have begun right behind the last
	// answer.
	missed := l.watchFailing && now.Sub(l.lastAnswerAt) >= outageThreshold
	if l.lastAnswerAt.IsZero() || unanswered || missed {
		l.returnedAt = now
	}
	l.lastAnswerAt, l.unansweredSince, l.watchFailing = now, time.Time{}, false
}

// copied notes that the store has come back from a copy: what it shows is settled only
// behind the time that members take to write their entries again.
func (l *storeLink) restoredFromCopy() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.returnedAt = l.now()
	clear(l.confirmedAt)
}

// returned is since when the store has answered without a break, whatever the
// call: a watch that began while it was away may hang long after its return.
func (l *storeLink) availableSince() time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.returnedAt
}

// settleTime is for how long behind the store's return entries may be on their way
// back, and be missing in answers that are a moment old.
const settleTime = membership.StoreReturnGrace + time.Second

// settled tells whether the store has answered for so long that each entry which
// lapsed while it was away is back.
func (l *storeLink) settled() bool { return l.now().Sub(l.availableSince()) >= settleTime }

// confirmed notes that the watch on a kind was answered closely.
func (l *storeLink) watchConfirmed(kind store.Kind) {
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
func (l *storeLink) confirmedAge(kind store.Kind) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	at, known := l.confirmedAt[kind]
	if !known {
		return neverConfirmed
	}
	return l.now().Sub(at)
}

// lost tells whether the store gives no answers now.
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

// failed logs why a watch has ended, and that the store is lost if it is.
func (l *storeLink) watchFailed(kind store.Kind, err error) {
	l.log.Info("watch ended", "kind", kind, "confirmed_ms", ageMS(l.confirmedAge(kind)), "error", err.Error())
	if store.IsExpired(err) {
		// The store answers; only the changes meanwhile are gone.
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

// ageMS is an age for the log, in milliseconds; -1 for what was never confirmed.
func ageMS(age time.Duration) int64 {
	if age == neverConfirmed {
		return -1
	}
	return age.Milliseconds()
}
