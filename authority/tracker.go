package authority

import (
	"sync"
	"time"
)

// Tracker tracks one instance's authority to accept the keys in its settings. It is safe for
// concurrent use.
type Tracker struct {
	// bound is the age up to which keys are accepted; 0 means that there is no bound.
	bound time.Duration

	mu sync.Mutex
	// confirmations holds the latest confirmation of each revision, ordered by revision.
	confirmations []confirmation
	// reported is the newest revision that any instance has reported, first at reportedAt.
	reported   int64
	reportedAt time.Time
	requests   requests
}

// confirmation records that a revision was the newest at a time.
type confirmation struct {
	revision int64
	at       time.Time
}

// maxConfirmations bounds the confirmations, some of which may be of revisions that are not in
// force here yet.
const maxConfirmations = 8

// reportedGrace is how long settings that another instance has in force may take to be in force
// here. After that, confirmations no longer count: a store that was restored from a copy
// presents settings as the newest that had been replaced before.
const reportedGrace = 2 * time.Second

// NewTracker returns a tracker that accepts keys up to the age of bound; 0 sets no bound.
func NewTracker(bound time.Duration) *Tracker { return &Tracker{bound: bound} }

// Bounded reports whether the age is bounded.
func (t *Tracker) Bounded() bool { return t.bound > 0 }

// Confirmed records that a revision was certainly the newest at a time.
func (t *Tracker) Confirmed(at time.Time, revision int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.confirm(at, revision)
}

func (t *Tracker) confirm(at time.Time, revision int64) {
	i := len(t.confirmations)
	for i > 0 && t.confirmations[i-1].revision > revision {
		i--
	}
	if i > 0 && t.confirmations[i-1].revision == revision {
		if at.After(t.confirmations[i-1].at) {
			t.confirmations[i-1].at = at
		}
		return
	}
	t.confirmations = append(t.confirmations, confirmation{})
	copy(t.confirmations[i+1:], t.confirmations[i:])
	t.confirmations[i] = confirmation{revision, at}
	if len(t.confirmations) > maxConfirmations {
		t.confirmations = append(t.confirmations[:0], t.confirmations[1:]...)
	}
}

// ObserveRevision records that another instance has a revision in force.
func (t *Tracker) ObserveRevision(now time.Time, revision int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if revision > t.reported {
		t.reported, t.reportedAt = revision, now
	}
}

// Age returns how long ago the settings of a revision, in force here, were certainly the
// newest; false if that was never known, or is no longer known.
func (t *Tracker) Age(now time.Time, revision int64) (age time.Duration, known bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.reported > revision && now.Sub(t.reportedAt) >= reportedGrace {
		return 0, false
	}
	var at time.Time
	for _, c := range t.confirmations {
		// The revision that was the newest then, or a newer one, is in force here.
		if c.revision <= revision && c.at.After(at) {
			at = c.at
		}
	}
	return now.Sub(at), !at.IsZero()
}

// Current reports whether keys in settings of a revision, in force here, may be accepted.
func (t *Tracker) Current(now time.Time, revision int64) bool {
	if !t.Bounded() {
		return true
	}
	age, known := t.Age(now, revision)
	return known && age < t.bound
}

// NextRequest returns the token of the next confirmation request to another instance; 0 if none
// is due yet.
func (t *Tracker) NextRequest(now time.Time) uint64 {
	if !t.Bounded() {
		return 0
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.requests.next(now)
}

// Replied records that another instance found a revision to be the newest after it had received
// the confirmation request with a token.
func (t *Tracker) Replied(token uint64, revision int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if at, known := t.requests.sentAt(token); known {
		t.confirm(at, revision)
	}
}

// requests holds the send times of the latest tokens.
type requests struct {
	last uint64
	at   [maxRequests]time.Time
}

const (
	// requestInterval is the time between two requests: a fraction of the seconds within which
	// revoked keys must be refused.
	requestInterval = 400 * time.Millisecond
	// maxRequests is the number of requests for which a reply is still accepted; they span more
	// time than the bound on the age of any confirmation.
	maxRequests = 32
)

func (a *requests) next(now time.Time) uint64 {
	if a.last > 0 && now.Sub(a.at[a.last%maxRequests]) < requestInterval {
		return 0
	}
	a.last++
	a.at[a.last%maxRequests] = now
	return a.last
}

func (a *requests) sentAt(token uint64) (time.Time, bool) {
	if token == 0 || token > a.last || a.last-token >= maxRequests {
		return time.Time{}, false
	}
	return a.at[token%maxRequests], true
}
