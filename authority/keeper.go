package authority

import (
	"sync"
	"time"
)

// Tracker is one instance's right to go by the keys in its settings. It is safe for
// concurrent use.
type Tracker struct {
	// bound is the age up to which the right holds; 0 means that it has no age.
	bound time.Duration

	mu sync.Mutex
	// proofs are what is known, of each revision the latest, the newest revision last.
	proofs []proof
	// newer is the newest revision that any instance was heard to have, at newerAt first.
	newer   int64
	newerAt time.Time
	asks    asks
}

// proof says that a revision was the newest at a moment.
type proof struct {
	revision int64
	at       time.Time
}

// maxProofs bounds the proofs of revisions that are not in force here yet.
const maxProofs = 8

// newerGrace is how long settings that another instance has may take to be in force here.
// Past it the proofs count no more: where the store has come back from a copy, it shows
// settings as the newest that were replaced before.
const newerGrace = 2 * time.Second

// NewTracker returns a keeper whose right holds up to the age of bound; 0 sets no bound.
func NewTracker(bound time.Duration) *Tracker { return &Tracker{bound: bound} }

// Bounded tells whether the right has an age.
func (k *Tracker) Bounded() bool { return k.bound > 0 }

// Confirmed records that a revision was certainly the newest at a moment.
func (k *Tracker) Confirmed(at time.Time, revision int64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.confirmed(at, revision)
}

func (k *Tracker) confirmed(at time.Time, revision int64) {
	i := len(k.proofs)
	for i > 0 && k.proofs[i-1].revision > revision {
		i--
	}
	if i > 0 && k.proofs[i-1].revision == revision {
		if at.After(k.proofs[i-1].at) {
			k.proofs[i-1].at = at
		}
		return
	}
	k.proofs = append(k.proofs, proof{})
	copy(k.proofs[i+1:], k.proofs[i:])
	k.proofs[i] = proof{revision, at}
	if len(k.proofs) > maxProofs {
		k.proofs = append(k.proofs[:0], k.proofs[1:]...)
	}
}

// ObserveRevision records that another instance has a revision in force.
func (k *Tracker) ObserveRevision(now time.Time, revision int64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if revision > k.newer {
		k.newer, k.newerAt = revision, now
	}
}

// Age is how long ago the settings of a revision, in force here, were certainly the
// newest; false if that was never known, or is not known any more.
func (k *Tracker) Age(now time.Time, revision int64) (age time.Duration, known bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.newer > revision && now.Sub(k.newerAt) >= newerGrace {
		return 0, false
	}
	var at time.Time
	for _, p := range k.proofs {
		// What was the newest then is in force here, or something newer is.
		if p.revision <= revision && p.at.After(at) {
			at = p.at
		}
	}
	return now.Sub(at), !at.IsZero()
}

// Current tells whether keys in settings of a revision, in force here, may be gone by.
func (k *Tracker) Current(now time.Time, revision int64) bool {
	if !k.Bounded() {
		return true
	}
	age, known := k.Age(now, revision)
	return known && age < k.bound
}

// NextRequest returns the token to ask another instance with; 0 if it is not time to ask again.
func (k *Tracker) NextRequest(now time.Time) uint64 {
	if !k.Bounded() {
		return 0
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.asks.next(now)
}

// Replied records that another instance has found a revision to be the newest after it
// had heard the Ask of a token.
func (k *Tracker) Replied(token uint64, revision int64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if at, known := k.asks.sentAt(token); known {
		k.confirmed(at, revision)
	}
}

// asks remembers when each of the last tokens was sent.
type asks struct {
	last uint64
	at   [maxAsks]time.Time
}

const (
	// askEvery is the time between two asks: a fraction of the seconds within which keys
	// that are taken away must be refused.
	askEvery = 400 * time.Millisecond
	// maxAsks is how many asks an answer may come to, longer than any right holds.
	maxAsks = 32
)

func (a *asks) next(now time.Time) uint64 {
	if a.last > 0 && now.Sub(a.at[a.last%maxAsks]) < askEvery {
		return 0
	}
	a.last++
	a.at[a.last%maxAsks] = now
	return a.last
}

func (a *asks) sentAt(token uint64) (time.Time, bool) {
	if token == 0 || token > a.last || a.last-token >= maxAsks {
		return time.Time{}, false
	}
	return a.at[token%maxAsks], true
}
