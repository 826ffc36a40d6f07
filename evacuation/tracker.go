package evacuation

import (
	"cmp"
	"maps"
	"slices"
)

// Version is a version of the store: a revision within one of its eras. The zero value
// orders before all others.
type Version struct{ Era, Revision int64 }

// Compare returns a negative number if v is older than o, a positive one if v is newer, and
// 0 if they are equal.
func (v Version) Compare(o Version) int {
	return cmp.Or(cmp.Compare(v.Era, o.Era), cmp.Compare(v.Revision, o.Revision))
}

// Set is the evacuated failure domains as of a version, in sorted order.
type Set struct {
	Version Version
	Domains []string
}

// Event is an input of Tracker.
type Event interface{ isEvent() }

// Listed carries the complete set as listed from the store.
type Listed struct{ Set Set }

// Changed carries what changed in the store between the last Listed or Changed event and
// Version.
type Changed struct {
	Version Version
	// Domains maps each changed domain to whether it is now evacuated.
	Domains map[string]bool
}

// Announced carries the set that another instance announces.
type Announced struct{ Set Set }

func (Listed) isEvent()    {}
func (Changed) isEvent()   {}
func (Announced) isEvent() {}

// Tracker tracks the set that is in force. Its zero value has no evacuated domains.
//
// Invariants: the version in force never decreases; changes apply to the set from this
// instance's own watch, never to an announced set.
type Tracker struct {
	watched Set
	inForce Set
}

// Step applies an event and reports whether the set of evacuated domains changed.
func (k *Tracker) Step(e Event) (changed bool) {
	switch e := e.(type) {
	case Listed:
		k.watched = e.Set
		return k.adopt(e.Set)
	case Changed:
		k.watched = k.watched.apply(e)
		return k.adopt(k.watched)
	case Announced:
		return k.adopt(e.Set)
	default:
		return false
	}
}

// InForce returns the set that is in force. The caller must not modify it.
func (k *Tracker) InForce() Set { return k.inForce }

// adopt puts s in force unless a newer set already is, and reports whether the evacuated
// domains changed.
func (k *Tracker) adopt(s Set) (changed bool) {
	if s.Version.Compare(k.inForce.Version) < 0 {
		return false
	}
	changed = !slices.Equal(s.Domains, k.inForce.Domains)
	k.inForce = s
	return changed
}

// apply returns the set that results from applying c to s.
func (s Set) apply(c Changed) Set {
	domains := make(map[string]bool, len(s.Domains))
	for _, d := range s.Domains {
		domains[d] = true
	}
	maps.Copy(domains, c.Domains)
	maps.DeleteFunc(domains, func(_ string, evacuated bool) bool { return !evacuated })
	return Set{Version: c.Version, Domains: slices.Sorted(maps.Keys(domains))}
}
