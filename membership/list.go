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

// Listed is a new answer of the platform's list.
type Listed struct{ Listing Listing }

// Observed is a member's own word about its state, which may come before the
// platform's: an instance that drains says so to its peers, an engine in its
// load report.
type Observed struct {
	Name        string
	Incarnation string
	State       State
}

func (Listed) isEvent()   {}
func (Observed) isEvent() {}

// List is the known members.
//
// Invariants: a listing older than the newest seen changes nothing; a member
// observed to leave does not become live again in the same incarnation.
type List struct {
	version int64
	members map[string]Member
	// sorted is what Members returns; nil if it is to be made.
	sorted []Member
	// evacuated holds the failure domains that are evacuated.
	evacuated map[string]bool
	// left holds the incarnation in which each member was seen leaving.
	left map[string]string
}

// NewList returns an empty list.
func NewList() *List {
	return &List{members: map[string]Member{}, left: map[string]string{}}
}

// Step applies an event and returns what changed, ordered by name.
func (l *List) Step(now time.Time, e Event) []Change {
	l.sorted = nil
	switch e := e.(type) {
	case Listed:
		return l.listed(now, e.Listing)
	case Observed:
		return l.observed(now, e)
	default:
		return nil
	}
}

func (l *List) listed(now time.Time, listing Listing) []Change {
	if listing.Version < l.version {
		return nil
	}
	l.version = listing.Version
	var changes []Change
	present := make(map[string]bool, len(listing.Members))
	for _, m := range listing.Members {
		present[m.Name] = true
		if m.State == Leaving {
			l.left[m.Name] = m.Incarnation
		}
		if l.left[m.Name] == m.Incarnation {
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
		delete(l.left, name)
		m.State = Gone
		changes = append(changes, Change{Member: m, At: now})
	}
	return ordered(changes)
}

func (l *List) observed(now time.Time, o Observed) []Change {
	m, known := l.members[o.Name]
	if !known || o.State != Leaving || m.Incarnation != o.Incarnation || m.State == Leaving {
		return nil
	}
	l.left[o.Name] = o.Incarnation
	m.State = Leaving
	l.members[o.Name] = m
	return []Change{{Member: m, At: now}}
}

// SetEvacuated replaces the failure domains that are evacuated.
func (l *List) SetEvacuated(domains map[string]bool) {
	l.sorted = nil
	l.evacuated = domains
}

// seen is a member as others are to see it.
func (l *List) seen(m Member) Member {
	m.Evacuated = m.Pool != InstancePool && l.evacuated[m.FailureDomain]
	return m
}

// Pool returns the members of a pool, ordered by name.
func (l *List) Pool(pool string) []Member {
	var members []Member
	for _, m := range l.members {
		if m.Pool == pool {
			members = append(members, l.seen(m))
		}
	}
	slices.SortFunc(members, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	return members
}

// Member returns the member of that name.
func (l *List) Member(name string) (Member, bool) {
	m, known := l.members[name]
	return l.seen(m), known
}

// Members returns all members, ordered by name. The result must not be changed.
func (l *List) Members() []Member {
	if l.sorted != nil {
		return l.sorted
	}
	members := make([]Member, 0, len(l.members))
	for _, m := range l.members {
		members = append(members, l.seen(m))
	}
	slices.SortFunc(members, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	l.sorted = members
	return members
}

// Digest stands for who the members of all pools are, and in what state, cold or not: two lists of the
// same come to the same number, whatever their versions. It says nothing of the units
// that they hold. 0 stands for no list.
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
