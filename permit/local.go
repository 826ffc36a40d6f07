package permit

import (
	"sync"
	"sync/atomic"
	"time"
)

// Endpoint is one start of an endpoint: what an earlier one has named says nothing of it.
type Endpoint struct {
	Name string
	// StartedAtMS is when it was started, in Unix milliseconds of its own clock; 0 where
	// it does not tell.
	StartedAtMS int64
}

// Local is what one instance knows of the limits that endpoints name. It is safe for
// concurrent use; a nil Local knows of none.
type Local struct {
	// limited is how many limits are in force, so that requests need no lock while there
	// are none.
	limited atomic.Int64

	mu     sync.Mutex
	limits map[Endpoint]*limit
}

// limit is what an endpoint has said.
type limit struct {
	// perSecond is what it takes from all instances together; ended is set once it has
	// answered without a limit.
	perSecond float64
	ended     bool
	// since is when it was first known to name one, saidAt when it last said anything.
	since, saidAt time.Time
}

// maxLimits bounds the endpoints that are known to have named one.
const maxLimits = 4096

// NewLocal returns a Local that has heard nothing.
func NewLocal() *Local { return &Local{limits: map[Endpoint]*limit{}} }

// Named records that an answer of the endpoint has named a limit, in requests a second, and
// reports whether that is news.
func (l *Local) Named(now time.Time, e Endpoint, perSecond float64) bool {
	if l == nil {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.said(now, e, perSecond, false)
}

// Unlimited records that an answer of the endpoint has named none, to a request that was
// sent at sentAt, and reports whether that ends a limit. An answer to a request that was
// sent before the limit was known may be from before it.
func (l *Local) Unlimited(now time.Time, e Endpoint, sentAt time.Time) bool {
	if l == nil || l.limited.Load() == 0 {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	known := l.limits[e]
	if known == nil || known.ended || !sentAt.After(known.since) {
		return false
	}
	return l.said(now, e, 0, true)
}

// said records what the endpoint said at a moment, and reports whether it is another word
// than the one before.
func (l *Local) said(at time.Time, e Endpoint, perSecond float64, ended bool) bool {
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
		known.since = at
		l.limited.Add(1)
	}
	if !known.ended && ended {
		l.limited.Add(-1)
	}
	known.perSecond, known.ended, known.saidAt = perSecond, ended, at
	return news
}

// Limit returns what the endpoint takes a second from all instances; false for no limit.
func (l *Local) Limit(e Endpoint) (perSecond float64, limited bool) {
	if l == nil || l.limited.Load() == 0 {
		return 0, false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	known := l.limits[e]
	if known == nil || known.ended {
		return 0, false
	}
	return known.perSecond, true
}
