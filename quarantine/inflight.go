package quarantine

import (
	"context"
	"slices"
	"sync/atomic"
)

// InFlight is a request in flight. Its zero value is not registered with a Manager.
type InFlight struct {
	manager *Manager
	request Request
	cancel  context.CancelFunc
	// tries are the held parts of its prompt that the request tries again.
	tries []Fingerprint
	held  atomic.Pointer[HeldError]
	// entries are those of the request and of its parts; empty once it is no longer listed.
	entries []entry
}

// entry lists a request in flight among those with the same suspect.
type entry struct {
	flight         *InFlight
	suspect        Fingerprint
	next, previous *entry
}

// Held returns why the request was cancelled; nil if it was not held back.
func (f *InFlight) Held() *HeldError { return f.held.Load() }

// End unregisters a request whose answer has started or completed, which is no longer
// cancelled. It may be called more than once.
func (f *InFlight) End() {
	if f.manager == nil {
		return
	}
	f.manager.mu.Lock()
	defer f.manager.mu.Unlock()
	f.manager.unlist(f)
}

// ReturnTrials returns the trials of a request that was sent to no endpoint: the next request with
// such a part at this instance makes them. It is called before End.
func (f *InFlight) ReturnTrials() {
	if f.manager == nil || len(f.tries) == 0 {
		return
	}
	f.manager.mu.Lock()
	defer f.manager.mu.Unlock()
	for _, part := range f.tries {
		f.manager.unspent[part] = true
	}
	f.tries = nil
}

// list lists a request among those in flight.
func (m *Manager) list(f *InFlight) {
	f.entries = make([]entry, 0, 1+len(f.request.Parts))
	f.entries = append(f.entries, entry{flight: f, suspect: f.request.Fingerprint})
	for i, part := range f.request.Parts {
		// A prompt may have the same part twice.
		if !slices.Contains(f.request.Parts[:i], part) {
			f.entries = append(f.entries, entry{flight: f, suspect: part})
		}
	}
	for i := range f.entries {
		e := &f.entries[i]
		if e.next = m.inFlight[e.suspect]; e.next != nil {
			e.next.previous = e
		}
		m.inFlight[e.suspect] = e
	}
}

// unlist removes a request from those in flight.
func (m *Manager) unlist(f *InFlight) {
	for i := range f.entries {
		m.unlink(&f.entries[i])
	}
	f.entries = nil
}

func (m *Manager) unlink(e *entry) {
	if e.next != nil {
		e.next.previous = e.previous
	}
	switch {
	case e.previous != nil:
		e.previous.next = e.next
	case e.next != nil:
		m.inFlight[e.suspect] = e.next
	default:
		delete(m.inFlight, e.suspect)
	}
}

// cancelHeld cancels the requests in flight with a suspect that are held back now. It returns how
// many there were.
func (m *Manager) cancelHeld(suspect Fingerprint) int {
	cancelled := 0
	for e := m.inFlight[suspect]; e != nil; {
		flight := e.flight
		e = e.next
		held := m.heldBy(flight.request)
		if held == nil || len(flight.tries) > 0 {
			continue
		}
		m.unlist(flight)
		flight.held.Store(held)
		flight.cancel()
		cancelled++
	}
	m.cancelled += int64(cancelled)
	return cancelled
}
