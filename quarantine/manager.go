package quarantine

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"github.com/eiderspring/eiderspring/allowance"
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
	trials  Trials

	mu      sync.Mutex
	tracker *Tracker
	// inFlight holds the requests in flight that have no answer yet by suspect, as linked lists.
	inFlight map[Fingerprint]*entry
	// claiming holds the parts of prompts for which a trial is being claimed, unspent those for
	// which this instance has a trial that reached no endpoint.
	claiming, unspent map[Fingerprint]bool
	// rejected counts the requests that were not admitted, cancelled those that waited or had
	// been sent when they were held.
	rejected, cancelled int64
	// granted counts the trials that were granted to this instance.
	granted int64
}

// Config configures a Manager.
type Config struct {
	Limits Limits
	Now    func() time.Time
	Log    logr.Logger
	// Wake is called when there is a report to send to the other instances at once; it may be
	// nil.
	Wake func()
	// Persist is called with the report of a suspect that is held because of what this instance
	// has observed, or that was held and has been cleared here; it may be nil. It must not block.
	Persist func(Report)
	// Trials grants the trials of held parts of prompts; nil grants none.
	Trials Trials
}

// NewManager returns a manager without reports.
func NewManager(c Config) *Manager {
	if c.Wake == nil {
		c.Wake = func() {}
	}
	if c.Persist == nil {
		c.Persist = func(Report) {}
	}
	return &Manager{
		now: c.Now, log: c.Log, wake: c.Wake, persist: c.Persist, trials: c.Trials,
		tracker: NewTracker(c.Limits), inFlight: map[Fingerprint]*entry{}, claiming: map[Fingerprint]bool{}, unspent: map[Fingerprint]bool{},
	}
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
	// Fingerprint is that of the request or, if Part is set, of the part of its prompt for which
	// it is held.
	Fingerprint Fingerprint
	Part        bool
	// Terminations is the number of endpoints that have terminated under it, Remaining the
	// remaining hold time.
	Terminations int
	Remaining    time.Duration
}

// Error returns the remaining hold time and the number of terminations.
func (e *HeldError) Error() string {
	what := "the request"
	if e.Part {
		what = "part " + e.Fingerprint.Short() + " of the prompt"
	}
	return fmt.Sprintf("%s is held back for %s, as %d endpoints have ended under it", what, e.Remaining.Round(time.Millisecond), e.Terminations)
}

// Request is a request with the suspects that it may be held for.
type Request struct {
	// Fingerprint identifies the request itself.
	Fingerprint Fingerprint
	// Parts are the parts of its prompt, which other requests may share.
	Parts []Fingerprint
	// Account is the client account, empty for none.
	Account string
}

// origin returns the origin of terminations under the request.
func (r Request) origin() Origin { return originOf(allowance.ShortHash(r.Account), r.Fingerprint) }

