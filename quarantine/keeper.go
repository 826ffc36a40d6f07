package quarantine

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
)

// Manager is the ledger of one instance, with its requests in progress. A nil Manager
// holds nothing. It is safe for concurrent use.
type Manager struct {
	now func() time.Time
	log logr.Logger
	// news is called when there is something to tell the others at once, keep with what
	// is to outlast all instances.
	news func()
	keep func(Report)

	mu     sync.Mutex
	ledger *Tracker
	// flights are the requests in progress that have had no answer.
	flights map[Fingerprint]*InFlight
	// rejected counts the requests that were not let in, cancelled those that waited or
	// had been sent when they came to be held.
	rejected, cancelled int64
}

// Config sets up a Keeper.
type Config struct {
	Limits Limits
	Now    func() time.Time
	Log    logr.Logger
	// Wake is called when there is something to tell the other instances at once; nil
	// calls nothing.
	Wake func()
	// Persist is called with what is known of a request that has come to be held by what
	// this instance has seen; nil calls nothing. It must not block.
	Persist func(Report)
}

// NewManager returns a keeper that knows nothing.
func NewManager(c Config) *Manager {
	if c.Wake == nil {
		c.Wake = func() {}
	}
	if c.Persist == nil {
		c.Persist = func(Report) {}
	}
	return &Manager{now: c.Now, log: c.Log, news: c.Wake, keep: c.Persist, ledger: NewTracker(c.Limits), flights: map[Fingerprint]*InFlight{}}
}

// How often news is told. Datagrams are lost now and then: what was seen here is told
// so often that all get it, what was heard as often as to spare those who told it.
const (
	tellsOfOwn   = 5
	tellsOfHeard = 2
)

// behindAnother is for how long a suspected request is held back behind another of its
// fingerprint: about as long as an answer takes to begin.
const behindAnother = time.Second

// HeldError says that a request is held back.
type HeldError struct {
	Fingerprint Fingerprint
	// Terminations is how many endpoints have ended under it, For how long it is held still.
	Terminations int
	Remaining    time.Duration
}

// Error gives all of it.
func (e *HeldError) Error() string {
	return fmt.Sprintf("the request is held back for %s, as %d endpoints have ended under it", e.Remaining.Round(time.Millisecond), e.Terminations)
}

// InFlight is a request in progress. Its zero value is none.
type InFlight struct {
	keeper      *Manager
	fingerprint Fingerprint
	cancel      context.CancelFunc
	held        atomic.Pointer[HeldError]
	// next and previous are the others with its fingerprint.
	next, previous *InFlight
	listed         bool
}

// Held returns why the request was cancelled; nil if it was not held back.
func (f *InFlight) Held() *HeldError { return f.held.Load() }

