package permit

import (
	"maps"
	"sync"
	"sync/atomic"
	"time"
)

// LimitKey is one start of an endpoint: what an earlier one has named says nothing of it.
type LimitKey struct {
	Name string
	// StartedAtMS is when it was started, in Unix milliseconds of its own clock; 0 where
	// it does not tell.
	StartedAtMS int64
	// Cold stands for what the endpoint takes while it is cold, which it keeps besides any
	// limit that it names.
	Cold bool
}

// coldSuffix marks the name of a cold endpoint in words; names of endpoints have no blank.
const coldSuffix = " cold"

// text is the endpoint's name in words.
func (e LimitKey) text() string {
	if e.Cold {
		return e.Name + coldSuffix
	}
	return e.Name
}

// Limiter is what one instance knows of the limits that endpoints name, and its part in
// keeping them. It is safe for concurrent use; a nil Limiter knows of none.
type Limiter struct {
	self string
	// wanted is called when a permit is wanted and none is there; it must not block.
	wanted func()
	// limited is how many limits are in force, so that requests need no lock while there
	// are none.
	limited atomic.Int64

	mu     sync.Mutex
	limits map[LimitKey]*limit
	fleet  Fleet
	// issuers holds those that have left asks unanswered, met the process of each instance
	// that was heard.
	issuers map[string]*issuer
	met     map[string]string
	// seq is that of the last ask.
	seq uint64
	// taken and issued count permits.
	taken, issued int64
}

// limit is what an endpoint has said, and the permits for it.
type limit struct {
	// perSecond is what it takes from all instances together; ended is set once it has
	// answered without a limit.
	perSecond float64
	ended     bool
	// warmed counts the steps in which an endpoint that is no longer cold has got more.
	warmed int
	// since is when it was first known here to name one, saidAt when it last said anything.
	since, saidAt time.Time
	// tells is how often that is to be told still.
	tells int
	stock stock
	// buckets are those that this instance issues from, by its rank among the issuers.
	buckets [mostIssuers]bucket
	// touchedAt is when anything was last said or asked of the endpoint.
	touchedAt time.Time
	// coldUntil is when a cold endpoint is warm, by all that is known here.
	coldUntil time.Time
}

// Fleet is what an instance knows of the others.
type Fleet struct {
	// Members are the names of those that may issue, this one included.
	Members []string
	// KnownCount is how many there are, those that are not heard included.
	KnownCount int
	// Isolated is set while others are known and none is heard.
	Isolated bool
}

// part is the part of a limit that members may issue: all of it only to a majority, as
// the others may be there and hear each other.
func (f Fleet) part() float64 {
	if 2*len(f.Members) > f.KnownCount {
		return 1
	}
	return evenPart * float64(len(f.Members)) / float64(f.KnownCount)
}

const (
	// maxLimits bounds the endpoints that are known to have named a limit.
	maxLimits = 4096
	// maxMet bounds the instances of which it is known that they were met.
	maxMet = 4096
	// forgetAfter is when what an endpoint said is forgotten that is not listed.
	forgetAfter = 30 * time.Second
)

// NewLimiter returns the part of an instance that has heard nothing. Its asks count up from
// seq, which differs between the processes of an instance.
func NewLimiter(self string, seq uint64, wanted func()) *Limiter {
	return &Limiter{
		self: self, seq: seq, wanted: wanted, limits: map[LimitKey]*limit{}, issuers: map[string]*issuer{}, met: map[string]string{},
		fleet: Fleet{Members: []string{self}, KnownCount: 1},
	}
}

// SetFleet replaces what is known of the others.
func (l *Limiter) SetFleet(f Fleet) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fleet = f
}

