package permit

import (
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/eiderspring/eiderspring/issuing"
)

// LimitKey identifies a limit of one incarnation of an endpoint. The limit of an earlier
// incarnation does not apply to it.
type LimitKey struct {
	Name string
	// StartedAtMS is the start time of the incarnation, in Unix milliseconds of the endpoint's
	// clock; 0 if the endpoint does not report it.
	StartedAtMS int64
	// Cold is set for the limit that applies while the endpoint is cold, which is kept in
	// addition to a limit that it reports.
	Cold bool
}

// coldSuffix marks the cold limit of an endpoint in reports. Endpoint names contain no blank.
const coldSuffix = " cold"

// text returns the encoding of the key's name in reports.
func (e LimitKey) text() string {
	if e.Cold {
		return e.Name + coldSuffix
	}
	return e.Name
}

// Limiter holds what one instance knows of the limits that endpoints report, and enforces
// them for that instance. It is safe for concurrent use; a nil Limiter has no limits.
type Limiter struct {
	self string
	// onDemand is called when a permit is needed and none is available; it must not block.
	onDemand func()
	// activeLimits is the number of limits in force. It spares requests the lock while there
	// are none.
	activeLimits atomic.Int64

	mu     sync.Mutex
	limits map[LimitKey]*limit
	fleet  Fleet
	// replies knows the issuers that have left permit requests unanswered, contacts the last
	// known process of each instance.
	replies  issuing.Replies
	contacts map[string]string
	// lastSeq is the sequence number of the last permit request.
	lastSeq uint64
	// taken and issued count permits.
	taken, issued int64
}

// limit is what an endpoint last reported, and the permits for it.
type limit struct {
	// perSecond is the rate that the endpoint accepts from all instances together; ended is set
	// once it has answered without a limit.
	perSecond float64
	ended     bool
	// warmUpStep is the number of warm-up steps that an endpoint has gone through since it
	// stopped being cold.
	warmUpStep int
	// since is when the limit became known here, reportedAt when the endpoint last reported
	// its limit or the end of it.
	since, reportedAt time.Time
	// sendsLeft is how many more times the report is to be sent.
	sendsLeft int
	pool      pool
	// buckets are those that this instance issues from, by its rank among the issuers.
	buckets [maxIssuers]bucket
	// touchedAt is when a report or a permit request last concerned the endpoint.
	touchedAt time.Time
	// coldUntil is when a cold endpoint begins to warm up, by what is known here.
	coldUntil time.Time
}

// Fleet is what an instance knows of all instances.
type Fleet = issuing.Fleet

const (
	// maxLimits bounds the number of limits that are kept.
	maxLimits = 4096
	// maxContacts bounds the number of instances whose process is kept.
	maxContacts = 4096
	// forgetAfter is how long the limit of an endpoint that is not listed is kept.
	forgetAfter = 30 * time.Second
)

// NewLimiter returns a limiter without limits. It numbers its permit requests upwards from
// seq, which must differ between the processes of an instance. It calls onDemand when a
// permit is needed and none is available.
func NewLimiter(self string, seq uint64, onDemand func()) *Limiter {
	return &Limiter{
		self: self, lastSeq: seq, onDemand: onDemand, limits: map[LimitKey]*limit{}, contacts: map[string]string{},
		fleet: Fleet{Members: []string{self}, KnownCount: 1},
	}
}

// SetFleet replaces what is known of the other instances.
func (l *Limiter) SetFleet(f Fleet) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fleet = f
}

// RecordContact records a contact with a process of another instance. A new process knows no
// limits and would exceed them, so that a first contact schedules every report to be sent
// again.
func (l *Limiter) RecordContact(instance, process string) {
	if !l.AnyLimit() {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.contacts[instance] == process {
		return
	}
	if len(l.contacts) >= maxContacts {
		clear(l.contacts)
	}
	l.contacts[instance] = process
	for _, k := range l.limits {
		k.sendsLeft = max(k.sendsLeft, 1)
	}
}

// RecordLimit records that an answer of the endpoint carries a limit, in requests a second,
// and reports whether that changes what is known.
func (l *Limiter) RecordLimit(now time.Time, e LimitKey, perSecond float64) bool {
	if l == nil {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.record(now, now, e, perSecond, false)
}

// RecordNoLimit records that the answer to a request sent at sentAt carries no limit, and
// reports whether that ends a limit. It ignores an answer to a request that was sent before
// the limit was known, as the answer may predate the limit.
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
	return l.record(now, now, e, 0, true)
}

// record records what the endpoint reported at a time, as known now, and reports whether it
// differs from the previous report.
func (l *Limiter) record(at, now time.Time, e LimitKey, perSecond float64, ended bool) bool {
	known := l.limits[e]
	if known == nil {
		if ended || len(l.limits) >= maxLimits {
			return false
		}
		known = &limit{ended: true}
		l.limits[e] = known
	}
	changed := known.ended != ended || !ended && known.perSecond != perSecond
	if known.ended && !ended {
		known.since, known.pool, known.buckets = now, pool{}, [maxIssuers]bucket{}
		l.activeLimits.Add(1)
	}
	if !known.ended && ended {
		l.activeLimits.Add(-1)
	}
	known.perSecond, known.ended, known.reportedAt, known.touchedAt = perSecond, ended, at, now
	if changed {
		known.sendsLeft = reportSends
	}
	return changed
}

// AnyLimit reports whether any limit is in force.
func (l *Limiter) AnyLimit() bool { return l != nil && l.activeLimits.Load() > 0 }

// Rate returns how many permits a second are issued for an endpoint, and false if the
// endpoint needs none.
func (l *Limiter) Rate(e LimitKey) (perSecond float64, limited bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	known := l.limits[e]
	if known == nil || known.ended {
		return 0, false
	}
	return known.issueRate(), true
}

// ForgetUnlisted drops the limits of endpoints that listed reports as no longer listed, and
// issuers without recent misses.
func (l *Limiter) ForgetUnlisted(now time.Time, listed func(LimitKey) bool) {
	if l == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.replies.Forget(now)
	maps.DeleteFunc(l.limits, func(e LimitKey, k *limit) bool {
		if now.Sub(k.touchedAt) < forgetAfter || listed(e) {
			return false
		}
		if !k.ended {
			l.activeLimits.Add(-1)
		}
		return true
	})
}

// LimitStats is an endpoint's limit at one instance, for operators.
type LimitStats struct {
	PerSecond float64 `json:"per_second"`
	// SinceMS is how long the limit has been known here, in milliseconds.
	SinceMS int64 `json:"since_ms"`
	// Taken counts the requests that this instance sent to the endpoint with a permit, Issued
	// the permits that it issued, also to itself.
	Taken  int64 `json:"taken"`
	Issued int64 `json:"issued"`
}

// Stats are limits in force, by endpoint, and the permits used and issued by this instance
// since its process started.
type Stats struct {
	Limits map[string]LimitStats `json:"limits"`
	Taken  int64                 `json:"taken"`
	Issued int64                 `json:"issued"`
}

// Stats returns the state for operators, with up to maxListed limits.
func (l *Limiter) Stats(now time.Time, maxListed int) Stats {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := Stats{Limits: map[string]LimitStats{}, Taken: l.taken, Issued: l.issued}
	for e, k := range l.limits {
		if k.ended || len(s.Limits) >= maxListed {
			continue
		}
		s.Limits[e.text()] = LimitStats{PerSecond: k.perSecond, SinceMS: now.Sub(k.since).Milliseconds(), Taken: k.pool.taken, Issued: k.issued()}
	}
	return s
}
