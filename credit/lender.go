package credit

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/eiderspring/eiderspring/issuing"
)

// Lender lends places of endpoints to other instances, and borrows them for its own. It is
// safe for concurrent use; a nil Lender lends and borrows nothing, and everything is ready.
type Lender struct {
	config Config

	mu    sync.Mutex
	fleet Fleet
	// ranked holds the issuers of endpoints, by name, until the members change, and memberSum
	// identifies the members.
	ranked    map[string][]string
	memberSum uint64
	replies   issuing.Replies
	// borrowed and lent are the endpoints whose places this instance borrows and lends, and
	// borrowedList and lentList the same in the order of their keys.
	borrowed     map[Key]*borrowing
	lent         map[Key]*lending
	borrowedList []*borrowing
	lentList     []*lending
	// wants are the waiting requests by ID.
	wants map[uint64]*want
	// lastSeq numbers the asks, lastNumber the grants.
	lastSeq, lastNumber uint64
	// wake is set when requests that wait may be ready.
	wake bool
	// refusalsDue is set when requests may have been refused by all endpoints, and sweptAt is
	// when what is no longer of use was last dropped.
	refusalsDue bool
	sweptAt     time.Time
	// sampledAt is when it was last looked which endpoints are to be sampled.
	sampledAt time.Time
	counts    counts
}

// counts are the decisions since the process started.
type counts struct{ granted, refused, expired, fallbacks, invalid int64 }

// Config holds what a Lender needs.
type Config struct {
	// Self is the name of the instance and Process that of its process.
	Self, Process string
	// OnWant is called when there may be something to send; it must not block.
	OnWant func()
	// Running returns the number of requests of all instances that are known to run at an
	// endpoint, and the places of the endpoint; 0 places if it is not known here. Tick alone
	// calls it, and holds no lock then.
	Running func(Key) (running, places int64)
	// MayQueue reports whether an endpoint may be sent more requests than it runs at once, to see
	// whether it keeps them for a moment; nil means that none may. Tick alone calls it, and holds no
	// lock then.
	MayQueue func(Key) bool
}

// Fleet is what an instance knows of all instances.
type Fleet = issuing.Fleet

const (
	// TickInterval is the longest time between two calls of Tick.
	TickInterval = 20 * time.Millisecond
	// maxEndpoints bounds the endpoints whose state is kept.
	maxEndpoints = 8192
	// maxWaiting bounds the waiting requests that are kept.
	maxWaiting = 16384
)

// NewLender returns a lender that knows no endpoint.
func NewLender(c Config) *Lender {
	return &Lender{
		config: c, fleet: Fleet{Members: []string{c.Self}, KnownCount: 1}, ranked: map[string][]string{},
		borrowed: map[Key]*borrowing{}, lent: map[Key]*lending{}, wants: map[uint64]*want{},
	}
}

// SetFleet replaces what is known of the other instances.
func (l *Lender) SetFleet(f Fleet) {
	if l == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if sum := memberSum(f.Members); sum != l.memberSum {
		l.memberSum = sum
		clear(l.ranked)
	}
	l.fleet = f
}

// memberSum returns a sum that depends on the members, but not on their order: callers list them
// in any order.
func memberSum(members []string) uint64 {
	sum := uint64(len(members))
	for _, name := range members {
		sum += xxhash.Sum64String(name)
	}
	return sum
}

// issuers returns the issuers of an endpoint in the order of their rank. They do not depend on
// the incarnation.
func (l *Lender) issuers(name string) []string {
	ranked, known := l.ranked[name]
	if !known {
		ranked = l.fleet.Ranked(name + issuedPlaces)
		l.ranked[name] = ranked
	}
	return ranked
}

// issuedPlaces sets the issuers of an endpoint's places apart from those of its permits, so that
// one instance is seldom asked for both.
const issuedPlaces = " places"