// Begin registers a request, unless it is held back: then it returns a *HeldError. If the
// request is held before End, Held returns the reason and cancel is called. Begin waits only for the
// claim of a trial, at most until ctx ends.
func (m *Manager) Begin(ctx context.Context, flight *InFlight, r Request, cancel context.CancelFunc) error {
	if m == nil {
		return nil
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	tries, held := m.admit(ctx, r)
	if held != nil {
		m.rejected++
		return held
	}
	flight.manager, flight.request, flight.cancel, flight.tries = m, r, cancel, tries
	m.list(flight)
	return nil
}

// admit returns the held parts that a request tries again, or why it is held back.
func (m *Manager) admit(ctx context.Context, r Request) (tries []Fingerprint, held *HeldError) {
	if held = m.heldBy(r); held != nil {
		return nil, held
	}
	if held = m.duplicateOf(r.Fingerprint); held != nil {
		return nil, held
	}
	due := m.trialsDue(r)
	if held = m.claimTrials(ctx, due); held != nil {
		return nil, held
	}
	return append(due, m.takeUnspent(r)...), nil
}

// heldBy returns why a request is held back; nil if it is not.
func (m *Manager) heldBy(r Request) *HeldError {
	now := m.now()
	if left := m.tracker.HoldRemaining(now, r.Fingerprint); left > 0 {
		return &HeldError{Fingerprint: r.Fingerprint, Terminations: m.tracker.TerminationCount(now, r.Fingerprint), Remaining: left}
	}
	account := allowance.ShortHash(r.Account)
	for _, part := range r.Parts {
		h := m.tracker.SharedHold(now, part, account, r.Parts)
		if h.Remaining > 0 && !m.unspent[part] {
			return &HeldError{Fingerprint: part, Part: true, Terminations: h.Terminations, Remaining: h.Remaining}
		}
	}
	return nil
}

// duplicateOf returns an error if a suspected request is in flight already.
func (m *Manager) duplicateOf(f Fingerprint) *HeldError {
	now := m.now()
	if m.inFlight[f] == nil || !m.tracker.OneAtATime(now, f) {
		return nil
	}
	return &HeldError{Fingerprint: f, Terminations: m.tracker.TerminationCount(now, f), Remaining: duplicateHold}
}

// RecordTermination records that an endpoint has terminated under a request. Where the answer had
// begun, the parts of its prompt are not to blame.
func (m *Manager) RecordTermination(r Request, answerBegan bool, endpoint string, startedAtMS int64) {
	if m == nil {
		return
	}
	incarnation := IncarnationHash(endpoint, startedAtMS)
	m.mu.Lock()
	m.changeOwn(r.Fingerprint, func(now time.Time) {
		n := m.tracker.RecordTermination(now, r.Fingerprint, incarnation, ownReportSends)
		m.log.Info("request suspected", "fingerprint", r.Fingerprint.String(), "caller", r.Account, "endpoint", endpoint, "endings", n)
	})
	for _, part := range m.suspectedParts(r, answerBegan) {
		m.changeOwn(part, func(now time.Time) {
			n := m.tracker.RecordSharedTermination(now, part, incarnation, r.origin(), ownReportSends)
			m.log.Info("prompt part suspected", "part", part.Short(), "fingerprint", r.Fingerprint.String(), "caller", r.Account, "endpoint", endpoint, "endings", n)
		})
	}
	m.mu.Unlock()
	m.wake()
}

// suspectedParts returns the parts of a request's prompt that an endpoint may have terminated under.
// What already explains the termination spares the others: the request itself, if endpoints
// terminate under it alone, or a part that has been held.
func (m *Manager) suspectedParts(r Request, answerBegan bool) []Fingerprint {
	limit := m.tracker.limits.Terminations
	if answerBegan || limit == 0 || m.tracker.TerminationCount(m.now(), r.Fingerprint) >= limit {
		return nil
	}
	account := allowance.ShortHash(r.Account)
	var explaining []Fingerprint
	for _, part := range r.Parts {
		if m.tracker.EnoughEvidence(part, account) {
			explaining = append(explaining, part)
		}
	}
	if len(explaining) > 0 {
		return explaining
	}
	return r.Parts
}

// changeOwn makes a change that this instance has observed of a suspect, and persists a hold that
// begins by it.
func (m *Manager) changeOwn(suspect Fingerprint, change func(now time.Time)) {
	now := m.now()
	before := m.tracker.HoldRemaining(now, suspect)
	change(now)
	if m.applyHold(suspect, before, "own") {
		m.persist(m.tracker.Report(now, suspect))
	}
}

// applyHold cancels the requests in flight with a suspect that are held back now. It reports whether
// the suspect is newly held, where before is its remaining hold time before the change.
func (m *Manager) applyHold(suspect Fingerprint, before time.Duration, by string) bool {
	now := m.now()
	cancelled := m.cancelHeld(suspect)
	left := m.tracker.HoldRemaining(now, suspect)
	if left == 0 || before > 0 {
		return false
	}
	m.log.Info("request held back", "fingerprint", suspect.String(), "part", m.tracker.IsShared(suspect), "endings", m.tracker.TerminationCount(now, suspect),
		"hold_ms", left.Milliseconds(), "by", by, "cancelled", cancelled)
	return true
}

// RecordSuccess records that a request was answered successfully and completely.
func (m *Manager) RecordSuccess(r Request) {
	if m == nil {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.tracker.RecordSuccess(m.now(), r.Fingerprint, ownReportSends) {
		m.log.Info("request cleared", "fingerprint", r.Fingerprint.String())
	}
}

// RecordAnswer records that the answer to a request has begun, which shows that the parts of its
// prompt do not terminate endpoints.
func (m *Manager) RecordAnswer(r Request) {
	if m == nil {
		return
	}
	cleared := false
	m.mu.Lock()
	for _, part := range r.Parts {
		now := m.now()
		held := m.tracker.EnoughEvidence(part, allowance.ShortHash(r.Account))
		if !m.tracker.RecordSharedSuccess(now, part, ownReportSends) {
			continue
		}
		cleared = true
		delete(m.unspent, part)
		m.log.Info("prompt part cleared", "part", part.Short(), "held", held, "fingerprint", r.Fingerprint.String())
		if held {
			m.persist(m.tracker.Report(now, part))
		}
	}
	m.mu.Unlock()
	if cleared {
		m.wake()
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
		m.applyToldHold(Fingerprint(r.Fingerprint), before)
	}
}

// applyToldHold applies a report of another instance. If a hold begins by it, whoever has observed a
// part of what led to it persists it: no instance may have observed all.
func (m *Manager) applyToldHold(suspect Fingerprint, before time.Duration) {
	if m.applyHold(suspect, before, "told") && m.tracker.ObservedHere(suspect) {
		m.persist(m.tracker.Report(m.now(), suspect))
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
	// Known is the number of suspects with terminations, Held that of those held back now.
	Known int `json:"known"`
	Held  int `json:"held"`
	// Rejected counts requests that were not admitted, Cancelled those that were in flight when
	// they were held.
	Rejected  int64 `json:"rejected"`
	Cancelled int64 `json:"cancelled"`
	// Trials counts the trials of held parts of prompts that this instance was granted.
	Trials int64 `json:"trials"`
}

// Stats returns the counts.
func (m *Manager) Stats() Stats {
	if m == nil {
		return Stats{}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return Stats{Known: m.tracker.Len(), Held: m.tracker.HeldCount(m.now()), Rejected: m.rejected, Cancelled: m.cancelled, Trials: m.granted}
}
