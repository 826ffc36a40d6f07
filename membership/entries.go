package membership

import "time"

// EntryEvent is an input of Entries.
type EntryEvent interface{ isEntryEvent() }

// EntriesListed is the whole list of entries.
type EntriesListed struct{ Members []Member }

// EntriesChanged is the changes that one answer of the store brings, in order.
// Only what they come to counts: an entry that lapsed and came back before the
// answer was never missing for those who hear of both at once.
type EntriesChanged struct{ Changes []EntryChange }

// EntryChange is one change of an entry.
type EntryChange struct {
	Name string
	// Member is what the entry says now; nil if it has gone from the store.
	Member *Member
}

// StoreUnreachable says that the store gave no answer.
type StoreUnreachable struct{}

// StoreAnswered says that it gave one, and since when it has answered this instance
// without a break, on whatever connection; zero means since this answer.
type StoreAnswered struct{ Since time.Time }

// StoreRestored says that the store has come back from a copy some seconds old: entries are
// as they were then until their members write them again.
type StoreRestored struct{}

// EntriesTick lets time pass.
type EntriesTick struct{}

func (EntriesListed) isEntryEvent()    {}
func (EntriesChanged) isEntryEvent()   {}
func (StoreUnreachable) isEntryEvent() {}
func (StoreAnswered) isEntryEvent()    {}
func (StoreRestored) isEntryEvent()    {}
func (EntriesTick) isEntryEvent()      {}

// StoreReturnGrace is how long after the store's return an entry that lapsed while
// it was away may take to come back here: its member renews it within about two
// seconds, and changes gather for half a second before they are asked for.
const StoreReturnGrace = 2500 * time.Millisecond

// Entries is the members by their entries in a store, where an entry lapses
// unless its member renews it.
//
// An entry that goes while the store answers says that its member is gone. One
// that lapsed while members could not reach the store says nothing: it is kept
// until ReturnGrace after the store's return.
//
// Invariants: each key of missing is one of members; a member never goes back to a
// former start.
type Entries struct {
	version int64
	members map[string]Member
	// missing holds when each kept entry was first seen to be missing.
	missing map[string]time.Time
	lost    bool
	// returnedAt is when the store was last back after it was lost.
	returnedAt time.Time
	// dropped holds when members have gone lately, and ended what is known to have ended, or
	// to leave, although a copy of the store may show it as live.
	dropped map[string]time.Time
	ended   map[string]ending
}

// ending is the end of a member's start that is known.
type ending struct {
	incarnation string
	state       State
	at          time.Time
}

// endedTime is for how long the end of a member counts against what a copy of the store
// shows: some seconds until the copy was made, and until entries lapse that nobody writes.
const endedTime = 30 * time.Second

// NewEntries returns an empty set.
func NewEntries() *Entries {
	return &Entries{members: map[string]Member{}, missing: map[string]time.Time{}, dropped: map[string]time.Time{}, ended: map[string]ending{}}
}

// Step applies an event. It returns the list and whether it has changed.
func (s *Entries) Step(now time.Time, e EntryEvent) (Listing, bool) {
	changed := false
	switch e := e.(type) {
	case EntriesListed:
		changed = s.listed(now, e.Members)
	case EntriesChanged:
		changed = s.changedTo(now, e.Changes)
	case StoreUnreachable:
		s.lost = true
	case StoreAnswered:
		s.heard(now, e.Since)
	case StoreRestored:
		s.copied(now)
	}
	changed = s.expire(now) || changed
	if !changed {
		return Listing{}, false
	}
	s.version++
	return s.listing(), true
}

// heard ends an outage. Entries have ReturnGrace from the store's return, not from
// when the watch on them heard of it: one that goes later than that has left.
func (s *Entries) heard(now, since time.Time) {
	if !s.lost {
		return
	}
	s.lost, s.returnedAt = false, now
	if !since.IsZero() {
		s.returnedAt = since
	}
}

// copied notes what is known to have ended, and leaves members the time to write again what
// the copy lacks.
func (s *Entries) copied(now time.Time) {
	s.lost, s.returnedAt = false, now
	for name, m := range s.members {
		if m.State == Leaving {
			s.ended[name] = ending{incarnation: m.Incarnation, state: Leaving, at: now}
		}
	}
	for name, at := range s.dropped {
		if now.Sub(at) < endedTime {
			s.ended[name] = ending{state: Gone, at: now}
		}
	}
}

// corrected is an entry less what a copy of the store shows although it has ended. It
// reports false for an entry that says nothing.
func (s *Entries) corrected(now time.Time, m Member) (Member, bool) {
	e, known := s.ended[m.Name]
	switch {
	case !known || m.State != Live:
		return m, true
	case now.Sub(e.at) >= endedTime, e.state == Leaving && e.incarnation != m.Incarnation:
		delete(s.ended, m.Name)
		return m, true
	case e.state == Gone:
		return m, false
	default:
		m.State = Leaving
		return m, true
	}
}

// HasMissing tells whether entries are missing that may come back.
func (s *Entries) HasMissing() bool { return len(s.missing) > 0 }

func (s *Entries) listed(now time.Time, members []Member) bool {
	present := make(map[string]bool, len(members))
	// The first list is one also when it is empty.
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

// changedTo applies what the changes come to: of each name the last, and before it
// the word of a member that it leaves, which is final.
func (s *Entries) changedTo(now time.Time, changes []EntryChange) bool {
	last := make(map[string]int, len(changes))
	for i, c := range changes {
		last[c.Name] = i
	}
	changed := false
	for i, c := range changes {
		leaves := c.Member != nil && c.Member.State == Leaving
		switch {
		case last[c.Name] != i && !leaves:
		case c.Member == nil:
			changed = s.remove(now, c.Name) || changed
		default:
			changed = s.put(now, *c.Member) || changed
		}
	}
	return changed
}

// put takes an entry. One that a former start of the member wrote comes late, and
// says nothing; one that does not tell its start is of the one that is known.
func (s *Entries) put(now time.Time, m Member) bool {
	m, says := s.corrected(now, m)
	if !says {
		return false
	}
	delete(s.dropped, m.Name)
	known, listed := s.members[m.Name]
	if listed && known.outdates(m) {
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
	if m.State == Live && s.lapses(now) {
		if _, missed := s.missing[name]; !missed {
			s.missing[name] = now
		}
		return false
	}
	s.drop(now, name)
	return true
}

// lapses tells whether an entry that is missing now may have lapsed only
// because the store was away.
func (s *Entries) lapses(now time.Time) bool {
	return s.lost || !s.returnedAt.IsZero() && now.Sub(s.returnedAt) < StoreReturnGrace
}

func (s *Entries) drop(now time.Time, name string) {
	for dropped, at := range s.dropped {
		if now.Sub(at) >= endedTime {
			delete(s.dropped, dropped)
		}
	}
	s.dropped[name] = now
	delete(s.members, name)
	delete(s.missing, name)
}

// expire drops what is still missing when the grace has passed.
func (s *Entries) expire(now time.Time) bool {
	if s.lapses(now) {
		return false
	}
	changed := false
	for name := range s.missing {
		s.drop(now, name)
		changed = true
	}
	return changed
}

// Listing returns the members, those included whose entries are missing and may come back.
func (s *Entries) Listing() Listing { return s.listing() }

// Version grows with each change; 0 means that nothing is known.
func (s *Entries) Version() int64 { return s.version }

func (s *Entries) listing() Listing {
	l := Listing{Version: s.version, Members: make([]Member, 0, len(s.members))}
	for _, m := range s.members {
		l.Members = append(l.Members, m)
	}
	return l
}
