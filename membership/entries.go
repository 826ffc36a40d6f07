package membership

import "time"

// EntryEvent is an input of Entries.
type EntryEvent interface{ isEntryEvent() }

// EntriesListed reports the complete list of entries.
type EntriesListed struct{ Members []Member }

// EntriesChanged reports the changes in one response of the store, in order. Only their
// combined effect counts: an entry that lapsed and came back before the response was never
// missing for an instance that receives both changes at once.
type EntriesChanged struct{ Changes []EntryChange }

// EntryChange is a change of one entry.
type EntryChange struct {
	Name string
	// Member is the new content of the entry; nil if the entry was deleted from the store.
	Member *Member
}

// StoreUnreachable reports that the store did not answer.
type StoreUnreachable struct{}

// StoreAnswered reports that the store answered. Since is the time from which it has answered
// this instance without interruption, on any connection; zero means from this answer on.
type StoreAnswered struct{ Since time.Time }

// StoreRestored reports that the store was restored from a copy some seconds old: entries are
// as they were then until their members write them again.
type StoreRestored struct{}

// EntriesTick reports only that time has passed.
type EntriesTick struct{}

func (EntriesListed) isEntryEvent()    {}
func (EntriesChanged) isEntryEvent()   {}
func (StoreUnreachable) isEntryEvent() {}
func (StoreAnswered) isEntryEvent()    {}
func (StoreRestored) isEntryEvent()    {}
func (EntriesTick) isEntryEvent()      {}

// StoreReturnGrace is how long after the store's return an entry that lapsed while the store
// was unreachable may take to reappear here: its member renews it within about two seconds, and
// changes are collected for half a second before they are fetched.
const StoreReturnGrace = 2500 * time.Millisecond

// Entries holds the members according to their entries in a store, where an entry lapses unless
// its member renews it.
//
// An entry that is deleted while the store answers means that its member is gone. An entry that
// lapsed while members could not reach the store has no such meaning: it is kept until
// StoreReturnGrace after the store's return.
//
// Invariants: each key of missing is one of members; a member never returns to a previous
// incarnation.
type Entries struct {
	version int64
	members map[string]Member
	// missing holds the time at which each kept entry was first found missing.
	missing     map[string]time.Time
	unreachable bool
	// returnedAt is when the store last became reachable again.
	returnedAt time.Time
	// dropped holds the times at which members were recently removed. ended holds the members
	// that are known to be gone or leaving, although a copy of the store may show them as live.
	dropped map[string]time.Time
	ended   map[string]ending
}

// ending is the known end of a member's incarnation.
type ending struct {
	incarnation string
	state       State
	at          time.Time
}

// endedRetention is how long the known end of a member overrides a restored copy of the store:
// the copy may be some seconds old, and entries that nobody renews take some seconds to lapse.
const endedRetention = 30 * time.Second

// NewEntries returns an empty set of entries.
func NewEntries() *Entries {
	return &Entries{members: map[string]Member{}, missing: map[string]time.Time{}, dropped: map[string]time.Time{}, ended: map[string]ending{}}
}

// Step applies an event. It returns the listing, and whether it has changed.
func (s *Entries) Step(now time.Time, e EntryEvent) (Listing, bool) {
	changed := false
	switch e := e.(type) {
	case EntriesListed:
		changed = s.applyList(now, e.Members)
	case EntriesChanged:
		changed = s.applyChanges(now, e.Changes)
	case StoreUnreachable:
		s.unreachable = true
	case StoreAnswered:
		s.storeAnswered(now, e.Since)
	case StoreRestored:
		s.storeRestored(now)
	}
	changed = s.expire(now) || changed
	if !changed {
		return Listing{}, false
	}
	s.version++
	return s.listing(), true
}

// storeAnswered ends an outage. StoreReturnGrace counts from the store's return, not from when
// the watch on the entries was answered: an entry that is deleted later than that belongs to a
// member that has left.
func (s *Entries) storeAnswered(now, since time.Time) {
	if !s.unreachable {
		return
	}
	s.unreachable, s.returnedAt = false, now
	if !since.IsZero() {
		s.returnedAt = since
	}
}

// storeRestored records which members have ended, and gives members time to write again the
// entries that the copy lacks.
func (s *Entries) storeRestored(now time.Time) {
	s.unreachable, s.returnedAt = false, now
	for name, m := range s.members {
		if m.State == Leaving {
			s.ended[name] = ending{incarnation: m.Incarnation, state: Leaving, at: now}
		}
	}
	for name, at := range s.dropped {
		if now.Sub(at) < endedRetention {
			s.ended[name] = ending{state: Gone, at: now}
		}
	}
}