// Begin lets a request in, unless it is held back: then it returns a *HeldError. If it
// comes to be held before End, Held tells why and cancel is called.
func (k *Manager) Begin(flight *InFlight, f Fingerprint, cancel context.CancelFunc) error {
	if k == nil {
		return nil
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.now()
	left := k.ledger.Held(now, f)
	if left == 0 && k.flights[f] != nil && k.ledger.OneAtATime(now, f) {
		left = behindAnother
	}
	if left > 0 {
		k.rejected++
		return &HeldError{Fingerprint: f, Terminations: k.ledger.Suspect(now, f), Remaining: left}
	}
	flight.keeper, flight.fingerprint, flight.cancel, flight.listed = k, f, cancel, true
	flight.next = k.flights[f]
	if flight.next != nil {
		flight.next.previous = flight
	}
	k.flights[f] = flight
	return nil
}

// End says that the request has had its answer, or the beginning of one: it is not
// cancelled any more. It may be called again.
func (f *InFlight) End() {
	if f.keeper == nil {
		return
	}
	f.keeper.mu.Lock()
	defer f.keeper.mu.Unlock()
	f.unlist()
}

func (f *InFlight) unlist() {
	if !f.listed {
		return
	}
	f.listed = false
	if f.next != nil {
		f.next.previous = f.previous
	}
	switch {
	case f.previous != nil:
		f.previous.next = f.next
	case f.next != nil:
		f.keeper.flights[f.fingerprint] = f.next
	default:
		delete(f.keeper.flights, f.fingerprint)
	}
}

// RecordTermination says that an endpoint has ended under a request.
func (k *Manager) RecordTermination(f Fingerprint, account, endpoint string, startedAtMS int64) {
	if k == nil {
		return
	}
	k.mu.Lock()
	before := k.ledger.Held(k.now(), f)
	n := k.ledger.Ended(k.now(), f, IncarnationHash(endpoint, startedAtMS), tellsOfOwn)
	k.log.Info("request suspected", "fingerprint", f.String(), "caller", account, "endpoint", endpoint, "endings", n)
	if k.holdFrom(f, before, "own") {
		k.keep(k.ledger.Word(k.now(), f))
	}
	k.mu.Unlock()
	k.news()
}

// holdFrom acts on a request that may have come to be held, where it was to be held for
// so long before. It tells whether it has.
func (k *Manager) holdFrom(f Fingerprint, before time.Duration, by string) bool {
	now := k.now()
	left := k.ledger.Held(now, f)
	if left == 0 || before > 0 {
		return false
	}
	held := &HeldError{Fingerprint: f, Terminations: k.ledger.Suspect(now, f), Remaining: left}
	cancelled := 0
	for flight := k.flights[f]; flight != nil; flight = k.flights[f] {
		flight.unlist()
		flight.held.Store(held)
		flight.cancel()
		cancelled++
	}
	k.cancelled += int64(cancelled)
	k.log.Info("request held back", "fingerprint", f.String(), "endings", held.Terminations, "hold_ms", left.Milliseconds(), "by", by, "cancelled", cancelled)
	return true
}

// RecordSuccess says that a request was answered well and whole.
func (k *Manager) RecordSuccess(f Fingerprint) {
	if k == nil {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.ledger.Served(k.now(), f, tellsOfOwn) {
		k.log.Info("request cleared", "fingerprint", f.String())
	}
}

// Digest stands for what is known here; 0 for nothing.
func (k *Manager) Digest() uint64 {
	if k == nil {
		return 0
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.ledger.Digest(k.now())
}

// ReceiveDigest takes the digest of another instance: if it is not that of this one, all that
// is known is told again. It tells whether it is another one.
func (k *Manager) ReceiveDigest(digest uint64) bool {
	if k == nil {
		return false
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.ledger.HearDigest(k.now(), digest)
}

// ReceiveReports takes the words of another instance. Those that are news are told on if so asked.
func (k *Manager) ReceiveReports(words []Report, tellOn bool) {
	if k == nil || len(words) == 0 {
		return
	}
	tells := 0
	if tellOn {
		tells = tellsOfHeard
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, w := range words {
		var before time.Duration
		if len(w.Fingerprint) == FingerprintBytes {
			before = k.ledger.Held(k.now(), Fingerprint(w.Fingerprint))
		}
		if !k.ledger.Hear(k.now(), w, tells) {
			k.log.Info("word of a suspected request refused", "bytes", len(w.Fingerprint), "endings", len(w.Incarnations))
			continue
		}
		k.holdFrom(Fingerprint(w.Fingerprint), before, "told")
	}
}

// HasPendingReports tells whether Words may have anything to tell.
func (k *Manager) HasPendingReports() bool {
	if k == nil {
		return false
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.ledger.Tells(k.now())
}

// PendingReports returns what is to be told the other instances now, in so many bytes.
func (k *Manager) PendingReports(room int) []Report {
	if k == nil {
		return nil
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.ledger.Words(k.now(), room)
}

// HeldReports returns what is known of the requests that are held back now.
func (k *Manager) HeldReports() []Report {
	if k == nil {
		return nil
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.ledger.HeldWords(k.now())
}

// SetLimits replaces the limits. With none held, all requests are released.
func (k *Manager) SetLimits(l Limits) {
	if k == nil {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if l == k.ledger.limits {
		return
	}
	k.ledger.SetLimits(l)
	k.log.Info("quarantine limits", "endings", l.Terminations, "hold_ms", l.Hold.Milliseconds(), "known", k.ledger.Len())
}

// Stats counts what a keeper knows and has done.
type Stats struct {
	// Known is how many requests have endings, Held how many are held back now.
	Known int `json:"known"`
	Held  int `json:"held"`
	// Rejected counts requests that were not let in, Cancelled those that were in
	// progress when they came to be held.
	Rejected  int64 `json:"rejected"`
	Cancelled int64 `json:"cancelled"`
}

// Stats returns the counts.
func (k *Manager) Stats() Stats {
	if k == nil {
		return Stats{}
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	return Stats{Known: k.ledger.Len(), Held: k.ledger.HeldNow(k.now()), Rejected: k.rejected, Cancelled: k.cancelled}
}