// RecordContact notes that an instance was heard. A process that was not heard before knows of no
// limits: it would find out by requests beyond them.
func (l *Limiter) RecordContact(instance, process string) {
	if !l.AnyLimit() {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.met[instance] == process {
		return
	}
	if len(l.met) >= maxMet {
		clear(l.met)
	}
	l.met[instance] = process
	for _, k := range l.limits {
		k.tells = max(k.tells, 1)
	}
}

// RecordLimit records that an answer of the endpoint has named a limit, in requests a second, and
// reports whether that is news.
func (l *Limiter) RecordLimit(now time.Time, e LimitKey, perSecond float64) bool {
	if l == nil {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.said(now, now, e, perSecond, false)
}

// RecordNoLimit records that an answer of the endpoint has named none, to a request that was
// sent at sentAt, and reports whether that ends a limit. An answer to a request that was
// sent before the limit was known may be from before it.
func (l *Limiter) RecordNoLimit(now time.Time, e LimitKey, sentAt time.Time) bool {
	if !l.AnyLimit() {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	known := l.limits[e]
	if known == nil || known.ended || !sentAt.After(known.since) {
		return false
	}
	return l.said(now, now, e, 0, true)
}

// said records what the endpoint said at a moment, as of now, and reports whether it is
// another word than the one before.
func (l *Limiter) said(at, now time.Time, e LimitKey, perSecond float64, ended bool) bool {
	known := l.limits[e]
	if known == nil {
		if ended || len(l.limits) >= maxLimits {
			return false
		}
		known = &limit{ended: true}
		l.limits[e] = known
	}
	news := known.ended != ended || !ended && known.perSecond != perSecond
	if known.ended && !ended {
		known.since, known.stock, known.buckets = now, stock{}, [mostIssuers]bucket{}
		l.limited.Add(1)
	}
	if !known.ended && ended {
		l.limited.Add(-1)
	}
	known.perSecond, known.ended, known.saidAt, known.touchedAt = perSecond, ended, at, now
	if news {
		known.tells = wordTells
	}
	return news
}

// AnyLimit tells whether any limit is in force.
func (l *Limiter) AnyLimit() bool { return l != nil && l.limited.Load() > 0 }

// Rate is how many permits a second are issued for an endpoint; false for one that needs
// none.
func (l *Limiter) Rate(e LimitKey) (perSecond float64, limited bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	known := l.limits[e]
	if known == nil || known.ended {
		return 0, false
	}
	return known.rate(), true
}

// ForgetUnlisted drops what endpoints have said that are not listed any more.
func (l *Limiter) ForgetUnlisted(now time.Time, listed func(LimitKey) bool) {
	if l == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	maps.DeleteFunc(l.issuers, func(_ string, i *issuer) bool { return i.missed == 0 && !now.Before(i.passedUntil) })
	maps.DeleteFunc(l.limits, func(e LimitKey, k *limit) bool {
		if now.Sub(k.touchedAt) < forgetAfter || listed(e) {
			return false
		}
		if !k.ended {
			l.limited.Add(-1)
		}
		return true
	})
}

// LimitStats is an endpoint's limit at one instance, for operators.
type LimitStats struct {
	PerSecond float64 `json:"per_second"`
	// SinceMS is how long it has been known here, in milliseconds.
	SinceMS int64 `json:"since_ms"`
	// Taken counts the requests that went there from here with a permit, Issued the
	// permits that this instance issued, to itself too.
	Taken  int64 `json:"taken"`
	Issued int64 `json:"issued"`
}

// Stats are the limits in force, by endpoint, of so many at most, and the permits used and
// issued here since the process began.
type Stats struct {
	Limits map[string]LimitStats `json:"limits"`
	Taken  int64                 `json:"taken"`
	Issued int64                 `json:"issued"`
}

// Stats returns the state for operators.
func (l *Limiter) Stats(now time.Time, most int) Stats {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := Stats{Limits: map[string]LimitStats{}, Taken: l.taken, Issued: l.issued}
	for e, k := range l.limits {
		if k.ended || len(s.Limits) >= most {
			continue
		}
		s.Limits[e.text()] = LimitStats{PerSecond: k.perSecond, SinceMS: now.Sub(k.since).Milliseconds(), Taken: k.stock.taken, Issued: k.issued()}
	}
	return s
}