// correct overrides the state of an entry that a restored copy of the store shows as live
// although its member is known to be leaving or gone. It reports false for an entry to be
// ignored.
func (s *Entries) correct(now time.Time, m Member) (Member, bool) {
	e, known := s.ended[m.Name]
	switch {
	case !known || m.State != Live:
		return m, true
	case now.Sub(e.at) >= endedRetention, e.state == Leaving && e.incarnation != m.Incarnation:
		delete(s.ended, m.Name)
		return m, true
	case e.state == Gone:
		return m, false
	default:
		m.State = Leaving
		return m, true
	}
}

// HasMissing reports whether entries are missing that may reappear.
func (s *Entries) HasMissing() bool { return len(s.missing) > 0 }

func (s *Entries) applyList(now time.Time, members []Member) bool {
	present := make(map[string]bool, len(members))
	// The first list counts as a change even if it is empty.
	changed := s.version == 0
	for _, m := range members {
		present[m.Name] = true
		changed = s.put(now, m) || changed
	}
	for name := range s.members {
		if !present[name] {
			changed = s.remove(now, name) || changed
		}
	}
	return changed
}

// applyChanges applies the combined effect of changes: the last change of each name, and before
// it any report of the member that it is leaving, which is final.
func (s *Entries) applyChanges(now time.Time, changes []EntryChange) bool {
	last := make(map[string]int, len(changes))
	for i, c := range changes {
		last[c.Name] = i
	}
	changed := false
	for i, c := range changes {
		leaving := c.Member != nil && c.Member.State == Leaving
		switch {
		case last[c.Name] != i && !leaving:
		case c.Member == nil:
			changed = s.remove(now, c.Name) || changed
		default:
			changed = s.put(now, *c.Member) || changed
		}
	}
	return changed
}

// put applies an entry. An entry written by a previous incarnation of the member is late and
// ignored; an entry without a start time belongs to the known incarnation.
func (s *Entries) put(now time.Time, m Member) bool {
	m, valid := s.correct(now, m)
	if !valid {
		return false
	}
	delete(s.dropped, m.Name)
	known, listed := s.members[m.Name]
	if listed && known.supersedes(m) {
		return false
	}
	if listed && m.StartedAtMS == 0 && known.StartedAtMS != 0 {
		m.StartedAtMS, m.Incarnation = known.StartedAtMS, known.Incarnation
	}
	delete(s.missing, m.Name)
	if listed && known.equal(m) {
		return false
	}
	s.members[m.Name] = m
	return true
}

func (s *Entries) remove(now time.Time, name string) bool {
	m, known := s.members[name]
	if !known {
		return false
	}
	if m.State == Live && s.mayHaveLapsed(now) {
		if _, missed := s.missing[name]; !missed {
			s.missing[name] = now
		}
		return false
	}
	s.drop(now, name)
	return true
}

// mayHaveLapsed reports whether an entry that is missing now may have lapsed only because the
// store was unreachable.
func (s *Entries) mayHaveLapsed(now time.Time) bool {
	return s.unreachable || !s.returnedAt.IsZero() && now.Sub(s.returnedAt) < StoreReturnGrace
}

func (s *Entries) drop(now time.Time, name string) {
	for dropped, at := range s.dropped {
		if now.Sub(at) >= endedRetention {
			delete(s.dropped, dropped)
		}
	}
	s.dropped[name] = now
	delete(s.members, name)
	delete(s.missing, name)
}

// expire drops the entries that are still missing when the grace period ends.
func (s *Entries) expire(now time.Time) bool {
	if s.mayHaveLapsed(now) {
		return false
	}
	changed := false
	for name := range s.missing {
		s.drop(now, name)
		changed = true
	}
	return changed
}

// Listing returns the members, including those whose entries are missing but may reappear.
func (s *Entries) Listing() Listing { return s.listing() }

// Version grows with each change; 0 means that no list has been received.
func (s *Entries) Version() int64 { return s.version }

func (s *Entries) listing() Listing {
	l := Listing{Version: s.version, Members: make([]Member, 0, len(s.members))}
	for _, m := range s.members {
		l.Members = append(l.Members, m)
	}
	return l
}
