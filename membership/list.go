package membership

import (
	"cmp"
	"fmt"
	"hash/fnv"
	"slices"
	"time"
)

// Event is an input of List.
type Event interface{ isEvent() }

// Listed reports a new response of the platform's list.
type Listed struct{ Listing Listing }

// Observed is a member's own report of its state, which may arrive before the platform's: a
// draining instance reports it to its peers, an engine in its load report.
type Observed struct {
	Name        string
	Incarnation string
	State       State
}

func (Listed) isEvent()   {}
func (Observed) isEvent() {}

// List holds the known members.
//
// Invariants: a listing older than the newest one received has no effect; a member observed to
// be leaving does not become live again in the same incarnation, also if it is not listed for a
// while.
type List struct {
	version int64
	members map[string]Member
	// sorted caches the result of Members; nil if it must be rebuilt.
	sorted []Member
	// evacuated holds the failure domains that are evacuated.
	evacuated map[string]bool
	// leaving holds the incarnation in which each member was observed to be leaving; goneAt is when
	// such a member was last removed from the listing.
	leaving map[string]string
	goneAt  map[string]time.Time
}

// leavingMemory is how long a member that was leaving is remembered after its removal: its entry may
// have lapsed during an outage of the store, and come back as it was before.
const leavingMemory = 5 * time.Minute

// NewList returns an empty list.
func NewList() *List {
	return &List{members: map[string]Member{}, leaving: map[string]string{}, goneAt: map[string]time.Time{}}
}

// Step applies an event and returns what changed, ordered by name.
func (l *List) Step(now time.Time, e Event) []Change {
	l.sorted = nil
	switch e := e.(type) {
	case Listed:
		return l.applyListing(now, e.Listing)
	case Observed:
		return l.applyObserved(now, e)
	default:
		return nil
	}
}

func (l *List) applyListing(now time.Time, listing Listing) []Change {
	if listing.Version < l.version {
		return nil
	}
	l.version = listing.Version
	var changes []Change
	present := make(map[string]bool, len(listing.Members))
	for _, m := range listing.Members {
		present[m.Name] = true
		delete(l.goneAt, m.Name)
		if m.State == Leaving {
			l.leaving[m.Name] = m.Incarnation
		}
		if l.leaving[m.Name] == m.Incarnation {
			m.State = Leaving
		}
		if known, listed := l.members[m.Name]; !listed || !known.equal(m) {
			l.members[m.Name] = m
			changes = append(changes, Change{Member: m, At: now})
		}
	}
	for name, m := range l.members {
		if present[name] {
			continue
		}
		delete(l.members, name)
		if _, wasLeaving := l.leaving[name]; wasLeaving {
			l.goneAt[name] = now
		}
		m.State = Gone
		changes = append(changes, Change{Member: m, At: now})
	}
	l.forgetGone(now)
	return ordered(changes)
}

// forgetGone forgets the leaving members that were removed long ago.
func (l *List) forgetGone(now time.Time) {
	for name, at := range l.goneAt {
		if now.Sub(at) >= leavingMemory {
			delete(l.goneAt, name)
			delete(l.leaving, name)
		}
	}
}

func (l *List) applyObserved(now time.Time, o Observed) []Change {
	m, known := l.members[o.Name]
	if !known || o.State != Leaving || m.Incarnation != o.Incarnation || m.State == Leaving {
		return nil
	}
	l.leaving[o.Name] = o.Incarnation
	m.State = Leaving
	l.members[o.Name] = m
	return []Change{{Member: m, At: now}}
}

// SetEvacuated replaces the set of evacuated failure domains.
func (l *List) SetEvacuated(domains map[string]bool) {
	l.sorted = nil
	l.evacuated = domains
}

// withEvacuation returns a member with Evacuated set.
func (l *List) withEvacuation(m Member) Member {
	m.Evacuated = m.Pool != InstancePool && l.evacuated[m.FailureDomain]
	return m
}

// Pool returns the members of a pool, ordered by name.
func (l *List) Pool(pool string) []Member {
	var members []Member
	for _, m := range l.members {
		if m.Pool == pool {
			members = append(members, l.withEvacuation(m))
		}
	}
	slices.SortFunc(members, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	return members
}

// Member returns the member with a name.
func (l *List) Member(name string) (Member, bool) {
	m, known := l.members[name]
	return l.withEvacuation(m), known
}

// Members returns all members, ordered by name. The result must not be changed.
func (l *List) Members() []Member {
	if l.sorted != nil {
		return l.sorted
	}
	members := make([]Member, 0, len(l.members))
	for _, m := range l.members {
		members = append(members, l.withEvacuation(m))
	}
	slices.SortFunc(members, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	l.sorted = members
	return members
}

// Digest returns a hash of the members of all pools with their state, and of whether they are
// cold: lists with the same members have the same digest, whatever their versions. It does not
// cover the units that members hold. 0 stands for an empty list.
func (l *List) Digest() uint64 {
	if len(l.members) == 0 {
		return 0
	}
	var sum uint64
	for _, m := range l.members {
		h := fnv.New64a()
		fmt.Fprintf(h, "%q %q %q %q %q %q %d", m.Name, m.Incarnation, m.Pool, m.Address, m.FailureDomain, m.State, m.Slots)
		if m.ColdMS > 0 {
			fmt.Fprint(h, " cold")
		}
		sum += h.Sum64()
	}
	return max(sum, 1)
}

// Version returns the newest listing's version.
func (l *List) Version() int64 { return l.version }

func ordered(changes []Change) []Change {
	slices.SortFunc(changes, func(a, b Change) int { return cmp.Compare(a.Member.Name, b.Member.Name) })
	return changes
}
