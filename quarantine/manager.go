package quarantine

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
)

// Manager manages the quarantine of one instance, with its requests in flight. A nil Manager
// holds back nothing. It is safe for concurrent use.
type Manager struct {
	now func() time.Time
	log logr.Logger
	// wake is called when there is a report to send at once, persist with what must outlast
	// all instances.
	wake    func()
	persist func(Report)

	mu      sync.Mutex
	tracker *Tracker
	// inFlight holds the requests in flight that have no answer yet, as linked lists.
	inFlight map[Fingerprint]*InFlight
	// rejected counts the requests that were not admitted, cancelled those that waited or had
	// been sent when they were held.
	rejected, cancelled int64
}

// Config configures a Manager.
type Config struct {
	Limits Limits
	Now    func() time.Time
	Log    logr.Logger
	// Wake is called when there is a report to send to the other instances at once; it may be
	// nil.
	Wake func()
	// Persist is called with the report of a request that is held because of what this instance
	// has observed; it may be nil. It must not block.
	Persist func(Report)
}

// NewManager returns a manager without reports.
func NewManager(c Config) *Manager {
	if c.Wake == nil {
		c.Wake = func() {}
	}
	if c.Persist == nil {
		c.Persist = func(Report) {}
	}
	return &Manager{now: c.Now, log: c.Log, wake: c.Wake, persist: c.Persist, tracker: NewTracker(c.Limits), inFlight: map[Fingerprint]*InFlight{}}
}

// How often a report is sent. Datagrams are lost now and then: what this instance observed is
// sent often enough for all to receive it, what it received from others is sent often enough
// to spare them the repetition.
const (
	ownReportSends       = 5
	forwardedReportSends = 2
)

// duplicateHold is how long a suspected request is held back while another one with its
// fingerprint is in flight: about as long as an answer takes to start.
const duplicateHold = time.Second

// HeldError reports that a request is held back.
type HeldError struct {
	Fingerprint Fingerprint
	// Terminations is the number of endpoints that have terminated under it, Remaining the
	// remaining hold time.
	Terminations int
	Remaining    time.Duration
}

// Error returns the remaining hold time and the number of terminations.
func (e *HeldError) Error() string {
	return fmt.Sprintf("the request is held back for %s, as %d endpoints have ended under it", e.Remaining.Round(time.Millisecond), e.Terminations)
}

// InFlight is a request in flight. Its zero value is not registered with a Manager.
type InFlight struct {
	manager     *Manager
	fingerprint Fingerprint
	cancel      context.CancelFunc
	held        atomic.Pointer[HeldError]
	// next and previous link the requests with the same fingerprint.
	next, previous *InFlight
	listed         bool
}

// Held returns why the request was cancelled; nil if it was not held back.
func (f *InFlight) Held() *HeldError { return f.held.Load() }

// Begin registers a request, unless it is held back: then it returns a *HeldError. If the
// request is held before End, Held returns the reason and cancel is called.
func (m *Manager) Begin(flight *InFlight, f Fingerprint, cancel context.CancelFunc) error {
	if m == nil {
		return nil
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.now()
	left := m.tracker.HoldRemaining(now, f)
	if left == 0 && m.inFlight[f] != nil && m.tracker.OneAtATime(now, f) {
		left = duplicateHold
	}
	if left > 0 {
		m.rejected++
		return &HeldError{Fingerprint: f, Terminations: m.tracker.TerminationCount(now, f), Remaining: left}
	}
	flight.manager, flight.fingerprint, flight.cancel, flight.listed = m, f, cancel, true
	flight.next = m.inFlight[f]
	if flight.next != nil {
		flight.next.previous = flight
	}
	m.inFlight[f] = flight
	return nil
}

// End unregisters a request whose answer has started or completed, which is no longer
// cancelled. It may be called more than once.
func (f *InFlight) End() {
	if f.manager == nil {
		return
	}
	f.manager.mu.Lock()
	defer f.manager.mu.Unlock()
	f.remove()
}

func (f *InFlight) remove() {
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
		f.manager.inFlight[f.fingerprint] = f.next
	default:
		delete(f.manager.inFlight, f.fingerprint)
	}
}