// issuerOf returns the instance that lends an endpoint's places, and its rank. The name is empty
// if none replies.
func (l *Lender) issuerOf(now time.Time, e Key) (name string, rank int) {
	if l.fleet.Isolated {
		return "", 0
	}
	return l.replies.First(now, l.issuers(e.Name))
}

// Outgoing is a message and the instance that it is sent to.
type Outgoing struct {
	To    string
	Ask   *Ask
	Grant *Grant
}

// Tick returns the messages to send now, whether requests that wait may be ready now, and the
// verdicts on requests that wait. It is called after OnWant, after each message received, and
// every TickInterval.
func (l *Lender) Tick(now time.Time) (out []Outgoing, wake bool, verdicts []Verdict) {
	if l == nil {
		return nil, false, nil
	}
	l.sample(now)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.forget(now)
	out = l.sendAsks(now)
	out = append(out, l.sendGrants(now)...)
	wake, l.wake = l.wake, false
	return out, wake, l.verdicts(now)
}

// sampleInterval is the time between two looks at what is known to run at an endpoint.
const sampleInterval = 50 * time.Millisecond

// sampleRounds is how many times in sampleInterval it is looked which endpoints are due.
const sampleRounds = 5

// sample looks at what is known to run at the endpoints in use.
func (l *Lender) sample(now time.Time) {
	for _, e := range l.keysToSample(now) {
		running, places := l.config.Running(e)
		l.recordSample(now, e, running, places)
		if l.config.MayQueue != nil {
			l.recordMayQueue(e, l.config.MayQueue(e))
		}
	}
}

// recordMayQueue records whether a lent endpoint may be sent more requests than it runs at once.
func (l *Lender) recordMayQueue(e Key, mayQueue bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if d := l.lent[e]; d != nil {
		d.places.mayQueue = mayQueue
	}
}

// keysToSample returns the endpoints that are to be looked at now.
func (l *Lender) keysToSample(now time.Time) (keys []Key) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Sub(l.sampledAt) < sampleInterval/sampleRounds {
		return nil
	}
	l.sampledAt = now
	for _, b := range l.borrowedList {
		if now.Sub(b.sampledAt) >= sampleInterval && b.inUse(now) {
			b.sampledAt = now
			keys = append(keys, b.key)
		}
	}
	for _, d := range l.lentList {
		if now.Sub(d.sampledAt) >= sampleInterval {
			d.sampledAt = now
			if b := l.borrowed[d.key]; b == nil || b.sampledAt != now {
				keys = append(keys, d.key)
			}
		}
	}
	return keys
}

func (l *Lender) recordSample(now time.Time, e Key, running, places int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if b := l.borrowed[e]; b != nil {
		b.recordSample(now, running, places)
	}
	if d := l.lent[e]; d != nil {
		d.recordSample(now, running, places)
	}
}

// forget drops endpoints, wants and borrowers that are no longer of use.
func (l *Lender) forget(now time.Time) {
	if now.Sub(l.sweptAt) < TickInterval {
		return
	}
	l.sweptAt = now
	l.expireWants(now)
	if len(l.ranked) > maxEndpoints {
		clear(l.ranked)
	}
	l.borrowedList = slices.DeleteFunc(l.borrowedList, func(b *borrowing) bool {
		forgotten := !b.inUse(now)
		if forgotten {
			delete(l.borrowed, b.key)
		}
		return forgotten
	})
	l.lentList = slices.DeleteFunc(l.lentList, func(d *lending) bool {
		d.dropSilent(now)
		forgotten := len(d.borrowers) == 0 && now.Sub(d.touchedAt) >= forgetAfter
		if forgotten {
			delete(l.lent, d.key)
		}
		return forgotten
	})
	l.replies.Forget(now)
}

// forgetAfter is how long an endpoint without requests is kept.
const forgetAfter = 30 * time.Second

func compareKeys(a, b Key) int {
	return cmp.Or(cmp.Compare(a.Name, b.Name), cmp.Compare(a.StartedAtMS, b.StartedAtMS))
}