// RecordTermination records that an endpoint has terminated under a request.
func (m *Manager) RecordTermination(f Fingerprint, account, endpoint string, startedAtMS int64) {
	if m == nil {
		return
	}
	m.mu.Lock()
	before := m.tracker.HoldRemaining(m.now(), f)
	n := m.tracker.RecordTermination(m.now(), f, IncarnationHash(endpoint, startedAtMS), ownReportSends)
	m.log.Info("request suspected", "fingerprint", f.String(), "caller", account, "endpoint", endpoint, "endings", n)
	if m.applyHold(f, before, "own") {
		m.persist(m.tracker.Report(m.now(), f))
	}
	m.mu.Unlock()
	m.wake()
}

// applyHold cancels the copies of a request in flight if the request is newly held, where
// before is its remaining hold time before the change. It reports whether it is newly held.
func (m *Manager) applyHold(f Fingerprint, before time.Duration, by string) bool {
	now := m.now()
	left := m.tracker.HoldRemaining(now, f)
	if left == 0 || before > 0 {
		return false
	}
	held := &HeldError{Fingerprint: f, Terminations: m.tracker.TerminationCount(now, f), Remaining: left}
	cancelled := 0
	for flight := m.inFlight[f]; flight != nil; flight = m.inFlight[f] {
		flight.remove()
		flight.held.Store(held)
		flight.cancel()
		cancelled++
	}
	m.cancelled += int64(cancelled)
	m.log.Info("request held back", "fingerprint", f.String(), "endings", held.Terminations, "hold_ms", left.Milliseconds(), "by", by, "cancelled", cancelled)
	return true
}

// RecordSuccess records that a request was answered successfully and completely.
func (m *Manager) RecordSuccess(f Fingerprint) {
	if m == nil {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.tracker.RecordSuccess(m.now(), f, ownReportSends) {
		m.log.Info("request cleared", "fingerprint", f.String())
	}
}

// Digest returns a digest of the terminations known here; 0 for none.
func (m *Manager) Digest() uint64 {
	if m == nil {
		return 0
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.tracker.Digest(m.now())
}

// ReceiveDigest compares the digest of another instance. If it differs from that of this
// instance, all reports are sent again. It reports whether it differs.
func (m *Manager) ReceiveDigest(digest uint64) bool {
	if m == nil {
		return false
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.tracker.ReceiveDigest(m.now(), digest)
}

// ReceiveReports applies the reports of another instance. With forward set, those that are new
// here are sent on to the others.
func (m *Manager) ReceiveReports(reports []Report, forward bool) {
	if m == nil || len(reports) == 0 {
		return
	}
	sends := 0
	if forward {
		sends = forwardedReportSends
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, r := range reports {
		var before time.Duration
		if len(r.Fingerprint) == FingerprintBytes {
			before = m.tracker.HoldRemaining(m.now(), Fingerprint(r.Fingerprint))
		}
		if !m.tracker.ReceiveReport(m.now(), r, sends) {
			m.log.Info("invalid report of a suspected request rejected", "bytes", len(r.Fingerprint), "endings", len(r.Incarnations))
			continue
		}
		m.applyHold(Fingerprint(r.Fingerprint), before, "told")
	}
}

// HasPendingReports reports whether PendingReports may return any reports.
func (m *Manager) HasPendingReports() bool {
	if m == nil {
		return false
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.tracker.HasPendingReports(m.now())
}

// PendingReports returns the reports to send to the other instances now, of at most room
// bytes.
func (m *Manager) PendingReports(room int) []Report {
	if m == nil {
		return nil
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.tracker.PendingReports(m.now(), room)
}

// HeldReports returns the reports of the requests that are held back now.
func (m *Manager) HeldReports() []Report {
	if m == nil {
		return nil
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.tracker.HeldReports(m.now())
}

// SetLimits replaces the limits. Limits that hold no request release all.
func (m *Manager) SetLimits(l Limits) {
	if m == nil {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if l == m.tracker.limits {
		return
	}
	m.tracker.SetLimits(l)
	m.log.Info("quarantine limits", "endings", l.Terminations, "hold_ms", l.Hold.Milliseconds(), "known", m.tracker.Len())
}

// Stats counts what a Manager knows and has done.
type Stats struct {
	// Known is the number of requests with terminations, Held that of requests held back now.
	Known int `json:"known"`
	Held  int `json:"held"`
	// Rejected counts requests that were not admitted, Cancelled those that were in flight when
	// they were held.
	Rejected  int64 `json:"rejected"`
	Cancelled int64 `json:"cancelled"`
}

// Stats returns the counts.
func (m *Manager) Stats() Stats {
	if m == nil {
		return Stats{}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return Stats{Known: m.tracker.Len(), Held: m.tracker.HeldCount(m.now()), Rejected: m.rejected, Cancelled: m.cancelled}
}
